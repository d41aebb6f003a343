"""Detects requests whose content crashes engines, and bans them.

When an engine crashes, each request in flight on it becomes a suspect, identified
by the fingerprint of its content. A suspect runs alone on an engine until it has
completed once, which clears it. After ``MAX_CRASHES`` crashes it is banned. So a
request that was only in flight with the one at fault is cleared by its next run,
and the one at fault runs alone, so that no other request fails with it.

A peer must know of the crash before it receives the caller's retry, so the router
sends the crash to its peers before it sends the response to the caller. The gateway
only bans: it neither runs suspects alone nor holds back the response, and its
digests carry the crashes.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable
from enum import Enum

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
    Unix seconds.
    """

    fingerprint: str
    engine: str
    engine_run: str
    at: float


@frozen
class Clearance:
    """The completion of a suspect on an engine; ``at`` is in Unix seconds."""

    fingerprint: str
    at: float


@define
class _SuspectRecord:
    crash_by_run: dict[tuple[str, str], Crash] = field(factory=dict)
    cleared_at: float = 0.0

    def crashes(self, oldest: float) -> int:
        """Return the number of crashes after ``oldest`` and the last clearance."""
        start = max(oldest, self.cleared_at)
        return sum(crash.at > start for crash in self.crash_by_run.values())


class CrashSuspects:
    """Crash history of requests, by the fingerprint of their content.

    Merging is idempotent and independent of the order of messages, so any gossip
    protocol can replicate it.

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
        self._suspect_by_fingerprint: OrderedDict[str, _SuspectRecord] = OrderedDict()
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
        crashes = suspect.crashes(self._clock.wall() - SUSPICION_SECONDS)
        if crashes >= self._max_crashes:
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

    def merge(self, crashes: Iterable[Crash], cleared: Iterable[Clearance]) -> None:
        """Add the crashes and clearances that a peer has sent."""
        for crash in crashes:
            suspect = self._get_or_create(crash.fingerprint)
            run = (crash.engine, crash.engine_run)
            if run not in suspect.crash_by_run:
                self._add_update(crash)
            suspect.crash_by_run[run] = crash
        for clearance in cleared:
            suspect = self._get_or_create(clearance.fingerprint)
            if clearance.at > suspect.cleared_at + CLEARANCE_TOLERANCE_SECONDS:
                self._add_update(clearance)
            suspect.cleared_at = max(suspect.cleared_at, clearance.at)
        self._evict_oldest()

    def updates_after(self, count: int) -> tuple[int, list[Crash], list[Clearance]]:
        """Return the total update count, and the updates after the first ``count``.

        Only the latest ``MAX_RECENT_UPDATES`` are kept, so that a new peer isn't
        flooded.
        """
        missed = min(self._update_count - count, len(self._recent_updates))
        recent = list(self._recent_updates)[len(self._recent_updates) - missed :]
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

    def _add_update(self, update: Crash | Clearance) -> None:
        self._recent_updates.append(update)
        self._update_count += 1

    def _get_or_create(self, fingerprint: str) -> _SuspectRecord:
        suspect = self._suspect_by_fingerprint.setdefault(fingerprint, _SuspectRecord())
        self._suspect_by_fingerprint.move_to_end(fingerprint)
        return suspect

    def _evict_oldest(self) -> None:
        while len(self._suspect_by_fingerprint) > MAX_SUSPECTS:
            self._suspect_by_fingerprint.popitem(last=False)
