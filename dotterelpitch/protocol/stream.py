"""Streams: typed messages in both directions, with flow control of Data."""

import asyncio
from collections import deque
from typing import Any

from dotterelpitch.errors import ProtocolError, StreamResetError
from dotterelpitch.protocol.frame_sink import FrameSink
from dotterelpitch.protocol.frames import Credit, Data, End, Reset

STREAM_WINDOW_BYTES = 256 * 1024


class Stream:
    """One of the streams that a connection multiplexes.

    The sender of Data spends credit, of which it has ``STREAM_WINDOW_BYTES`` at
    first. The receiver grants credit again when half of the window is consumed.
    """

    def __init__(self, connection: FrameSink, number: int) -> None:
        self.number = number
        self.connection = connection
        self._inbox: deque[Any] = deque()
        self._message_arrived = asyncio.Event()
        self._send_credit = STREAM_WINDOW_BYTES
        self._credit_arrived = asyncio.Event()
        self._unacknowledged_bytes = 0
        self._consumed_bytes = 0
        self._failure: Exception | None = None
        self._local_ended = False
        self._remote_ended = False

    async def send(self, content: Any) -> None:
        """Send one message; Data waits for credit.

        Raises StreamResetError when the stream has been reset and
        ConnectionLostError when the connection is lost.
        """
        if isinstance(content, Data):
            await self._acquire_credit(len(content.payload))
        if self._failure is not None:
            raise self._failure
        self.connection.write(self.number, content)
        await self.connection.drain()

    async def receive(self) -> Any:
        """Return the next message, which may be End.

        Raises StreamResetError when the peer has reset the stream and
        ConnectionLostError when the connection is lost.
        """
        while not self._inbox:
            if self._failure is not None:
                raise self._failure
            self._message_arrived.clear()
            await self._message_arrived.wait()
        content = self._inbox.popleft()
        if isinstance(content, Data):
            self._grant_credit(len(content.payload))
        return content

    def queue_end(self) -> None:
        """Queue End without waiting; nothing takes it back.

        Does nothing if it was sent already or the stream has failed.
        """
        if not self._local_ended and self._failure is None:
            self._local_ended = True
            self.connection.write(self.number, End())
            self._remove_if_ended()

    async def finish(self) -> None:
        """Send End, unless it was sent already or the stream has failed."""
        if not self._local_ended and self._failure is None:
            self.queue_end()
            await self.connection.drain()

    def reset(self, code: str, detail: str = "") -> None:
        """Abort the stream and send Reset to the peer; idempotent."""
        if self._failure is None and not (self._local_ended and self._remote_ended):
            self.connection.write(self.number, Reset(code, detail))
        self.fail(StreamResetError(code, detail))

    @property
    def is_open(self) -> bool:
        """Whether the stream hasn't failed or been reset."""
        return self._failure is None

    def deliver(self, content: Any) -> None:
        """Process one message received on the connection.

        Raises ProtocolError when Data exceeds the receive window.
        """
        if isinstance(content, Credit):
            self._send_credit += content.size
            self._credit_arrived.set()
            return
        if isinstance(content, Reset):
            self.fail(StreamResetError(content.code, content.detail))
            return
        if isinstance(content, Data):
            self._check_receive_window(len(content.payload))
        if isinstance(content, End):
            self._remote_ended = True
            self._remove_if_ended()
        self._inbox.append(content)
        self._message_arrived.set()

    def fail(self, failure: Exception) -> None:
        """End both directions of the stream with ``failure``."""
        if self._failure is None:
            self._failure = failure
        self._message_arrived.set()
        self._credit_arrived.set()
        self.connection.remove_stream(self.number)

    def _check_receive_window(self, size: int) -> None:
        self._unacknowledged_bytes += size
        if self._unacknowledged_bytes > STREAM_WINDOW_BYTES:
            raise ProtocolError("the peer sent more Data than it had credit for")

    def _grant_credit(self, size: int) -> None:
        self._consumed_bytes += size
        if self._consumed_bytes * 2 >= STREAM_WINDOW_BYTES and self.is_open:
            self._unacknowledged_bytes -= self._consumed_bytes
            self.connection.write(self.number, Credit(self._consumed_bytes))
            self._consumed_bytes = 0

    async def _acquire_credit(self, size: int) -> None:
        while self._send_credit < size:
            if self._failure is not None:
                raise self._failure
            self._credit_arrived.clear()
            await self._credit_arrived.wait()
        self._send_credit -= size

    def _remove_if_ended(self) -> None:
        if self._local_ended and self._remote_ended:
            self.connection.remove_stream(self.number)
