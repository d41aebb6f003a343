"""Plays a request that crashes engines against real gateways, beside other calls."""

import asyncio
import json
import random
import time
from collections.abc import Callable
from pathlib import Path

import aiohttp
import attrs

from dotterelpitch.telemetry.events import Event
from tests.harness.crash_drill.engine import (
    CRASH_BODY,
    Arrival,
    CrashableEngine,
    Death,
    Return,
)
from tests.harness.gateway_fleet import HOST, KEY, GatewayProcess, make_config
from tests.harness.platform_store import PlatformStore
from tests.harness.ports import free_address
from tests.harness.waiting import pause

# A request may reach engines without limit for this long after its third crash,
# and this often afterwards (the platform's rule).
STOP_SECONDS = 3.0
MAX_CRASHES_BEFORE_STOP = 3
MAX_LATE_ARRIVALS = 3
# The promise covers the requests of gateways that have run for this long.
CONTACT_SECONDS = 3.0
# The id of a caller's second attempt is that of the first one with this.
RETRY_SUFFIX = "-retry"
BAN_EVENTS = {Event.REQUEST_BANNED.number, Event.PART_BANNED.number}
ROUTES = {
    "safe": {"kind": "safe", "max_attempts": 2},
    "unsafe": {"kind": "unsafe", "max_attempts": 1},
}


@attrs.frozen
class DrillSettings:
    """One setting of a drill.

    ``domains`` are the failure domains over which gateways and engines are spread
    in turn. ``crash_interval_s`` is the time between two requests with the content
    that crashes engines, each at ``copies`` gateways at once; ``calls_per_s`` is the
    rate of other calls over all gateways; each takes ``work_s`` and is sent once more
    if it fails. Ended engines return after ``down_s``, and their records are removed
    after ``record_ttl_s``, which is three missed heartbeats on the platform. If
    ``restart_interval_s`` isn't 0, a gateway is killed and started so often.
    """

    gateways: int = 4
    engines: int = 6
    domains: str = "abc"
    death: Death = Death.REFUSING
    returns: Return = Return.SAME_ID
    down_s: float = 3.0
    record_ttl_s: float = 3.6
    seconds: float = 14.0
    crash_interval_s: float = 0.5
    copies: int = 1
    route: str = "safe"
    calls_per_s: float = 20.0
    work_s: float = 0.02
    mesh_vms: int = 16
    restart_interval_s: float = 0.0
    deadline_s: float = 1.5
    seed: int = 1


@attrs.define
class CallRecord:
    """A call of a caller and the status of its attempts, 0 without a response.

    ``vm`` got the first attempt, and ``retry_vm`` the second one, at ``retry_at``, if
    there was one.

    ``fault`` names what crashes engines in it, and is empty for a sound one.
    ``status`` is that of the last attempt if it is complete, ``first_status`` that of
    the first one as soon as its head has come, which took ``first_seconds``.
    """

    request_id: str
    vm: str
    fault: str
    at: float
    status: int = 0
    first_status: int = 0
    first_seconds: float = 0.0
    retry_vm: str = ""
    retry_at: float = 0.0

    @property
    def crashes(self) -> bool:
        """Whether the call crashes engines."""
        return bool(self.fault)


@attrs.define
class DrillResult:
    """What engines and callers recorded.

    ``late_arrivals`` are those of the requests that crash engines later than
    ``STOP_SECONDS`` after their last crash before they must be stopped, from gateways
    that the promise covers. ``restarts`` holds the name and time of each start of a
    gateway that was killed.
    """

    arrivals: list[Arrival]
    restarts: list[tuple[str, float]]
    calls: list[CallRecord]
    logs: dict[str, str]
    crashes_before_stop: int = MAX_CRASHES_BEFORE_STOP

    @property
    def crash_arrivals(self) -> list[Arrival]:
        """The arrivals of the requests that crash engines, in order of time."""
        return [a for a in self.arrivals if a.crashed]

    @property
    def late_arrivals(self) -> list[Arrival]:
        """Those of these arrivals later than they must have been stopped."""
        return self.late_among(self.crash_arrivals)

    def late_among(self, crashes: list[Arrival]) -> list[Arrival]:
        """Return the late ones of the arrivals with one fault, in order of time."""
        if len(crashes) < self.crashes_before_stop:
            return []
        until = crashes[self.crashes_before_stop - 1].at + STOP_SECONDS
        return [a for a in crashes if a.at > until and self._is_covered(a)]

    def _is_covered(self, arrival: Arrival) -> bool:
        """Return whether the gateway had run for ``CONTACT_SECONDS``."""
        vm = next(c.vm for c in self.calls if c.request_id == arrival.request_id)
        return not any(
            name == vm and 0.0 <= arrival.at - at < CONTACT_SECONDS
            for name, at in self.restarts
        )

    @property
    def wrongly_banned_ids(self) -> list[str]:
        """The requests refused as crashing engines that don't crash any."""
        crashing = {call.request_id for call in self.calls if call.crashes}
        banned = [
            event["request"]
            for log in self.logs.values()
            for event in map(json.loads, log.splitlines())
            if event["event"] in BAN_EVENTS
        ]
        return [request_id for request_id in banned if request_id not in crashing]

    def is_kept(self) -> bool:
        """Return whether the promise was kept."""
        return (
            len(self.late_arrivals) <= MAX_LATE_ARRIVALS and not self.wrongly_banned_ids
        )

    def summary(self) -> str:
        """Return the counts on one line."""
        others = [call for call in self.calls if not call.crashes]
        served = sum(call.status == 200 for call in others)
        return (
            f"{len(self.crash_arrivals)} runs, {len(self.late_arrivals)} late; "
            f"{served} of {len(others)} other calls served, "
            f"{len(self.wrongly_banned_ids)} of their attempts banned"
        )


