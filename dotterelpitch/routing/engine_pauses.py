"""Engines that have rejected a request and named a time in which they want none.

The time counts for the VM that was rejected, and is kept by that VM alone: an engine
that has no room for one request may have some for those of other VMs, and if all stayed
away at one word it would soon be idle.
"""

from collections.abc import Collection

from attrs import define, field

from dotterelpitch.clock import Clock
from dotterelpitch.routing.engines import Engine, EngineRun
from dotterelpitch.telemetry.events import Event, log_event

# An engine that names a longer time is asked again after this one.
MAX_PAUSE_SECONDS = 600.0
# After its pause an engine gets a share of its normal traffic that grows to all of it
# over this time, so that the requests that have stayed away don't come at once.
RAMP_SECONDS = 1.0
INITIAL_SHARE = 0.1


@define
class EnginePauses:
    """The ends of the pauses that engines want from this VM, by their run.

    >>> from dotterelpitch.clock import ManualClock
    >>> clock = ManualClock(10.0)
    >>> pauses = EnginePauses(clock)
    >>> engine = Engine("e1", "chat", "127.0.0.1:1", "a")
    >>> pauses.record(engine, 3.0)
    >>> pauses.share(engine), pauses.remaining_s([engine])
    (0.0, 3.0)
    >>> clock.advance(3.0)
    >>> pauses.share(engine)
    0.1
    """

    _clock: Clock
    _until_by_run: dict[EngineRun, float] = field(factory=dict)

    def record(self, engine: Engine, pause_s: float) -> None:
        """Record that an engine wants no request for ``pause_s`` seconds.

        The latest end of all that it has named counts.
        """
        now = self._clock.monotonic()
        until = now + min(pause_s, MAX_PAUSE_SECONDS)
        if not self.is_paused(engine):
            log_event(Event.ENGINE_PAUSED, engine=engine.id, seconds=round(pause_s, 3))
        self._until_by_run[engine.run] = max(until, self._until(engine))

    def is_paused(self, engine: Engine) -> bool:
        """Return whether an engine wants no request now."""
        if not self._until_by_run:  # Asked for each engine in each choice.
            return False
        return self._until(engine) > self._clock.monotonic()

    def share(self, engine: Engine) -> float:
        """Return the share of its normal traffic that an engine may get, 0 to 1."""
        if not self._until_by_run:
            return 1.0
        elapsed_s = self._clock.monotonic() - self._until(engine)
        if elapsed_s < 0.0:
            return 0.0
        return min(
            1.0, INITIAL_SHARE + (1.0 - INITIAL_SHARE) * elapsed_s / RAMP_SECONDS
        )

    def remaining_s(self, engines: Collection[Engine]) -> float | None:
        """Return the seconds until the first of these engines takes requests again.

        None if one does now, or if there are no engines.
        """
        if not engines or not all(self.is_paused(engine) for engine in engines):
            return None
        return min(map(self._until, engines)) - self._clock.monotonic()

    def retain(self, engine_ids: set[str]) -> None:
        """Remove ended pauses, and all of engines that aren't in ``engine_ids``."""
        oldest = self._clock.monotonic() - RAMP_SECONDS
        for run, until in list(self._until_by_run.items()):
            if until < oldest or run.engine_id not in engine_ids:
                del self._until_by_run[run]

    def _until(self, engine: Engine) -> float:
        return self._until_by_run.get(engine.run, float("-inf"))
