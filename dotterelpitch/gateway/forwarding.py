"""Forwards a call to engines, with retries, until the caller has a response."""

from collections.abc import Callable
from functools import partial

from attrs import evolve

from dotterelpitch.clock import Clock
from dotterelpitch.gateway.attempt import AttemptRunner
from dotterelpitch.gateway.attempt_recorder import AttemptRecorder
from dotterelpitch.gateway.attempt_result import AttemptResult
from dotterelpitch.gateway.call import Call, ResponseWriter
from dotterelpitch.gateway.call_log import log_choice, log_end, log_failure
from dotterelpitch.gateway.call_progress import CallProgress
from dotterelpitch.gateway.call_rules import CallRules, RateLimitRule
from dotterelpitch.gateway.engine_selection import EngineSelection
from dotterelpitch.gateway.event_stream_filter import EventStreamFilter
from dotterelpitch.gateway.peer_forwarder import PeerForwarder
from dotterelpitch.gateway.refusals import refuse
from dotterelpitch.gateway.response_forwarding import AttemptLimits
from dotterelpitch.gateway.state import GatewayState
from dotterelpitch.gateway.stream_handover import StreamHandover
from dotterelpitch.gateway.stream_resumption import (
    NO_ENGINE_OF_VERSION_REASON,
    StreamResumption,
)
from dotterelpitch.gateway.successor_finder import SuccessorFinder
from dotterelpitch.routing.attempt_outcomes import (
    AttemptOutcome,
    FinalResponse,
    final_response,
)
from dotterelpitch.routing.engine_choice import EngineChoice
from dotterelpitch.routing.engine_pauses import EnginePauses
from dotterelpitch.routing.fleet_loads import FleetLoads
from dotterelpitch.routing.fleet_retry_budget import FleetRetryBudget
from dotterelpitch.routing.route_table import CallKind

# An attempt that could be retried times out after this many latency objectives. A
# plain response from a second engine can still be in time; for a stream, having
# another engine process the prompt again costs more than waiting.
ATTEMPT_TIMEOUT_OBJECTIVES = {
    CallKind.SAFE: 0.65,
    CallKind.STREAM: 3.0,
    CallKind.UNSAFE: 3.0,
}
# Share of the engines' connection limit that this fleet uses; other clients connect
# to the engines too.
CONNECTION_SHARE = 0.8
# Each gateway may open this many connections to an engine, however small its share.
MIN_CONNECTIONS = 4

# An evacuation takes long, so a caller returns later, but well within its time.
EVACUATED_WAIT_SHARE = 0.2

# The peers have been told of what happened longer ago.
UNREPORTED_SECONDS = 0.5

NO_ENGINE_REASON = "no engine is known"
NO_OTHER_ENGINE_REASON = "no other engine takes it"
PEER_STREAM_REASON = "a peer has begun the stream"


