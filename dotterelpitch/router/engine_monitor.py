"""Monitors the engines that this VM owns: their health, load, and crashes."""

import asyncio

import aiohttp

from dotterelpitch.documents.model import Endpoint
from dotterelpitch.router.digest_publisher import DigestPublisher
from dotterelpitch.router.engine_call import CallEnd
from dotterelpitch.router.routing_hub import RoutingHub
from dotterelpitch.router.service_routing import ServiceRouting
from dotterelpitch.routing.digests import Topic
from dotterelpitch.routing.health import FailureKind, HealthState
from dotterelpitch.telemetry.events import Event, log_event

PROBE_INTERVAL_SECONDS = 2.0
PROBE_TIMEOUT_SECONDS = 1.0

FAILURE_BY_END = {
    CallEnd.NOT_CONNECTED: FailureKind.REFUSED,
    CallEnd.BROKEN: FailureKind.CONNECTION_LOST,
    CallEnd.TIMEOUT: FailureKind.TIMEOUT,
    CallEnd.SERVER_ERROR: FailureKind.SERVER_ERROR,
}


class EngineMonitor:
    """Updates the routing hub with the state of the owned engines.

    The state comes from periodic probes and from the results of calls.
    """

    def __init__(
        self,
        hub: RoutingHub,
        session: aiohttp.ClientSession,
        publisher: DigestPublisher,
    ) -> None:
        self._hub = hub
        self._session = session
        self._publisher = publisher
        self._crash_check_by_engine: dict[str, asyncio.Task[bool]] = {}

    async def run(self) -> None:
        """Probe all owned engines periodically until cancelled."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)
            probes = [
                self._probe(service, engine)
                for service in self._hub.services().values()
                for engine in service.table.engine_by_name.values()
                if service.owns(engine)
            ]
            await asyncio.gather(*probes)

    def record_success(self, service: ServiceRouting, engine: str) -> None:
        """Record a successful call or probe of an engine."""
        was_healthy = service.health.state(engine) is HealthState.HEALTHY
        service.health.record_success(engine)
        if not was_healthy and service.health.state(engine) is HealthState.RAMPING:
            log_event(Event.ENGINE_RECOVERED, engine=engine)

    def record_failure(
        self, service: ServiceRouting, engine: str, failure: FailureKind
    ) -> None:
        """Record a failed call or probe of an engine."""
        was_suspect = engine in service.health.suspects()
        service.health.record_failure(engine, failure)
        if not was_suspect and engine in service.health.suspects():
            log_event(Event.ENGINE_SUSPECTED, engine=engine, reason=failure.value)

    async def check_for_crash(self, service: ServiceRouting, engine: Endpoint) -> None:
        """Check whether the engine crashed after a connection to it broke.

        If it did, the requests in flight become crash suspects. Concurrent calls
        for an engine share one check. Returns after the reachable routers have
        received the suspects, so that a caller's retry can't overtake them.
        """
        check = self._crash_check_by_engine.get(engine.name)
        if check is None:
            check = asyncio.create_task(self._check_crash(service, engine))
            self._crash_check_by_engine[engine.name] = check
            check.add_done_callback(
                lambda _: self._crash_check_by_engine.pop(engine.name, None)
            )
        await asyncio.shield(check)

    async def _check_crash(self, service: ServiceRouting, engine: Endpoint) -> bool:
        """Return whether the engine crashed, and if so publish the suspects."""
        controller = service.controller_by_engine[engine.name]
        in_flight = [request.fingerprint for request in controller.in_flight()]
        engine_run = f"{self._hub.vm}-{self._hub.clock.wall():.3f}"
        if await self._fetch_load_report(engine) is not None:
            return False
        self._hub.suspects.engine_died(engine.name, engine_run, in_flight)
        log_event(Event.ENGINE_DIED, engine=engine.name, fingerprints=in_flight)
        await self._publisher.push(Topic.CRASH, self._hub.crash_payload())
        return True

    async def _probe(self, service: ServiceRouting, engine: Endpoint) -> None:
        if service.health.state(engine.name) is HealthState.SUSPECT:
            return
        report = await self._fetch_load_report(engine)
        if report is None:
            self.record_failure(service, engine.name, FailureKind.REFUSED)
            return
        self.record_success(service, engine.name)
        controller = service.controller_by_engine.get(engine.name)
        running = report.get("running")
        if controller is not None and type(running) is int:
            controller.other_owners.receive_engine_count(
                running, len(controller.in_flight())
            )

    async def _fetch_load_report(self, engine: Endpoint) -> dict | None:
        """Return the engine's load report, or None when it doesn't respond.

        A JSON response that isn't an object counts as an empty report.
        """
        url = f"http://{engine.address}/v1/load"
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_SECONDS)
        try:
            async with self._session.get(url, timeout=timeout) as response:
                report = await response.json()
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return None
        return report if isinstance(report, dict) else {}
