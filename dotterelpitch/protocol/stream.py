"""One exchange on a connection: typed messages both ways, Data by credit."""

import asyncio
from collections import deque
from typing import Any

from dotterelpitch.errors import ProtocolError, StreamResetError
from dotterelpitch.protocol.frame_sink import FrameSink
from dotterelpitch.protocol.frames import Credit, Data, End, Reset

STREAM_WINDOW_BYTES = 256 * 1024


class Stream:
    """One exchange on a connection."""

    def __init__(self, connection: FrameSink, number: int) -> None:
        self.number = number
        self.connection = connection
        self._inbox: deque[Any] = deque()
        self._arrived = asyncio.Event()
        self._send_credit = STREAM_WINDOW_BYTES
        self._credit_arrived = asyncio.Event()
        self._unacknowledged = 0
        self._consumed = 0
        self._failure: Exception | None = None
        self._ended_here = False
        self._ended_there = False

    async def send(self, content: Any) -> None:
        """Send one message; waits for credit when it is Data."""
        if isinstance(content, Data):
            await self._take_credit(len(content.payload))
        if self._failure is not None:
            raise self._failure
        self.connection.write(self.number, content)
        await self.connection.drain()

    async def receive(self) -> Any:
        """Return the next message; End is returned as a message as well.

        Raises StreamResetError when the peer gave up and ConnectionLostError
        when the connection broke.
        """
        while not self._inbox:
            if self._failure is not None:
                raise self._failure
            self._arrived.clear()
            await self._arrived.wait()
        content = self._inbox.popleft()
        if isinstance(content, Data):
            self._return_credit(len(content.payload))
        return content

    async def finish(self) -> None:
        """Send End."""
        if not self._ended_here and self._failure is None:
            self._ended_here = True
            self.connection.write(self.number, End())
            await self.connection.drain()
            self._forget_if_done()

    def reset(self, code: str, detail: str = "") -> None:
        """Give up on the stream and tell the peer; safe to call twice."""
        if self._failure is None and not (self._ended_here and self._ended_there):
            self.connection.write(self.number, Reset(code, detail))
        self.fail(StreamResetError(code, detail))

    @property
    def open(self) -> bool:
        """Whether neither side has given up."""
        return self._failure is None

    def deliver(self, content: Any) -> None:
        """Take in one message from the connection."""
        if isinstance(content, Credit):
            self._send_credit += content.size
            self._credit_arrived.set()
            return
        if isinstance(content, Reset):
            self.fail(StreamResetError(content.code, content.detail))
            return
        if isinstance(content, Data):
            self._check_window(len(content.payload))
        if isinstance(content, End):
            self._ended_there = True
            self._forget_if_done()
        self._inbox.append(content)
        self._arrived.set()

    def fail(self, failure: Exception) -> None:
        """End the stream for both directions with ``failure``."""
        if self._failure is None:
            self._failure = failure
        self._arrived.set()
        self._credit_arrived.set()
        self.connection.forget(self.number)

    def _check_window(self, size: int) -> None:
        self._unacknowledged += size
        if self._unacknowledged > STREAM_WINDOW_BYTES:
            raise ProtocolError("the peer sent more Data than it had credit for")

    def _return_credit(self, size: int) -> None:
        self._consumed += size
        if self._consumed * 2 >= STREAM_WINDOW_BYTES and self.open:
            self._unacknowledged -= self._consumed
            self.connection.write(self.number, Credit(self._consumed))
            self._consumed = 0

    async def _take_credit(self, size: int) -> None:
        while self._send_credit < size:
            if self._failure is not None:
                raise self._failure
            self._credit_arrived.clear()
            await self._credit_arrived.wait()
        self._send_credit -= size

    def _forget_if_done(self) -> None:
        if self._ended_here and self._ended_there:
            self.connection.forget(self.number)
