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

from collections.abc import Callable, Iterable
from enum import Enum

from dotterelpitch.clock import Clock
from dotterelpitch.routing.crash_history import Clearance, Crash, CrashHistory
from dotterelpitch.routing.dismissed_runs import DismissedRuns

MAX_CRASHES = 2
# Reports of one crash differ by less than this in time. A request that was lost
# later than another one was sent to an engine that had already crashed.
SAME_MOMENT_SECONDS = 0.1


class CrashVerdict(Enum):
    """How a request may run, by its crash history; the values are logged.

    FREE requests share engines with others, ALONE ones get an engine to themselves,
    and BANNED ones are refused.
    """

    FREE = "free"
    ALONE = "alone"
    BANNED = "banned"


class CrashSuspects(CrashHistory):
    """Crash history of requests, by the fingerprint of their content.

    ``report_delay_s`` is how long peers may take to report which requests they had in
    flight in a crash; it bans nothing before.

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
        super().__init__(clock, max_crashes, DismissedRuns(clock))
        self._report_delay_s = report_delay_s

    def verdict(
        self, fingerprint: str, explains: Callable[[Crash], bool] = lambda _: False
    ) -> CrashVerdict:
        """Return how a request with this content may run now.

        ``explains`` returns whether something other than a content is the likelier
        cause of a crash, which then doesn't count.
        """
        crashes = self.crashes_of(fingerprint)
        latest = self._clock.wall() - self._report_delay_s
        counted = [c for c in crashes if c.at <= latest and not explains(c)]
        if len(counted) >= self._max_crashes and self._is_cause_of_any(
            counted, len(crashes)
        ):
            return CrashVerdict.BANNED
        return CrashVerdict.ALONE if crashes else CrashVerdict.FREE

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

    def _is_cause_of_any(self, crashes: list[Crash], crash_count: int) -> bool:
        """Return whether another request explains not all of these crashes.

        ``crash_count`` is the number of all crashes of their request.
        """
        return any(not self._is_explained(crash, crash_count) for crash in crashes)

    def _is_explained(self, crash: Crash, crash_count: int) -> bool:
        """Return whether another request in flight is more likely the cause.

        ``crash_count`` is the number of crashes of the request of ``crash``.
        """
        for suspect in self._suspects_by_run[crash.run_key]:
            record = self._record_by_suspect[suspect]
            count = len(self._crashes(record))
            other = record.crash_by_run[crash.run_key]
            if self._is_dismissed(other) or not count:
                continue
            if _is_likelier(other, count, crash, crash_count):
                return True
        return False


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
