"""Tracks the health of engines from the outcomes of attempts."""

from collections.abc import Callable

from dotterelpitch.clock import Clock
from dotterelpitch.gateway.attempt_result import AttemptResult
from dotterelpitch.gateway.call import Call
from dotterelpitch.routing.attempt_outcomes import AttemptOutcome
from dotterelpitch.routing.crash_detector import CrashDetector, UnansweredAttempt
from dotterelpitch.routing.crash_history import Crash
from dotterelpitch.routing.crash_suspects import CrashSuspects, CrashVerdict
from dotterelpitch.routing.dismissed_runs import Dismissal
from dotterelpitch.routing.domain_reachability import DomainReachability
from dotterelpitch.routing.engine_choice import EngineChoice
from dotterelpitch.routing.engines import Engine
from dotterelpitch.routing.error_rates import ErrorRates
from dotterelpitch.routing.health import (
    EngineHealth,
    FailureKind,
    HealthPolicy,
    HealthState,
)
from dotterelpitch.routing.part_suspects import PartSuspects
from dotterelpitch.routing.prompt_cache_index import PromptCacheIndex
from dotterelpitch.telemetry.events import Event, log_event

# A request that has crashed this many engines is refused. Two is too low: a resumed
# stream or a caller's own retry can meet two crashing engines by chance.
MAX_CRASHED_ENGINES = 3
# The peers' reports of a crash arrive within this time, so that it is known what else
# was in flight.
REPORT_DELAY_SECONDS = 0.5
# A suspect engine is probed by one request at a time, so the back-off can be short.
HEALTH_POLICY = HealthPolicy(
    initial_backoff_s=0.5, max_backoff_s=4.0, ramp_s=1.0, max_ramp_s=8.0
)

# Attempt outcomes that count as errors in the error rate of an engine.
_FAILED_OUTCOMES = {
    AttemptOutcome.FAILED,
    AttemptOutcome.AMBIGUOUS,
    AttemptOutcome.LOST,
    AttemptOutcome.TIMED_OUT,
}


def _ignore(engine: Engine) -> None:
    """Ignore the return of an engine."""


