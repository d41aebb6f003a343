"""Plays requests with one prompt part that crashes engines, beside sound streams."""

import asyncio
import time

import attrs

from tests.harness.crash_drill.drill import CrashDrill, DrillResult, DrillSettings
from tests.harness.crash_drill.engine import Arrival, CrashableEngine, response_head
from tests.harness.gateway_fleet import CHAT_ROUTES, GatewayProcess
from tests.harness.waiting import pause

CRASH_PARTS = ("bad0", "bad1")
# The first part of all prompts but those that begin with the part at fault.
COMMON_PART = "aa"
EVENT_SECONDS = 0.05
# The time from the arrival of a request at an engine to its first event.
FIRST_EVENT_SECONDS = 0.03
# Requests with the part may reach engines until STOP_SECONDS after so many crashes.
MAX_PART_CRASHES_BEFORE_STOP = 5
# From this long after that crash on, sound requests are owed their usual service.
RECOVERY_SECONDS = 6.0
# They must begin at the first attempt at least this many times as often as before.
MIN_BEGUN_FACTOR = 0.5


@attrs.frozen
class PartDrillSettings(DrillSettings):
    """One setting of a drill with a prompt part that crashes engines.

    ``prompt`` holds the parts of the prompts at fault but the last, where "bad"
    stands for the part at fault and "sibling" for one of ``siblings`` parts that
    sound prompts have after the first; ``faults`` is how many such parts there are,
    in turn. ``crash_events`` is how many events an engine sends before it ends; -1
    is an end before the head. Sound streams last for ``stream_s`` and have
    ``own_parts`` parts that no other request has. Responses are chunked if
    ``is_chunked``, and end with their connection otherwise.
    """

    engines: int = 6
    down_s: float = 2.0
    seconds: float = 20.0
    crash_interval_s: float = 0.25
    crash_after_s: float = 0.06
    crash_events: int = -1
    prompt: tuple[str, ...] = (COMMON_PART, "bad")
    faults: int = 1
    siblings: int = 6
    own_parts: int = 1
    stream_s: float = 0.8
    is_chunked: bool = True
    deadline_s: float = 4.0


@attrs.define
class PartDrillResult(DrillResult):
    """What engines and callers recorded in such a drill."""

    @property
    def late_arrivals(self) -> list[Arrival]:
        """The late arrivals of the requests with the part that has most of them."""
        late = [self.late_among(self._arrivals_of(part)) for part in CRASH_PARTS]
        return max(late, key=len)

    def _arrivals_of(self, part: str) -> list[Arrival]:
        ids = {call.request_id for call in self.calls if call.fault == part}
        return [a for a in self.crash_arrivals if a.request_id in ids]

    def _recovery_at(self, part: str) -> float:
        """Return when sound requests are owed their usual service in spite of a part.

        It counts from the fifth crash, or from the last if there are fewer.
        """
        crashes = self._arrivals_of(part)[:MAX_PART_CRASHES_BEFORE_STOP]
        return crashes[-1].at + RECOVERY_SECONDS if crashes else 0.0

    def begun_share(self, recovered: bool) -> float:
        """Return the share of sound requests that began at the first attempt.

        Those are counted that were sent before the first crash, or, if ``recovered``,
        later than ``RECOVERY_SECONDS`` after the fifth.
        """
        first_at = self.crash_arrivals[0].at if self.crash_arrivals else float("inf")
        recovered_at = max(self._recovery_at(part) for part in CRASH_PARTS)
        counted = [
            call
            for call in self.calls
            if not call.crashes
            and (call.at > recovered_at if recovered else call.at < first_at)
        ]
        begun = sum(call.first_status == 200 for call in counted)
        return begun / len(counted) if counted else 1.0

    def is_kept(self) -> bool:
        """Return whether the part was stopped and sound requests were served."""
        usual = self.begun_share(recovered=False)
        owed = MIN_BEGUN_FACTOR * usual
        return super().is_kept() and self.begun_share(recovered=True) >= owed

    def summary(self) -> str:
        """Return the counts on one line."""
        return (
            f"{super().summary()}; begun at the first attempt: "
            f"{self.begun_share(False):.0%} before, {self.begun_share(True):.0%} after"
        )


