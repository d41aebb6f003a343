"""Keeps the engines' reports, and tells which engines are live and fresh."""

import math
from collections.abc import Iterable

from attrs import define, field

from dotterelpitch.clock import Clock
from dotterelpitch.placement.model import EngineReport

READ_INTERVAL_SECONDS = 2.0
FOREIGN_READ_INTERVAL_SECONDS = 10.0
MAX_READ_INTERVAL_SECONDS = 120.0
SECONDS_PER_READ = 0.3
FOREIGN_READ_FACTOR = 5.0
FRESH_INTERVALS = 3.0
DOWN_GRACE_SECONDS = 30.0


def read_interval(engines: int, own: bool) -> float:
    """Return the seconds between reads of each of ``engines`` engines.

    It grows with their number, so that the reads a second don't, up to a limit.
    Engines that another VM places (``own`` is False) are read more seldom.
    """
    least = READ_INTERVAL_SECONDS if own else FOREIGN_READ_INTERVAL_SECONDS
    factor = 1.0 if own else FOREIGN_READ_FACTOR
    seconds = max(least, engines * SECONDS_PER_READ * factor)
    return min(seconds, MAX_READ_INTERVAL_SECONDS)


@define
class _Entry:
    first_tried_at: float
    tried_at: float
    report: EngineReport | None = None


@define
class EngineReportCache:
    """The last report of each engine, keyed by (service, engine).

    An engine that doesn't report stays in the placement for
    ``DOWN_GRACE_SECONDS``, so that one that flaps isn't replaced each time.
    """

    clock: Clock
    _entry_by_key: dict[tuple[str, str], _Entry] = field(factory=dict)

    def seconds_since_read(self, service: str, engine: str) -> float:
        """Return the seconds since a read of the engine began; inf before one."""
        entry = self._entry_by_key.get((service, engine))
        return self.clock.monotonic() - entry.tried_at if entry else math.inf

    def last(self, service: str, engine: str) -> EngineReport | None:
        """Return the newest report of an engine."""
        entry = self._entry_by_key.get((service, engine))
        return entry.report if entry else None

    def start_read(self, service: str, engine: str) -> None:
        """Note that a read begins now."""
        now = self.clock.monotonic()
        entry = self._entry_by_key.setdefault((service, engine), _Entry(now, now))
        entry.tried_at = now

    def put(self, service: str, report: EngineReport) -> None:
        """Take in a report unless a later one is known."""
        entry = self._entry_by_key[service, report.engine]
        if entry.report is None or entry.report.read_at <= report.read_at:
            entry.report = report

    def is_live(self, service: str, engine: str, interval: float) -> bool:
        """Return whether the engine is taken to be there."""
        entry = self._entry_by_key.get((service, engine))
        if entry is None:
            return True
        heard = entry.report.read_at if entry.report else entry.first_tried_at
        grace = max(DOWN_GRACE_SECONDS, FRESH_INTERVALS * interval)
        return self.clock.monotonic() - heard < grace

    def fresh(
        self, service: str, interval_by_engine: dict[str, float]
    ) -> dict[str, EngineReport]:
        """Return the reports that are recent enough to act on, by engine."""
        now = self.clock.monotonic()
        found = {}
        for engine, interval in interval_by_engine.items():
            entry = self._entry_by_key.get((service, engine))
            report = entry.report if entry else None
            if report and now - report.read_at <= FRESH_INTERVALS * interval:
                found[engine] = report
        return found

    def retain(self, keys: Iterable[tuple[str, str]]) -> None:
        """Forget engines that no document names any more."""
        kept = set(keys)
        for key in [key for key in self._entry_by_key if key not in kept]:
            del self._entry_by_key[key]
