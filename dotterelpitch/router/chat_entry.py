"""Handles callers' chats: checks limits, dispatches them, and relays responses."""

from aiohttp import web

from dotterelpitch.errors import PeerError
from dotterelpitch.protocol.frames import Data
from dotterelpitch.protocol.messages import (
    DispatchFailed,
    ResponseHead,
)
from dotterelpitch.protocol.stream import Stream
from dotterelpitch.router.chat_call import ChatCall
from dotterelpitch.router.chat_dispatch import ChatAttempts, ChatDispatcher, RunningChat
from dotterelpitch.router.engine_call import stream_id
from dotterelpitch.router.event_stream import EventStreamTracker
from dotterelpitch.router.plain_entry import relay_body
from dotterelpitch.router.problems import (
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    CallerError,
    Outcome,
    final_outcome,
    set_final_outcome,
)
from dotterelpitch.router.router_client import RouterClient
from dotterelpitch.router.routing_hub import RoutingHub
from dotterelpitch.router.service_routing import CallWeight
from dotterelpitch.router.state import FleetState
from dotterelpitch.routing.crash_suspects import CrashVerdict
from dotterelpitch.telemetry.events import Event, log_event

MAX_RESUMES = 3
RETRY_AFTER_SECONDS = 1.0
ENGINE_HEADER = "Dotterelpitch-Engine"


class ChatEntryHandler:
    """Handles the chats that callers send to this router."""

    def __init__(
        self, state: FleetState, hub: RoutingHub, router_client: RouterClient
    ) -> None:
        self._hub = hub
        self._dispatcher = ChatDispatcher(state, hub, router_client)

    async def serve(self, request: web.Request, call: ChatCall) -> web.StreamResponse:
        """Dispatch one chat and relay its response to the caller.

        Raises CallerError when the request is refused or fails before the
        response has begun.
        """
        service = self._hub.service(call.document.service)
        weight = service.estimate_weight(call)
        attempts = ChatAttempts(self._dispatcher.new_decision(call, weight))
        self._check_crash_suspects(call)
        self._check_limits(call, weight)
        service.budget.request_started()
        tracker = EventStreamTracker("")
        try:
            return await self._dispatch_and_relay(request, call, attempts, tracker)
        finally:
            service.limits.finish(call.account.name)
            if tracker.done:
                service.estimator.observe(
                    call.account.name, call.model, tracker.last_number
                )

    async def _dispatch_and_relay(
        self,
        request: web.Request,
        call: ChatCall,
        attempts: ChatAttempts,
        tracker: EventStreamTracker,
    ) -> web.StreamResponse:
        running = await self._start_at_engine(call, attempts)
        head = running.head
        response = web.StreamResponse(status=head.status, headers=dict(head.headers))
        response.headers[REQUEST_ID_HEADER] = call.request_id
        response.headers[OUTCOME_HEADER] = _outcome_at_start(call, head).value
        response.headers[ENGINE_HEADER] = running.engine.name
        try:
            await response.prepare(request)
            if call.stream and head.status == 200:
                await self._relay_events(response, running, call, attempts, tracker)
            else:
                await relay_body(response, running.stream)
            await response.write_eof()
        finally:
            running.stream.reset("caller done")
        log_event(
            Event.REQUEST_ENDED,
            request=call.request_id,
            engine=attempts.decision.chosen,
            outcome=final_outcome(response),
        )
        return response

    def _check_crash_suspects(self, call: ChatCall) -> None:
        if self._hub.suspects.verdict(call.fingerprint) is not CrashVerdict.BANNED:
            return
        log_event(
            Event.REQUEST_BANNED, request=call.request_id, fingerprint=call.fingerprint
        )
        raise CallerError(
            422,
            "The request is refused",
            "requests with this content have crashed engines",
            Outcome.NOT_RUN,
            event=Event.REQUEST_BANNED,
        )

    def _check_limits(self, call: ChatCall, weight: CallWeight) -> None:
        limits = self._hub.service(call.document.service).limits
        refusal = limits.try_start(call.account, weight.cold)
        if refusal is None:
            return
        log_event(
            Event.LIMIT_REACHED,
            request=call.request_id,
            account=call.account.name,
            reason=refusal.reason,
            share=round(limits.share(call.account.name), 3),
        )
        raise CallerError(
            429,
            "The client account is at its limit",
            refusal.reason,
            Outcome.NOT_RUN,
            refusal.retry_after,
            Event.LIMIT_REACHED,
        )

    async def _start_at_engine(
        self, call: ChatCall, attempts: ChatAttempts
    ) -> RunningChat:
        attempts.first_event = call.resume.last_event + 1 if call.resume else 0
        first = call.resume.engine if call.resume else ""
        running = await self._dispatcher.start(call, attempts, first)
        decision = attempts.decision
        if running is not None:
            log_event(
                Event.ROUTE_CHOSEN,
                request=call.request_id,
                chat=call.chat,
                engine=running.engine.name,
                reason=_reason_for_choice(decision.order, running.engine.name),
                passed_over=attempts.passed_over,
            )
            return running
        log_event(
            Event.ROUTE_REFUSED,
            request=call.request_id,
            chat=call.chat,
            passed_over=attempts.passed_over,
        )
        raise CallerError(
            503,
            "No engine can take the request",
            "; ".join(attempts.passed_over),
            attempts.outcome,
            max(RETRY_AFTER_SECONDS, attempts.retry_after),
            Event.ROUTE_REFUSED,
        )

    async def _relay_events(
        self,
        response: web.StreamResponse,
        running: RunningChat,
        call: ChatCall,
        attempts: ChatAttempts,
        tracker: EventStreamTracker,
    ) -> None:
        tracker.set_prefix(stream_id(call.request_id, running.engine.name))
        tracker.last_number = call.resume.last_event if call.resume else 0
        current: RunningChat | None = running
        try:
            for _ in range(MAX_RESUMES + 1):
                reason = await _relay_until_end(response, current.stream, tracker)
                if tracker.done:
                    set_final_outcome(response, Outcome.COMPLETED)
                    return
                current.stream.reset("resuming elsewhere")
                attempts.delivered_count += 1
                attempts.may_have_run = True
                attempts.record(current.engine.name, "", "broken", reason)
                current = await self._resume(call, current, tracker, attempts)
                if current is None:
                    break
            await _write_stream_error(response, call, attempts)
        finally:
            if current is not None:
                current.stream.reset("caller done")

    async def _resume(
        self,
        call: ChatCall,
        broken: RunningChat,
        tracker: EventStreamTracker,
        attempts: ChatAttempts,
    ) -> RunningChat | None:
        """Return a new stream that starts after the last complete event.

        The engine that served the broken stream is tried first, because it may
        still hold the stream. Returns None when no engine can resume it.
        """
        attempts.first_event = tracker.last_number + 1
        running = await self._dispatcher.start(call, attempts, broken.engine.name)
        if running is None:
            return None
        if running.head.status != 200:
            running.stream.reset("not resumable")
            return None
        tracker.set_prefix(stream_id(call.request_id, running.engine.name))
        log_event(
            Event.STREAM_RESUMED,
            request=call.request_id,
            engine=running.engine.name,
            first_event=attempts.first_event,
            passed_over=attempts.passed_over,
        )
        return running