class Forwarder:
    """Chooses engines for calls and decides after each attempt whether to retry."""

    def __init__(
        self,
        clock: Clock,
        state: GatewayState,
        selection: EngineSelection,
        loads: FleetLoads,
        recorder: AttemptRecorder,
        retry_budget: FleetRetryBudget,
        rules: CallRules,
        pauses: EnginePauses,
        attempt_runner: AttemptRunner,
        stream_resumption: StreamResumption,
        peer_forwarder: PeerForwarder,
        successor_finder: SuccessorFinder,
        stream_handover: StreamHandover,
    ) -> None:
        self._clock = clock
        self._state = state
        self._selection = selection
        self._loads = loads
        self._recorder = recorder
        self._retry_budget = retry_budget
        self._rules = rules
        self._pauses = pauses
        self._attempt_runner = attempt_runner
        self._stream_resumption = stream_resumption
        self._peer_forwarder = peer_forwarder
        self._successor_finder = successor_finder
        self._stream_handover = stream_handover

    async def forward(
        self, call: Call, writer: ResponseWriter, progress: CallProgress | None = None
    ) -> None:
        """Send the caller an engine's response, or a refusal with its reason.

        ``progress`` is what has been done for the call before, if a peer has forwarded
        it. While no engine is reachable from here, a peer sends the call to engines.
        """
        if progress is None:
            progress = CallProgress(EventStreamFilter(call.headers.last_event_id))
        try:
            if not await self._forward_to_peers(call, progress, writer):
                await self._forward_from_here(call, progress, writer)
        finally:
            if not progress.is_delivered and self._has_just_begun(writer):
                # The caller may take the stream up again at another VM now.
                self._state.notify_peers()

    async def _forward_from_here(
        self, call: Call, progress: CallProgress, writer: ResponseWriter
    ) -> None:
        """Send a call to engines, unless its stream or a rule forbids it."""
        reason = ""
        if progress.version is None:
            resumption = await self._stream_resumption.resolve(call)
            if resumption.service != call.service:
                call = evolve(call, service=resumption.service)
            progress.version = resumption.version
            reason = resumption.refusal_reason
        reason = reason or self._rules.refusal_reason(call, progress)
        if reason:
            await self._refuse(call, progress, writer, FinalResponse.REFUSAL, reason)
            return
        self._retry_budget.request_started(call.service)
        await self._forward(call, progress, writer)

    async def _forward_to_peers(
        self, call: Call, progress: CallProgress, writer: ResponseWriter
    ) -> bool:
        """Forward a call to a peer if no engine is reachable from here.

        Return whether the call is done; it isn't if no peer takes it.
        """
        while (vm := self._peer_forwarder.choose(progress)) is not None:
            result = await self._peer_forwarder.run(vm, call, progress, writer)
            progress.last_result = result
            if result.outcome is AttemptOutcome.NOT_SENT:
                continue
            if result.outcome is AttemptOutcome.DELIVERED:
                self._log_delivered(call, progress, writer, result)
                return True
            progress.sent_count += 1
            progress.may_have_run = True
            log_failure(call, vm.name, progress, writer.is_started)
            if writer.is_started and progress.version is None:
                progress.no_retry_reason = PEER_STREAM_REASON
            else:
                progress.no_retry_reason = self._rules.no_retry_reason(call, progress)
            if progress.no_retry_reason:
                await self._give_up(call, progress, writer)
                return True
        return False

    def _log_delivered(
        self,
        call: Call,
        progress: CallProgress,
        writer: ResponseWriter,
        result: AttemptResult,
        engine_id: str = "",
    ) -> None:
        progress.is_delivered = True
        now = self._clock.monotonic()
        log_end(call, writer, "completed", result, now, engine_id)

    def _log_failed(
        self,
        call: Call,
        progress: CallProgress,
        writer: ResponseWriter,
        outcome: str,
        result: AttemptResult,
    ) -> None:
        now = self._clock.monotonic()
        reason = progress.no_retry_reason
        log_end(call, writer, outcome, result, now, no_retry_reason=reason)

    async def _forward(
        self, call: Call, progress: CallProgress, writer: ResponseWriter
    ) -> None:
        """Make attempts until one is delivered or none may follow."""
        while True:
            choice = progress.take_next_choice() or self._selection.select(
                call, progress
            )
            if choice is None:
                progress.no_retry_reason = NO_OTHER_ENGINE_REASON
                break
            result = await self._attempt(call, choice, progress, writer)
            if result.outcome is AttemptOutcome.DELIVERED:
                self._log_delivered(call, progress, writer, result, choice.engine.id)
                return
            if not self._may_go_on(call, progress):
                break
            if progress.next_choice is None and await self._forward_to_peers(
                call, progress, writer
            ):
                return
        await self._give_up(call, progress, writer)

    def _may_go_on(self, call: Call, progress: CallProgress) -> bool:
        """Return whether another attempt may follow, unless none can be made."""
        if progress.is_retry_reserved:
            progress.is_retry_reserved = False
            return True
        progress.no_retry_reason = self._rules.no_retry_reason(call, progress)
        return not progress.no_retry_reason

    def _has_just_begun(self, writer: ResponseWriter) -> bool:
        """Return whether a response began after the last digest to the peers."""
        age_s = self._clock.monotonic() - writer.started_at
        return writer.is_started and age_s < UNREPORTED_SECONDS

    async def _attempt(
        self,
        call: Call,
        choice: EngineChoice,
        progress: CallProgress,
        writer: ResponseWriter,
    ) -> AttemptResult:
        limits = self._limits(call, choice, progress, writer)
        opened = progress.take_open_attempt()
        self._loads.request_started(choice.engine.id)
        try:
            if opened is None:
                self._note_choice(call, choice, progress)
                result = await self._attempt_runner.run(
                    call, choice, limits, writer, progress.events
                )
            else:
                result = await self._attempt_runner.finish(
                    opened, call, limits, writer, progress.events
                )
        finally:
            self._loads.request_ended(choice.engine.id)
        if progress.is_retry_reserved:
            progress.left_ids.append(choice.engine.id)
        progress.is_bound_to_attempt = False
        self._recorder.record(call, choice, progress, writer, result)
        return result

    def _note_choice(
        self, call: Call, choice: EngineChoice, progress: CallProgress
    ) -> None:
        progress.tried_ids.append(choice.engine.id)
        log_choice(call, choice, progress, self._state.age_s)

    def _limits(
        self,
        call: Call,
        choice: EngineChoice,
        progress: CallProgress,
        writer: ResponseWriter,
    ) -> AttemptLimits:
        now = self._clock.monotonic()
        may_retry = (
            call.route.is_retryable
            and progress.sent_count + 1 < call.route.max_attempts
        )
        answer_by = call.deadline
        if may_retry:
            timeout_s = (
                call.route.objective_s * ATTEMPT_TIMEOUT_OBJECTIVES[call.route.kind]
            )
            answer_by = min(now + timeout_s, (now + call.deadline) / 2)
        service = call.config.service_by_name.get(call.service)
        vms = self._retry_budget.vm_count
        share = service.max_connections * CONNECTION_SHARE / vms if service else 0
        return AttemptLimits(
            call.deadline,
            answer_by,
            max(MIN_CONNECTIONS, int(share)),
            partial(self._find_successor, call, choice, progress, writer)
            if may_retry
            else None,
        )

    async def _find_successor(
        self,
        call: Call,
        choice: EngineChoice,
        progress: CallProgress,
        writer: ResponseWriter,
        is_needed: Callable[[], bool],
    ) -> bool:
        """Return whether the attempt at ``choice`` may be left for another one.

        A stream that has begun is sent to its next engine first.
        """
        self._recorder.record_version(choice, progress, writer)
        if not await self._successor_finder.find(call, progress, is_needed):
            return False
        successor = progress.next_choice
        if successor is None or not writer.is_started:
            return True
        self._note_choice(call, successor, progress)
        limits = self._limits(call, successor, progress, writer)
        return await self._stream_handover.open_next(
            call, progress, writer, limits, is_needed
        )

    async def _give_up(
        self, call: Call, progress: CallProgress, writer: ResponseWriter
    ) -> None:
        if writer.is_started:
            self._log_failed(call, progress, writer, "broken-off", progress.last_result)
            writer.abort()
            return
        last_result = progress.last_result
        final = FinalResponse.REFUSAL
        if last_result is not None:
            final = final_response(last_result.outcome, progress.may_have_run)
        failure = progress.failed_result
        if failure is not None and final is not FinalResponse.TIMEOUT:
            self._log_failed(call, progress, writer, "failed", failure)
            await writer.send_response(failure.status, failure.headers, failure.body)
            return
        reason = (
            last_result.reason if last_result else self._missing_reason(call, progress)
        )
        await self._refuse(call, progress, writer, final, reason)

    async def _refuse(
        self,
        call: Call,
        progress: CallProgress,
        writer: ResponseWriter,
        final: FinalResponse,
        reason: str,
    ) -> None:
        """Send an error response that names when a retry may be served."""
        remaining_s = call.deadline - self._clock.monotonic()
        engines = [
            engine
            for engine in self._state.directory.usable(call.service)
            if progress.version in (None, engine.version)
        ]
        wait_s = self._pauses.remaining_s(engines) or 0.0
        if self._state.directory.has_only_evacuated(call.service):
            wait_s = EVACUATED_WAIT_SHARE * remaining_s
        await refuse(writer, final, call.request_id, reason, remaining_s, wait_s)

    def _missing_reason(self, call: Call, progress: CallProgress) -> str:
        """Return why no engine was chosen for a call."""
        if progress.version is not None:
            return NO_ENGINE_OF_VERSION_REASON
        if self._state.directory.usable(call.service):
            return RateLimitRule.reason
        return NO_ENGINE_REASON
