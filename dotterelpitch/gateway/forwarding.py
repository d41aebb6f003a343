"""Takes a call from engine to engine until it has its one answer."""

from attrs import define, field

from dotterelpitch.clock import Clock
from dotterelpitch.gateway.attempt import AttemptLimits, AttemptResult, Attempts
from dotterelpitch.gateway.call import Answerer, Call
from dotterelpitch.gateway.event_sequence import EventSequence
from dotterelpitch.gateway.refusals import refuse
from dotterelpitch.gateway.state import GatewayState
from dotterelpitch.routing.attempts import (
    RULE_BY_END,
    AttemptEnd,
    FinalAnswer,
    final_answer,
)
from dotterelpitch.routing.engine_choice import Choice, EngineChooser
from dotterelpitch.routing.fleet_loads import FleetLoads
from dotterelpitch.routing.health import EngineHealth, Failure
from dotterelpitch.routing.retry_window import RetryWindow
from dotterelpitch.routing.route_table import CallKind
from dotterelpitch.telemetry.events import Event, log_event

# An engine that can't be connected to costs a few milliseconds, so more are tried.
MAX_UNSENT_TRIES = 4
# Time that an attempt needs to be of any use.
LEAST_ATTEMPT_SECONDS = 0.03
# An answer takes as long as this many objectives before another engine is asked.
PATIENCE_OBJECTIVES = {CallKind.SAFE: 3.0, CallKind.STREAM: 3.0}
# The part of the engines' connections that this fleet uses; others connect too.
CONNECTION_SHARE = 0.8
MIN_CONNECTIONS = 4

_FAILURE_BY_END = {
    AttemptEnd.FAILED: Failure.SERVER_ERROR,
    AttemptEnd.LOST: Failure.SERVER_ERROR,
    AttemptEnd.TIMED_OUT: Failure.TIMEOUT,
}


@define
class Progress:
    """What has happened to one call so far."""

    events: EventSequence
    tried_ids: list[str] = field(factory=list)
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
        health: EngineHealth,
        retries: RetryWindow,
        attempts: Attempts,
    ) -> None:
        self._clock = clock
        self._state = state
        self._chooser = chooser
        self._loads = loads
        self._health = health
        self._retries = retries
        self._attempts = attempts

    async def forward(self, call: Call, answerer: Answerer) -> None:
        """Give the caller the answer of an engine, or say why there is none."""
        self._retries.request_started(call.service)
        progress = Progress(EventSequence(call.headers.last_event_id))
        while True:
            choice = self._chooser.choose(
                call.service, call.cache_key, progress.tried_ids
            )
            if choice is None:
                break
            result = await self._attempt(call, choice, progress, answerer)
            if result.end is AttemptEnd.DELIVERED:
                self._log_end(call, "completed", result.status, choice)
                return
            if not self._may_try_again(call, progress):
                break
        await self._give_up(call, progress, answerer)

    async def _attempt(
        self, call: Call, choice: Choice, progress: Progress, answerer: Answerer
    ) -> AttemptResult:
        engine_id = choice.engine.id
        progress.tried_ids.append(engine_id)
        self._log_choice(call, choice, progress)
        self._loads.started(engine_id)
        try:
            result = await self._attempts.run(
                call, choice, self._limits(call, progress), answerer, progress.events
            )
        finally:
            self._loads.ended(engine_id)
        self._learn(engine_id, result)
        progress.last = result
        if result.end is AttemptEnd.NOT_SENT:
            progress.unsent += 1
        else:
            progress.sent += 1
        if result.end is not AttemptEnd.DELIVERED:
            progress.may_have_run |= RULE_BY_END[result.end].may_have_run
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
            call.route.may_repeat and progress.sent + 1 < call.route.max_attempts
        )
        answer_by = call.deadline
        if may_repeat:
            patience_s = call.route.objective_s * PATIENCE_OBJECTIVES[call.route.kind]
            answer_by = min(now + patience_s, (now + call.deadline) / 2)
        service = call.config.service_by_name.get(call.service)
        vms = self._loads.peers_heard() + 1
        share = service.max_connections * CONNECTION_SHARE / vms if service else 0
        return AttemptLimits(
            call.deadline, answer_by, max(MIN_CONNECTIONS, int(share)), may_repeat
        )

    def _learn(self, engine_id: str, result: AttemptResult) -> None:
        if result.end is AttemptEnd.DELIVERED:
            self._health.succeeded(engine_id)
        elif result.is_engine_down or result.is_other_engine:
            self._health.failed(engine_id, Failure.REFUSED)
        elif result.end is AttemptEnd.NOT_SENT:
            self._health.failed(engine_id, Failure.TIMEOUT)
        elif result.end in _FAILURE_BY_END:
            self._health.failed(engine_id, _FAILURE_BY_END[result.end])

    def _may_try_again(self, call: Call, progress: Progress) -> bool:
        """Return whether another attempt follows the last one, and pay for it."""
        left_s = call.deadline - self._clock.monotonic()
        if left_s < LEAST_ATTEMPT_SECONDS:
            return False
        if progress.unsent >= MAX_UNSENT_TRIES:
            return False
        if progress.may_have_run and not call.route.may_repeat:
            return False
        if not RULE_BY_END[progress.last.end].costs_budget:
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
            self._log_end(call, "broken-off", 0, None, progress)
            answerer.abort()
            return
        last = progress.last
        final = FinalAnswer.REFUSAL
        if last is not None:
            final = final_answer(last.end, progress.may_have_run)
        if final is FinalAnswer.ENGINE_ANSWER:
            self._log_end(call, "failed", last.status, None, progress)
            await answerer.send_whole(last.status, last.headers, last.body)
            return
        reason = last.reason if last else "no engine is known"
        left_s = call.deadline - self._clock.monotonic()
        await refuse(answerer, final, call.request_id, reason, left_s)

    def _log_choice(self, call: Call, choice: Choice, progress: Progress) -> None:
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
        outcome: str,
        status: int,
        choice: Choice | None,
        progress: Progress | None = None,
    ) -> None:
        log_event(
            Event.REQUEST_ENDED,
            request=call.request_id,
            outcome=outcome,
            status=status,
            engine=choice.engine.id if choice else "",
            reason=progress.last.reason if progress and progress.last else "",
            seconds=round(self._clock.monotonic() - call.started, 4),
        )
