"""Passes a response on to the caller, as it comes from an engine or a peer."""

import asyncio

from attrs import frozen

from dotterelpitch.clock import Clock
from dotterelpitch.gateway.call import ResponseWriter
from dotterelpitch.gateway.event_stream_filter import EventStreamFilter
from dotterelpitch.platform.headers import Headers, response_headers
from dotterelpitch.upstream.connection import HttpResponseHead
from dotterelpitch.upstream.errors import AnswerGarbledError, AnswerLostError
from dotterelpitch.upstream.response_source import ResponseSource

# A plain response up to this size is buffered until it is complete, so that the
# request can still be retried; a longer one is streamed to the caller.
MAX_BUFFERED_BYTES = 256 * 1024
# An event is passed on when it is complete, so its size is bounded.
MAX_EVENT_BYTES = 1024 * 1024
# A resumable stream that sends nothing for this long is resumed on another engine.
STREAM_STALL_SECONDS = 1.5


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
    max_connections: int = 0
    may_leave_stalled_stream: bool = False


class ResponseObserver:
    """Is told of the progress of a response; this one ignores it."""

    def data_received(self) -> None:
        """Record bytes of the response."""

    def output_received(self) -> None:
        """Record that bytes for the caller have arrived."""

    def stream_began(self) -> None:
        """Record that the first event of a stream has arrived."""


class ResponseForwarder:
    """Passes responses on within the limits of an attempt."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock

    async def read_buffered(
        self, source: ResponseSource, limits: AttemptLimits
    ) -> bytes:
        """Return the body, or its beginning once ``MAX_BUFFERED_BYTES`` are read."""
        body = bytearray()
        async with asyncio.timeout(self.seconds_until(limits.answer_by)):
            while len(body) < MAX_BUFFERED_BYTES and (data := await source.read_body()):
                body += data
        return bytes(body)

    async def forward_response(
        self,
        source: ResponseSource,
        head: HttpResponseHead,
        limits: AttemptLimits,
        writer: ResponseWriter,
        observer: ResponseObserver,
    ) -> None:
        """Pass a plain response on; a short one only once it is complete."""
        body = await self.read_buffered(source, limits)
        observer.output_received()
        headers = response_headers(head.headers)
        if len(body) < MAX_BUFFERED_BYTES:
            await writer.send_response(head.status, headers, body)
            return
        async with asyncio.timeout(self.seconds_until(limits.deadline)):
            await writer.start(head.status, headers)
            await writer.write(body)
            while data := await source.read_body():
                await writer.write(data)
            await writer.end()

    async def forward_events(
        self,
        source: ResponseSource,
        head: HttpResponseHead,
        limits: AttemptLimits,
        writer: ResponseWriter,
        events: EventStreamFilter,
        observer: ResponseObserver,
    ) -> float:
        """Pass events on; return the longest pause between two writes, in seconds."""
        events.restart()
        timeout_s = self.seconds_until(limits.answer_by)
        longest_pause_s = 0.0
        last_at = None
        while True:
            async with asyncio.timeout(timeout_s):
                data = await source.read_body()
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
            timeout_s = self.seconds_until(limits.deadline)
            if limits.may_leave_stalled_stream:
                timeout_s = min(timeout_s, STREAM_STALL_SECONDS)
        if events.has_partial_event:
            raise AnswerLostError("the stream ended inside an event")
        if last_at is None and source.has_ended_response:
            raise AnswerLostError("the stream ended before its first new event")
        if not writer.is_started:
            await writer.start(head.status, _stream_headers(head))
        await writer.end()
        return longest_pause_s

    def seconds_until(self, deadline: float) -> float:
        """Return the time left, at least 0."""
        return max(0.0, deadline - self._clock.monotonic())


def _stream_headers(head: HttpResponseHead) -> Headers:
    """Return the response headers without the length, which a resumption may change."""
    return [
        h for h in response_headers(head.headers) if h[0].lower() != "content-length"
    ]
