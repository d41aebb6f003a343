"""Plays engines that say of themselves that they leave, or that they want a pause."""

import asyncio
import time

import attrs

from tests.harness.crash_drill.drill import (
    RETRY_SUFFIX,
    CrashDrill,
    DrillResult,
    DrillSettings,
)
from tests.harness.crash_drill.engine import Arrival, CrashableEngine, write_stream
from tests.harness.gateway_fleet import CHAT_ROUTES
from tests.harness.waiting import pause

# The platform's rules: so long after a VM has passed on the notice of an engine that
# leaves, the engine gets none of its new requests.
DRAIN_SECONDS = 2.0
# From so long after a rejection with Retry-After to the end of that time an engine gets
# at most so many requests of the VM that it has rejected.
ON_THE_WAY_SECONDS = 0.5
MAX_IN_PAUSE = 2
# Refusals must come within this time.
MAX_REFUSAL_SECONDS = 0.25
SHARED_PARTS = 12
CHATS = 40


@attrs.frozen
class NoticeDrillSettings(DrillSettings):
    """One setting of a drill with engines that give notice.

    From ``leaving_at`` on the first ``leaving`` engines say in all responses that they
    leave; with ``says_in_failures_only`` only in the failures that a third of their
    responses are then. The first ``pausing`` engines reject all requests for
    ``pause_s`` at each of the times ``pauses_at``, and say how long it lasts still.
    Times are in seconds from the start.
    """

    seconds: float = 12.0
    calls_per_s: float = 27.0
    work_s: float = 0.3
    deadline_s: float = 4.0
    leaving: int = 0
    leaving_at: float = 2.0
    says_in_failures_only: bool = False
    pausing: int = 0
    pauses_at: tuple[float, ...] = (2.0, 6.0)
    pause_s: float = 3.0


@attrs.frozen
class Notice:
    """A response with a notice: ``pause_s`` of a rejection, None of a leaving engine.

    ``at`` is a time of the monotonic clock, in seconds.
    """

    request_id: str
    engine: str
    at: float
    pause_s: float | None = None


@attrs.define
class NoticeDrillResult(DrillResult):
    """What engines and callers recorded."""

    notices: list[Notice] = attrs.field(factory=list)

    def late_for_leaving(self) -> list[Arrival]:
        """Return the new requests at engines whose notice their VM had passed on."""
        passed_on: dict[tuple[str, str], float] = {}
        for notice in self.notices:
            if notice.pause_s is None:
                key = notice.engine, self._vm(notice.request_id)
                passed_on.setdefault(key, notice.at)
        return [a for a in self.arrivals if self._is_late(a, passed_on)]

    def most_in_pause(self) -> int:
        """Return the most requests of one VM that one engine got in a pause."""
        counts = [
            self._count_in_pause(notice)
            for notice in self.notices
            if notice.pause_s is not None
        ]
        return max(counts, default=0)

    def served_share(self, at_first: bool = False) -> float:
        """Return the share of the calls that were served, if so at the first try."""
        served = (c.first_status if at_first else c.status for c in self.calls)
        return sum(status == 200 for status in served) / len(self.calls)

    def slow_refusals(self) -> list[float]:
        """Return the seconds that refusals took if they didn't come at once."""
        return [
            call.first_seconds
            for call in self.calls
            if call.first_status == 503 and call.first_seconds > MAX_REFUSAL_SECONDS
        ]

    def summary(self) -> str:
        """Return the counts on one line."""
        return (
            f"{len(self.late_for_leaving())} late for a leaving engine; at most "
            f"{self.most_in_pause()} in a pause; {self.served_share(True):.0%} of "
            f"{len(self.calls)} served at first, {self.served_share():.0%} in the end; "
            f"{len(self.slow_refusals())} slow refusals"
        )

    def _is_late(
        self, arrival: Arrival, passed_on: dict[tuple[str, str], float]
    ) -> bool:
        key = _place(arrival), self._vm(arrival.request_id)
        until = passed_on.get(key, float("inf")) + DRAIN_SECONDS
        return self._sent_at(arrival.request_id) > until

    def _count_in_pause(self, notice: Notice) -> int:
        since = notice.at + ON_THE_WAY_SECONDS
        until = notice.at + notice.pause_s
        vm = self._vm(notice.request_id)
        return sum(
            since < a.at < until
            and _place(a) == notice.engine
            and self._vm(a.request_id) == vm
            for a in self.arrivals
        )

    def _vm(self, request_id: str) -> str:
        call = self._call(request_id)
        return call.retry_vm if request_id.endswith(RETRY_SUFFIX) else call.vm

    def _sent_at(self, request_id: str) -> float:
        call = self._call(request_id)
        return call.retry_at if request_id.endswith(RETRY_SUFFIX) else call.at

    def _call(self, request_id: str):
        number = request_id.removesuffix(RETRY_SUFFIX).removeprefix("r")
        return self.calls[int(number)]