class StreamingEngine(CrashableEngine):
    """An engine that streams, and ends under prompts with a part of ``CRASH_PARTS``."""

    def __init__(self, *args, settings: PartDrillSettings) -> None:
        super().__init__(*args)
        self._settings = settings

    def crashes_under(self, headers: dict[str, str], body: bytes) -> bool:
        """Return whether a part but the last crashes the engine."""
        parts = headers.get("prompt-prefix", "").split(",")
        return any(part.partition(":")[0] in CRASH_PARTS for part in parts[:-1])

    async def begin_crashing_response(
        self, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        """Write the head and some events, if any."""
        settings = self._settings
        await asyncio.sleep(settings.crash_after_s)
        if settings.crash_events >= 0:
            self._write_head(headers, writer)
            await self._write_events(writer, 1, settings.crash_events)

    async def respond(
        self, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Write a whole stream."""
        await asyncio.sleep(FIRST_EVENT_SECONDS)
        self._write_head(headers, writer)
        first = int(headers.get("last-event-id") or 0) + 1
        last = int(self._settings.stream_s / EVENT_SECONDS)
        if await self._write_events(writer, first, last):
            self._end_response(writer)

    def _write_head(
        self, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        framing = "Connection: close"
        if self._settings.is_chunked:
            framing = "Transfer-Encoding: chunked"
        if self.is_up:
            lines = ("Content-Type: text/event-stream", framing)
            writer.write(response_head(headers, *lines))

    def _end_response(self, writer: asyncio.StreamWriter) -> None:
        if self._settings.is_chunked:
            writer.write(b"0\r\n\r\n")
        else:
            writer.close()

    async def _write_events(
        self, writer: asyncio.StreamWriter, first: int, last: int
    ) -> bool:
        """Write events while the run goes on; return whether it has."""
        run = self.run_number
        for number in range(first, last + 1):
            if self.has_ended(run) or writer.is_closing():
                return False
            event = f"id: {number}\ndata: {number}\n\n".encode()
            if self._settings.is_chunked:
                event = b"%x\r\n%s\r\n" % (len(event), event)
            writer.write(event)
            await asyncio.sleep(EVENT_SECONDS)
        return not self.has_ended(run)


class PartDrill(CrashDrill):
    """Gateways, a store, and engines that a prompt part crashes."""

    routes = CHAT_ROUTES
    crashes_before_stop = MAX_PART_CRASHES_BEFORE_STOP
    result_type = PartDrillResult
    settings: PartDrillSettings

    def make_engine(self, name: str, domain: str) -> StreamingEngine:
        """Return an engine that isn't started yet."""
        settings = self.settings
        return StreamingEngine(
            name,
            domain,
            settings.death,
            settings.work_s,
            self.arrivals,
            settings=settings,
        )

    async def send_crashing(self, began: float) -> None:
        """Send requests with the part at fault, no two alike."""
        settings = self.settings
        await pause(3.0)
        while time.monotonic() < began + settings.seconds:
            fault = CRASH_PARTS[len(self.calls) % settings.faults]
            for gateway in self.random.sample(self.gateways, settings.copies):
                parts = [self._part(name, fault) for name in settings.prompt]
                self._send_prompt(gateway, parts, fault)
            await pause(settings.crash_interval_s)

    async def send_others(self, began: float) -> None:
        """Send sound requests, each with parts that others share."""
        settings = self.settings
        while settings.calls_per_s and time.monotonic() < began + settings.seconds:
            gateway = self.random.choice(self.gateways)
            own = [f"own{len(self.calls)}p{n}" for n in range(settings.own_parts)]
            self._send_prompt(gateway, [COMMON_PART, self._part("sibling", ""), *own])
            await pause(self.random.expovariate(settings.calls_per_s))

    def _part(self, name: str, fault: str) -> str:
        if name == "sibling":
            return f"sibling{self.random.randrange(self.settings.siblings)}"
        return fault if name == "bad" else name

    def _send_prompt(
        self, gateway: GatewayProcess, parts: list[str], fault: str = ""
    ) -> None:
        number = len(self.calls)
        prompt = ",".join(f"{part}:50" for part in [*parts, f"last{number}"])
        headers = {"Prompt-Prefix": prompt}
        body = f"prompt {number}".encode()
        self.send(gateway, f"/chat/{number}", body, headers, fault)
