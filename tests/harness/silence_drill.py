"""Plays sound engines that fall silent and go on, while VMs stop and configs change."""

import asyncio
import contextlib
import signal
import time
from collections.abc import AsyncIterator
from enum import StrEnum
from pathlib import Path

import aiohttp
import attrs

from tests.harness.crash_drill.drill import DrillResult
from tests.harness.crash_drill.engine import CrashableEngine, response_head
from tests.harness.engine_cut_drill import Cut, EngineCutDrill, EngineCutSettings
from tests.harness.gateway_fleet import HOST, KEY, GatewayProcess, make_config
from tests.harness.waiting import pause

EVENTS = 25
EVENT_SECONDS = 0.08
WORK_SECONDS = 0.1
TIMEOUT_SECONDS = 8.0
IDLE_TIMEOUT_SECONDS = 5.0
GRACE_SECONDS = 8.0
# A stopping VM may end what runs still in this last share of its grace.
GRACE_END_SHARE = 1 / 6
# A request that ended so close to its deadline has ended there.
DEADLINE_TOLERANCE_SECONDS = 0.1
# Time between two parts of a body.
PART_SECONDS = 0.1
# Callers that leave do so after this many events.
LEAVE_AFTER_EVENTS = 6
MAX_TRIES = 4
MIN_TRY_SECONDS = 1.0
# Callers come back so long after an answer.
REST_SECONDS = 0.05
SAME_BODY = b"the same prompt"
KINDS = ("resumable", "resumable", "stream", "safe")
ROUTES = {
    "resumable": {"kind": "streaming", "max_attempts": 2, "stream_resume": True},
    "stream": {"kind": "streaming", "max_attempts": 1, "stream_resume": False},
    "safe": {"kind": "safe", "max_attempts": 2},
}


@attrs.frozen
class Silence:
    """Engines write nothing from ``at`` on, each for its own number of ``seconds``.

    ``seconds`` are those of the engines in turn. With ``answers_checks`` they still
    respond to status checks. If ``expires_s`` isn't 0, their records are removed so
    long after ``at``, until they write again.
    """

    at: float
    seconds: tuple[float, ...]
    answers_checks: bool = False
    expires_s: float = 0.0


@attrs.frozen
class SilenceDrillSettings(EngineCutSettings):
    """One setting of a drill with silent engines.

    ``stops`` holds when a SIGTERM goes to which VM, which starts again after it has
    ended; ``reloads`` and ``short_configs`` hold the times of SIGHUPs to all VMs and of
    configs with ``short_share`` of the usual timeouts. Callers leave ``left_share`` of
    their streams and take them up at another VM. Engines reject what is more than
    ``slots`` requests at once. Times are in seconds from the start.
    """

    gateways: int = 3
    engines: int = 4
    seconds: float = 7.0
    callers: int = 24
    slots: int = 16
    cut: Cut = Cut.RESET
    cut_vms: int = 0
    silences: tuple[Silence, ...] = ()
    stops: tuple[tuple[float, int], ...] = ()
    reloads: tuple[float, ...] = ()
    short_configs: tuple[float, ...] = ()
    short_share: float = 0.75
    has_same_body: bool = False
    left_share: float = 0.0
    retry_slack: int = 52
    retry_budget: float = 0.2


class End(StrEnum):
    """How a caller's try ended."""

    WHOLE = "whole"
    REFUSED = "refused"
    LEFT = "left"
    CUT = "cut"
    UNANSWERED = "unanswered"


@attrs.define
class Try:
    """One request of a caller, with its time budget.

    Times are of the monotonic clock, in seconds.
    """

    request_id: str
    vm: str
    kind: str
    sent_at: float
    budget_s: float
    end: End = End.UNANSWERED
    ended_at: float = 0.0
    status: int = 0
    events: list[int] = attrs.field(factory=list)


