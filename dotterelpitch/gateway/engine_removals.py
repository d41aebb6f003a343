"""The engines that the store had removed before it was restored from an older copy."""

from attrs import define, field

from dotterelpitch.clock import Clock
from dotterelpitch.platform.store import StoreRecord
from dotterelpitch.routing.engines import EngineRun

# No copy is older than this.
RETENTION_SECONDS = 60.0


@define
class EngineRemovals:
    """Removed runs of engines, and the records with which a copy brought them back.

    Such a record is held, and names no engine to use, until it is written anew.

    >>> from dotterelpitch.clock import ManualClock
    >>> removals = EngineRemovals(ManualClock())
    >>> run = EngineRun("e1", started_ms=1700000000000)
    >>> record = StoreRecord("servers/e1", b"{}")
    >>> removals.record(run)
    >>> removals.hold_if_removed(run, record)
    >>> removals.is_held(record), removals.is_held(StoreRecord("servers/e1", b"{1}"))
    (True, False)
    """

    _clock: Clock
    _removed_at_by_run: dict[EngineRun, float] = field(factory=dict)
    _held_value_by_key: dict[str, bytes | None] = field(factory=dict)

    def record(self, run: EngineRun) -> None:
        """Record that the store has removed a run."""
        now = self._clock.monotonic()
        self._removed_at_by_run = {
            removed: at
            for removed, at in self._removed_at_by_run.items()
            if at >= now - RETENTION_SECONDS
        }
        self._removed_at_by_run[run] = now

    def hold_if_removed(self, run: EngineRun, record: StoreRecord) -> None:
        """Hold the record of a copy if the run had been removed."""
        removed_at = self._removed_at_by_run.get(run, float("-inf"))
        if removed_at >= self._clock.monotonic() - RETENTION_SECONDS:
            self._held_value_by_key[record.key] = record.value

    def is_held(self, record: StoreRecord) -> bool:
        """Return whether a record is one of a copy and not written anew since."""
        held_value = self._held_value_by_key.get(record.key)
        return held_value is not None and held_value == record.value

    def release(self, key: str) -> None:
        """Hold a record no longer: it has been written or deleted."""
        self._held_value_by_key.pop(key, None)
