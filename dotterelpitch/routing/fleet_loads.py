"""How many requests each engine holds, from own counts and those of the peers.

A VM counts its own requests exactly and learns those of the others from their
digests. A digest is old when it arrives, so the sum is an estimate; it is used
to spread work, while the engines themselves refuse what they can't hold.
"""

from collections.abc import Iterable, Mapping

from attrs import define, field, frozen

from dotterelpitch.clock import Clock

# A source that is silent for longer is cut off, stopped, or gone: its requests end.
DIGEST_SECONDS = 2.0


@frozen
class _SourceCounts:
    at: float
    count_by_engine: Mapping[str, int]


@define
class FleetLoads:
    """Requests in flight by engine id, over all VMs that are heard.

    A *source* is a VM that tells its own counts, or those of several VMs. The
    sum over the sources is kept up to date, since it is read for each request.

    >>> from dotterelpitch.clock import ManualClock
    >>> loads = FleetLoads(ManualClock())
    >>> loads.request_started("e1")
    >>> loads.update_source("vm-2", {"e1": 2})
    >>> loads.totals(["e1"])
    {'e1': 3}
    """

    _clock: Clock
    _own_by_engine: dict[str, int] = field(factory=dict)
    _counts_by_source: dict[str, _SourceCounts] = field(factory=dict)
    _heard_by_engine: dict[str, int] = field(factory=dict)

    def request_started(self, engine_id: str) -> None:
        """Count one request that is sent to an engine."""
        _add(self._own_by_engine, {engine_id: 1}, 1)

    def request_ended(self, engine_id: str) -> None:
        """Count the end of a request at an engine."""
        _add(self._own_by_engine, {engine_id: 1}, -1)

    def update_source(self, source: str, count_by_engine: Mapping[str, int]) -> None:
        """Take in the counts of a source; they replace its last ones."""
        self.remove_source(source)
        counts = _SourceCounts(self._clock.monotonic(), dict(count_by_engine))
        self._counts_by_source[source] = counts
        _add(self._heard_by_engine, counts.count_by_engine, 1)

    def remove_source(self, source: str) -> None:
        """Drop what a source has told."""
        counts = self._counts_by_source.pop(source, None)
        if counts is not None:
            _add(self._heard_by_engine, counts.count_by_engine, -1)

    def own_counts(self) -> dict[str, int]:
        """Return this VM's counts, for a digest."""
        return dict(self._own_by_engine)

    def own_count(self, engine_id: str) -> int:
        """Return this VM's own requests at an engine."""
        return self._own_by_engine.get(engine_id, 0)

    def counts_with(self, sources: Iterable[str]) -> dict[str, int]:
        """Return this VM's counts and those of some sources, summed."""
        self._forget_silent()
        total = dict(self._own_by_engine)
        for source in sources:
            counts = self._counts_by_source.get(source)
            if counts is not None:
                _add(total, counts.count_by_engine, 1)
        return total

    def counts_without(self, source: str) -> dict[str, int]:
        """Return the sum of all counts without those of one source."""
        self._forget_silent()
        total = dict(self._heard_by_engine)
        _add(total, self._own_by_engine, 1)
        counts = self._counts_by_source.get(source)
        if counts is not None:
            _add(total, counts.count_by_engine, -1)
        return total

    def totals(self, engine_ids: Iterable[str]) -> dict[str, int]:
        """Return the requests that each of the engines holds."""
        self._forget_silent()
        own = self._own_by_engine
        heard = self._heard_by_engine
        return {i: own.get(i, 0) + heard.get(i, 0) for i in engine_ids}

    def _forget_silent(self) -> None:
        """Drop the sources that are silent; the dict has the oldest first."""
        oldest = self._clock.monotonic() - DIGEST_SECONDS
        while self._counts_by_source:
            source, counts = next(iter(self._counts_by_source.items()))
            if counts.at >= oldest:
                return
            self.remove_source(source)


def _add(total: dict[str, int], count_by_engine: Mapping[str, int], sign: int) -> None:
    """Add counts to ``total``, which keeps no zeros."""
    for engine_id, count in count_by_engine.items():
        new = total.get(engine_id, 0) + sign * count
        if new:
            total[engine_id] = new
        else:
            total.pop(engine_id, None)
