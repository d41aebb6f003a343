"""Records what an attempt has met, for its call and for the engine."""

from attrs import define

from dotterelpitch.gateway.attempt_result import AttemptResult
from dotterelpitch.gateway.call import Call, ResponseWriter
from dotterelpitch.gateway.call_log import log_failure
from dotterelpitch.gateway.call_progress import CallProgress
from dotterelpitch.gateway.engine_tracker import EngineTracker
from dotterelpitch.routing.attempt_outcomes import (
    RETRY_RULE_BY_OUTCOME,
    AttemptOutcome,
)
from dotterelpitch.routing.engine_choice import EngineChoice
from dotterelpitch.routing.fleet_rate_limits import FleetRateLimits
from dotterelpitch.routing.health import FailureKind


@define
class AttemptRecorder:
    """Records the results of attempts."""

    _tracker: EngineTracker
    _rate_limits: FleetRateLimits

    def record(
        self,
        call: Call,
        choice: EngineChoice,
        progress: CallProgress,
        writer: ResponseWriter,
        result: AttemptResult,
    ) -> None:
        """Record the result of an attempt at ``choice``."""
        self._tracker.record_attempt(call, choice, result)
        progress.last_result = result
        self.record_version(choice, progress, writer)
        if result.failure is FailureKind.UNREACHABLE:
            progress.unreachable_domains.add(choice.engine.failure_domain)
        if result.outcome is AttemptOutcome.FAILED:
            progress.failed_result = result
            progress.failed_ids.append(choice.engine.id)
        if result.outcome is AttemptOutcome.REJECTED:
            progress.rejected_count += 1
        if result.outcome is AttemptOutcome.NOT_SENT:
            progress.unsent_count += 1
            self._rate_limits.limiter.take_back(choice.engine)
        else:
            progress.sent_count += 1
        if result.outcome is not AttemptOutcome.DELIVERED:
            progress.may_have_run |= RETRY_RULE_BY_OUTCOME[result.outcome].may_have_run
            log_failure(call, choice.engine.id, progress, writer.is_started)

    def record_version(
        self, choice: EngineChoice, progress: CallProgress, writer: ResponseWriter
    ) -> None:
        """Record the version of the engine that has begun a response, if one has."""
        if writer.is_started and progress.version is None:
            progress.version = choice.engine.version
