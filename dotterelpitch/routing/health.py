"""Suspicion of engines, with hysteresis and a slow start after each failure.

A failed engine is left alone for a back-off that doubles each time it fails
again soon. Then one request at a time probes it. After a success it takes on
work over a ramp, which is longer the more often it has failed: an engine that
flaps gets neither all its chats back at once nor a new chance every second.
"""

from enum import Enum

from attrs import define, frozen

from dotterelpitch.clock import Clock

FAILURES_TO_SUSPECT = 3
INITIAL_BACKOFF_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 30.0
RAMP_SECONDS = 5.0
MAX_RAMP_SECONDS = 60.0
FIRST_SHARE = 0.1
# Failures are forgotten after the engine has been healthy for this long.
FAILURE_RESET_SECONDS = 60.0
# One lost packet makes an engine look unreachable; an answer this old refutes it.
RECENT_SUCCESS_SECONDS = 0.4


class HealthState(Enum):
    """What an engine is fit for."""

    HEALTHY = "healthy"
    SUSPECT = "suspect"
    PROBING = "probing"
    RAMPING = "ramping"


class FailureKind(Enum):
    """What went wrong with a call."""

    REFUSED = "nothing listens"
    CONNECTION_LOST = "connection broke with work in flight"
    TIMEOUT = "no answer in time"
    UNREACHABLE = "the address gives no sign of life"
    SERVER_ERROR = "the engine answered with an error"
    RESPONSE_LOST = "one answer broke off"


_SCORE_BY_FAILURE = {
    FailureKind.REFUSED: FAILURES_TO_SUSPECT,
    FailureKind.CONNECTION_LOST: FAILURES_TO_SUSPECT,
    FailureKind.TIMEOUT: 1,
    FailureKind.UNREACHABLE: FAILURES_TO_SUSPECT,
    FailureKind.SERVER_ERROR: 1,
    FailureKind.RESPONSE_LOST: 0,
}


@frozen
class HealthPolicy:
    """How fast a suspect gets work again; times in seconds.

    The back-off doubles with each failure that follows soon, up to
    ``max_backoff_s``; the ramp grows by ``ramp_s`` each time, up to ``max_ramp_s``.
    """

    initial_backoff_s: float = INITIAL_BACKOFF_SECONDS
    max_backoff_s: float = MAX_BACKOFF_SECONDS
    ramp_s: float = RAMP_SECONDS
    max_ramp_s: float = MAX_RAMP_SECONDS


@define
class _Record:
    health: HealthState = HealthState.HEALTHY
    score: int = 0
    episodes: int = 0
    since: float = 0.0
    backoff: float = 0.0


