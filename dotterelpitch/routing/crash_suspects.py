"""Finds requests that crash engines, and stops them after two engines.

When an engine dies, each request in flight on it comes under suspicion by the
fingerprint of its content. A suspect runs alone on an engine until it has
completed once, which clears it. A second crash on another engine bans it. So
a neighbour that only shared a crash is cleared by its next run, and the
request at fault takes nobody else down with it.

The suspicion must travel faster than the caller: the failure is told to the
peers before the answer goes to the caller.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable
from enum import Enum

from attrs import define, field, frozen

from dotterelpitch.clock import Clock

MAX_CRASHES = 2
SUSPICION_SECONDS = 3600.0
MAX_SUSPECTS = 10_000
# What a peer that has just come is told: the deaths of some ten full engines.
MAX_NEWS = 512
# A clearance that came by two ways differs by less: ages are cut to milliseconds.
SAME_CLEARANCE_SECONDS = 1.0


class CrashVerdict(Enum):
    """How a request may run."""

    FREE = "free"
    ALONE = "alone"
    BANNED = "banned"


@frozen
class Crash:
    """One engine's death with one request in flight.

    ``engine_run`` tells the deaths of one engine apart: it is the engine's
    start number or the time of the death. ``at`` is in Unix seconds.
    """

    fingerprint: str
    engine: str
    engine_run: str
    at: float


@frozen
class Clearance:
    """A suspect has completed on an engine; ``at`` is in Unix seconds."""

    fingerprint: str
    at: float


@define
class _Suspect:
    crash_by_run: dict[tuple[str, str], Crash] = field(factory=dict)
    cleared_at: float = 0.0

    def crashes(self, oldest: float) -> int:
        """Return how many crashes count."""
        start = max(oldest, self.cleared_at)
        return sum(crash.at > start for crash in self.crash_by_run.values())


class CrashSuspects:
    """What this process knows of requests that may crash engines.

    Merging is idempotent and independent of the order of the messages, so
    that any gossip will do.

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

    def __init__(self, clock: Clock, max_crashes: int = MAX_CRASHES) -> None:
        self._clock = clock
        self._max_crashes = max_crashes
        self._suspect_by_fingerprint: OrderedDict[str, _Suspect] = OrderedDict()
        self._news: deque[Crash | Clearance] = deque(maxlen=MAX_NEWS)
        self._news_count = 0

    def verdict(self, fingerprint: str) -> CrashVerdict:
        """Return how a request with this content may run now."""
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        if suspect is None:
            return CrashVerdict.FREE
        crashes = suspect.crashes(self._clock.wall() - SUSPICION_SECONDS)
        if crashes >= self._max_crashes:
            return CrashVerdict.BANNED
        return CrashVerdict.ALONE if crashes else CrashVerdict.FREE

    def engine_died(
        self, engine: str, engine_run: str, fingerprints: Iterable[str]
    ) -> list[Crash]:
        """Suspect all that was in flight; return what the peers must know."""
        now = self._clock.wall()
        distinct = sorted(set(fingerprints))
        crashes = [Crash(f, engine, engine_run, now) for f in distinct]
        self.merge(crashes, [])
        return crashes

    def record_completion(self, fingerprint: str) -> Clearance | None:
        """Clear a suspect that ran to its end; None if it was none."""
        if self.verdict(fingerprint) is CrashVerdict.FREE:
            return None
        cleared = Clearance(fingerprint, self._clock.wall())
        self.merge([], [cleared])
        return cleared

    def merge(self, crashes: Iterable[Crash], cleared: Iterable[Clearance]) -> None:
        """Take in what a peer knows."""
        for crash in crashes:
            suspect = self._suspect(crash.fingerprint)
            run = (crash.engine, crash.engine_run)
            if run not in suspect.crash_by_run:
                self._add_news(crash)
            suspect.crash_by_run[run] = crash
        for clearance in cleared:
            suspect = self._suspect(clearance.fingerprint)
            if clearance.at > suspect.cleared_at + SAME_CLEARANCE_SECONDS:
                self._add_news(clearance)
            suspect.cleared_at = max(suspect.cleared_at, clearance.at)
        self._forget_old()

    def updates_after(self, count: int) -> tuple[int, list[Crash], list[Clearance]]:
        """Return what was learnt after the first ``count`` news, and their number.

        Only the latest ``MAX_NEWS`` are kept, so that a new peer isn't flooded.
        """
        missed = min(self._news_count - count, len(self._news))
        recent = list(self._news)[len(self._news) - missed :]
        crashes = [news for news in recent if isinstance(news, Crash)]
        cleared = [news for news in recent if isinstance(news, Clearance)]
        return self._news_count, crashes, cleared

    def digest(self) -> tuple[list[Crash], list[Clearance]]:
        """Return all that counts, for a peer that knows nothing."""
        oldest = self._clock.wall() - SUSPICION_SECONDS
        crashes, cleared = [], []
        for name, suspect in self._suspect_by_fingerprint.items():
            crashes += [c for c in suspect.crash_by_run.values() if c.at > oldest]
            if suspect.cleared_at > oldest:
                cleared.append(Clearance(name, suspect.cleared_at))
        return crashes, cleared

    def _add_news(self, news: Crash | Clearance) -> None:
        self._news.append(news)
        self._news_count += 1

    def _suspect(self, fingerprint: str) -> _Suspect:
        suspect = self._suspect_by_fingerprint.setdefault(fingerprint, _Suspect())
        self._suspect_by_fingerprint.move_to_end(fingerprint)
        return suspect

    def _forget_old(self) -> None:
        while len(self._suspect_by_fingerprint) > MAX_SUSPECTS:
            self._suspect_by_fingerprint.popitem(last=False)