def _reason_for_choice(order: list[str], engine: str) -> str:
    return "affinity" if order and order[0] == engine else "spilled"


def _outcome_at_start(call: ChatCall, head: ResponseHead) -> Outcome:
    """Return the outcome that is known when the response head is sent.

    The outcome of an event stream isn't known yet; its closing event reports it.
    """
    if head.status >= 400:
        return Outcome.FAILED
    return Outcome.UNKNOWN if call.stream else Outcome.COMPLETED


async def _relay_until_end(
    response: web.StreamResponse, stream: Stream, tracker: EventStreamTracker
) -> str:
    """Relay complete events until ``stream`` ends, and return why it ended."""
    try:
        while isinstance(content := await stream.receive(), Data):
            if events := tracker.feed(content.payload):
                await response.write(events)
    except PeerError as error:
        return str(error)
    if isinstance(content, DispatchFailed):
        return content.reason
    return "the stream ended without its closing event"


async def _write_stream_error(
    response: web.StreamResponse, call: ChatCall, attempts: ChatAttempts
) -> None:
    problem = CallerError(
        502,
        "The stream broke off",
        "; ".join(attempts.passed_over),
        Outcome.UNKNOWN,
        RETRY_AFTER_SECONDS,
    )
    body = problem.body(call.request_id)
    await response.write(b"event: error\ndata: " + body + b"\n\n")
