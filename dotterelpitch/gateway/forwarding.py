"""Takes a call from engine to engine until it has its one answer."""

import random

from attrs import define, field

from dotterelpitch.clock import Clock
from dotterelpitch.gateway.attempt import AttemptLimits, AttemptResult, Attempts
from dotterelpitch.gateway.call import Answerer, Call
from dotterelpitch.gateway.engine_beliefs import EngineBeliefs
from dotterelpitch.gateway.event_sequence import EventSequence
from dotterelpitch.gateway.refusals import refuse
from dotterelpitch.gateway.state import GatewayState
from dotterelpitch.routing.attempt_outcomes import (
    RETRY_RULE_BY_OUTCOME,
    AttemptOutcome,
    FinalResponse,
    final_response,
)
from dotterelpitch.routing.concurrency_limiter import AdaptiveConcurrencyLimiter
from dotterelpitch.routing.engine_choice import EngineChoice, EngineChooser
from dotterelpitch.routing.fleet_loads import FleetLoads
from dotterelpitch.routing.fleet_retry_budget import FleetRetryBudget
from dotterelpitch.routing.health import FailureKind
from dotterelpitch.routing.route_table import CallKind
from dotterelpitch.telemetry.events import Event, log_event

# An engine that can't be connected to costs a few milliseconds, so more are tried.
MAX_UNSENT_TRIES = 4
# An attempt with less time than this, or than this part of its objective, is of no
# use: not even an idle engine answers so soon.
LEAST_ATTEMPT_SECONDS = 0.03
LEAST_ATTEMPT_OBJECTIVES = 0.1
# Another engine is asked after this many objectives. A plain answer from it can
# still be in time; a prompt that is read once more costs more than the wait.
PATIENCE_OBJECTIVES = {CallKind.SAFE: 0.65, CallKind.STREAM: 3.0, CallKind.UNSAFE: 3.0}
# The part of the engines' connections that this fleet uses; others connect too.
CONNECTION_SHARE = 0.8
MIN_CONNECTIONS = 4
# Of the requests that can't be repeated, so many may try a suspect engine again.
UNSAFE_PROBE_SHARE = 0.1


@define
class Progress:
    """What has happened to one call so far."""

    events: EventSequence
    tried_ids: list[str] = field(factory=list)
    answered_ids: list[str] = field(factory=list)
    silent_domains: set[str] = field(factory=set)
    engine_failure: AttemptResult | None = None
    sent: int = 0
    unsent: int = 0
    may_have_run: bool = False
    last: AttemptResult | None = None


