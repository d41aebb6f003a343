"""The planned stop of a gateway: open requests end, and new ones go elsewhere."""

import asyncio

from attrs import define

from dotterelpitch.gateway.ingress import Ingress
from dotterelpitch.gateway.listeners import Listeners
from dotterelpitch.gateway.peer_call_server import PeerCallServer
from dotterelpitch.telemetry.events import Event, log_event

# How long connections of callers are still accepted after SIGTERM. The load balancer
# checks readiness once per second and stops sending callers after two failed checks.
LINGER_SECONDS = 2.8
# Bodies that are on their way then may come for so long.
LAST_BODY_SECONDS = 0.2
# Remaining requests are aborted this long before the end of the grace period.
STOP_MARGIN_SECONDS = 0.6


@define
class PlannedStop:
    """Drains a gateway within ``grace_s`` seconds."""

    _vm_name: str
    _ingress: Ingress
    _peer_calls: PeerCallServer
    grace_s: float

    async def drain(self, listeners: Listeners) -> None:
        """Fail readiness checks, then let open requests end within the grace period."""
        work = self._ingress.work
        log_event(
            Event.PROCESS_STOPPING, vm=self._vm_name, open_requests=len(work.names())
        )
        self._ingress.is_stopping = True
        self._peer_calls.is_stopping = True
        grace_s = self.grace_s - STOP_MARGIN_SECONDS
        try:
            async with asyncio.timeout(grace_s):
                await asyncio.sleep(min(LINGER_SECONDS, grace_s / 2))
                await self._stop_taking(listeners)
                await work.wait_idle()
                await listeners.callers.wait_closed()
        except TimeoutError:
            log_event(Event.STOP_CUT, requests=work.names())

    async def _stop_taking(self, listeners: Listeners) -> None:
        """Stop accepting, but take the requests that have come or are on their way."""
        listeners.close_callers()
        # What is in the sockets' buffers is read and parsed first.
        for _ in range(2):
            await asyncio.sleep(0)
        connections = self._ingress.connections
        connections.close_unused(listeners.callers.connections)
        await asyncio.sleep(LAST_BODY_SECONDS)
        self._ingress.stop_taking()
        connections.close_unused(listeners.callers.connections)
