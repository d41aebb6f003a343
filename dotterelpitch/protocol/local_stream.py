"""Streams between two tasks of one process, with the interface of ``Stream``.

A router that itself owns the requested engine uses a local stream, so that both
ends run the same code as between two processes.

>>> near, far = local_stream_pair()
"""

import asyncio
from collections import deque
from typing import Any

from dotterelpitch.errors import StreamResetError
from dotterelpitch.protocol.frames import End

MAX_QUEUED_MESSAGES = 16


class LocalStream:
    """One end of a pair; at most 16 messages are queued in each direction."""

    def __init__(self) -> None:
        self._inbox: deque[Any] = deque()
        self._message_arrived = asyncio.Event()
        self._space_available = asyncio.Event()
        self._failure: StreamResetError | None = None
        self._peer: LocalStream = self

    @property
    def is_open(self) -> bool:
        """Whether the stream hasn't been reset."""
        return self._failure is None

    async def send(self, content: Any) -> None:
        """Queue one message for the other end; waits while 16 are queued.

        Raises StreamResetError after a reset.
        """
        while len(self._peer._inbox) >= MAX_QUEUED_MESSAGES and self.is_open:
            self._space_available.clear()
            await self._space_available.wait()
        if self._failure is not None:
            raise self._failure
        self._peer._inbox.append(content)
        self._peer._message_arrived.set()

    async def receive(self) -> Any:
        """Return the next message; raises StreamResetError after a reset."""
        while not self._inbox:
            if self._failure is not None:
                raise self._failure
            self._message_arrived.clear()
            await self._message_arrived.wait()
        content = self._inbox.popleft()
        self._peer._space_available.set()
        return content

    async def finish(self) -> None:
        """Send End, unless the stream was reset."""
        if self.is_open:
            await self.send(End())

    def reset(self, code: str, detail: str = "") -> None:
        """Abort the stream at both ends; idempotent."""
        for end in (self, self._peer):
            end._failure = end._failure or StreamResetError(code, detail)
            end._message_arrived.set()
            end._space_available.set()


def local_stream_pair() -> tuple[LocalStream, LocalStream]:
    """Return both ends of a new local stream."""
    near, far = LocalStream(), LocalStream()
    near._peer, far._peer = far, near
    return near, far
