"""Handles chats at their admission owner: admits them to engines and relays them."""

import asyncio
import itertools

import aiohttp
from attrs import frozen

from dotterelpitch.documents.model import Endpoint
from dotterelpitch.errors import PeerError
from dotterelpitch.protocol.chat_move_messages import ChatAt, ChatMoved
from dotterelpitch.protocol.messages import (
    Admitted,
    DispatchChat,
    DispatchFailed,
    Full,
    Refused,
)
from dotterelpitch.protocol.stream import Stream
from dotterelpitch.router.engine_call import CallEnd, CallResult, EngineCall
from dotterelpitch.router.engine_monitor import FAILURE_BY_END, EngineMonitor
from dotterelpitch.router.routing_hub import RoutingHub
from dotterelpitch.router.service_routing import ServiceRouting
from dotterelpitch.routing.admission import AdmissionController
from dotterelpitch.routing.admission_request import (
    Accepted,
    AdmissionMode,
    AdmissionRequest,
    AtBound,
    Rejected,
    Waiting,
)
from dotterelpitch.routing.crash_suspects import CrashVerdict
from dotterelpitch.routing.health import HealthState
from dotterelpitch.telemetry.events import Event, log_event

REFUSED_RETRY_AFTER_SECONDS = 1.0
ENDS_WITHOUT_ENGINE_FAULT = (CallEnd.COMPLETE, CallEnd.CALLER_GONE)
ENDS_WITH_ENGINE_RESPONSE = (CallEnd.SERVER_ERROR, CallEnd.NOT_LOADED)
# A crashed engine breaks its connections, or falls silent if its machine is gone.
ENDS_THAT_MAY_BE_CRASHES = (CallEnd.BROKEN, CallEnd.TIMEOUT)


@frozen
class _Dispatch:
    """One DispatchChat that is being served.

    ``dispatch_id`` identifies it among all dispatches to this process, because
    several dispatches may share one request id. ``caller_gone`` is done once the
    entry router has reset the stream.
    """

    stream: Stream
    request: DispatchChat
    service: ServiceRouting
    engine: Endpoint
    controller: AdmissionController
    dispatch_id: str
    caller_gone: asyncio.Task