class EngineTracker:
    """Health, error rates, reachability, crashes, and cached prompts of engines.

    ``on_return`` is called with an engine that responds after its run has ended.
    """

    def __init__(self, clock: Clock, vm: str, failure_domain: str) -> None:
        self.on_return: Callable[[Engine], None] = _ignore
        self._ended_ids: set[str] = set()
        self.health = EngineHealth(clock, HEALTH_POLICY)
        self.error_rates = ErrorRates(clock)
        self.domain_reachability = DomainReachability(clock, failure_domain)
        self.prompt_cache = PromptCacheIndex(clock)
        self.suspects = CrashSuspects(clock, MAX_CRASHED_ENGINES, REPORT_DELAY_SECONDS)
        self.part_suspects = PartSuspects(clock, self.suspects, REPORT_DELAY_SECONDS)
        self.crash_detector = CrashDetector(
            vm, clock, self.suspects, self.part_suspects
        )

    def is_banned(self, call: Call) -> bool:
        """Return whether requests with this content have crashed engines."""
        verdict = self.suspects.verdict(call.fingerprint, self.part_suspects.explains)
        return verdict is CrashVerdict.BANNED

    def banned_parts(self, call: Call) -> list[str]:
        """Return the prompt parts for which a call is banned, if any."""
        return self.part_suspects.banned_parts(call.leading_parts)

    def heard_from(self, engine: Engine) -> None:
        """Record bytes from an engine."""
        self.crash_detector.heard_from(engine.id)
        self.domain_reachability.heard_from(engine.failure_domain)

    def response_continued(self, attempt: UnansweredAttempt) -> None:
        """Record bytes of a response, which only the run that got the request sends."""
        self.heard_from(attempt.engine)
        self._runs_go_on(self.crash_detector.response_continued(attempt), "")

    def record_dismissals(self, dismissals: list[Dismissal], peer: str) -> None:
        """Record what a peer has told of runs that counted as ended and go on."""
        self._runs_go_on(self.suspects.dismissed_runs.merge(dismissals), peer)

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
            if result.is_end_certain:
                self.crash_detector.request_completed(
                    call.fingerprint, call.leading_parts
                )
        if result.failure is None:
            self.health.record_success(engine.id)
            if engine.id in self._ended_ids:
                self._ended_ids.discard(engine.id)
                self.on_return(engine)
            self.domain_reachability.record_response(engine.failure_domain)
            return
        self._record_failure(engine, result)

    def record_engine_end(
        self, engine: Engine, failure: FailureKind, evidence: str
    ) -> None:
        """Record that an engine has ended without notice.

        The requests that it left unanswered become crash suspects. ``evidence`` says
        how it is known, for the log.
        """
        if failure is FailureKind.REFUSED:
            self._ended_ids.add(engine.id)
        if self.health.state(engine.id) is not HealthState.SUSPECT:
            self.health.record_failure(engine.id, failure)
            self._log_if_suspect(engine, evidence)
        is_silence = failure is FailureKind.UNREACHABLE
        self._record_crash(engine, evidence, is_silence)

    def record_engine_restart(self, previous: Engine) -> None:
        """Record that the registry lists another run in place of ``previous``."""
        crashes = self.crash_detector.engine_restarted(previous)
        _log_crashes(previous, "restarted", crashes)

    def record_peer_report(self, engine: Engine, crashed_at: float) -> None:
        """Record that an engine crashed at a peer; ``crashed_at`` is monotonic.

        The engine becomes suspect here too, unless it was heard since.
        """
        if self.crash_detector.has_outlived(engine.id, crashed_at):
            return
        self._ended_ids.add(engine.id)
        if self.health.state(engine.id) is HealthState.HEALTHY:
            self.health.record_failure(engine.id, FailureKind.REFUSED)
            self._log_if_suspect(engine, "a peer has reported its crash")

    def retain(self, engine_ids: set[str]) -> None:
        """Drop the health and error rate of engines that aren't in ``engine_ids``.

        Expired records of possible crashes are dropped as well.
        """
        self.health.retain(engine_ids)
        self.error_rates.retain(engine_ids)
        self.crash_detector.retain(engine_ids)
        self._ended_ids &= engine_ids
        self.crash_detector.expire()

    def _record_failure(self, engine: Engine, result: AttemptResult) -> None:
        failure = result.failure
        self.health.record_failure(engine.id, failure)
        if failure is FailureKind.UNREACHABLE:
            self.domain_reachability.record_unreachable(
                engine.failure_domain, engine.id
            )
        if failure is FailureKind.REFUSED:
            self._ended_ids.add(engine.id)
            self._record_crash(engine, result.reason)
        self._log_if_suspect(engine, result.reason)

    def _record_crash(
        self, engine: Engine, evidence: str, is_silence: bool = False
    ) -> None:
        crashes = self.crash_detector.engine_ended(engine, is_silence)
        _log_crashes(engine, evidence, crashes)

    def _runs_go_on(self, dismissals: list[Dismissal], peer: str) -> None:
        """Log the runs that go on; their engines don't return from an end."""
        for dismissal in dismissals:
            engine_id, run = dismissal.run_key
            self._ended_ids.discard(engine_id)
            log_event(
                Event.CRASH_DISMISSED,
                engine=engine_id,
                run=run,
                reason="a response of the run has gone on",
                peer=peer,
            )

    def _log_if_suspect(self, engine: Engine, reason: str) -> None:
        if self.health.state(engine.id) is HealthState.SUSPECT:
            log_event(Event.ENGINE_SUSPECTED, engine=engine.id, reason=reason)


def _log_crashes(engine: Engine, evidence: str, crashes: list[Crash]) -> None:
    if crashes:
        log_event(
            Event.ENGINE_DIED,
            engine=engine.id,
            run=crashes[0].engine_run,
            evidence=evidence,
            fingerprints=[crash.suspect for crash in crashes],
        )
