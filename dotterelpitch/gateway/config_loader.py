"""Decodes configs beside the callers' requests, so that a large one delays none.

A config of thousands of routes takes a small VM some tenths of a second, and configs
may come in quick succession. So each is decoded in steps, with other work between them,
and of those that come meanwhile only the newest.
"""

import asyncio

from dotterelpitch.clock import Clock
from dotterelpitch.gateway.state import GatewayState
from dotterelpitch.platform.store import StoreRecord

# After a config the others get this multiple of the time that it took.
PAUSE_FACTOR = 4.0
MAX_PAUSE_SECONDS = 0.5


class ConfigLoader:
    """Applies the newest config that has been offered, and then the next one.

    >>> loader = ConfigLoader(clock, state)
    >>> state.defer_config = loader.offer
    >>> task = asyncio.create_task(keep_running("config", loader.run))
    """

    def __init__(self, clock: Clock, state: GatewayState) -> None:
        self._clock = clock
        self._state = state
        self._offered: StoreRecord | None = None
        self._latest: StoreRecord | None = None
        self._has_offer = asyncio.Event()

    def offer(self, record: StoreRecord) -> None:
        """Have a config applied, in place of any that waits; the same only once."""
        if record != self._latest:
            self._latest = self._offered = record
            self._has_offer.set()

    async def run(self) -> None:
        """Apply configs until cancelled."""
        while True:
            await self._has_offer.wait()
            await asyncio.sleep(min(MAX_PAUSE_SECONDS, await self.load()))

    async def load(self) -> float:
        """Apply the config that waits; return for how long to leave time to others."""
        record, self._offered = self._offered, None
        self._has_offer.clear()
        steps = self._state.apply_config_in_steps(record)
        worked_s = 0.0
        while True:
            began = self._clock.monotonic()
            is_done = next(steps, _DONE) is _DONE
            worked_s += self._clock.monotonic() - began
            if is_done:
                return PAUSE_FACTOR * worked_s
            await asyncio.sleep(0)


_DONE = object()