class EngineHealth:
    """Tracks each engine's health from the outcomes of calls to it.

    >>> from dotterelpitch.clock import ManualClock
    >>> clock = ManualClock()
    >>> health = EngineHealth(clock)
    >>> health.record_failure("e1", FailureKind.REFUSED)
    >>> health.suspects(), health.share("e1")
    ({'e1'}, 0.0)
    >>> clock.advance(INITIAL_BACKOFF_SECONDS)
    >>> health.state("e1")
    <HealthState.PROBING: 'probing'>
    >>> health.record_success("e1")
    >>> health.share("e1")
    0.1
    """

    def __init__(self, clock: Clock, policy: HealthPolicy | None = None) -> None:
        self._clock = clock
        self._policy = policy or HealthPolicy()
        self._record_by_engine: dict[str, _Record] = {}
        self._succeeded_at_by_engine: dict[str, float] = {}

    def record_failure(self, engine: str, failure: FailureKind) -> None:
        """Take in one failed call."""
        record = self._record_by_engine.setdefault(engine, _Record())
        self._advance(record)
        if record.health is HealthState.SUSPECT:
            return
        record.score += self._score(engine, failure)
        if record.health is HealthState.HEALTHY and record.score < FAILURES_TO_SUSPECT:
            return
        record.episodes += 1
        doublings = record.episodes - 1
        policy = self._policy
        record.backoff = min(
            policy.max_backoff_s, policy.initial_backoff_s * 2.0**doublings
        )
        self._enter(record, HealthState.SUSPECT)

    def record_success(self, engine: str) -> None:
        """Take in one call that the engine answered."""
        self._succeeded_at_by_engine[engine] = self._clock.monotonic()
        record = self._record_by_engine.get(engine)
        if record is None:
            return
        self._advance(record)
        record.score = 0
        if record.health is HealthState.PROBING:
            self._enter(record, HealthState.RAMPING)

    def state(self, engine: str) -> HealthState:
        """Return the engine's health now."""
        record = self._record_by_engine.get(engine)
        if record is None:
            return HealthState.HEALTHY
        self._advance(record)
        return record.health

    def share(self, engine: str) -> float:
        """Return which share of its usual work the engine may take, 0 to 1."""
        state = self.state(engine)
        if state is not HealthState.RAMPING:
            return _SHARE_BY_HEALTH[state]
        record = self._record_by_engine[engine]
        passed = (self._clock.monotonic() - record.since) / self._ramp(record)
        return min(1.0, FIRST_SHARE + (1.0 - FIRST_SHARE) * passed)

    def suspects(self) -> set[str]:
        """Return the engines that get no work now."""
        engines = self._record_by_engine
        return {e for e in engines if self.state(e) is HealthState.SUSPECT}

    def shares(self) -> dict[str, float]:
        """Return the share by engine, of the engines that have less than 1."""
        shares = {e: self.share(e) for e in self._record_by_engine}
        return {e: share for e, share in shares.items() if 0.0 < share < 1.0}

    def retain(self, engines: set[str]) -> None:
        """Forget every engine that is not in ``engines``."""
        for engine in self._record_by_engine.keys() - engines:
            del self._record_by_engine[engine]
        for engine in self._succeeded_at_by_engine.keys() - engines:
            del self._succeeded_at_by_engine[engine]

    def _score(self, engine: str, failure: FailureKind) -> int:
        """Return how much a failure counts, less when the engine has just answered."""
        succeeded_at = self._succeeded_at_by_engine.get(engine, float("-inf"))
        is_recent = self._clock.monotonic() - succeeded_at < RECENT_SUCCESS_SECONDS
        if failure is FailureKind.UNREACHABLE and is_recent:
            return 1
        return _SCORE_BY_FAILURE[failure]

    def _advance(self, record: _Record) -> None:
        """Make the changes of state that only time brings."""
        following = _NEXT_HEALTH.get(record.health)
        if following is not None:
            if self._clock.monotonic() - record.since >= self._duration(record):
                self._enter(record, following)
            return
        healthy_for = self._clock.monotonic() - record.since
        if (
            record.health is HealthState.HEALTHY
            and healthy_for >= FAILURE_RESET_SECONDS
        ):
            record.episodes = 0

    def _duration(self, record: _Record) -> float:
        if record.health is HealthState.SUSPECT:
            return record.backoff
        return self._ramp(record)

    def _ramp(self, record: _Record) -> float:
        return min(self._policy.max_ramp_s, self._policy.ramp_s * record.episodes)

    def _enter(self, record: _Record, health: HealthState) -> None:
        record.health = health
        record.since = self._clock.monotonic()
        record.score = 0


_SHARE_BY_HEALTH = {
    HealthState.HEALTHY: 1.0,
    HealthState.SUSPECT: 0.0,
    HealthState.PROBING: FIRST_SHARE,
}

# The states that end by themselves, and what follows them.
_NEXT_HEALTH = {
    HealthState.SUSPECT: HealthState.PROBING,
    HealthState.RAMPING: HealthState.HEALTHY,
}


if __name__ == "__main__":
    from dotterelpitch.clock import ManualClock

    demo_clock = ManualClock()
    demo = EngineHealth(demo_clock)
    for second in range(20):
        if second in (2, 6):
            demo.record_failure("e1", FailureKind.REFUSED)
        elif demo.state("e1") is HealthState.PROBING:
            demo.record_success("e1")
        print(second, demo.state("e1").value, round(demo.share("e1"), 2))
        demo_clock.advance(1.0)
