"""Caches engine reports, and tells which are fresh and which engines are live."""

import math
from collections.abc import Iterable

from attrs import define, field

from dotterelpitch.clock import Clock
from dotterelpitch.placement.model import EngineReport

MIN_READ_INTERVAL_SECONDS = 2.0
MIN_FOREIGN_READ_INTERVAL_SECONDS = 10.0
MAX_READ_INTERVAL_SECONDS = 120.0
SECONDS_PER_READ = 0.3
FOREIGN_INTERVAL_FACTOR = 5.0
MAX_FRESH_INTERVALS = 3.0
DOWN_GRACE_SECONDS = 30.0


def read_interval(engines: int, own: bool) -> float:
    """Return the seconds between reads of each of ``engines`` engines.

    The interval grows with their number, up to a limit, so that the reads per
    second don't. Engines that another VM places (``own`` is False) are read less
    often.
    """
    min_seconds = (
        MIN_READ_INTERVAL_SECONDS if own else MIN_FOREIGN_READ_INTERVAL_SECONDS
    )
    factor = 1.0 if own else FOREIGN_INTERVAL_FACTOR
    seconds = max(min_seconds, engines * SECONDS_PER_READ * factor)
    return min(seconds, MAX_READ_INTERVAL_SECONDS)


@define
class _Entry:
    first_read_started_at: float
    read_started_at: float
    report: EngineReport | None = None


@define
class EngineReportCache:
    """The newest report of each engine, keyed by (service, engine).

    An engine that can't be read counts as live for at least
    ``DOWN_GRACE_SECONDS``, so that the models of a flapping engine aren't moved
    each time.
    """

    clock: Clock
    _entry_by_key: dict[tuple[str, str], _Entry] = field(factory=dict)

    def seconds_since_read(self, service: str, engine: str) -> float:
        """Return the seconds since the last read was started; inf before any."""
        entry = self._entry_by_key.get((service, engine))
        return self.clock.monotonic() - entry.read_started_at if entry else math.inf

    def last(self, service: str, engine: str) -> EngineReport | None:
        """Return the newest report of an engine, or None."""
        entry = self._entry_by_key.get((service, engine))
        return entry.report if entry else None

    def start_read(self, service: str, engine: str) -> None:
        """Record that a read of the engine starts now."""
        now = self.clock.monotonic()
        entry = self._entry_by_key.setdefault((service, engine), _Entry(now, now))
        entry.read_started_at = now

    def put(self, service: str, report: EngineReport) -> None:
        """Store a report unless a newer one is cached.

        ``start_read`` must have been called for its engine.
        """
        entry = self._entry_by_key[service, report.engine]
        if entry.report is None or entry.report.read_at <= report.read_at:
            entry.report = report

    def is_live(self, service: str, engine: str, interval: float) -> bool:
        """Return whether the engine counts as live.

        ``interval`` is its read interval in seconds.
        """
        entry = self._entry_by_key.get((service, engine))
        if entry is None:
            return True
        last_seen_at = (
            entry.report.read_at if entry.report else entry.first_read_started_at
        )
        grace = max(DOWN_GRACE_SECONDS, MAX_FRESH_INTERVALS * interval)
        return self.clock.monotonic() - last_seen_at < grace

    def fresh(
        self, service: str, interval_by_engine: dict[str, float]
    ) -> dict[str, EngineReport]:
        """Return the reports that are fresh enough to act on, by engine."""
        now = self.clock.monotonic()
        fresh_by_engine = {}
        for engine, interval in interval_by_engine.items():
            entry = self._entry_by_key.get((service, engine))
            report = entry.report if entry else None
            if report and now - report.read_at <= MAX_FRESH_INTERVALS * interval:
                fresh_by_engine[engine] = report
        return fresh_by_engine

    def retain(self, keys: Iterable[tuple[str, str]]) -> None:
        """Remove the engines that aren't in ``keys``."""
        kept = set(keys)
        for key in [key for key in self._entry_by_key if key not in kept]:
            del self._entry_by_key[key]
