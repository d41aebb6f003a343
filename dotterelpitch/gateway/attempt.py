"""Runs one attempt: sends a request to one engine and passes its response on."""

import asyncio

from attrs import evolve, frozen

from dotterelpitch.clock import Clock
from dotterelpitch.gateway.attempt_observer import AttemptObserver
from dotterelpitch.gateway.attempt_result import AttemptResult
from dotterelpitch.gateway.call import Call, ResponseWriter
from dotterelpitch.gateway.crash_watcher import CrashWatcher
from dotterelpitch.gateway.engine_status_recorder import EngineStatusRecorder
from dotterelpitch.gateway.event_stream_filter import EventStreamFilter
from dotterelpitch.gateway.stream_resumption import StreamResumption
from dotterelpitch.platform.engine_status import decode_engine_status
from dotterelpitch.platform.headers import (
    EngineCall,
    Headers,
    ResponseClass,
    classify_response,
    encode_engine_headers,
    response_headers,
)
from dotterelpitch.routing.attempt_outcomes import AttemptOutcome
from dotterelpitch.routing.concurrency_limiter import AdaptiveConcurrencyLimiter
from dotterelpitch.routing.engine_choice import EngineChoice
from dotterelpitch.routing.engine_contact import EngineContact
from dotterelpitch.routing.health import FailureKind
from dotterelpitch.routing.route_table import CallKind
from dotterelpitch.upstream.connection import EngineConnection, HttpResponseHead
from dotterelpitch.upstream.errors import (
    AnswerGarbledError,
    AnswerLostError,
    ConnectFailedError,
    ConnectRefusedError,
    ConnectTimeoutError,
    NotSentError,
    PathLostError,
)
from dotterelpitch.upstream.pool import ConnectionPool
from dotterelpitch.upstream.request_bytes import encode_request

# A plain response up to this size is buffered until it is complete, so that the
# request can still be retried; a longer one is streamed to the caller.
MAX_BUFFERED_BYTES = 256 * 1024
# An event is passed on when it is complete, so its size is bounded.
MAX_EVENT_BYTES = 1024 * 1024
# A resumable stream that sends nothing for this long is resumed on another engine.
STREAM_STALL_SECONDS = 1.5

_OUTCOME_BY_RESPONSE_CLASS = {
    ResponseClass.NOT_RUN: AttemptOutcome.REJECTED,
    ResponseClass.MISDIRECTED: AttemptOutcome.REJECTED,
    ResponseClass.FAILED: AttemptOutcome.FAILED,
    ResponseClass.NOT_AUTHENTIC: AttemptOutcome.LOST,
}

_FAILURE_BY_ERROR = {
    ConnectRefusedError: FailureKind.REFUSED,
    ConnectFailedError: FailureKind.UNREACHABLE,
    ConnectTimeoutError: FailureKind.UNREACHABLE,
    PathLostError: FailureKind.UNREACHABLE,
    AnswerLostError: FailureKind.RESPONSE_LOST,
    AnswerGarbledError: FailureKind.RESPONSE_LOST,
}


@frozen
class AttemptLimits:
    """Limits of one attempt.

    ``deadline`` and ``answer_by`` are times of the monotonic clock, in seconds;
    ``answer_by`` bounds the wait for the first byte that can be passed on.
    ``max_connections`` bounds the connections to the engine.
    ``may_leave_stalled_stream`` allows a stalled stream to be resumed on another
    engine.
    """

    deadline: float
    answer_by: float
    max_connections: int
    may_leave_stalled_stream: bool


