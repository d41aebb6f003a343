"""The engines that have said themselves that they leave, as all VMs know them.

An engine says so in its responses, perhaps before the registry does, or without it.
What it has said holds for that run of the engine: a registry that still lists it as
ready, or lists it again, doesn't change it.
"""

from collections.abc import Iterable

from attrs import define, field

from dotterelpitch.clock import Clock
from dotterelpitch.routing.engines import EngineRun
from dotterelpitch.telemetry.events import Event, log_event

# What an engine has said is kept for so long after it was last listed. The next run of
# an engine without a start time looks like this one, so there it counts from the last
# time that the engine said so.
RETENTION_SECONDS = 30.0


@define
class LeavingEngines:
    """The runs of engines that leave, from their responses here and at the peers.

    >>> from dotterelpitch.clock import ManualClock
    >>> leaving = LeavingEngines(ManualClock(10.0))
    >>> run = EngineRun("e1", started_ms=1700000000000)
    >>> leaving.record(run)
    True
    >>> run in leaving, EngineRun("e1", started_ms=1700000009000) in leaving
    (True, False)
    """

    _clock: Clock
    _needed_at_by_run: dict[EngineRun, float] = field(factory=dict)
    _update_by_run: dict[EngineRun, int] = field(factory=dict)
    _update_count: int = 0

    def __contains__(self, run: EngineRun) -> bool:
        return run in self._needed_at_by_run

    def record(self, run: EngineRun, peer: str = "") -> bool:
        """Record that an engine has said so, here or to ``peer``.

        Return whether it wasn't known before.
        """
        is_news = run not in self
        if is_news or not peer:
            self._needed_at_by_run[run] = self._clock.monotonic()
        if is_news:
            self._update_count += 1
            self._update_by_run[run] = self._update_count
            log_event(
                Event.ENGINE_LEAVING,
                engine=run.engine_id,
                started_ms=run.started_ms,
                peer=peer,
            )
        return is_news

    def updates_after(self, count: int) -> tuple[int, list[EngineRun]]:
        """Return the total update count, and the runs added after the first ones."""
        added = [run for run, update in self._update_by_run.items() if update > count]
        return self._update_count, added

    def retain(self, listed: Iterable[EngineRun]) -> None:
        """Forget the runs that haven't been listed for a while."""
        now = self._clock.monotonic()
        for run in listed:
            if run in self and run.started_ms:
                self._needed_at_by_run[run] = now
        for run, needed_at in list(self._needed_at_by_run.items()):
            if needed_at < now - RETENTION_SECONDS:
                del self._needed_at_by_run[run]
                del self._update_by_run[run]
