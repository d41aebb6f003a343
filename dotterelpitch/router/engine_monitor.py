"""Watches the engines that this VM owns: their health, load, and deaths."""

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

PROBE_EVERY_SECONDS = 2.0
PROBE_SECONDS = 1.0

FAILURE_BY_END = {
    CallEnd.NOT_CONNECTED: FailureKind.REFUSED,
    CallEnd.BROKEN: FailureKind.CONNECTION_LOST,
    CallEnd.TIMEOUT: FailureKind.TIMEOUT,
    CallEnd.SERVER_ERROR: FailureKind.SERVER_ERROR,
}


class EngineMonitor:
    """Feeds the routing hub with what happens at the owned engines."""

    def __init__(
        self, hub: RoutingHub, session: aiohttp.ClientSession, carrier: DigestPublisher
    ) -> None:
        self._hub = hub
        self._session = session
        self._carrier = carrier
        self._death_check_by_engine: dict[str, asyncio.Task[bool]] = {}

    async def run(self) -> None:
        """Probe all owned engines again and again."""
        while True:
            await asyncio.sleep(PROBE_EVERY_SECONDS)
            probes = [
                self._probe(service, engine)
                for service in self._hub.services().values()
                for engine in service.table.engine_by_name.values()
                if service.owns(engine)
            ]
            await asyncio.gather(*probes)

    def succeeded(self, service: ServiceRouting, engine: str) -> None:
        """Take in a call that the engine answered."""
        was_healthy = service.health.state(engine) is HealthState.HEALTHY
        service.health.record_success(engine)
        if not was_healthy and service.health.state(engine) is HealthState.RAMPING:
            log_event(Event.ENGINE_RECOVERED, engine=engine)

    def failed(
        self, service: ServiceRouting, engine: str, failure: FailureKind
    ) -> None:
        """Take in a call that failed."""
        was_suspect = engine in service.health.suspects()
        service.health.record_failure(engine, failure)
        if not was_suspect and engine in service.health.suspects():
            log_event(Event.ENGINE_SUSPECTED, engine=engine, reason=failure.value)

    async def broke_off(self, service: ServiceRouting, engine: Endpoint) -> None:
        """Suspect what was in flight if the engine has died.

        Returns after the reachable routers know of the suspects.
        """
        check = self._death_check_by_engine.get(engine.name)
        if check is None:
            check = asyncio.create_task(self._check_death(service, engine))
            self._death_check_by_engine[engine.name] = check
            check.add_done_callback(
                lambda _: self._death_check_by_engine.pop(engine.name, None)
            )
        await asyncio.shield(check)

    async def _check_death(self, service: ServiceRouting, engine: Endpoint) -> bool:
        desk = service.desk_by_engine[engine.name]
        in_flight = [offer.fingerprint for offer in desk.in_flight()]
        run = f"{self._hub.vm}-{self._hub.clock.wall():.3f}"
        if await self._read_report(engine) is not None:
            return False
        self._hub.suspects.engine_died(engine.name, run, in_flight)
        log_event(Event.ENGINE_DIED, engine=engine.name, fingerprints=in_flight)
        await self._carrier.push(Topic.CRASH, self._hub.crash_payload())
        return True

    async def _probe(self, service: ServiceRouting, engine: Endpoint) -> None:
        if service.health.state(engine.name) is HealthState.SUSPECT:
            return
        report = await self._read_report(engine)
        if report is None:
            self.failed(service, engine.name, FailureKind.REFUSED)
            return
        self.succeeded(service, engine.name)
        desk = service.desk_by_engine.get(engine.name)
        running = report.get("running")
        if desk is not None and type(running) is int:
            desk.other_owners.receive_engine_count(running, len(desk.in_flight()))

    async def _read_report(self, engine: Endpoint) -> dict | None:
        """Return the engine's load report, or None when it doesn't answer."""
        url = f"http://{engine.address}/v1/load"
        timeout = aiohttp.ClientTimeout(total=PROBE_SECONDS)
        try:
            async with self._session.get(url, timeout=timeout) as answer:
                report = await answer.json()
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return None
        return report if isinstance(report, dict) else {}
