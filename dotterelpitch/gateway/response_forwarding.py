"""Passes a response on to the caller, as it comes from an engine or a peer."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

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
# A resumable stream that sends nothing for this long is resumed on another engine, if
# there is one that can go on with it.
STREAM_STALL_SECONDS = 1.5
# While there is none, one is sought again after this time.
SEEK_INTERVAL_SECONDS = 0.25

T = TypeVar("T")

FindSuccessor = Callable[[Callable[[], bool]], Awaitable[bool]]


@frozen
class AttemptLimits:
    """Limits of one attempt.

    ``deadline`` and ``answer_by`` are times of the monotonic clock, in seconds. The
    attempt ends at its deadline. Before, it may be left once it has been silent too
    long, and ``answer_by`` is when that is for the first byte that can be passed on.
    ``find_successor`` tells whether the call can go on elsewhere then; it is passed a
    function that returns whether the attempt is silent still. If it is None, the
    attempt isn't left. ``max_connections`` bounds the connections to the engine.
    """

    deadline: float
    answer_by: float
    max_connections: int = 0
    find_successor: FindSuccessor | None = None


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

    async def wait(
        self,
        read: Callable[[], Awaitable[T]],
        source: ResponseSource,
        limits: AttemptLimits,
        patience_s: float,
    ) -> T:
        """Return what ``read`` reads from ``source``.

        Raises TimeoutError at the deadline, or once the source has been silent for
        ``patience_s`` seconds and the call can go on elsewhere.
        """
        while True:
            timeout_s = min(patience_s, self.seconds_until(limits.deadline))
            try:
                async with asyncio.timeout(timeout_s):
                    return await read()
            except TimeoutError:
                if await self._is_over(source, limits):
                    raise
            patience_s = SEEK_INTERVAL_SECONDS

    async def _is_over(self, source: ResponseSource, limits: AttemptLimits) -> bool:
        """Return whether to end an attempt that has been silent too long."""
        remaining_s = self.seconds_until(limits.deadline)
        if not remaining_s:
            return True
        if limits.find_successor is None:
            return False
        received = source.received_bytes
        async with asyncio.timeout(remaining_s):
            return await limits.find_successor(
                lambda: source.received_bytes == received
            )

    async def read_buffered(
        self, source: ResponseSource, limits: AttemptLimits
    ) -> bytes:
        """Return the body, or its beginning once ``MAX_BUFFERED_BYTES`` are read."""
        body = bytearray()
        while len(body) < MAX_BUFFERED_BYTES:
            patience_s = self._patience_s(limits)
            data = await self.wait(source.read_body, source, limits, patience_s)
            if not data:
                break
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
        patience_s = self._patience_s(limits)
        longest_pause_s = 0.0
        last_at = None
        while True:
            data = await self.wait(source.read_body, source, limits, patience_s)
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
            patience_s = STREAM_STALL_SECONDS
        if events.has_partial_event:
            raise AnswerLostError("the stream ended inside an event")
        if last_at is None and source.has_ended_response:
            raise AnswerLostError("the stream ended before its first new event")
        if not writer.is_started:
            await writer.start(head.status, _stream_headers(head))
        await writer.end()
        return longest_pause_s

    def _patience_s(self, limits: AttemptLimits) -> float:
        """Return how long a source that has just sent something may be silent."""
        return max(SEEK_INTERVAL_SECONDS, self.seconds_until(limits.answer_by))

    def seconds_until(self, deadline: float) -> float:
        """Return the time left, at least 0."""
        return max(0.0, deadline - self._clock.monotonic())


def _stream_headers(head: HttpResponseHead) -> Headers:
    """Return the response headers without the length, which a resumption may change."""
    return [
        h for h in response_headers(head.headers) if h[0].lower() != "content-length"
    ]