class CrashDrill:
    """Gateways, a store, and engines that a request content crashes."""

    routes = ROUTES
    crashes_before_stop = MAX_CRASHES_BEFORE_STOP
    result_type = DrillResult

    def __init__(self, folder: Path, settings: DrillSettings) -> None:
        self.settings = settings
        self.store = PlatformStore(page_size=500)
        self.gateways: list[GatewayProcess] = []
        self.engines: list[CrashableEngine] = []
        self.calls: list[CallRecord] = []
        self.arrivals: list[Arrival] = []
        self.restarts: list[tuple[str, float]] = []
        self.random = random.Random(settings.seed)
        self._folder = folder
        self._tasks: list[asyncio.Task] = []
        self._call_tasks: set[asyncio.Task] = set()
        self._session: aiohttp.ClientSession | None = None
        self._run_count = 0

    async def run(self) -> DrillResult:
        """Play the drill; end all processes."""
        try:
            await self._start()
            began = time.monotonic()
            async with aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0)
            ) as self._session:
                senders = [self.send_crashing(began), self.send_others(began)]
                await asyncio.gather(*senders)
                await asyncio.gather(*self._call_tasks)
        finally:
            await self._stop()
        logs = {g.process.name: g.process.log() for g in self.gateways}
        return self.result_type(
            self.arrivals, self.restarts, self.calls, logs, self.crashes_before_stop
        )

    async def _start(self) -> None:
        settings = self.settings
        await self.store.start(free_address())
        config = make_config(1, self.routes)
        config["services"][0]["health_path"] = "/health"
        self.store.put("op/config", config)
        for number in range(settings.engines):
            domain = settings.domains[number % len(settings.domains)]
            engine = self.make_engine(f"e{number + 1}", domain)
            await engine.start(free_address())
            self.engines.append(engine)
            self._register(engine)
            self._tasks.append(asyncio.create_task(self._keep_engine(engine)))
        for number in range(settings.gateways):
            self._add_gateway(f"vm{number + 1}", number)
        await asyncio.gather(*(g.process.start() for g in self.gateways))
        await asyncio.gather(*(g.wait_ready() for g in self.gateways))
        if settings.restart_interval_s:
            self._tasks.append(asyncio.create_task(self._restart_gateways()))

    def make_engine(self, name: str, domain: str) -> CrashableEngine:
        """Return an engine that isn't started yet."""
        settings = self.settings
        return CrashableEngine(
            name, domain, settings.death, settings.work_s, self.arrivals
        )

    async def _restart_gateways(self) -> None:
        while True:
            await pause(self.settings.restart_interval_s)
            gateway = self.random.choice(self.gateways)
            await gateway.process.kill()
            await gateway.process.start()
            self.restarts.append((gateway.process.name, time.monotonic()))

    def _add_gateway(self, name: str, number: int) -> None:
        seeds = [g.peer_address for g in self.gateways[:3]]
        gateway = GatewayProcess(
            name,
            self._folder,
            self.store.address,
            seeds,
            mesh_vms=self.settings.mesh_vms,
        )
        zone = self.settings.domains[number % len(self.settings.domains)]
        gateway.write_settings(self.store.address, seeds, zone=zone)
        self.gateways.append(gateway)

    async def _stop(self) -> None:
        for task in [*self._tasks, *self._call_tasks]:
            task.cancel()
        await asyncio.gather(*(g.process.kill() for g in self.gateways))
        for engine in self.engines:
            await engine.stop()
        await self.store.stop()

    def _register(self, engine: CrashableEngine) -> None:
        self.store.put(f"servers/{engine.id}", self.record_of(engine))

    def record_of(self, engine: CrashableEngine) -> dict:
        """Return the store record of an engine."""
        record = {
            "service": "calls",
            "address": engine.address,
            "zone": engine.domain,
            "state": "ready",
            "capacity": 16,
        }
        if self.settings.returns is not Return.SAME_ID_UNDATED:
            record["born"] = engine.started_ms
        return record

    async def _keep_engine(self, engine: CrashableEngine) -> None:
        """Let an ended engine return, and its record expire meanwhile."""
        settings = self.settings
        while True:
            await engine.ended.wait()
            key = f"servers/{engine.id}"
            await pause(min(settings.record_ttl_s, settings.down_s))
            if settings.down_s > settings.record_ttl_s:
                self.store.delete(key)
                await pause(settings.down_s - settings.record_ttl_s)
            address = engine.address
            if settings.returns is Return.NEW_ADDRESS:
                address = free_address()
            if settings.returns in (Return.NEW_ID, Return.NEW_ADDRESS):
                self.store.delete(key)
                self._run_count += 1
                engine.id = f"{engine.id.partition('-')[0]}-{self._run_count}"
            await engine.start(address)
            self._register(engine)

    async def send_crashing(self, began: float) -> None:
        """Send the requests that crash engines until the drill's end."""
        settings = self.settings
        await pause(1.0)
        while time.monotonic() < began + settings.seconds:
            for gateway in self.random.sample(self.gateways, settings.copies):
                self.send(
                    gateway, f"/{settings.route}/crash", CRASH_BODY, fault="content"
                )
            await pause(settings.crash_interval_s)

    async def send_others(self, began: float) -> None:
        """Send the other requests until the drill's end."""
        settings = self.settings
        if not settings.calls_per_s:
            return
        while time.monotonic() < began + settings.seconds:
            gateway = self.random.choice(self.gateways)
            number = len(self.calls)
            self.send(gateway, f"/safe/{number}", f"call {number}".encode())
            await pause(self.random.expovariate(settings.calls_per_s))

    def send(
        self,
        gateway: GatewayProcess,
        path: str,
        body: bytes,
        headers: dict[str, str] | None = None,
        fault: str = "",
    ) -> None:
        """Send a request, with further ``headers``, without waiting for its response.

        ``fault`` names what crashes engines in it, if anything.
        """
        record = CallRecord(
            f"r{len(self.calls):06}",
            gateway.process.name,
            fault,
            time.monotonic(),
        )
        self.calls.append(record)
        call = self._call(gateway, path, body, headers or {}, record)
        task = asyncio.create_task(call)
        self._call_tasks.add(task)
        task.add_done_callback(self._call_tasks.discard)

    async def _call(
        self,
        gateway: GatewayProcess,
        path: str,
        body: bytes,
        headers: dict[str, str],
        record: CallRecord,
    ) -> None:
        """Send a request, and once more at any gateway if it isn't served."""

        def began(status: int) -> None:
            record.first_status = status
            record.first_seconds = time.monotonic() - record.at

        headers = {**headers, "Request-Id": record.request_id}
        record.status = await self._exchange(gateway, path, body, headers, began)
        if record.status != 200 and not record.crashes:
            gateway = self.random.choice(self.gateways)
            record.retry_vm = gateway.process.name
            record.retry_at = time.monotonic()
            headers["Request-Id"] = record.request_id + RETRY_SUFFIX
            record.status = await self._exchange(gateway, path, body, headers)

    async def _exchange(
        self,
        gateway: GatewayProcess,
        path: str,
        body: bytes,
        headers: dict[str, str],
        on_head: Callable[[int], None] = lambda _: None,
    ) -> int:
        """Return the status of the complete response, or 0 without one.

        ``on_head`` is called with the status once the head has come.
        """
        deadline_s = self.settings.deadline_s
        headers = {
            **headers,
            "Host": HOST,
            "Credential": KEY,
            "Deadline-Ms": str(int(deadline_s * 1000)),
        }
        url = f"http://{gateway.caller_address}{path}"
        try:
            async with (
                asyncio.timeout(deadline_s + 0.5),
                self._session.post(url, headers=headers, data=body) as reply,
            ):
                on_head(reply.status)
                await reply.read()
                return reply.status
        except (aiohttp.ClientError, OSError, TimeoutError):
            return 0
