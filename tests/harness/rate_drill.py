"""Plays engines that name a rate limit against real gateways, under a steady load."""

import asyncio
import time

import attrs

from tests.harness.crash_drill.drill import (
    CONTACT_SECONDS,
    CrashDrill,
    DrillResult,
    DrillSettings,
)
from tests.harness.crash_drill.engine import Arrival, CrashableEngine, write_stream
from tests.harness.gateway_fleet import CHAT_ROUTES, GatewayProcess
from tests.harness.waiting import pause

# The platform's rule: from CONTACT_SECONDS after an engine has first named its limit,
# no window brings it more than RATE_FACTOR times what that allows, and RATE_SLACK.
WINDOW_SECONDS = 4.0
RATE_FACTOR = 1.5
RATE_SLACK_REQUESTS = 5
# A VM counts from this long after it has passed on a response with the limit.
TOLD_SECONDS = 0.5
# Refusals must come within this time.
MAX_REFUSAL_SECONDS = 0.25
SHARED_PARTS = 12
CHATS = 40


@attrs.frozen
class RateDrillSettings(DrillSettings):
    """One setting of a drill with engines that name a rate limit.

    The first ``limited`` engines name ``limits``: each entry is a time in seconds from
    the start, and the requests per second from then on or None. ``first_vm_share`` of
    the calls go to the first VM, the rest to any. Each stream lasts ``work_s``.
    """

    seconds: float = 12.0
    calls_per_s: float = 27.0
    work_s: float = 0.4
    deadline_s: float = 4.0
    limited: int = 4
    limits: tuple[tuple[float, float | None], ...] = ((2.0, 3.0),)
    first_vm_share: float = 0.0


@attrs.define
class RateDrillResult(DrillResult):
    """What engines and callers recorded; ``limits`` holds monotonic times."""

    limits: tuple[tuple[float, float | None], ...] = ()
    limited_ids: tuple[str, ...] = ()
    ended: float = 0.0

    def excess_by_engine(self) -> dict[str, str]:
        """Return the worst window over its bound, by engine."""
        worst = {}
        for engine_id in self.limited_ids:
            arrivals = [a.at for a in self.arrivals if _place(a) == engine_id]
            excess = self._worst_excess(arrivals)
            if excess is not None:
                worst[engine_id] = excess
        return worst

    def arrival_rate(self, since: float, until: float) -> float:
        """Return the arrivals per second at all limited engines between two times."""
        count = sum(
            since <= a.at < until
            for a in self.arrivals
            if _place(a) in self.limited_ids
        )
        return count / (until - since)

    def served_share(self, since: float) -> float:
        """Return the share of the calls sent after ``since`` that were served."""
        calls = [call for call in self.calls if call.at >= since]
        return sum(call.status == 200 for call in calls) / len(calls)

    def slow_refusals(self) -> list[float]:
        """Return the seconds that refusals took if they didn't come at once."""
        return [
            call.first_seconds
            for call in self.calls
            if call.first_status == 503 and call.first_seconds > MAX_REFUSAL_SECONDS
        ]

    def summary(self) -> str:
        """Return the counts on one line."""
        named_at = self.limits[0][0]
        settled = named_at + CONTACT_SECONDS
        return (
            f"excess {self.excess_by_engine()}; "
            f"{self.arrival_rate(settled, self.ended):.1f} a second at the "
            f"{len(self.limited_ids)} limited engines; "
            f"{self.served_share(settled):.0%} of calls served, "
            f"{len(self.slow_refusals())} slow refusals"
        )

    def _worst_excess(self, arrivals: list[float]) -> str | None:
        named_at = self.limits[0][0]
        counted = [at for at in arrivals if at > named_at + TOLD_SECONDS]
        worst = None
        worst_over = 0.0
        for until in counted:
            if until < named_at + CONTACT_SECONDS:
                continue
            since = until - WINDOW_SECONDS
            allowed = RATE_FACTOR * self._allowed(since, until) + RATE_SLACK_REQUESTS
            count = sum(since < at <= until for at in counted)
            if count - allowed > worst_over:
                worst_over = count - allowed
                worst = f"{count} of {allowed:.0f} at {until - named_at:.1f} s"
        return worst

    def _allowed(self, since: float, until: float) -> float:
        """Return the requests that the limits in force allow; infinity without one.

        A lower limit counts from ``TOLD_SECONDS`` after it was named.
        """
        allowed = 0.0
        ends = [at + TOLD_SECONDS for at, _ in self.limits[1:]] + [float("inf")]
        begin = float("-inf")
        for (_, limit), end in zip(self.limits, ends, strict=True):
            overlap = min(until, end) - max(since, begin)
            if overlap > 0.0:
                allowed += float("inf") if limit is None else overlap * limit
            begin = end
        return allowed


def _place(arrival: Arrival) -> str:
    """Return the id of the engine of an arrival, without the number of its run."""
    return arrival.engine.partition("#")[0]


class LimitedEngine(CrashableEngine):
    """An engine that streams, and names its ``limit`` while it has one."""

    limit: float | None = None

    async def respond(
        self, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Write a whole stream."""
        lines = ["Server-Load: 1,0,16"]
        if self.limit is not None:
            lines.append(f"Server-Limit: {self.limit}")
        await write_stream(headers, writer, self._work_s, *lines)


class RateDrill(CrashDrill):
    """Gateways, a store, and engines of which some name a limit."""

    routes = CHAT_ROUTES
    settings: RateDrillSettings

    def __init__(self, folder, settings: RateDrillSettings) -> None:
        super().__init__(folder, settings)
        self._limits: tuple[tuple[float, float | None], ...] = ()

    def result_type(self, *args) -> RateDrillResult:
        """Return the result of the drill."""
        limited_ids = tuple(f"e{n + 1}" for n in range(self.settings.limited))
        return RateDrillResult(
            *args,
            limits=self._limits,
            limited_ids=limited_ids,
            ended=self._began + self.settings.seconds,
        )

    def make_engine(self, name: str, domain: str) -> LimitedEngine:
        """Return an engine that isn't started yet."""
        settings = self.settings
        return LimitedEngine(
            name, domain, settings.death, settings.work_s, self.arrivals
        )

    async def send_crashing(self, began: float) -> None:
        """Let the engines name their limits; no request crashes any."""
        self._began = began
        self._limits = tuple((began + at, limit) for at, limit in self.settings.limits)
        for at, limit in self._limits:
            await pause(max(0.0, at - time.monotonic()))
            for engine in self.engines[: self.settings.limited]:
                engine.limit = limit

    async def send_others(self, began: float) -> None:
        """Send requests of chats until the drill's end."""
        settings = self.settings
        while time.monotonic() < began + settings.seconds:
            number = len(self.calls)
            shared = f"shared{self.random.randrange(SHARED_PARTS)}"
            chat = f"chat{self.random.randrange(CHATS)}"
            prompt = f"{shared}:500,{chat}:100,last{number}:20"
            self.send(
                self._pick_gateway(),
                f"/chat/{number}",
                f"prompt {number}".encode(),
                {"Prompt-Prefix": prompt},
            )
            await pause(self.random.expovariate(settings.calls_per_s))

    def _pick_gateway(self) -> GatewayProcess:
        if self.random.random() < self.settings.first_vm_share:
            return self.gateways[0]
        return self.random.choice(self.gateways)
