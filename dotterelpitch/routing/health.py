"""A circuit breaker for each engine, with exponential back-off and slow start.

A failed engine gets no requests during a back-off that doubles with each failure
that follows soon. Then one request at a time probes it. After a success its share
of traffic grows over a ramp, which is longer the more often it has failed, so a
flapping engine neither gets all its chats back at once nor is retried every
second.
"""

from enum import Enum

from attrs import define, frozen

from dotterelpitch.clock import Clock

# The failure score at which an engine becomes suspect.
SUSPECT_SCORE = 3
INITIAL_BACKOFF_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 30.0
RAMP_SECONDS = 5.0
MAX_RAMP_SECONDS = 60.0
INITIAL_SHARE = 0.1
# After this time in the healthy state, the back-off and ramp start from the
# beginning again.
FAILURE_RESET_SECONDS = 60.0
# A single lost packet can make an engine look unreachable. After a success within
# this time, such a failure counts like a timeout.
RECENT_SUCCESS_SECONDS = 0.4


class HealthState(Enum):
    """State of an engine's circuit breaker; the values are metric labels.

    A HEALTHY engine takes its normal share of traffic, a SUSPECT one none, a
    PROBING one single requests, and a RAMPING one a growing share.
    """

    HEALTHY = "healthy"
    SUSPECT = "suspect"
    PROBING = "probing"
    RAMPING = "ramping"


class FailureKind(Enum):
    """Kind of failure of a call to an engine; the values are logged."""

    REFUSED = "nothing listens"
    CONNECTION_LOST = "connection broke with work in flight"
    TIMEOUT = "no answer in time"
    UNREACHABLE = "the address gives no sign of life"
    SERVER_ERROR = "the engine answered with an error"
    RESPONSE_LOST = "one answer broke off"


_SCORE_BY_FAILURE = {
    FailureKind.REFUSED: SUSPECT_SCORE,
    FailureKind.CONNECTION_LOST: SUSPECT_SCORE,
    FailureKind.TIMEOUT: 1,
    FailureKind.UNREACHABLE: SUSPECT_SCORE,
    FailureKind.SERVER_ERROR: 1,
    FailureKind.RESPONSE_LOST: 0,
}


@frozen
class HealthPolicy:
    """Back-off and ramp times of a suspect engine, in seconds.

    The back-off doubles with each failure that follows soon, up to
    ``max_backoff_s``; the ramp grows by ``ramp_s`` each time, up to
    ``max_ramp_s``.
    """

    initial_backoff_s: float = INITIAL_BACKOFF_SECONDS
    max_backoff_s: float = MAX_BACKOFF_SECONDS
    ramp_s: float = RAMP_SECONDS
    max_ramp_s: float = MAX_RAMP_SECONDS


@define
class _EngineRecord:
    state: HealthState = HealthState.HEALTHY
    score: int = 0
    failure_episodes: int = 0
    entered_at: float = 0.0
    backoff_s: float = 0.0


class EngineHealth:
    """Health of each engine, derived from the outcomes of calls to it.

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
        self._record_by_engine: dict[str, _EngineRecord] = {}
        self._succeeded_at_by_engine: dict[str, float] = {}

    def record_failure(self, engine: str, failure: FailureKind) -> None:
        """Record a failed call.

        The engine becomes suspect when its failure score reaches
        ``SUSPECT_SCORE``, or at any failure while it is probing or ramping.
        """
        record = self._record_by_engine.setdefault(engine, _EngineRecord())
        self._apply_elapsed_time(record)
        if record.state is HealthState.SUSPECT:
            return
        record.score += self._score(engine, failure)
        if record.state is HealthState.HEALTHY and record.score < SUSPECT_SCORE:
            return
        record.failure_episodes += 1
        doublings = record.failure_episodes - 1
        policy = self._policy
        record.backoff_s = min(
            policy.max_backoff_s, policy.initial_backoff_s * 2.0**doublings
        )
        self._enter(record, HealthState.SUSPECT)

    def record_success(self, engine: str) -> None:
        """Record a call that the engine answered; a probed engine starts to ramp."""
        self._succeeded_at_by_engine[engine] = self._clock.monotonic()
        record = self._record_by_engine.get(engine)
        if record is None:
            return
        self._apply_elapsed_time(record)
        record.score = 0
        if record.state is HealthState.PROBING:
            self._enter(record, HealthState.RAMPING)

    def state(self, engine: str) -> HealthState:
        """Return the current state of an engine; unknown engines are healthy."""
        record = self._record_by_engine.get(engine)
        if record is None:
            return HealthState.HEALTHY
        self._apply_elapsed_time(record)
        return record.state

    def share(self, engine: str) -> float:
        """Return the share of its normal traffic that an engine may take, 0 to 1."""
        state = self.state(engine)
        if state is not HealthState.RAMPING:
            return _SHARE_BY_STATE[state]
        record = self._record_by_engine[engine]
        progress = (self._clock.monotonic() - record.entered_at) / self._ramp_s(record)
        return min(1.0, INITIAL_SHARE + (1.0 - INITIAL_SHARE) * progress)

    def suspects(self) -> set[str]:
        """Return the engines that get no requests now."""
        engines = self._record_by_engine
        return {e for e in engines if self.state(e) is HealthState.SUSPECT}

    def shares(self) -> dict[str, float]:
        """Return the share by engine for shares strictly between 0 and 1."""
        shares = {e: self.share(e) for e in self._record_by_engine}
        return {e: share for e, share in shares.items() if 0.0 < share < 1.0}

    def retain(self, engines: set[str]) -> None:
        """Remove the state of all engines that are not in ``engines``."""
        for engine in self._record_by_engine.keys() - engines:
            del self._record_by_engine[engine]
        for engine in self._succeeded_at_by_engine.keys() - engines:
            del self._succeeded_at_by_engine[engine]

    def _score(self, engine: str, failure: FailureKind) -> int:
        """Return the score of a failure; lower right after a success."""
        succeeded_at = self._succeeded_at_by_engine.get(engine, float("-inf"))
        is_recent = self._clock.monotonic() - succeeded_at < RECENT_SUCCESS_SECONDS
        if failure is FailureKind.UNREACHABLE and is_recent:
            return 1
        return _SCORE_BY_FAILURE[failure]

    def _apply_elapsed_time(self, record: _EngineRecord) -> None:
        """Apply the state transitions that are due by the clock."""
        next_state = _NEXT_STATE.get(record.state)
        if next_state is not None:
            if self._clock.monotonic() - record.entered_at >= self._duration_s(record):
                self._enter(record, next_state)
            return
        healthy_for = self._clock.monotonic() - record.entered_at
        if record.state is HealthState.HEALTHY and healthy_for >= FAILURE_RESET_SECONDS:
            record.failure_episodes = 0

    def _duration_s(self, record: _EngineRecord) -> float:
        if record.state is HealthState.SUSPECT:
            return record.backoff_s
        return self._ramp_s(record)

    def _ramp_s(self, record: _EngineRecord) -> float:
        return min(
            self._policy.max_ramp_s, self._policy.ramp_s * record.failure_episodes
        )

    def _enter(self, record: _EngineRecord, state: HealthState) -> None:
        record.state = state
        record.entered_at = self._clock.monotonic()
        record.score = 0


_SHARE_BY_STATE = {
    HealthState.HEALTHY: 1.0,
    HealthState.SUSPECT: 0.0,
    HealthState.PROBING: INITIAL_SHARE,
}

# Transitions that happen after a time, without the outcome of a call.
_NEXT_STATE = {
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
