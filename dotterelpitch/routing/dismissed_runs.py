"""Runs of engines that have gone on after they counted as ended by their silence.

A silent engine can't be told from one that has ended without a trace, so its silence
counts as the end of its run at once. It is taken back when the run is known to go on.
"""

from collections import OrderedDict
from collections.abc import Iterable
from itertools import islice

from attrs import frozen

from dotterelpitch.clock import Clock

# A run is remembered for longer than its crashes count.
DISMISSAL_SECONDS = 4000.0
# Bounds the memory; the dismissals merged longest ago are evicted.
MAX_DISMISSALS = 10_000
# Bounds what a newly connected peer is sent.
MAX_RECENT_DISMISSALS = 512

RunKey = tuple[str, str]
"""An engine, and the name of one of its runs in crash reports."""


@frozen
class Dismissal:
    """A run of an engine that has gone on; ``at`` is in Unix seconds."""

    run_key: RunKey
    at: float


class DismissedRuns:
    """The runs whose silence was no end, as known to this VM and its peers.

    Merging is idempotent and independent of the order of messages.

    >>> from dotterelpitch.clock import ManualClock
    >>> clock = ManualClock()
    >>> runs = DismissedRuns(clock)
    >>> added = runs.merge([Dismissal(("e1", "run-1"), clock.wall())])
    >>> len(added), ("e1", "run-1") in runs
    (1, True)
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._dismissal_by_run: OrderedDict[RunKey, Dismissal] = OrderedDict()
        self._update_count = 0

    @property
    def update_count(self) -> int:
        """The number of runs that were added."""
        return self._update_count

    def __contains__(self, run_key: RunKey) -> bool:
        dismissal = self._dismissal_by_run.get(run_key)
        return dismissal is not None and dismissal.at > self._oldest()

    def merge(self, dismissals: Iterable[Dismissal]) -> list[Dismissal]:
        """Add dismissals; return those of runs that weren't dismissed before."""
        oldest = self._oldest()
        added = []
        for dismissal in dismissals:
            known = self._dismissal_by_run.get(dismissal.run_key)
            if dismissal.at <= max(oldest, known.at if known else oldest):
                continue
            self._dismissal_by_run[dismissal.run_key] = dismissal
            if known is None:
                added.append(dismissal)
        self._update_count += len(added)
        self._evict(oldest)
        return added

    def updates_after(self, count: int) -> tuple[int, list[Dismissal]]:
        """Return the total update count, and the updates after the first ``count``.

        At most the newest ``MAX_RECENT_DISMISSALS`` are returned.
        """
        missed = min(self._update_count - count, MAX_RECENT_DISMISSALS)
        newest = islice(reversed(self._dismissal_by_run.values()), missed)
        return self._update_count, list(newest)[::-1]

    def _evict(self, oldest: float) -> None:
        """Evict the dismissals that are too old, or too many."""
        by_run = self._dismissal_by_run
        while by_run:
            first = next(iter(by_run.values()))
            if len(by_run) <= MAX_DISMISSALS and first.at > oldest:
                return
            by_run.popitem(last=False)

    def _oldest(self) -> float:
        return self._clock.wall() - DISMISSAL_SECONDS