class ChatOwnerHandler:
    """Handles the chats for the engines that this VM owns.

    It answers every DispatchChat with Admitted and the engine's response, or with
    Refused, Full, ChatAt, or DispatchFailed.
    """

    def __init__(
        self, hub: RoutingHub, session: aiohttp.ClientSession, monitor: EngineMonitor
    ) -> None:
        self._hub = hub
        self._session = session
        self._monitor = monitor
        self._dispatch_numbers = itertools.count()

    async def handle(self, stream: Stream, request: DispatchChat) -> None:
        """Admit one DispatchChat to its engine and relay the response."""
        service = self._hub.service(request.service)
        engine = service.engine(request.engine)
        refusal = self._refusal_reason(service, engine, request)
        controller = None
        if refusal is None:
            unreachable = frozenset(request.unreachable)
            controller = service.controller_for(
                engine, request.list_revision, unreachable
            )
        if controller is None:
            reason = refusal or "not the owner"
            await stream.send(Refused(reason, REFUSED_RETRY_AFTER_SECONDS))
            return
        if request.home and (moved_to := controller.chat_moves.engine_of(request.chat)):
            await stream.send(ChatAt(moved_to))
            return
        caller_gone = asyncio.create_task(_wait_for_reset(stream))
        dispatch_id = f"{request.request_id}~{next(self._dispatch_numbers)}"
        dispatch = _Dispatch(
            stream, request, service, engine, controller, dispatch_id, caller_gone
        )
        try:
            await self._serve(dispatch)
        finally:
            caller_gone.cancel()
            self._hub.waiting.discard(dispatch_id)
            self._hub.waiting.resolve(controller.cancel(dispatch_id))

    async def handle_moved(self, stream: Stream, message: ChatMoved) -> None:
        """Record at which engine a chat runs instead of its home engine."""
        controller = self._hub.service(message.service).controller_by_engine.get(
            message.home
        )
        if controller is None:
            return
        if message.engine == message.home:
            controller.chat_moves.record_return(message.chat)
        else:
            controller.chat_moves.record_move(message.chat, message.engine)

    def _refusal_reason(
        self, service: ServiceRouting, engine: Endpoint | None, request: DispatchChat
    ) -> str | None:
        if engine is None:
            return "the engine is not in the document, or leaving"
        if self._hub.suspects.verdict(request.fingerprint) is CrashVerdict.BANNED:
            return "requests with this content have crashed engines"
        state = service.health.state(engine.name)
        if state is HealthState.SUSPECT and request.mode is AdmissionMode.SELECTIVE:
            return "the engine is suspect"
        return None

    async def _serve(self, dispatch: _Dispatch) -> None:
        submitted_at = self._hub.clock.monotonic()
        answer = dispatch.controller.submit(self._admission_request(dispatch))
        if isinstance(answer, Waiting):
            answer = await self._wait(dispatch, answer)
        if isinstance(answer, AtBound):
            full = Full(answer.engine_load, answer.bound, answer.expected_wait)
            await dispatch.stream.send(full)
        elif isinstance(answer, Rejected):
            await dispatch.stream.send(Refused(answer.reason, answer.retry_after))
        elif isinstance(answer, Accepted):
            waited = self._hub.clock.monotonic() - submitted_at
            admitted = Admitted(waited, answer.load, answer.bound)
            await dispatch.stream.send(admitted)
            await self._run(dispatch)

    def _admission_request(self, dispatch: _Dispatch) -> AdmissionRequest:
        request = dispatch.request
        verdict = self._hub.suspects.verdict(request.fingerprint)
        return AdmissionRequest(
            request_id=dispatch.dispatch_id,
            account=request.account,
            weight=request.weight,
            priority=request.priority,
            deadline=request.deadline,
            cold_ratio=request.cold_ratio,
            mode=request.mode,
            alone=request.alone or verdict is CrashVerdict.ALONE,
            fingerprint=request.fingerprint,
            observed=tuple(request.observed),
        )

    async def _wait(
        self, dispatch: _Dispatch, waiting: Waiting
    ) -> Accepted | Rejected | None:
        """Return the decision on a queued request, or None when the caller has gone."""
        log_event(
            Event.REQUEST_QUEUED,
            request=dispatch.request.request_id,
            engine=dispatch.engine.name,
            ahead=waiting.ahead,
            expected_wait=round(waiting.expected_wait, 3),
        )
        decided = self._hub.waiting.add(dispatch.dispatch_id)
        await asyncio.wait(
            {decided, dispatch.caller_gone}, return_when=asyncio.FIRST_COMPLETED
        )
        return decided.result() if decided.done() else None

    async def _run(self, dispatch: _Dispatch) -> None:
        call = EngineCall(
            self._session,
            dispatch.request,
            dispatch.engine,
            dispatch.service.document.timeouts,
        )
        result = await call.run(dispatch.stream, dispatch.caller_gone)
        if result.end in ENDS_WITHOUT_ENGINE_FAULT:
            self._finish(dispatch, result)
            return
        await self._report_failure(dispatch, result)

    def _finish(self, dispatch: _Dispatch, result: CallResult) -> None:
        if result.end is CallEnd.COMPLETE:
            self._monitor.record_success(dispatch.service, dispatch.engine.name)
            self._hub.suspects.record_completion(dispatch.request.fingerprint)
        changes = dispatch.controller.finish(
            dispatch.dispatch_id, result.end is CallEnd.COMPLETE
        )
        self._hub.waiting.resolve(changes)

    async def _report_failure(self, dispatch: _Dispatch, result: CallResult) -> None:
        service, engine = dispatch.service, dispatch.engine
        if result.end in ENDS_THAT_MAY_BE_CRASHES:
            await self._monitor.check_for_crash(service, engine)
        if result.end is not CallEnd.NOT_LOADED:
            self._monitor.record_failure(
                service, engine.name, FAILURE_BY_END[result.end]
            )
        failure = DispatchFailed(
            reason=result.reason,
            delivered=result.end is not CallEnd.NOT_CONNECTED,
            answered=result.end in ENDS_WITH_ENGINE_RESPONSE,
        )
        await dispatch.stream.send(failure)


async def _wait_for_reset(stream: Stream) -> None:
    """Return once the entry router has reset the stream."""
    try:
        while True:
            await stream.receive()
    except PeerError:
        return
