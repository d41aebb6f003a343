"""Track the health of engines from the outcomes of attempts."""

from dotterelpitch.clock import Clock
from dotterelpitch.gateway.attempt import AttemptResult
from dotterelpitch.gateway.call import Call
from dotterelpitch.routing.attempts import AttemptEnd
from dotterelpitch.routing.crash_suspects import CrashSuspects, Verdict
from dotterelpitch.routing.domain_reach import DomainReach
from dotterelpitch.routing.engine_choice import Choice
from dotterelpitch.routing.engine_deaths import EngineDeaths
from dotterelpitch.routing.error_rates import ErrorRates
from dotterelpitch.routing.health import (
    EngineHealth,
    Failure,
    Health,
    HealthPolicy,
)
from dotterelpitch.routing.prompt_holders import PromptHolders
from dotterelpitch.telemetry.events import Event, log_event

# A request that has crashed this many engines is refused. Two is too low: a resumed
# stream or a caller's own retry can meet two crashing engines by chance.
MAX_CRASHED_ENGINES = 3
# A suspect engine is probed by one request at a time, so the back-off can be short.
HEALTH_POLICY = HealthPolicy(first_backoff=0.5, max_backoff=4.0, ramp=1.0, max_ramp=8.0)

# Attempt ends that count as errors in the error rate of an engine.
_FAILED_ENDS = {AttemptEnd.FAILED, AttemptEnd.LOST, AttemptEnd.TIMED_OUT}


class EngineTracker:
    """Health, error rates, reachability, crashes, and cached prompts of engines."""

    def __init__(self, clock: Clock, failure_domain: str) -> None:
        self.health = EngineHealth(clock, HEALTH_POLICY)
        self.error_rates = ErrorRates(clock)
        self.reach = DomainReach(clock, failure_domain)
        self.holders = PromptHolders(clock)
        self.suspects = CrashSuspects(clock, MAX_CRASHED_ENGINES)
        self._deaths = EngineDeaths(clock, self.suspects)

    def is_banned(self, call: Call) -> bool:
        """Return whether requests with this content have crashed engines."""
        return self.suspects.verdict(call.fingerprint) is Verdict.BANNED

    def record_attempt(self, call: Call, choice: Choice, result: AttemptResult) -> None:
        """Update the estimates of the chosen engine with the result of an attempt."""
        engine = choice.engine
        if result.end in _FAILED_ENDS:
            self.error_rates.note(engine.id, failed=True)
        if result.end is AttemptEnd.DELIVERED:
            self.error_rates.note(engine.id, failed=False)
            self.holders.note(engine.run, call.shared_parts)
            self.suspects.completed(call.fingerprint)
        if result.failure is None:
            self.health.succeeded(engine.id)
            self.reach.answered(engine.failure_domain)
            return
        self._record_failure(call, choice, result)

    def retain(self, engine_ids: set[str]) -> None:
        """Drop the health and error rate of engines that aren't in ``engine_ids``."""
        self.health.retain(engine_ids)
        self.error_rates.retain(engine_ids)
        self._deaths.forget_old()

    def _record_failure(
        self, call: Call, choice: Choice, result: AttemptResult
    ) -> None:
        engine = choice.engine
        failure = result.failure
        self.health.failed(engine.id, failure)
        if failure is Failure.UNREACHABLE:
            self.reach.unreachable(engine.failure_domain, engine.id)
        if failure is Failure.BROKEN_ANSWER:
            self._deaths.answer_broke(engine.id, call.fingerprint)
        if failure is Failure.REFUSED and result.end is AttemptEnd.NOT_SENT:
            crashes = self._deaths.refused(
                engine.id, str(engine.started_ms), engine.failure_domain
            )
            if crashes:
                log_event(Event.ENGINE_DIED, engine=engine.id, suspects=len(crashes))
        if self.health.state(engine.id) is Health.SUSPECT:
            log_event(Event.ENGINE_SUSPECTED, engine=engine.id, reason=result.reason)
