"""Ends at its time what a gateway's state holds only for a while."""

import asyncio
import contextlib

from dotterelpitch.clock import Clock
from dotterelpitch.gateway.state import GatewayState

# The event loop may wake a little before the time.
MIN_WAIT_SECONDS = 0.01


class ExpiryTimer:
    """Calls ``GatewayState.expire`` when the next of its times has come.

    Nothing else decides when: neither a watch that goes on nor a back-off delays it.
    """

    def __init__(self, clock: Clock, state: GatewayState) -> None:
        self._clock = clock
        self._state = state

    async def run(self) -> None:
        """Expire what is due, and wait for the next time or change, until cancelled."""
        while True:
            changed = self._state.changed
            self._state.expire()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._wait_s()):
                    await changed.wait()

    def _wait_s(self) -> float | None:
        """Return the seconds until the next time, or None if there is none."""
        wait_s = self._state.next_expiry_at() - self._clock.monotonic()
        return None if wait_s == float("inf") else max(MIN_WAIT_SECONDS, wait_s)