@attrs.define
class SilenceDrillResult(DrillResult):
    """What engines and callers recorded.

    ``stopped_at`` holds each VM's SIGTERMs, ``timeouts`` the route's timeouts and since
    when they hold, in order.
    """

    tries: list[Try] = attrs.field(factory=list)
    out_of_order: list[str] = attrs.field(factory=list)
    stopped_at: list[tuple[str, float]] = attrs.field(factory=list)
    timeouts: list[tuple[float, float]] = attrs.field(factory=list)

    def cut(self) -> list[Try]:
        """Return the responses that have begun and ended early, for no good reason."""
        return [t for t in self.tries if t.end is End.CUT and not self._is_excused(t)]

    def unanswered(self) -> list[Try]:
        """Return the requests that ran and got neither an answer nor a refusal."""
        ran = {arrival.request_id for arrival in self.arrivals}
        return [
            t
            for t in self.tries
            if t.end is End.UNANSWERED
            and t.request_id in ran
            and not self._is_excused(t)
        ]

    def summary(self) -> str:
        """Return the counts on one line."""
        counts = {end.value: sum(t.end is end for t in self.tries) for end in End}
        statuses = sorted({t.status for t in self.tries})
        by_status = {s: sum(t.status == s for t in self.tries) for s in statuses}
        return (
            f"{len(self.cut())} cut, {len(self.unanswered())} unanswered that ran, "
            f"{len(self.out_of_order)} out of order; all: {counts}, {by_status}"
        )

    def logs_of(self, request_id: str) -> list[str]:
        """Return the log lines that name a request."""
        return [
            f"{vm}: {line}"
            for vm, log in self.logs.items()
            for line in log.splitlines()
            if request_id in line
        ]

    def _is_excused(self, attempt: Try) -> bool:
        """Return whether a try ended at its deadline, or in the end of a grace."""
        seconds = attempt.ended_at - attempt.sent_at
        timeout_s = min(t for at, t in self.timeouts if at <= attempt.sent_at)
        if seconds > min(timeout_s, attempt.budget_s) - DEADLINE_TOLERANCE_SECONDS:
            return True
        grace_end_s = GRACE_SECONDS * (1 - GRACE_END_SHARE)
        return any(
            vm == attempt.vm and grace_end_s < attempt.ended_at - at < GRACE_SECONDS + 1
            for vm, at in self.stopped_at
        )


