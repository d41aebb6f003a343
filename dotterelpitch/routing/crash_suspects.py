"""Detects requests whose content crashes engines, and bans them.

When an engine crashes, each request in flight on it becomes a suspect, identified
by the fingerprint of its content. A suspect that completes is cleared. One that was
in flight in ``MAX_CRASHES`` crashes is banned, unless another request explains each
of them better: one that was in flight in the same crash and in more crashes
altogether. So a request that was only beside the one at fault, however often, isn't
banned, while the one at fault is the most frequent in its crashes.

The router runs a suspect alone until it has completed once, and sends the crash to
its peers before it sends the response to the caller, whose retry might otherwise
arrive at a peer first. The gateway does neither: its digests carry the crashes, and a
crash bans nothing before the peers have had time to report what they had in flight.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable
from enum import Enum
from itertools import islice

from attrs import define, field, frozen

from dotterelpitch.clock import Clock

MAX_CRASHES = 2
# Crashes and clearances count for this long.
SUSPICION_SECONDS = 3600.0
# Bounds the memory; the records updated longest ago are evicted.
MAX_SUSPECTS = 10_000
# Bounds what a newly connected peer is sent: about the crashes of ten full engines.
MAX_RECENT_UPDATES = 512
# Copies of one clearance that arrive over two paths differ by less than this, since
# ages are truncated to milliseconds on the wire.
CLEARANCE_TOLERANCE_SECONDS = 1.0
# Reports of one crash differ by less than this in time. A request that was lost
# later than another one was sent to an engine that had already crashed.
SAME_MOMENT_SECONDS = 0.1

RunKey = tuple[str, str]


class CrashVerdict(Enum):
    """How a request may run, by its crash history; the values are logged.

    FREE requests share engines with others, ALONE ones get an engine to themselves,
    and BANNED ones are refused.
    """

    FREE = "free"
    ALONE = "alone"
    BANNED = "banned"


@frozen
class Crash:
    """The crash of an engine with one request in flight.

    ``engine_run`` distinguishes the crashes of one engine: the gateway uses the
    engine's start time, the router its VM and the time of the crash. ``at`` is in
    Unix seconds. ``was_running`` is whether the engine had been sending the response
    for a while, so that the request's start didn't crash it.
    """

    fingerprint: str
    engine: str
    engine_run: str
    at: float
    was_running: bool = False

    @property
    def run_key(self) -> "RunKey":
        """The engine and its run, equal for all requests of one crash."""
        return self.engine, self.engine_run


@frozen
class Clearance:
    """The completion of a suspect on an engine; ``at`` is in Unix seconds."""

    fingerprint: str
    at: float


@define
class _SuspectRecord:
    crash_by_run: dict[RunKey, Crash] = field(factory=dict)
    cleared_at: float = 0.0

    def crashes(self, oldest: float) -> list[Crash]:
        """Return the crashes after ``oldest`` and the last clearance."""
        start = max(oldest, self.cleared_at)
        return [crash for crash in self.crash_by_run.values() if crash.at > start]


class CrashSuspects:
    """Crash history of requests, by the fingerprint of their content.

    Merging is idempotent and independent of the order of messages, so any gossip
    protocol can replicate it. ``report_delay_s`` is how long peers may take to report
    which requests they had in flight in a crash; it bans nothing before.

    >>> from dotterelpitch.clock import ManualClock
    >>> suspects = CrashSuspects(ManualClock())
    >>> crashes = suspects.engine_died("e1", "run-1", ["a", "b"])
    >>> suspects.verdict("a")
    <CrashVerdict.ALONE: 'alone'>
    >>> _ = suspects.record_completion("b")
    >>> suspects.verdict("b")
    <CrashVerdict.FREE: 'free'>
    >>> _ = suspects.engine_died("e2", "run-1", ["a"])
    >>> suspects.verdict("a")
    <CrashVerdict.BANNED: 'banned'>
    """

    def __init__(
        self,
        clock: Clock,
        max_crashes: int = MAX_CRASHES,
        report_delay_s: float = 0.0,
    ) -> None:
        self._clock = clock
        self._max_crashes = max_crashes
        self._report_delay_s = report_delay_s
        self._suspect_by_fingerprint: OrderedDict[str, _SuspectRecord] = OrderedDict()
        self._fingerprints_by_run: dict[RunKey, set[str]] = {}
        self._recent_updates: deque[Crash | Clearance] = deque(
            maxlen=MAX_RECENT_UPDATES
        )
        self._update_count = 0

    def verdict(self, fingerprint: str) -> CrashVerdict:
        """Return how a request with this content may run now.

        Crashes count for ``SUSPICION_SECONDS``.
        """
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        if suspect is None:
            return CrashVerdict.FREE
        crashes = self._crashes(suspect)
        if len(crashes) >= self._max_crashes and self._is_cause_of_any(crashes):
            return CrashVerdict.BANNED
        return CrashVerdict.ALONE if crashes else CrashVerdict.FREE

    def crashed_engines(self, fingerprint: str) -> list[str]:
        """Return the engines that crashed with this content in flight, for logs."""
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        return [crash.engine for crash in self._crashes(suspect)] if suspect else []

    def engine_died(
        self, engine: str, engine_run: str, fingerprints: Iterable[str]
    ) -> list[Crash]:
        """Record an engine's crash with the requests that were in flight.

        Returns the crash records, which the peers must receive.
        """
        now = self._clock.wall()
        distinct = sorted(set(fingerprints))
        crashes = [Crash(f, engine, engine_run, now) for f in distinct]
        self.merge(crashes, [])
        return crashes

    def record_completion(self, fingerprint: str) -> Clearance | None:
        """Clear a suspect that has completed.

        Returns the clearance, or None if the request wasn't a suspect.
        """
        if self.verdict(fingerprint) is CrashVerdict.FREE:
            return None
        clearance = Clearance(fingerprint, self._clock.wall())
        self.merge([], [clearance])
        return clearance

    def merge(self, crashes: Iterable[Crash], cleared: Iterable[Clearance]) -> None:
        """Add the crashes and clearances that a peer has sent."""
        for crash in crashes:
            self._merge_crash(crash)
        for clearance in cleared:
            suspect = self._get_or_create(clearance.fingerprint)
            if clearance.at > suspect.cleared_at + CLEARANCE_TOLERANCE_SECONDS:
                self._add_update(clearance)
            suspect.cleared_at = max(suspect.cleared_at, clearance.at)
        self._evict_oldest()

    def updates_after(self, count: int) -> tuple[int, list[Crash], list[Clearance]]:
        """Return the total update count, and the updates after the first ``count``.

        At most ``MAX_RECENT_UPDATES`` are returned, so that a new peer isn't
        flooded. If more are missing, those of the requests with the most crashes come
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
        for fingerprint, suspect in self._suspect_by_fingerprint.items():
            crashes += [c for c in suspect.crash_by_run.values() if c.at > oldest]
            if suspect.cleared_at > oldest:
                cleared.append(Clearance(fingerprint, suspect.cleared_at))
        return crashes, cleared

    def _snapshot(self) -> list[Crash | Clearance]:
        """Return the updates that matter most to a peer without any."""
        suspects = sorted(
            self._suspect_by_fingerprint.values(),
            key=lambda suspect: len(self._crashes(suspect)),
            reverse=True,
        )
        crashes = (crash for suspect in suspects for crash in self._crashes(suspect))
        return list(islice(crashes, MAX_RECENT_UPDATES))

    def _crashes(self, suspect: _SuspectRecord) -> list[Crash]:
        return suspect.crashes(self._clock.wall() - SUSPICION_SECONDS)

    def _is_cause_of_any(self, crashes: list[Crash]) -> bool:
        """Return whether one of a request's crashes isn't explained by another."""
        latest = self._clock.wall() - self._report_delay_s
        return any(
            crash.at <= latest and not self._is_explained(crash, len(crashes))
            for crash in crashes
        )

    def _is_explained(self, crash: Crash, crash_count: int) -> bool:
        """Return whether another request in flight is more likely the cause.

        ``crash_count`` is the number of crashes of the request of ``crash``.
        """
        for fingerprint in self._fingerprints_by_run[crash.run_key]:
            suspect = self._suspect_by_fingerprint[fingerprint]
            count = len(self._crashes(suspect))
            other = suspect.crash_by_run[crash.run_key]
            if count and _is_likelier(other, count, crash, crash_count):
                return True
        return False

    def _merge_crash(self, crash: Crash) -> None:
        suspect = self._get_or_create(crash.fingerprint)
        known = suspect.crash_by_run.get(crash.run_key)
        if known is None:
            self._add_update(crash)
        if known is None or crash.at < known.at:
            suspect.crash_by_run[crash.run_key] = crash
        fingerprints = self._fingerprints_by_run.setdefault(crash.run_key, set())
        fingerprints.add(crash.fingerprint)

    def _add_update(self, update: Crash | Clearance) -> None:
        self._recent_updates.append(update)
        self._update_count += 1

    def _get_or_create(self, fingerprint: str) -> _SuspectRecord:
        suspect = self._suspect_by_fingerprint.setdefault(fingerprint, _SuspectRecord())
        self._suspect_by_fingerprint.move_to_end(fingerprint)
        return suspect

    def _evict_oldest(self) -> None:
        """Evict the records updated longest ago; those of banned requests last."""
        excess = len(self._suspect_by_fingerprint) - MAX_SUSPECTS
        if excess <= 0:
            return
        others = (
            f
            for f, s in self._suspect_by_fingerprint.items()
            if not self._may_be_banned(s)
        )
        oldest = list(islice(others, excess))
        oldest += list(islice(self._suspect_by_fingerprint, excess - len(oldest)))
        for fingerprint in oldest:
            self._evict(fingerprint)

    def _may_be_banned(self, suspect: _SuspectRecord) -> bool:
        return len(suspect.crash_by_run) >= self._max_crashes

    def _evict(self, fingerprint: str) -> None:
        suspect = self._suspect_by_fingerprint.pop(fingerprint)
        for run_key in suspect.crash_by_run:
            fingerprints = self._fingerprints_by_run[run_key]
            fingerprints.discard(fingerprint)
            if not fingerprints:
                del self._fingerprints_by_run[run_key]


def _is_likelier(
    other: Crash, other_count: int, crash: Crash, crash_count: int
) -> bool:
    """Return whether ``other`` is more likely the cause of one crash than ``crash``.

    Never true of a crash itself. A request that was just starting is likelier than
    one that had been running, then the one with more crashes, then the one that was
    lost first.
    """
    if other.was_running != crash.was_running:
        return crash.was_running
    if other_count != crash_count:
        return other_count > crash_count
    return other.at < crash.at - SAME_MOMENT_SECONDS