class Forwarder:
    """Chooses engines for calls and says what follows each attempt."""

    def __init__(
        self,
        clock: Clock,
        state: GatewayState,
        chooser: EngineChooser,
        loads: FleetLoads,
        beliefs: EngineBeliefs,
        retries: FleetRetryBudget,
        overload: AdaptiveConcurrencyLimiter,
        attempts: Attempts,
    ) -> None:
        self._clock = clock
        self._state = state
        self._chooser = chooser
        self._loads = loads
        self._beliefs = beliefs
        self._retries = retries
        self._overload = overload
        self._attempts = attempts

    async def forward(self, call: Call, answerer: Answerer) -> None:
        """Give the caller the answer of an engine, or say why there is none."""
        if reason := self._reason_to_refuse(call):
            left_s = call.deadline - self._clock.monotonic()
            final = FinalResponse.REFUSAL
            await refuse(answerer, final, call.request_id, reason, left_s)
            return
        self._retries.request_started(call.service)
        progress = Progress(EventSequence(call.headers.last_event_id))
        while True:
            choice = self._choose(call, progress)
            if choice is None:
                break
            result = await self._attempt(call, choice, progress, answerer)
            if result.end is AttemptOutcome.DELIVERED:
                self._log_end(call, answerer, "completed", result, choice.engine.id)
                return
            if not self._may_try_again(call, progress):
                break
        await self._give_up(call, progress, answerer)

    def _reason_to_refuse(self, call: Call) -> str:
        """Return why a call isn't sent at all, or nothing."""
        if not self._has_time(call):
            return "its deadline is too near"
        if self._beliefs.is_banned(call):
            log_event(Event.REQUEST_BANNED, request=call.request_id)
            return "requests with this content have crashed engines"
        if not self._overload.admits(call.service, call.priority):
            return "the engines have more work than they can do in time"
        return ""

    def _has_time(self, call: Call) -> bool:
        """Whether one more attempt could still be answered."""
        least_s = LEAST_ATTEMPT_OBJECTIVES * call.route.objective_s
        left_s = call.deadline - self._clock.monotonic()
        return left_s >= max(LEAST_ATTEMPT_SECONDS, least_s)

    def _choose(self, call: Call, progress: Progress) -> EngineChoice | None:
        """Return an engine that hasn't had the call, or one that may fail by chance."""
        may_probe = call.route.is_retryable or random.random() < UNSAFE_PROBE_SHARE
        choice = self._chooser.choose(
            call.service,
            call.shared_parts,
            progress.tried_ids,
            progress.silent_domains,
            may_probe,
        )
        if choice is not None or not progress.answered_ids:
            return choice
        silent_ids = [i for i in progress.tried_ids if i not in progress.answered_ids]
        return self._chooser.choose(call.service, call.shared_parts, silent_ids)

    async def _attempt(
        self, call: Call, choice: EngineChoice, progress: Progress, answerer: Answerer
    ) -> AttemptResult:
        engine_id = choice.engine.id
        progress.tried_ids.append(engine_id)
        self._log_choice(call, choice, progress)
        self._loads.request_started(engine_id)
        try:
            result = await self._attempts.run(
                call, choice, self._limits(call, progress), answerer, progress.events
            )
        finally:
            self._loads.request_ended(engine_id)
        self._beliefs.learn(call, choice, result)
        progress.last = result
        if result.failure is FailureKind.UNREACHABLE:
            progress.silent_domains.add(choice.engine.failure_domain)
        if result.end is AttemptOutcome.FAILED:
            progress.engine_failure = result
            progress.answered_ids.append(engine_id)
        if result.end is AttemptOutcome.NOT_SENT:
            progress.unsent += 1
        else:
            progress.sent += 1
        if result.end is not AttemptOutcome.DELIVERED:
            progress.may_have_run |= RETRY_RULE_BY_OUTCOME[result.end].may_have_run
            log_event(
                Event.ATTEMPT_FAILED,
                request=call.request_id,
                engine=engine_id,
                end=result.end,
                reason=result.reason,
                started=answerer.is_started,
                last_event=progress.events.last_id,
            )
        return result

    def _limits(self, call: Call, progress: Progress) -> AttemptLimits:
        now = self._clock.monotonic()
        may_repeat = (
            call.route.is_retryable and progress.sent + 1 < call.route.max_attempts
        )
        answer_by = call.deadline
        if may_repeat:
            patience_s = call.route.objective_s * PATIENCE_OBJECTIVES[call.route.kind]
            answer_by = min(now + patience_s, (now + call.deadline) / 2)
        service = call.config.service_by_name.get(call.service)
        vms = self._retries.vm_count
        share = service.max_connections * CONNECTION_SHARE / vms if service else 0
        return AttemptLimits(
            call.deadline, answer_by, max(MIN_CONNECTIONS, int(share)), may_repeat
        )

    def _may_try_again(self, call: Call, progress: Progress) -> bool:
        """Return whether another attempt follows the last one, and pay for it."""
        if not self._has_time(call):
            return False
        if progress.unsent >= MAX_UNSENT_TRIES:
            return False
        if progress.may_have_run and not call.route.is_retryable:
            return False
        if not RETRY_RULE_BY_OUTCOME[progress.last.end].costs_budget:
            return True
        if progress.sent >= call.route.max_attempts:
            return False
        if self._retries.try_spend(call.service):
            return True
        log_event(
            Event.RETRY_BUDGET_SPENT, request=call.request_id, service=call.service
        )
        return False

    async def _give_up(
        self, call: Call, progress: Progress, answerer: Answerer
    ) -> None:
        if answerer.is_started:
            self._log_end(call, answerer, "broken-off", progress.last)
            answerer.abort()
            return
        last = progress.last
        final = FinalResponse.REFUSAL
        if last is not None:
            final = final_response(last.end, progress.may_have_run)
        failure = progress.engine_failure
        if failure is not None and final is not FinalResponse.TIMEOUT:
            self._log_end(call, answerer, "failed", failure)
            await answerer.send_whole(failure.status, failure.headers, failure.body)
            return
        reason = last.reason if last else "no engine is known"
        left_s = call.deadline - self._clock.monotonic()
        await refuse(answerer, final, call.request_id, reason, left_s)

    def _log_choice(self, call: Call, choice: EngineChoice, progress: Progress) -> None:
        source = choice.cache_source
        log_event(
            Event.ATTEMPT_STARTED,
            request=call.request_id,
            route=call.route.name,
            account=call.account_name,
            engine=choice.engine.id,
            reason=choice.reason,
            load=choice.load,
            mean_load=round(choice.mean_load, 1),
            cache_source=source.id if source else "",
            attempt=progress.sent + progress.unsent + 1,
            config=call.config.version,
            engines_age_s=round(self._state.age_s, 2),
        )

    def _log_end(
        self,
        call: Call,
        answerer: Answerer,
        outcome: str,
        result: AttemptResult,
        engine_id: str = "",
    ) -> None:
        """Log the outcome; ``first_s`` is the time to the answer's first byte."""
        now = self._clock.monotonic()
        first_s = answerer.started_at - call.started if answerer.is_started else None
        log_event(
            Event.REQUEST_ENDED,
            request=call.request_id,
            route=call.route.name,
            outcome=outcome,
            status=result.status,
            engine=engine_id,
            reason=result.reason,
            connect_s=_rounded(result.connect_s),
            first_s=_rounded(first_s),
            longest_pause_s=_rounded(result.longest_pause_s),
            seconds=_rounded(now - call.started),
        )


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 4)
