"""Graceful shutdown of a router: requests in flight may finish."""

import asyncio

from dotterelpitch.protocol.work_tracker import WorkTracker
from dotterelpitch.router.state import FleetState
from dotterelpitch.telemetry.events import Event, log_event


class GracefulShutdown:
    """Receives stop requests and shuts the router down.

    The first request starts the shutdown. A second request, or the end of
    ``grace_seconds``, ends the wait for open work; each piece of work that is
    aborted is logged as an event.
    """

    def __init__(self, vm: str, linger_seconds: float, grace_seconds: float) -> None:
        self._vm = vm
        self._linger_seconds = linger_seconds
        self._grace_seconds = grace_seconds
        self._requested = asyncio.Event()
        self._forced = asyncio.Event()

    @property
    def started(self) -> bool:
        """Whether a stop has been requested."""
        return self._requested.is_set()

    def request(self) -> None:
        """Start the shutdown, or end its wait if it has started already."""
        if self.started:
            self._forced.set()
        self._requested.set()

    async def wait_requested(self) -> None:
        """Wait for the first stop request."""
        await self._requested.wait()

    async def finish(self, state: FleetState, *trackers: WorkTracker) -> None:
        """Announce the shutdown; return once all ``trackers`` are idle or time is up.

        New requests are still served for ``linger_seconds``, so that load balancers
        and other routers have time to notice that this VM is leaving.
        """
        log_event(Event.PROCESS_STOPPING, vm=self._vm, role="router")
        await state.announce_stop()
        idle = asyncio.create_task(self._wait_until_idle(trackers))
        forced = asyncio.create_task(self._forced.wait())
        await asyncio.wait(
            {idle, forced},
            timeout=self._grace_seconds,
            return_when=asyncio.FIRST_COMPLETED,
        )
        idle.cancel()
        forced.cancel()
        for tracker in trackers:
            for name in tracker.names():
                log_event(Event.STOP_CUT, vm=self._vm, role="router", work=name)

    async def _wait_until_idle(self, trackers: tuple[WorkTracker, ...]) -> None:
        await asyncio.sleep(self._linger_seconds)
        while any(tracker.names() for tracker in trackers):
            for tracker in trackers:
                await tracker.wait_idle()
