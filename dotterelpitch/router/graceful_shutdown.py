"""A router's planned stop: nothing that is in flight is cut."""

import asyncio

from dotterelpitch.protocol.work_tracker import WorkTracker
from dotterelpitch.router.state import FleetState
from dotterelpitch.telemetry.events import Event, log_event


class GracefulShutdown:
    """Collects stop requests and carries out the stop.

    The first request begins it. A second one, or the grace limit, ends the
    wait, with one event for each piece of work that is cut.
    """

    def __init__(self, vm: str, linger_seconds: float, grace_seconds: float) -> None:
        self._vm = vm
        self._linger_seconds = linger_seconds
        self._grace_seconds = grace_seconds
        self._requested = asyncio.Event()
        self._hurried = asyncio.Event()

    @property
    def begun(self) -> bool:
        """Whether a stop has been requested."""
        return self._requested.is_set()

    def request(self) -> None:
        """Begin the stop, or end it at once when it has begun."""
        if self.begun:
            self._hurried.set()
        self._requested.set()

    async def wait_requested(self) -> None:
        """Return at the first request."""
        await self._requested.wait()

    async def finish(self, state: FleetState, *works: WorkTracker) -> None:
        """Tell the fleet, and return when all ``works`` are idle or time is up.

        For ``linger_seconds`` everything goes on as before, while balancers
        and other routers learn that this VM leaves.
        """
        log_event(Event.PROCESS_STOPPING, vm=self._vm, role="router")
        await state.announce_stop()
        orderly = asyncio.create_task(self._wait_until_idle(works))
        hurried = asyncio.create_task(self._hurried.wait())
        await asyncio.wait(
            {orderly, hurried},
            timeout=self._grace_seconds,
            return_when=asyncio.FIRST_COMPLETED,
        )
        orderly.cancel()
        hurried.cancel()
        for work in works:
            for name in work.names():
                log_event(Event.STOP_CUT, vm=self._vm, role="router", work=name)

    async def _wait_until_idle(self, works: tuple[WorkTracker, ...]) -> None:
        await asyncio.sleep(self._linger_seconds)
        while any(work.names() for work in works):
            for work in works:
                await work.wait_idle()
