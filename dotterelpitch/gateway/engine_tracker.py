"""Tracks the health of engines from the outcomes of attempts."""

from dotterelpitch.clock import Clock
from dotterelpitch.gateway.attempt import AttemptResult
from dotterelpitch.gateway.call import Call
from dotterelpitch.routing.attempt_outcomes import AttemptOutcome
from dotterelpitch.routing.crash_detector import CrashDetector
from dotterelpitch.routing.crash_suspects import CrashSuspects, CrashVerdict
from dotterelpitch.routing.domain_reachability import DomainReachability
from dotterelpitch.routing.engine_choice import EngineChoice
from dotterelpitch.routing.error_rates import ErrorRates
from dotterelpitch.routing.health import (
    EngineHealth,
    FailureKind,
    HealthPolicy,
    HealthState,
)
from dotterelpitch.routing.prompt_cache_index import PromptCacheIndex
from dotterelpitch.telemetry.events import Event, log_event

# A request that has crashed this many engines is refused. Two is too low: a resumed
# stream or a caller's own retry can meet two crashing engines by chance.
MAX_CRASHED_ENGINES = 3
# A suspect engine is probed by one request at a time, so the back-off can be short.
HEALTH_POLICY = HealthPolicy(
    initial_backoff_s=0.5, max_backoff_s=4.0, ramp_s=1.0, max_ramp_s=8.0
)

# Attempt outcomes that count as errors in the error rate of an engine.
_FAILED_OUTCOMES = {
    AttemptOutcome.FAILED,
    AttemptOutcome.LOST,
    AttemptOutcome.TIMED_OUT,
}


class EngineTracker:
    """Health, error rates, reachability, crashes, and cached prompts of engines."""

    def __init__(self, clock: Clock, failure_domain: str) -> None:
        self.health = EngineHealth(clock, HEALTH_POLICY)
        self.error_rates = ErrorRates(clock)
        self.domain_reachability = DomainReachability(clock, failure_domain)
        self.prompt_cache = PromptCacheIndex(clock)
        self.suspects = CrashSuspects(clock, MAX_CRASHED_ENGINES)
        self._crash_detector = CrashDetector(clock, self.suspects)

    def is_banned(self, call: Call) -> bool:
        """Return whether requests with this content have crashed engines."""
        return self.suspects.verdict(call.fingerprint) is CrashVerdict.BANNED

    def record_attempt(
        self, call: Call, choice: EngineChoice, result: AttemptResult
    ) -> None:
        """Update the estimates of the chosen engine with the result of an attempt."""
        engine = choice.engine
        if result.outcome in _FAILED_OUTCOMES:
            self.error_rates.record(engine.id, failed=True)
        if result.outcome is AttemptOutcome.DELIVERED:
            self.error_rates.record(engine.id, failed=False)
            self.prompt_cache.record(engine.run_id, call.shared_parts)
            self.suspects.record_completion(call.fingerprint)
        if result.failure is None:
            self.health.record_success(engine.id)
            self.domain_reachability.record_response(engine.failure_domain)
            return
        self._record_failure(call, choice, result)

    def retain(self, engine_ids: set[str]) -> None:
        """Drop the health and error rate of engines that aren't in ``engine_ids``.

        Expired records of possible crashes are dropped as well.
        """
        self.health.retain(engine_ids)
        self.error_rates.retain(engine_ids)
        self._crash_detector.expire()
        for loss in self._crash_detector.take_dismissed():
            log_event(
                Event.CRASH_DISMISSED,
                engine=loss.engine_id,
                fingerprints=loss.fingerprints,
                reason=loss.reason,
            )

    def _record_failure(
        self, call: Call, choice: EngineChoice, result: AttemptResult
    ) -> None:
        engine = choice.engine
        failure = result.failure
        self.health.record_failure(engine.id, failure)
        if failure is FailureKind.UNREACHABLE:
            self.domain_reachability.record_unreachable(
                engine.failure_domain, engine.id
            )
        if failure is FailureKind.RESPONSE_LOST:
            self._crash_detector.record_lost_response(engine.id, call.fingerprint)
        if failure is FailureKind.REFUSED and result.outcome is AttemptOutcome.NOT_SENT:
            crashes = self._crash_detector.record_refused_connection(
                engine.id, str(engine.started_ms), engine.failure_domain
            )
            if crashes:
                log_event(
                    Event.ENGINE_DIED,
                    engine=engine.id,
                    fingerprints=[crash.fingerprint for crash in crashes],
                )
        if self.health.state(engine.id) is HealthState.SUSPECT:
            log_event(Event.ENGINE_SUSPECTED, engine=engine.id, reason=result.reason)