class SilentEngine(CrashableEngine):
    """An engine that writes nothing at all for a while, and goes on."""

    _silent_until = 0.0
    _answers_checks = False
    slots = 0
    _running = 0

    def fall_silent(self, seconds: float, answers_checks: bool) -> None:
        """Write nothing for ``seconds``, but to status checks if it answers these."""
        self._silent_until = time.monotonic() + seconds
        self._answers_checks = answers_checks

    async def before_response(self, head: bytes) -> None:
        """Wait for the silence to end, unless a status check is answered."""
        if not (self._answers_checks and head.startswith(b"GET /health ")):
            await self._speaks()

    async def respond(
        self, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Write a whole response, or reject the request if too many run."""
        if self._running >= self.slots:
            writer.write(_rejection(headers["request-id"]))
            return
        self._running += 1
        try:
            await self._run_request(headers, body, writer)
        finally:
            self._running -= 1

    async def _run_request(
        self, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Write a whole stream, or a plain response."""
        await pause(WORK_SECONDS)
        await self._speaks()
        if headers["accept"] != "text/event-stream":
            writer.write(response_head(headers, f"Content-Length: {len(body)}") + body)
            return
        lines = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
        writer.write(response_head(headers, *lines))
        for number in range(int(headers.get("last-event-id") or 0) + 1, EVENTS + 1):
            event = f"id: {number}\ndata: {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await pause(EVENT_SECONDS)
            await self._speaks()
            if writer.is_closing():
                return
        writer.write(b"0\r\n\r\n")

    async def _speaks(self) -> None:
        while (remaining_s := self._silent_until - time.monotonic()) > 0:
            await pause(remaining_s)


class SilenceDrill(EngineCutDrill):
    """Gateways, callers of all kinds, and engines that fall silent."""

    routes = ROUTES
    settings: SilenceDrillSettings

    def __init__(self, folder: Path, settings: SilenceDrillSettings) -> None:
        super().__init__(folder, settings)
        self.tries: list[Try] = []
        self._out_of_order: list[str] = []
        self._stopped_at: list[tuple[str, float]] = []
        self._timeouts = [(0.0, TIMEOUT_SECONDS)]
        self._config_version = 1
        self._stopping: set[str] = set()

    def result_type(self, *args) -> SilenceDrillResult:
        """Return the result of the drill."""
        return SilenceDrillResult(
            *args,
            tries=self.tries,
            out_of_order=self._out_of_order,
            stopped_at=self._stopped_at,
            timeouts=self._timeouts,
        )

    def make_engine(self, name: str, domain: str) -> SilentEngine:
        """Return an engine that isn't started yet."""
        engine = SilentEngine(name, domain, self.settings.death, 0.0, self.arrivals)
        engine.slots = self.settings.slots
        return engine

    def record_of(self, engine: CrashableEngine) -> dict:
        """Return the store record of an engine, with its slots."""
        return {**super().record_of(engine), "capacity": self.settings.slots}

    def _add_gateway(self, name: str, number: int) -> None:
        super()._add_gateway(name, number)
        self._write_settings(number)

    def _write_settings(self, number: int, **limits) -> None:
        settings = self.settings
        self.gateways[number].write_settings(
            self.store.address,
            [g.peer_address for g in self.gateways[:3]],
            zone=settings.domains[number % len(settings.domains)],
            limits={"memory_mb": 300, **limits},
            bounds={
                "grace_s": GRACE_SECONDS,
                "retry_budget": settings.retry_budget,
                "retry_slack": settings.retry_slack,
                "budget_window_s": 10,
                "cap_x": 2,
            },
        )

    def _put_config(self, share: float = 1.0) -> None:
        """Write a config with this share of the usual timeouts."""
        self._config_version += 1
        timeout_s = TIMEOUT_SECONDS * share
        routes = {
            name: {**route, "timeout_ms": int(timeout_s * 1000)}
            for name, route in self.routes.items()
        }
        config = make_config(self._config_version, routes)
        config["services"][0]["health_path"] = "/health"
        config["limits"]["idle_timeout_ms"] = int(IDLE_TIMEOUT_SECONDS * share * 1000)
        self.store.put("op/config", config)
        self._timeouts.append((time.monotonic(), timeout_s))

    async def send_crashing(self, began: float) -> None:
        """Do what the settings say to engines and VMs; no request crashes any."""
        settings = self.settings
        self._put_config()
        steps = [
            *(self._silence(s, began) for s in settings.silences),
            *(self._restart(at, vm, began) for at, vm in settings.stops),
            *(self._reload(at, n, began) for n, at in enumerate(settings.reloads)),
            *(self._shorten(at, began) for at in settings.short_configs),
        ]
        if settings.cut_vms:
            steps.append(super().send_crashing(began))
        await asyncio.gather(*steps)

    async def _silence(self, silence: Silence, began: float) -> None:
        await pause(began + silence.at - time.monotonic())
        for number, engine in enumerate(self.engines):
            seconds = silence.seconds[number % len(silence.seconds)]
            engine.fall_silent(seconds, silence.answers_checks)
            if silence.expires_s and seconds > silence.expires_s:
                expiring = self._expire(engine, silence.expires_s, seconds)
                self._tasks.append(asyncio.create_task(expiring))

    async def _expire(
        self, engine: SilentEngine, expires_s: float, seconds: float
    ) -> None:
        """Remove the record of an engine for the rest of its silence."""
        await pause(expires_s)
        self.store.delete(f"servers/{engine.id}")
        await pause(seconds - expires_s)
        self.store.put(f"servers/{engine.id}", self.record_of(engine))

    async def _restart(self, at: float, number: int, began: float) -> None:
        """Send a VM a SIGTERM; start it again once it has ended."""
        gateway = self.gateways[number]
        await pause(began + at - time.monotonic())
        self._stopped_at.append((gateway.process.name, time.monotonic()))
        self._stopping.add(gateway.process.name)
        await gateway.process.terminate(GRACE_SECONDS)
        await gateway.process.start()
        self._name_by_pid[gateway.process.pid] = gateway.process.name
        await gateway.wait_ready()
        self._stopping.discard(gateway.process.name)

    async def _reload(self, at: float, count: int, began: float) -> None:
        await pause(began + at - time.monotonic())
        for number, gateway in enumerate(self.gateways):
            self._write_settings(number, memory_mb=300 + count + 1)
            gateway.process.send_signal(signal.SIGHUP)

    async def _shorten(self, at: float, began: float) -> None:
        await pause(began + at - time.monotonic())
        self._put_config(self.settings.short_share)

    async def send_others(self, began: float) -> None:
        """Let the callers send until the drill's end."""
        until = began + self.settings.seconds
        await pause(1.0)
        callers = (self._run_caller(n, until) for n in range(self.settings.callers))
        await asyncio.gather(*callers)

    async def _run_caller(self, number: int, until: float) -> None:
        """Send requests one after the other, half on kept connections."""
        kind = KINDS[number % len(KINDS)]
        connector = aiohttp.TCPConnector(force_close=number // 4 % 2 == 1)
        has_parts = number // 8 % 2 == 1
        async with aiohttp.ClientSession(connector=connector) as session:
            while time.monotonic() < until:
                await self._read_whole(session, kind, has_parts)
                await pause(REST_SECONDS)

    def _choose_gateway(self) -> GatewayProcess:
        ready = [g for g in self.gateways if g.process.name not in self._stopping]
        return self.random.choice(ready or self.gateways)

    async def _read_whole(
        self, session: aiohttp.ClientSession, kind: str, has_parts: bool
    ) -> None:
        """Send a request; take its stream up elsewhere if it ends early."""
        numbers: list[int] = []
        until = time.monotonic() + TIMEOUT_SECONDS
        first_id = self._next_id()
        body = SAME_BODY if self.settings.has_same_body else first_id.encode() * 4
        for attempt in range(MAX_TRIES):
            remaining_s = until - time.monotonic()
            if remaining_s < MIN_TRY_SECONDS:
                return
            if not numbers:
                first_id = self._next_id()
            vm = self._choose_gateway()
            record = Try(
                self._next_id(), vm.process.name, kind, time.monotonic(), remaining_s
            )
            self.tries.append(record)
            headers = _headers(record)
            if numbers:
                headers |= {"Last-Event-Id": str(numbers[-1]), "Resumes": first_id}
            data = _in_parts(body) if has_parts else body
            url = f"http://{vm.caller_address}/{kind}/{first_id}"
            await self._read_try(session, url, headers, data, record)
            record.ended_at = time.monotonic()
            numbers += record.events
            if numbers != list(range(1, len(numbers) + 1)):
                self._out_of_order.append(record.request_id)
            if record.end is End.WHOLE or (numbers and kind != "resumable"):
                return
            await pause(REST_SECONDS * (attempt + 1))

    def _next_id(self) -> str:
        return f"r{len(self.tries):06}"

    async def _read_try(
        self,
        session: aiohttp.ClientSession,
        url: str,
        headers: dict[str, str],
        data: bytes | AsyncIterator[bytes],
        record: Try,
    ) -> None:
        may_leave = record.kind == "resumable" and "Resumes" not in headers
        leaves = may_leave and self.random.random() < self.settings.left_share
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with (
                asyncio.timeout(TIMEOUT_SECONDS + 1.0),
                session.post(url, headers=headers, data=data) as reply,
            ):
                record.status = reply.status
                record.end = End.CUT
                async for line in reply.content:
                    if line.startswith(b"id: "):
                        record.events.append(int(line[4:]))
                    if leaves and len(record.events) >= LEAVE_AFTER_EVENTS:
                        record.end = End.LEFT
                        return
                record.end = End.WHOLE if reply.status == 200 else End.REFUSED


def _headers(record: Try) -> dict[str, str]:
    """Return the headers of a request that begins anew."""
    return {
        "Host": HOST,
        "Credential": KEY,
        "Request-Id": record.request_id,
        "Deadline-Ms": str(int(record.budget_s * 1000)),
        "Accept": "application/json" if record.kind == "safe" else "text/event-stream",
    }


async def _in_parts(body: bytes) -> AsyncIterator[bytes]:
    """Yield a body in three parts, for a chunked request."""
    third = len(body) // 3
    yield body[:third]
    await pause(PART_SECONDS)
    yield body[third : 2 * third]
    await pause(PART_SECONDS)
    yield body[2 * third :]


def _rejection(request_id: str) -> bytes:
    """Return the response of an engine that takes no further request now."""
    return (
        f"HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {request_id}\r\n"
        "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    ).encode()