class AttemptRunner:
    """Runs attempts over a shared connection pool."""

    def __init__(
        self,
        clock: Clock,
        pool: ConnectionPool,
        concurrency_limiter: AdaptiveConcurrencyLimiter,
        crash_watcher: CrashWatcher,
        status_recorder: EngineStatusRecorder,
        stream_resumption: StreamResumption,
        contact: EngineContact,
    ) -> None:
        self._clock = clock
        self._pool = pool
        self._concurrency_limiter = concurrency_limiter
        self._crash_watcher = crash_watcher
        self._status_recorder = status_recorder
        self._stream_resumption = stream_resumption
        self._contact = contact

    async def run(
        self,
        call: Call,
        choice: EngineChoice,
        limits: AttemptLimits,
        writer: ResponseWriter,
        events: EventStreamFilter,
    ) -> AttemptResult:
        """Send ``call`` to the chosen engine and return the outcome.

        Connection and engine failures are part of the outcome; no UpstreamError is
        raised.
        """
        engine = choice.engine
        started = self._clock.monotonic()
        try:
            connection = await self._pool.acquire(
                engine.id,
                engine.address,
                limits.max_connections,
                is_unsafe=not call.route.is_retryable,
            )
        except NotSentError as error:
            failure = _FAILURE_BY_ERROR.get(type(error))
            if failure is not None:
                self._contact.record_failure(engine.id, is_connecting=True)
            return AttemptResult(AttemptOutcome.NOT_SENT, str(error), failure=failure)
        connect_s = self._clock.monotonic() - started
        observer = AttemptObserver(
            self._concurrency_limiter,
            self._crash_watcher,
            self._status_recorder,
            self._stream_resumption,
            self._contact,
            call,
            engine,
            connection,
        )
        try:
            connection.send(
                self._encode(call, choice, events),
                call.request_id,
                expects_body=call.method != "HEAD",
            )
            result = await self._handle_response(
                connection, call, limits, writer, events, observer
            )
            is_end_certain = not connection.has_ended_response
            observer.answered(is_end_certain)
            return evolve(result, connect_s=connect_s, is_end_certain=is_end_certain)
        except AnswerLostError as error:
            observer.connection_broke()
            failure = _FAILURE_BY_ERROR[type(error)]
            return AttemptResult(AttemptOutcome.LOST, str(error), failure=failure)
        except TimeoutError:
            observer.timed_out()
            return AttemptResult(
                AttemptOutcome.TIMED_OUT,
                "no answer in time",
                failure=FailureKind.TIMEOUT,
            )
        finally:
            observer.ended()
            self._pool.release(engine.id, connection)

    def _encode(
        self, call: Call, choice: EngineChoice, events: EventStreamFilter
    ) -> bytes:
        source = choice.cache_source
        resumes = events.last_id != call.headers.last_event_id
        engine_call = EngineCall(
            engine_id=choice.engine.id,
            account=call.account_name,
            budget_s=call.deadline - self._clock.monotonic(),
            last_event_id=events.last_id if resumes else "",
            cache_source=source.address if source else "",
        )
        headers = encode_engine_headers(call.host, call.headers.forwarded, engine_call)
        return encode_request(call.method, call.target, headers, call.body)

    async def _handle_response(
        self,
        connection: EngineConnection,
        call: Call,
        limits: AttemptLimits,
        writer: ResponseWriter,
        events: EventStreamFilter,
        observer: AttemptObserver,
    ) -> AttemptResult:
        async with asyncio.timeout(self._seconds_until(limits.answer_by)):
            head = await connection.read_head()
        response_class = classify_response(head.status, head.value_by_name)
        observer.head_received(
            response_class, decode_engine_status(head.status, head.headers)
        )
        if response_class is not ResponseClass.ANSWERED:
            body = await self._read_buffered(connection, limits)
            if len(body) >= MAX_BUFFERED_BYTES:
                raise AnswerGarbledError(
                    f"status {head.status} with a body over {MAX_BUFFERED_BYTES} bytes"
                )
            return AttemptResult(
                _OUTCOME_BY_RESPONSE_CLASS[response_class],
                f"status {head.status}",
                head.status,
                response_headers(head.headers),
                body,
                FailureKind.REFUSED
                if response_class is ResponseClass.MISDIRECTED
                else None,
            )
        pause_s = None
        if call.route.kind is CallKind.STREAM and head.status == 200:
            pause_s = await self._forward_events(
                connection, head, limits, writer, events, observer
            )
        else:
            await self._forward_response(connection, head, limits, writer, observer)
        return AttemptResult(
            AttemptOutcome.DELIVERED,
            status=head.status,
            longest_pause_s=pause_s,
        )

    async def _read_buffered(
        self, connection: EngineConnection, limits: AttemptLimits
    ) -> bytes:
        """Return the body, or its beginning once ``MAX_BUFFERED_BYTES`` are read."""
        body = bytearray()
        async with asyncio.timeout(self._seconds_until(limits.answer_by)):
            while len(body) < MAX_BUFFERED_BYTES and (
                data := await connection.read_body()
            ):
                body += data
        return bytes(body)

    async def _forward_response(
        self,
        connection: EngineConnection,
        head: HttpResponseHead,
        limits: AttemptLimits,
        writer: ResponseWriter,
        observer: AttemptObserver,
    ) -> None:
        body = await self._read_buffered(connection, limits)
        observer.output_received()
        headers = response_headers(head.headers)
        if len(body) < MAX_BUFFERED_BYTES:
            await writer.send_response(head.status, headers, body)
            return
        async with asyncio.timeout(self._seconds_until(limits.deadline)):
            await writer.start(head.status, headers)
            await writer.write(body)
            while data := await connection.read_body():
                await writer.write(data)
            await writer.end()

    async def _forward_events(
        self,
        connection: EngineConnection,
        head: HttpResponseHead,
        limits: AttemptLimits,
        writer: ResponseWriter,
        events: EventStreamFilter,
        observer: AttemptObserver,
    ) -> float:
        """Pass events on; return the longest pause between two writes, in seconds."""
        events.restart()
        timeout_s = self._seconds_until(limits.answer_by)
        longest_pause_s = 0.0
        last_at = None
        while True:
            async with asyncio.timeout(timeout_s):
                data = await connection.read_body()
            if not data:
                break
            observer.data_received()
            complete_events = events.feed(data)
            if events.partial_event_bytes > MAX_EVENT_BYTES:
                raise AnswerGarbledError(f"an event is over {MAX_EVENT_BYTES} bytes")
            if complete_events:
                now = self._clock.monotonic()
                if last_at is not None:
                    longest_pause_s = max(longest_pause_s, now - last_at)
                last_at = now
                observer.output_received()
                if not writer.is_started:
                    observer.stream_began()
                    await writer.start(head.status, _stream_headers(head))
                await writer.write(complete_events)
            timeout_s = self._seconds_until(limits.deadline)
            if limits.may_leave_stalled_stream:
                timeout_s = min(timeout_s, STREAM_STALL_SECONDS)
        if events.has_partial_event:
            raise AnswerLostError("the stream ended inside an event")
        is_empty = last_at is None and not events.last_id
        if is_empty and connection.has_ended_response:
            raise AnswerLostError("the stream ended before its first event")
        if not writer.is_started:
            await writer.start(head.status, _stream_headers(head))
        await writer.end()
        return longest_pause_s

    def _seconds_until(self, deadline: float) -> float:
        return max(0.0, deadline - self._clock.monotonic())


def _stream_headers(head: HttpResponseHead) -> Headers:
    """Return the response headers without the length, which a resumption may change."""
    return [
        h for h in response_headers(head.headers) if h[0].lower() != "content-length"
    ]
