"""The load of all engines of a service, as last reported to this process."""

from collections.abc import Iterable

from attrs import define, frozen

from dotterelpitch.clock import Clock

MAX_REPORT_AGE_SECONDS = 15.0
# A report with an earlier time is ignored for this long after the last one.
OWNER_CHANGE_SECONDS = 3.0


@frozen
class EngineLoad:
    """The load of one engine as its admission owner counts it.

    ``load`` is in tokens, ``slots`` is the number of requests that the engine
    runs at once, and ``running`` and ``queued`` count requests. ``at`` is the
    owner's time in Unix seconds, which tells the newer of two reports.
    """

    engine: str
    load: float
    slots: int
    running: int = 0
    queued: int = 0
    at: float = 0.0


@define
class _Entry:
    load: EngineLoad
    received_at: float


class FleetLoad:
    """Keeps the newest load by engine, and the sums over all engines.

    Engines without a report for ``MAX_REPORT_AGE_SECONDS`` count neither as
    load nor as slots, so that lost reports don't lower the mean.

    >>> from dotterelpitch.clock import ManualClock
    >>> fleet = FleetLoad(ManualClock())
    >>> fleet.update([EngineLoad("e1", 100.0, 4), EngineLoad("e2", 300.0, 4)])
    >>> fleet.load_per_slot()
    50.0
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._entry_by_engine: dict[str, _Entry] = {}
        self._total_load = 0.0
        self._total_slots = 0
        self._next_expiry_check = 0.0

    def update(self, loads: Iterable[EngineLoad]) -> None:
        """Store the loads that are newer than the known ones."""
        now = self._clock.monotonic()
        for load in loads:
            known = self._entry_by_engine.get(load.engine)
            if known is not None and _is_outdated(load, known, now):
                continue
            self._remove(load.engine)
            self._entry_by_engine[load.engine] = _Entry(load, now)
            self._total_load += load.load
            self._total_slots += load.slots

    def retain(self, engines: Iterable[str]) -> None:
        """Remove every engine that is not in ``engines``."""
        for engine in self._entry_by_engine.keys() - set(engines):
            self._remove(engine)

    def load_of(self, engine: str) -> EngineLoad | None:
        """Return the last known load of one engine, or None if there is none."""
        entry = self._entry_by_engine.get(engine)
        return entry.load if entry else None

    def totals(self) -> tuple[float, int]:
        """Return the total load in tokens and the slots of all known engines."""
        now = self._clock.monotonic()
        if now >= self._next_expiry_check:
            self._remove_expired(now)
        return self._total_load, self._total_slots

    def load_per_slot(self) -> float:
        """Return the mean load in tokens per slot."""
        load, slots = self.totals()
        return load / slots if slots else 0.0

    def _remove_expired(self, now: float) -> None:
        self._next_expiry_check = now + 1.0
        entries = self._entry_by_engine.items()
        for engine in [
            e for e, x in entries if now - x.received_at > MAX_REPORT_AGE_SECONDS
        ]:
            self._remove(engine)
        # Recomputing the sum keeps rounding errors from accumulating.
        self._total_load = sum(x.load.load for x in self._entry_by_engine.values())

    def _remove(self, engine: str) -> None:
        entry = self._entry_by_engine.pop(engine, None)
        if entry is not None:
            self._total_load -= entry.load.load
            self._total_slots -= entry.load.slots


def _is_outdated(load: EngineLoad, known: _Entry, now: float) -> bool:
    """Return whether ``load`` is older than the known one.

    The clock of a new owner may be behind that of the former owner. Its reports
    are accepted once the former owner's last one is ``OWNER_CHANGE_SECONDS``
    old.
    """
    is_recent = now - known.received_at < OWNER_CHANGE_SECONDS
    return is_recent and load.at < known.load.at