def _place(arrival: Arrival) -> str:
    """Return the id of the engine of an arrival, without the number of its run."""
    return arrival.engine.partition("#")[0]


class NoticingEngine(CrashableEngine):
    """An engine that streams, and says when it leaves or wants a pause."""

    leaves = False
    says_in_failures_only = False
    paused_until = 0.0

    def __init__(self, *args, notices: list[Notice]) -> None:
        super().__init__(*args)
        self._notices = notices
        self._count = 0

    def health_response(self) -> bytes:
        """Return the response to a status check, which says so too if it leaves."""
        if not self.leaves:
            return super().health_response()
        return (
            f"HTTP/1.1 503 Service Unavailable\r\nInstance-Id: {self.id}\r\n"
            "Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
        ).encode()

    async def respond(
        self, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Write a rejection, a failure, or a whole stream."""
        request_id = headers["request-id"]
        now = time.monotonic()
        self._count += 1
        if now < self.paused_until:
            pause_s = self.paused_until - now
            self._notices.append(Notice(request_id, self.id, now, pause_s))
            writer.write(_rejection(request_id, pause_s))
            return
        fails = self.leaves and self.says_in_failures_only and self._count % 3 == 0
        lines = ["Server-Load: 1,0,16"]
        if self.leaves and (fails or not self.says_in_failures_only):
            self._notices.append(Notice(request_id, self.id, now))
            lines.append("Server-Leaving: 1")
        if fails:
            writer.write(_failure(request_id, lines))
            return
        await write_stream(headers, writer, self._work_s, *lines)


class NoticeDrill(CrashDrill):
    """Gateways, a store that doesn't know what engines say, and these engines."""

    routes = CHAT_ROUTES
    settings: NoticeDrillSettings

    def __init__(self, folder, settings: NoticeDrillSettings) -> None:
        super().__init__(folder, settings)
        self._notices: list[Notice] = []

    def result_type(self, *args) -> NoticeDrillResult:
        """Return the result of the drill."""
        return NoticeDrillResult(*args, notices=self._notices)

    def make_engine(self, name: str, domain: str) -> NoticingEngine:
        """Return an engine that isn't started yet."""
        settings = self.settings
        engine = NoticingEngine(
            name,
            domain,
            settings.death,
            settings.work_s,
            self.arrivals,
            notices=self._notices,
        )
        engine.says_in_failures_only = settings.says_in_failures_only
        return engine

    async def send_crashing(self, began: float) -> None:
        """Let the engines give notice; no request crashes any."""
        await asyncio.gather(self._leave(began), self._pause_engines(began))

    async def _leave(self, began: float) -> None:
        await pause(began + self.settings.leaving_at - time.monotonic())
        for engine in self.engines[: self.settings.leaving]:
            engine.leaves = True

    async def _pause_engines(self, began: float) -> None:
        for at in self.settings.pauses_at:
            await pause(began + at - time.monotonic())
            for engine in self.engines[: self.settings.pausing]:
                engine.paused_until = time.monotonic() + self.settings.pause_s

    async def send_others(self, began: float) -> None:
        """Send requests of chats until the drill's end."""
        settings = self.settings
        while time.monotonic() < began + settings.seconds:
            number = len(self.calls)
            shared = f"shared{self.random.randrange(SHARED_PARTS)}"
            chat = f"chat{self.random.randrange(CHATS)}"
            prompt = f"{shared}:500,{chat}:100,last{number}:20"
            self.send(
                self.random.choice(self.gateways),
                f"/chat/{number}",
                f"prompt {number}".encode(),
                {"Prompt-Prefix": prompt},
            )
            await pause(self.random.expovariate(settings.calls_per_s))


def _rejection(request_id: str, pause_s: float) -> bytes:
    """Return the response of an engine that wants no request for ``pause_s``."""
    return (
        f"HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {request_id}\r\n"
        f"Not-Executed: 1\r\nRetry-After: {pause_s:.3f}\r\n"
        "Content-Length: 0\r\n\r\n"
    ).encode()


def _failure(request_id: str, lines: list[str]) -> bytes:
    head = [
        "HTTP/1.1 500 Internal Server Error",
        f"Request-Id: {request_id}",
        "Response-Seal: s",
        *lines,
        "Content-Length: 0",
    ]
    return "\r\n".join([*head, "", ""]).encode()
