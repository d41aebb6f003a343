"""The owner's side of a chat: admits it to an engine and relays the answer."""

import asyncio
import itertools

import aiohttp
from attrs import frozen

from dotterelpitch.documents.model import Endpoint
from dotterelpitch.errors import PeerError
from dotterelpitch.protocol.messages import (
    Admitted,
    DispatchChat,
    DispatchFailed,
    Full,
    Refused,
)
from dotterelpitch.protocol.move_messages import ChatAt, ChatMoved
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

REFUSED_RETRY_SECONDS = 1.0
ANSWERED = (CallEnd.COMPLETE, CallEnd.CALLER_GONE)
REFUSED_BY_ENGINE = (CallEnd.SERVER_ERROR, CallEnd.NOT_LOADED)


@frozen
class _Exchange:
    """One DispatchChat in the works."""

    stream: Stream
    request: DispatchChat
    service: ServiceRouting
    engine: Endpoint
    desk: AdmissionController
    ticket: str
    caller_gone: asyncio.Task


class ChatOwnerHandler:
    """Runs chats at the engines that this VM owns."""

    def __init__(
        self, hub: RoutingHub, session: aiohttp.ClientSession, watch: EngineMonitor
    ) -> None:
        self._hub = hub
        self._session = session
        self._watch = watch
        self._tickets = itertools.count()

    async def handle(self, stream: Stream, request: DispatchChat) -> None:
        """Answer one DispatchChat."""
        service = self._hub.service(request.service)
        engine = service.engine(request.engine)
        refusal = self._refusal(service, engine, request)
        desk = None
        if refusal is None:
            unreachable = frozenset(request.unreachable)
            desk = service.desk_for(engine, request.list_revision, unreachable)
        if desk is None:
            reason = refusal or "not the owner"
            await stream.send(Refused(reason, REFUSED_RETRY_SECONDS))
            return
        if request.home and (moved_to := desk.chat_moves.engine_of(request.chat)):
            await stream.send(ChatAt(moved_to))
            return
        caller_gone = asyncio.create_task(_wait_for_reset(stream))
        ticket = f"{request.request_id}~{next(self._tickets)}"
        exchange = _Exchange(
            stream, request, service, engine, desk, ticket, caller_gone
        )
        try:
            await self._serve(exchange)
        finally:
            caller_gone.cancel()
            self._hub.waiting.discard(ticket)
            self._hub.waiting.resolve(desk.cancel(ticket))

    async def handle_moved(self, stream: Stream, note: ChatMoved) -> None:
        """Take in a ChatMoved."""
        desk = self._hub.service(note.service).desk_by_engine.get(note.home)
        if desk is None:
            return
        if note.engine == note.home:
            desk.chat_moves.record_return(note.chat)
        else:
            desk.chat_moves.record_move(note.chat, note.engine)

    def _refusal(
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

    async def _serve(self, exchange: _Exchange) -> None:
        offered_at = self._hub.clock.monotonic()
        answer = exchange.desk.submit(self._offer(exchange))
        if isinstance(answer, Waiting):
            answer = await self._wait(exchange, answer)
        if isinstance(answer, AtBound):
            full = Full(answer.engine_load, answer.bound, answer.expected_wait)
            await exchange.stream.send(full)
        elif isinstance(answer, Rejected):
            await exchange.stream.send(Refused(answer.reason, answer.retry_after))
        elif isinstance(answer, Accepted):
            waited = self._hub.clock.monotonic() - offered_at
            admitted = Admitted(waited, answer.load, answer.bound)
            await exchange.stream.send(admitted)
            await self._run(exchange)

    def _offer(self, exchange: _Exchange) -> AdmissionRequest:
        request = exchange.request
        verdict = self._hub.suspects.verdict(request.fingerprint)
        return AdmissionRequest(
            request_id=exchange.ticket,
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
        self, exchange: _Exchange, waiting: Waiting
    ) -> Accepted | Rejected | None:
        """Return the answer when the turn has come, None when the caller left."""
        log_event(
            Event.REQUEST_QUEUED,
            request=exchange.request.request_id,
            engine=exchange.engine.name,
            ahead=waiting.ahead,
            expected_wait=round(waiting.expected_wait, 3),
        )
        turn = self._hub.waiting.add(exchange.ticket)
        await asyncio.wait(
            {turn, exchange.caller_gone}, return_when=asyncio.FIRST_COMPLETED
        )
        return turn.result() if turn.done() else None

    async def _run(self, exchange: _Exchange) -> None:
        call = EngineCall(
            self._session,
            exchange.request,
            exchange.engine,
            exchange.service.document.timeouts,
        )
        result = await call.run(exchange.stream, exchange.caller_gone)
        if result.end in ANSWERED:
            self._answered(exchange, result)
            return
        await self._failed(exchange, result)

    def _answered(self, exchange: _Exchange, result: CallResult) -> None:
        if result.end is CallEnd.COMPLETE:
            self._watch.succeeded(exchange.service, exchange.engine.name)
            self._hub.suspects.record_completion(exchange.request.fingerprint)
        changes = exchange.desk.finish(exchange.ticket, result.end is CallEnd.COMPLETE)
        self._hub.waiting.resolve(changes)

    async def _failed(self, exchange: _Exchange, result: CallResult) -> None:
        service, engine = exchange.service, exchange.engine
        if result.end is CallEnd.BROKEN:
            await self._watch.broke_off(service, engine)
        if result.end is not CallEnd.NOT_LOADED:
            self._watch.failed(service, engine.name, FAILURE_BY_END[result.end])
        failure = DispatchFailed(
            reason=result.reason,
            delivered=result.end is not CallEnd.NOT_CONNECTED,
            answered=result.end in REFUSED_BY_ENGINE,
        )
        await exchange.stream.send(failure)


async def _wait_for_reset(stream: Stream) -> None:
    """Return once the entry router has given up on the stream."""
    try:
        while True:
            await stream.receive()
    except PeerError:
        return
