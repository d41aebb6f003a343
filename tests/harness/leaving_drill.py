"""Plays engines that leave while the registry says something else of them."""

import time
from collections.abc import Awaitable, Callable
from enum import StrEnum

import attrs

from tests.harness.crash_drill.engine import Arrival, CrashableEngine
from tests.harness.notice_drill import (
    DRAIN_SECONDS,
    NoticeDrill,
    NoticeDrillResult,
    NoticeDrillSettings,
)
from tests.harness.waiting import pause

# An odd record of the same id names a start that is so much earlier or later.
START_SHIFT_MS = 1500
# The registry says something else so long after an engine has said that it leaves.
CONTRADICTION_SECONDS = 3.0
# How long the store is unavailable before it is back from a copy.
STORE_DOWN_SECONDS = 0.5
OTHER_WRITES = 20


class Contradiction(StrEnum):
    """What the registry does while engines leave.

    After the word of the engine itself: RESTART_UNSEEN names a start of before that
    word only after it, UNDATED has one record without a start time, EARLIER_START and
    LATER_START one with another start. After the registry's own word READY_AGAIN says
    ``ready`` of the same run, and OLDER_COPY is a store that comes back from a copy of
    before that word, to which the engine then says it again, and one more engine too.
    """

    NONE = "none"
    RESTART_UNSEEN = "restart unseen"
    UNDATED = "undated"
    EARLIER_START = "earlier start"
    LATER_START = "later start"
    READY_AGAIN = "ready again"
    OLDER_COPY = "older copy"


@attrs.frozen
class LeavingDrillSettings(NoticeDrillSettings):
    """A drill in which the registry contradicts the engines that leave."""

    gateways: int = 2
    seconds: float = 10.0
    leaving: int = 2
    contradiction: Contradiction = Contradiction.NONE


@attrs.define
class LeavingDrillResult(NoticeDrillResult):
    """What engines and callers recorded.

    ``withdrawn_at`` is when the registry has accepted that an engine leaves, by id, and
    ``registered_at`` when it has accepted new engines.
    """

    withdrawn_at: dict[str, float] = attrs.field(factory=dict)
    registered_at: dict[str, float] = attrs.field(factory=dict)

    def late_for_leaving(self) -> list[Arrival]:
        """Return the new requests at engines that had told any of the VMs."""
        told_at: dict[str, float] = {}
        for notice in self.notices:
            told_at.setdefault(notice.engine, notice.at)
        return [a for a in self.arrivals if self._is_late_after(a, told_at)]

    def late_for_withdrawn(self) -> list[Arrival]:
        """Return the new requests at engines that the registry had withdrawn."""
        return [a for a in self.arrivals if self._is_late_after(a, self.withdrawn_at)]

    def first_arrival_after_s(self, engine: str) -> float:
        """Return the seconds that a new engine had to wait for its first request."""
        ats = [a.at for a in self.arrivals if a.engine.partition("#")[0] == engine]
        return min(ats, default=float("inf")) - self.registered_at[engine]

    def _is_late_after(self, arrival: Arrival, at_by_engine: dict[str, float]) -> bool:
        engine = arrival.engine.partition("#")[0]
        until = at_by_engine.get(engine, float("inf")) + DRAIN_SECONDS
        return self._sent_at(arrival.request_id) > until


class LeavingDrill(NoticeDrill):
    """Gateways, engines that leave, and a registry that contradicts."""

    settings: LeavingDrillSettings

    def __init__(self, folder, settings: LeavingDrillSettings) -> None:
        super().__init__(folder, settings)
        self._withdrawn_at: dict[str, float] = {}
        self._registered_at: dict[str, float] = {}
        self._leave_by_contradiction: dict[
            Contradiction, Callable[[list[CrashableEngine]], Awaitable[None]]
        ] = {
            Contradiction.NONE: self._say,
            Contradiction.RESTART_UNSEEN: self._restart_unseen,
            Contradiction.UNDATED: self._write_undated,
            Contradiction.EARLIER_START: self._write_earlier_start,
            Contradiction.LATER_START: self._write_later_start,
            Contradiction.READY_AGAIN: self._say_ready_again,
            Contradiction.OLDER_COPY: self._restore_older_copy,
        }

    def result_type(self, *args) -> LeavingDrillResult:
        """Return the result of the drill."""
        return LeavingDrillResult(
            *args,
            notices=self._notices,
            withdrawn_at=self._withdrawn_at,
            registered_at=self._registered_at,
        )

    async def send_crashing(self, began: float) -> None:
        """Let the engines leave; no request crashes any."""
        await pause(began + self.settings.leaving_at - time.monotonic())
        leave = self._leave_by_contradiction[self.settings.contradiction]
        await leave(self.engines[: self.settings.leaving])

    async def _say(self, engines: list[CrashableEngine]) -> None:
        for engine in engines:
            engine.leaves = True

    async def _restart_unseen(self, engines: list[CrashableEngine]) -> None:
        for engine in engines:
            await engine.start(engine.address)
        await pause(0.5)
        await self._say(engines)
        await pause(CONTRADICTION_SECONDS)
        for engine in engines:
            self._write(engine)

    async def _write_undated(self, engines: list[CrashableEngine]) -> None:
        await self._say_and_write(engines, born=None)

    async def _write_earlier_start(self, engines: list[CrashableEngine]) -> None:
        await self._say_and_write(engines, shift_ms=-START_SHIFT_MS)

    async def _write_later_start(self, engines: list[CrashableEngine]) -> None:
        await self._say_and_write(engines, shift_ms=START_SHIFT_MS)

    async def _say_and_write(
        self, engines: list[CrashableEngine], shift_ms: int = 0, **changes
    ) -> None:
        """Let the engines say that they leave, and write one odd record of each."""
        await self._say(engines)
        await pause(CONTRADICTION_SECONDS)
        for engine in engines:
            born = engine.started_ms + shift_ms
            self._write(engine, **{"born": born, **changes})
        await pause(1.0)
        for engine in engines:
            self._write(engine)

    async def _say_ready_again(self, engines: list[CrashableEngine]) -> None:
        self._withdraw(engines)
        await pause(CONTRADICTION_SECONDS)
        for engine in engines:
            self._write(engine)

    async def _restore_older_copy(self, engines: list[CrashableEngine]) -> None:
        """Lose the word of the engines, then let them say it again."""
        self.store.era = 7
        copy = self.store.copy()
        for number in range(OTHER_WRITES):
            self.store.put("op/other", {"number": number})
        self._withdraw(engines)
        await pause(1.0)
        self.store.status = 503
        await pause(STORE_DOWN_SECONDS)
        self.store.restore(copy)
        self.store.status = 200
        self._withdraw(self.engines[: len(engines) + 1])
        await self._add_engine()

    async def _add_engine(self) -> None:
        """Start and register another engine."""
        engine = self.make_engine("new", self.settings.domains[0])
        await engine.start(self.engines[-1].address.replace("127.0.0.1", "127.0.0.2"))
        self.engines.append(engine)
        self._write(engine)
        self._registered_at[engine.id] = time.monotonic()

    def _withdraw(self, engines: list[CrashableEngine]) -> None:
        for engine in engines:
            self._write(engine, state="draining")
            self._withdrawn_at.setdefault(engine.id, time.monotonic())

    def _write(self, engine: CrashableEngine, **changes) -> None:
        """Write the record of an engine; a field that is None is left out."""
        record = {**self.record_of(engine), **changes}
        record = {name: value for name, value in record.items() if value is not None}
        self.store.put(f"servers/{engine.id}", record)
