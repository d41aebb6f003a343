"""Engines that have just started, and bear few requests until they are warm.

A cold engine takes so many requests per second from all VMs together, and crashes when
it gets far more. Whether it is cold is known from its record, from its status checks,
or taken for granted where it may have restarted unseen.
"""

from collections.abc import Callable, Iterable

from attrs import define, field, frozen

from dotterelpitch.clock import Clock
from dotterelpitch.routing.engines import Engine, EngineRun
from dotterelpitch.routing.limit_source import CHANCE_HEADROOM, LimitSource, RateLimit
from dotterelpitch.telemetry.events import Event, log_event

# An engine that says that it is cold for longer isn't believed.
MAX_COLD_SECONDS = 60.0
# Until the VMs know what they want of a cold engine, each of a few holds a share.
SHARED_OUT_SECONDS = 1.5
# So long after it turned cold, less than the limit is sent, since what the others send
# is known from few digests.
EARLY_SECONDS = 4.0
EARLY_HEADROOM = 0.9
# After its cold time an engine's limit doubles in each step, and then ends.
RAMP_STEP_SECONDS = 0.5
RAMP_SECONDS = 2.0
# Even an engine that bears none when cold gets this, since nothing else warms it.
MIN_PER_SECOND = 1.0


@frozen
class ColdLimits:
    """What the engines of a service bear when cold.

    ``seconds`` is how long one is cold after its start, 0 if never, and ``per_second``
    how many requests it then takes from all VMs together.
    """

    seconds: float = 0.0
    per_second: float = 0.0


@frozen
class ColdTolerance:
    """How much more than the limit a cold engine may get in any second.

    That is ``multiple`` times the limit and ``requests`` more.
    """

    multiple: float = 1.5
    requests: float = 5.0

    def burst(self, per_second: float) -> float:
        """Return the requests that may come at once: half of what is tolerated."""
        return 0.5 * ((self.multiple - 1.0) * per_second + self.requests)


@frozen
class _ColdTime:
    """The time in which an engine is cold, on the monotonic clock, and the reason."""

    since: float
    until: float
    reason: str


@define
class ColdEngines(LimitSource):
    """The runs of engines that are, or may be, cold.

    ``limits_of`` returns what the engines of a service bear.

    >>> from dotterelpitch.clock import ManualClock
    >>> clock = ManualClock(10.0)
    >>> cold = ColdEngines(clock, lambda service: ColdLimits(3.0, 12.0))
    >>> engine = Engine("e1", "chat", "127.0.0.1:1", "a")
    >>> cold.assume_cold([engine], "has restarted")
    >>> cold.rate_limit(engine).per_second
    12.0
    >>> clock.advance(6.0)
    >>> cold.rate_limit(engine) is None
    True
    """

    _clock: Clock
    _limits_of: Callable[[str], ColdLimits]
    tolerance: ColdTolerance = ColdTolerance()
    _time_by_run: dict[EngineRun, _ColdTime] = field(factory=dict)

    def record_left(self, engine: Engine, left_s: float) -> None:
        """Record that an engine says that it stays cold for ``left_s`` seconds.

        0 says that it is warm, but not that it hasn't restarted since: what is assumed
        holds on.
        """
        if left_s > 0.0:
            self._extend(engine, min(left_s, MAX_COLD_SECONDS), "says so")

    def assume_cold(self, engines: Iterable[Engine], reason: str) -> None:
        """Take engines for cold for as long as one is after its start."""
        for engine in engines:
            seconds = min(self._limits_of(engine.service).seconds, MAX_COLD_SECONDS)
            if seconds > 0.0:
                self._extend(engine, seconds, reason)

    def rate_limit(self, engine: Engine) -> RateLimit | None:
        """Return the limit of an engine that is cold, or has been just now."""
        time = self._time_by_run.get(engine.run)
        if time is None:
            return None
        after_s = self._clock.monotonic() - time.until
        if after_s >= RAMP_SECONDS:
            del self._time_by_run[engine.run]
            return None
        limit = max(MIN_PER_SECOND, self._limits_of(engine.service).per_second)
        is_early = self._clock.monotonic() - time.since < EARLY_SECONDS
        ramp = 2.0 ** (max(0.0, after_s) / RAMP_STEP_SECONDS)
        return RateLimit(
            limit * ramp,
            headroom=EARLY_HEADROOM if is_early else CHANCE_HEADROOM,
            burst_s=0.0,
            burst_requests=self.tolerance.burst(limit) * ramp,
            shared_out_until=time.since + SHARED_OUT_SECONDS,
        )

    def is_empty(self) -> bool:
        """Return whether no engine is cold."""
        return not self._time_by_run

    def cold_ids(self) -> list[str]:
        """Return the ids of the engines that are cold now."""
        now = self._clock.monotonic()
        return [
            r.engine_id for r, time in self._time_by_run.items() if time.until > now
        ]

    def retain(self, engine_ids: set[str]) -> None:
        """Remove all engines that aren't in ``engine_ids``."""
        self._time_by_run = {
            run: time
            for run, time in self._time_by_run.items()
            if run.engine_id in engine_ids
        }

    def _extend(self, engine: Engine, seconds: float, reason: str) -> None:
        """Take an engine for cold from now on; an end that is later already holds."""
        now = self._clock.monotonic()
        known = self._time_by_run.get(engine.run)
        is_cold = known is not None and known.until > now
        until = now + seconds
        if is_cold:
            until = max(known.until, until)
        else:
            log_event(
                Event.ENGINE_COLD, engine=engine.id, left_s=seconds, reason=reason
            )
        since = known.since if is_cold else now
        self._time_by_run[engine.run] = _ColdTime(since, until, reason)
