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
from dotterelpitch.gateway.response_forwarding import (
    MAX_BUFFERED_BYTES,
    AttemptLimits,
    ResponseForwarder,
)
from dotterelpitch.gateway.stream_resumption import StreamResumption
from dotterelpitch.platform.engine_status import decode_engine_status
from dotterelpitch.platform.headers import (
    EngineCall,
    ResponseClass,
    classify_response,
    encode_engine_headers,
    response_headers,
)
from dotterelpitch.routing.attempt_outcomes import AttemptOutcome
from dotterelpitch.routing.concurrency_limiter import AdaptiveConcurrencyLimiter
from dotterelpitch.routing.engine_choice import EngineChoice
from dotterelpitch.routing.engine_contact import EngineContact
from dotterelpitch.routing.engine_speeds import EngineSpeeds
from dotterelpitch.routing.engines import EngineDirectory
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
from dotterelpitch.upstream.status_codes import states_not_run

EVACUATED_REASON = "its failure domain has been evacuated meanwhile"

_OUTCOME_BY_RESPONSE_CLASS = {
    ResponseClass.NOT_RUN: AttemptOutcome.REJECTED,
    ResponseClass.MISDIRECTED: AttemptOutcome.REJECTED,
    ResponseClass.FAILED: AttemptOutcome.FAILED,
    ResponseClass.NOT_AUTHENTIC: AttemptOutcome.LOST,
}

# With these an engine doesn't state that it has not run the request.
_CLASSES_THAT_MAY_HAVE_RUN = {ResponseClass.ANSWERED, ResponseClass.FAILED}

_FAILURE_BY_ERROR = {
    ConnectRefusedError: FailureKind.REFUSED,
    ConnectFailedError: FailureKind.UNREACHABLE,
    ConnectTimeoutError: FailureKind.UNREACHABLE,
    PathLostError: FailureKind.UNREACHABLE,
    AnswerLostError: FailureKind.RESPONSE_LOST,
    AnswerGarbledError: FailureKind.RESPONSE_LOST,
}


@frozen
class OpenAttempt:
    """A request that has been sent to an engine, on a connection.

    ``connect_s`` is the time to get the connection, in seconds.
    """

    choice: EngineChoice
    connection: EngineConnection
    observer: AttemptObserver
    connect_s: float


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
        directory: EngineDirectory,
        speeds: EngineSpeeds,
    ) -> None:
        self._clock = clock
        self._pool = pool
        self._concurrency_limiter = concurrency_limiter
        self._crash_watcher = crash_watcher
        self._status_recorder = status_recorder
        self._stream_resumption = stream_resumption
        self._contact = contact
        self._directory = directory
        self._speeds = speeds
        self._responses = ResponseForwarder(clock)

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
        opened = await self.open(call, choice, limits.max_connections, events)
        if isinstance(opened, AttemptResult):
            return opened
        return await self.finish(opened, call, limits, writer, events)

    async def open(
        self,
        call: Call,
        choice: EngineChoice,
        max_connections: int,
        events: EventStreamFilter,
    ) -> OpenAttempt | AttemptResult:
        """Send ``call`` to the chosen engine; return the result if that failed.

        What is opened is to be finished or abandoned.
        """
        engine = choice.engine
        started = self._clock.monotonic()
        try:
            connection = await self._pool.acquire(
                engine.id,
                engine.address,
                max_connections,
                is_unsafe=not call.route.is_retryable,
            )
        except NotSentError as error:
            failure = _FAILURE_BY_ERROR.get(type(error))
            if failure is not None:
                self._contact.record_failure(engine.id, is_connecting=True)
            return AttemptResult(AttemptOutcome.NOT_SENT, str(error), failure=failure)
        if self._directory.is_evacuated(engine):
            self._pool.release(engine.id, connection)
            return AttemptResult(AttemptOutcome.NOT_SENT, EVACUATED_REASON)
        connect_s = self._clock.monotonic() - started
        observer = AttemptObserver(
            self._concurrency_limiter,
            self._crash_watcher,
            self._status_recorder,
            self._stream_resumption,
            self._contact,
            self._speeds,
            call,
            choice,
            connection,
        )
        try:
            connection.send(
                self._encode(call, choice, events),
                call.request_id,
                expects_body=call.method != "HEAD",
            )
        except BaseException:
            self._end(choice, connection, observer)
            raise
        return OpenAttempt(choice, connection, observer, connect_s)

    def abandon(self, opened: OpenAttempt) -> None:
        """Close an open attempt whose response isn't wanted any longer."""
        self._end(opened.choice, opened.connection, opened.observer)

    def _end(
        self,
        choice: EngineChoice,
        connection: EngineConnection,
        observer: AttemptObserver,
    ) -> None:
        observer.ended()
        self._pool.release(choice.engine.id, connection)

    async def is_taken(self, opened: OpenAttempt, timeout_s: float) -> bool:
        """Return whether an engine begins to answer with success.

        One that says nothing for ``timeout_s`` seconds counts as well.
        """
        try:
            async with asyncio.timeout(timeout_s):
                head = await opened.connection.read_head()
        except TimeoutError:
            return True
        except AnswerLostError:
            return False
        response_class = classify_response(head.status, head.value_by_name)
        return head.status == 200 and response_class is ResponseClass.ANSWERED

    async def finish(
        self,
        opened: OpenAttempt,
        call: Call,
        limits: AttemptLimits,
        writer: ResponseWriter,
        events: EventStreamFilter,
    ) -> AttemptResult:
        """Pass the response to an open attempt on, and return the outcome."""
        connection, observer = opened.connection, opened.observer
        try:
            result = await self._handle_response(
                connection, call, limits, writer, events, observer
            )
            is_end_certain = not connection.has_ended_response
            observer.answered(is_end_certain)
            return evolve(
                result, connect_s=opened.connect_s, is_end_certain=is_end_certain
            )
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
            self._end(opened.choice, connection, observer)

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
        patience_s = self._responses.seconds_until(limits.answer_by)
        head = await self._responses.wait(
            connection.read_head, connection, limits, patience_s
        )
        response_class = classify_response(head.status, head.value_by_name)
        observer.head_received(
            response_class, decode_engine_status(head.status, head.headers)
        )
        is_stream = call.route.kind is CallKind.STREAM and head.status == 200
        if writer.is_started and not is_stream:
            return AttemptResult(
                _OUTCOME_BY_RESPONSE_CLASS.get(response_class, AttemptOutcome.FAILED),
                f"status {head.status} in the middle of a stream",
            )
        if _is_ambiguous(head, response_class, call):
            reason = f"status {head.status}, not stated as not run"
            return AttemptResult(AttemptOutcome.AMBIGUOUS, reason, head.status)
        if response_class is not ResponseClass.ANSWERED:
            body = await self._responses.read_buffered(connection, limits)
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
        if is_stream:
            pause_s = await self._responses.forward_events(
                connection, head, limits, writer, events, observer
            )
        else:
            await self._responses.forward_response(
                connection, head, limits, writer, observer
            )
        return AttemptResult(
            AttemptOutcome.DELIVERED,
            status=head.status,
            longest_pause_s=pause_s,
        )


def _is_ambiguous(
    head: HttpResponseHead, response_class: ResponseClass, call: Call
) -> bool:
    """Return whether a response would tell the caller more than its engine has said.

    The caller sends a request again that hasn't run. That does no harm where it can be
    retried anyway, so the engine's own response is passed on there.
    """
    if call.route.is_retryable or response_class not in _CLASSES_THAT_MAY_HAVE_RUN:
        return False
    return states_not_run(head.status)
