"""Crashes and what was in flight in them, replicated between the VMs of a fleet.

A crash whose only evidence is silence is dismissed once its engine's run has gone on.

A *suspect* is named by a string: the fingerprint of a request's content, or a prompt
part. Which suspects are banned is decided by the subclasses of ``CrashHistory``.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable
from itertools import islice

from attrs import define, evolve, field, frozen

from dotterelpitch.clock import Clock
from dotterelpitch.routing.dismissed_runs import DismissedRuns, RunKey

# Crashes and clearances count for this long.
SUSPICION_SECONDS = 3600.0
# Bounds the memory; the records updated longest ago are evicted.
MAX_SUSPECTS = 10_000
# Bounds what a newly connected peer is sent: about the crashes of ten full engines.
MAX_RECENT_UPDATES = 512
# Copies of one clearance that arrive over two paths differ by less than this, since
# ages are truncated to milliseconds on the wire.
CLEARANCE_TOLERANCE_SECONDS = 1.0
# Reports of one crash by several VMs differ by less than this, and a later sign of an
# end of an engine without a known start time is of another run.
SAME_CRASH_SECONDS = 1.5


@frozen
class Crash:
    """The crash of an engine with one suspect in flight.

    ``engine_run`` distinguishes the crashes of one engine: the gateway uses the
    engine's start time, the router its VM and the time of the crash. ``at`` is in
    Unix seconds. ``was_running`` is whether the engine had been sending the response
    for a while, so that the request's start didn't crash it. ``is_silence`` is whether
    nothing but the engine's silence shows that it has ended.
    """

    suspect: str
    engine: str
    engine_run: str
    at: float
    was_running: bool = False
    is_silence: bool = False

    @property
    def run_key(self) -> RunKey:
        """The engine and its run, equal for all suspects of one crash."""
        return self.engine, self.engine_run


@frozen
class Clearance:
    """The completion of a suspect on an engine; ``at`` is in Unix seconds."""

    suspect: str
    at: float


@define
class SuspectRecord:
    """The crashes of one suspect, and when it last completed, in Unix seconds."""

    crash_by_run: dict[RunKey, Crash] = field(factory=dict)
    cleared_at: float = float("-inf")


class CrashHistory:
    """The crash records of suspects.

    Merging is idempotent and independent of the order of messages, so any gossip
    protocol can replicate it. ``max_crashes`` is how many crashes may ban a suspect.
    ``dismissed_runs`` are the runs of engines that have gone on after a silence.

    >>> from dotterelpitch.clock import ManualClock
    >>> clock = ManualClock()
    >>> history = CrashHistory(clock, 3, DismissedRuns(clock))
    >>> history.merge([Crash("a", "e1", "run-1", clock.wall())], [])
    >>> history.crashed_engines("a")
    ['e1']
    """

    def __init__(
        self, clock: Clock, max_crashes: int, dismissed_runs: DismissedRuns
    ) -> None:
        self.dismissed_runs = dismissed_runs
        self._clock = clock
        self._max_crashes = max_crashes
        self._record_by_suspect: OrderedDict[str, SuspectRecord] = OrderedDict()
        self._suspects_by_run: dict[RunKey, set[str]] = {}
        self._runs_by_engine: dict[str, set[RunKey]] = {}
        self._silent_until_by_run: dict[RunKey, float] = {}
        self._recent_updates: deque[Crash | Clearance] = deque(
            maxlen=MAX_RECENT_UPDATES
        )
        self._update_count = 0

    @property
    def update_count(self) -> int:
        """The number of crashes and clearances that were added."""
        return self._update_count

    def crashed_engines(self, suspect: str) -> list[str]:
        """Return the engines that crashed with this suspect in flight, for logs."""
        return [crash.engine for crash in self.crashes_of(suspect)]

    def crashes_of(self, suspect: str) -> list[Crash]:
        """Return the crashes of a suspect that count now."""
        record = self._record_by_suspect.get(suspect)
        return self._crashes(record) if record else []

    def suspects_near(self, engine: str, at: float) -> set[str]:
        """Return the suspects of an engine's crash at some time, if it counts.

        VMs may have reported one crash as several runs, if they don't know when the
        engine started.
        """
        oldest = max(at - SAME_CRASH_SECONDS, self._clock.wall() - SUSPICION_SECONDS)
        return {
            suspect
            for run_key in self._runs_by_engine.get(engine, ())
            for suspect in self._suspects_by_run[run_key]
            if self._counts(suspect, run_key, oldest)
            and self._crash(suspect, run_key).at < at + SAME_CRASH_SECONDS
        }

    def last_crash_at(self, engine: str) -> float:
        """Return when an engine last crashed, or minus infinity."""
        crashes = (
            self._crash(suspect, run_key)
            for run_key in self._runs_by_engine.get(engine, ())
            for suspect in self._suspects_by_run[run_key]
        )
        counted = (crash.at for crash in crashes if not self._is_dismissed(crash))
        return max(counted, default=float("-inf"))

    @property
    def has_silent_runs(self) -> bool:
        """Whether silence alone shows the end of some run."""
        return bool(self._silent_until_by_run)

    def runs_silent_after(self, engine: str, at: float) -> set[RunKey]:
        """Return the runs of an engine that counted as ended by silence after a time.

        Those that have been dismissed are left out.
        """
        return {
            run_key
            for run_key in self._runs_by_engine.get(engine, ())
            if self._silent_until_by_run.get(run_key, float("-inf")) > at
            and run_key not in self.dismissed_runs
        }

    def _crash(self, suspect: str, run_key: RunKey) -> Crash:
        return self._record_by_suspect[suspect].crash_by_run[run_key]

    def _is_dismissed(self, crash: Crash) -> bool:
        return crash.is_silence and crash.run_key in self.dismissed_runs

    def _counts(self, suspect: str, run_key: RunKey, oldest: float) -> bool:
        """Return whether a crash counts, if it was after ``oldest``."""
        record = self._record_by_suspect[suspect]
        crash = record.crash_by_run[run_key]
        is_current = crash.at > max(oldest, record.cleared_at)
        return is_current and not self._is_dismissed(crash)

    def merge(self, crashes: Iterable[Crash], cleared: Iterable[Clearance]) -> None:
        """Add the crashes and clearances that a peer has sent."""
        for crash in crashes:
            self._merge_crash(crash)
        for clearance in cleared:
            self._merge_clearance(clearance)
        self._evict_oldest()

    def updates_after(self, count: int) -> tuple[int, list[Crash], list[Clearance]]:
        """Return the total update count, and the updates after the first ``count``.

        At most ``MAX_RECENT_UPDATES`` are returned, so that a new peer isn't
        flooded. If more are missing, those of the suspects with the most crashes come
        first: a peer that lacks them would let these crash engines again.
        """
        missed = self._update_count - count
        kept = list(self._recent_updates)
        recent = kept[len(kept) - missed :] if missed <= len(kept) else self._snapshot()
        crashes = [update for update in recent if isinstance(update, Crash)]
        cleared = [update for update in recent if isinstance(update, Clearance)]
        return self._update_count, crashes, cleared

    def digest(self) -> tuple[list[Crash], list[Clearance]]:
        """Return all crashes and clearances that still count, for a full transfer."""
        oldest = self._clock.wall() - SUSPICION_SECONDS
        crashes, cleared = [], []
        for suspect, record in self._record_by_suspect.items():
            crashes += [c for c in record.crash_by_run.values() if c.at > oldest]
            if record.cleared_at > oldest:
                cleared.append(Clearance(suspect, record.cleared_at))
        return crashes, cleared

    def _snapshot(self) -> list[Crash | Clearance]:
        """Return the updates that matter most to a peer without any."""
        records = sorted(
            self._record_by_suspect.values(),
            key=lambda record: len(self._crashes(record)),
            reverse=True,
        )
        crashes = (crash for record in records for crash in self._crashes(record))
        return list(islice(crashes, MAX_RECENT_UPDATES))

    def _crashes(self, record: SuspectRecord) -> list[Crash]:
        oldest = self._clock.wall() - SUSPICION_SECONDS
        start = max(oldest, record.cleared_at)
        return [
            crash
            for crash in record.crash_by_run.values()
            if crash.at > start and not self._is_dismissed(crash)
        ]

    def _merge_crash(self, crash: Crash) -> None:
        record = self._get_or_create(crash.suspect)
        known = record.crash_by_run.get(crash.run_key)
        if known is None or (known.is_silence and not crash.is_silence):
            self._add_update(crash)
        record.crash_by_run[crash.run_key] = _joined(known, crash)
        self._suspects_by_run.setdefault(crash.run_key, set()).add(crash.suspect)
        self._runs_by_engine.setdefault(crash.engine, set()).add(crash.run_key)
        if crash.is_silence:
            until = self._silent_until_by_run.get(crash.run_key, crash.at)
            self._silent_until_by_run[crash.run_key] = max(until, crash.at)

    def _merge_clearance(self, clearance: Clearance) -> None:
        record = self._get_or_create(clearance.suspect)
        if clearance.at > record.cleared_at + CLEARANCE_TOLERANCE_SECONDS:
            self._add_update(clearance)
        record.cleared_at = max(record.cleared_at, clearance.at)

    def _add_update(self, update: Crash | Clearance) -> None:
        self._recent_updates.append(update)
        self._update_count += 1

    def _get_or_create(self, suspect: str) -> SuspectRecord:
        record = self._record_by_suspect.setdefault(suspect, SuspectRecord())
        self._record_by_suspect.move_to_end(suspect)
        return record

    def _evict_oldest(self) -> None:
        """Evict the records updated longest ago; those of banned suspects last."""
        excess = len(self._record_by_suspect) - MAX_SUSPECTS
        if excess <= 0:
            return
        others = (
            suspect
            for suspect, record in self._record_by_suspect.items()
            if not self._may_be_banned(record)
        )
        oldest = list(islice(others, excess))
        oldest += list(islice(self._record_by_suspect, excess - len(oldest)))
        for suspect in oldest:
            self._evict(suspect)

    def _may_be_banned(self, record: SuspectRecord) -> bool:
        return len(record.crash_by_run) >= self._max_crashes

    def _evict(self, suspect: str) -> None:
        record = self._record_by_suspect.pop(suspect)
        for run_key in record.crash_by_run:
            self._forget(suspect, run_key)

    def _forget(self, suspect: str, run_key: RunKey) -> None:
        """Forget that a suspect was in flight in a crash."""
        suspects = self._suspects_by_run[run_key]
        suspects.discard(suspect)
        if suspects:
            return
        del self._suspects_by_run[run_key]
        self._silent_until_by_run.pop(run_key, None)
        engine, _ = run_key
        self._runs_by_engine[engine].discard(run_key)
        if not self._runs_by_engine[engine]:
            del self._runs_by_engine[engine]


def _joined(known: Crash | None, crash: Crash) -> Crash:
    """Return what two reports of one crash say together.

    The earlier one counts, and silence is the only evidence if it is that of both.
    """
    if known is None:
        return crash
    earlier = crash if crash.at < known.at else known
    return evolve(earlier, is_silence=known.is_silence and crash.is_silence)
