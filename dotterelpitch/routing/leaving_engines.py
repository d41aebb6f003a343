"""The engines that have said that they leave, as all VMs know them.

An engine says so in its responses or by its record in the registry. It is bound by
that: a registry that lists the same run as ready, or lists it again, doesn't change it.

What an engine says comes from the process that runs then, and the registry may name a
process by its start time only later. So a run that is listed under the id of an engine
that has said that it leaves is in doubt until the engine itself, when asked, doesn't
say so.
"""

from collections.abc import Iterable

from attrs import define, field

from dotterelpitch.clock import Clock
from dotterelpitch.routing.engines import EngineRun
from dotterelpitch.telemetry.events import Event, log_event

# What an engine has said is kept for so long after it was last listed or has said so.
RETENTION_SECONDS = 600.0
# The next run of an engine without a start time looks like this one, so the engine is
# asked again so long after it last said so.
UNDATED_CONFIRMATION_SECONDS = 30.0


@define
class _Notice:
    """That a run leaves: when it last said so, and until when that is kept.

    ``update`` is the number of the update by which it became known. Times are of the
    monotonic clock, in seconds.
    """

    update: int
    said_at: float
    needed_at: float


@define
class LeavingEngines:
    """The runs of engines that leave, from what was heard here and at the peers.

    >>> from dotterelpitch.clock import ManualClock
    >>> leaving = LeavingEngines(ManualClock(10.0))
    >>> run = EngineRun("e1", started_ms=1700000000000)
    >>> leaving.record(run)
    True
    >>> next_run = EngineRun("e1", started_ms=1700000009000)
    >>> run in leaving, next_run in leaving
    (True, True)
    >>> leaving.in_doubt([run, next_run]) == [next_run]
    True
    >>> leaving.clear(next_run)
    >>> next_run in leaving
    False
    """

    _clock: Clock
    _notices_by_engine: dict[str, dict[EngineRun, _Notice]] = field(factory=dict)
    _cleared_runs: set[EngineRun] = field(factory=set)
    _update_count: int = 0

    def __contains__(self, run: EngineRun) -> bool:
        """Return whether a run leaves, or must be taken to until it is asked."""
        notices = self._notices_by_engine.get(run.engine_id)
        if not notices:
            return False
        return run in notices or run not in self._cleared_runs

    def record(self, run: EngineRun, peer: str = "", by_registry: bool = False) -> bool:
        """Record that an engine leaves, as heard here or at ``peer``.

        ``by_registry`` is whether its record says so, not the engine. Return whether it
        wasn't known before.
        """
        now = self._clock.monotonic()
        notices = self._notices_by_engine.setdefault(run.engine_id, {})
        notice = notices.get(run)
        if notice is None:
            self._update_count += 1
            notices[run] = _Notice(self._update_count, now, now)
            self._cleared_runs.discard(run)
            log_event(
                Event.ENGINE_LEAVING,
                engine=run.engine_id,
                started_ms=run.started_ms,
                peer=peer,
                by_registry=by_registry,
            )
            return True
        if not peer:
            notice.said_at = notice.needed_at = now
        return False

    def in_doubt(self, runs: Iterable[EngineRun]) -> list[EngineRun]:
        """Return those of the listed ``runs`` whose engines must be asked now."""
        return [run for run in runs if run in self and not self._is_confirmed(run)]

    def clear(self, run: EngineRun) -> None:
        """Record that the engine was asked, and didn't say that it leaves.

        That changes nothing for a run with a start time that has said so itself.
        """
        if run in self._notices_by_engine.get(run.engine_id, {}):
            if run.started_ms:
                return
            self._forget(run)
        self._cleared_runs.add(run)
        log_event(Event.ENGINE_STAYS, engine=run.engine_id, started_ms=run.started_ms)

    def updates_after(self, count: int) -> tuple[int, list[EngineRun]]:
        """Return the total update count, and the runs added after the first ones."""
        added = [run for run, notice in self._notices() if notice.update > count]
        return self._update_count, added

    def retain(self, listed: Iterable[EngineRun]) -> None:
        """Forget what hasn't been listed for a while."""
        now = self._clock.monotonic()
        listed = set(listed)
        for run in listed:
            notice = self._notices_by_engine.get(run.engine_id, {}).get(run)
            if notice is not None:
                notice.needed_at = now
        for run, notice in list(self._notices()):
            if notice.needed_at < now - RETENTION_SECONDS:
                self._forget(run)
        self._cleared_runs &= listed

    def _forget(self, run: EngineRun) -> None:
        notices = self._notices_by_engine[run.engine_id]
        del notices[run]
        if not notices:
            del self._notices_by_engine[run.engine_id]

    def _is_confirmed(self, run: EngineRun) -> bool:
        notice = self._notices_by_engine[run.engine_id].get(run)
        if notice is None:
            return False
        oldest = self._clock.monotonic() - UNDATED_CONFIRMATION_SECONDS
        return bool(run.started_ms) or notice.said_at >= oldest

    def _notices(self) -> Iterable[tuple[EngineRun, _Notice]]:
        for notices in self._notices_by_engine.values():
            yield from notices.items()
