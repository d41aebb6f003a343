"""Requests in flight at each engine, from this VM's counts and those of its peers.

A VM counts its own requests exactly and receives the counts of the others in their
digests. A digest is out of date when it arrives, so the sum is an estimate. It is
used for load balancing, while the engines themselves reject requests above their
capacity.
"""

from collections.abc import Iterable, Mapping

from attrs import define, field, frozen

from dotterelpitch.clock import Clock

# A source without a digest for this long is disconnected, stopped, or gone, so its
# requests will end and its counts expire.
SOURCE_TTL_SECONDS = 2.0


@frozen
class _SourceCounts:
    at: float
    count_by_engine: Mapping[str, int]


@define
class FleetLoads:
    """Requests in flight by engine id, over this VM and all sources.

    A source is a VM that reports its own counts or the sum for several VMs. The
    total over the sources is kept up to date, since each request reads it.

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
    _reported_by_engine: dict[str, int] = field(factory=dict)

    def request_started(self, engine_id: str) -> None:
        """Count a request that is sent to an engine."""
        _add(self._own_by_engine, {engine_id: 1}, 1)

    def request_ended(self, engine_id: str) -> None:
        """Count the end of a request at an engine."""
        _add(self._own_by_engine, {engine_id: 1}, -1)

    def update_source(self, source: str, count_by_engine: Mapping[str, int]) -> None:
        """Replace the counts of a source with those of its latest digest."""
        self.remove_source(source)
        counts = _SourceCounts(self._clock.monotonic(), dict(count_by_engine))
        self._counts_by_source[source] = counts
        _add(self._reported_by_engine, counts.count_by_engine, 1)

    def remove_source(self, source: str) -> None:
        """Remove the counts of a source."""
        counts = self._counts_by_source.pop(source, None)
        if counts is not None:
            _add(self._reported_by_engine, counts.count_by_engine, -1)

    def own_counts(self) -> dict[str, int]:
        """Return this VM's own counts by engine, for a digest."""
        return dict(self._own_by_engine)

    def own_count(self, engine_id: str) -> int:
        """Return the number of this VM's requests at an engine."""
        return self._own_by_engine.get(engine_id, 0)

    def counts_with(self, sources: Iterable[str]) -> dict[str, int]:
        """Return the sum of this VM's counts and those of ``sources``, by engine."""
        self._expire_sources()
        total = dict(self._own_by_engine)
        for source in sources:
            counts = self._counts_by_source.get(source)
            if counts is not None:
                _add(total, counts.count_by_engine, 1)
        return total

    def counts_without(self, source: str) -> dict[str, int]:
        """Return the sum of all counts except those of ``source``, by engine."""
        self._expire_sources()
        total = dict(self._reported_by_engine)
        _add(total, self._own_by_engine, 1)
        counts = self._counts_by_source.get(source)
        if counts is not None:
            _add(total, counts.count_by_engine, -1)
        return total

    def totals(self, engine_ids: Iterable[str]) -> dict[str, int]:
        """Return the requests in flight at each of the engines."""
        self._expire_sources()
        own = self._own_by_engine
        reported = self._reported_by_engine
        return {i: own.get(i, 0) + reported.get(i, 0) for i in engine_ids}

    def _expire_sources(self) -> None:
        """Remove the sources without a recent digest; the dict has the oldest first."""
        oldest = self._clock.monotonic() - SOURCE_TTL_SECONDS
        while self._counts_by_source:
            source, counts = next(iter(self._counts_by_source.items()))
            if counts.at >= oldest:
                return
            self.remove_source(source)


def _add(total: dict[str, int], count_by_engine: Mapping[str, int], sign: int) -> None:
    """Add ``sign`` times the counts to ``total``, and remove entries that are 0."""
    for engine_id, count in count_by_engine.items():
        count_after = total.get(engine_id, 0) + sign * count
        if count_after:
            total[engine_id] = count_after
        else:
            total.pop(engine_id, None)
