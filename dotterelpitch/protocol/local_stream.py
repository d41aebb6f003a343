"""A stream between two tasks of one process, with the interface of ``Stream``.

A router that owns the engine it wants talks to itself this way, so that the
code on both sides is the same as between two processes.

>>> near, far = local_stream_pair()
"""

import asyncio
from collections import deque
from typing import Any

from dotterelpitch.errors import StreamResetError
from dotterelpitch.protocol.frames import End

MAX_WAITING_MESSAGES = 16


class LocalStream:
    """One end of a local pair; at most 16 messages wait in each direction."""

    def __init__(self) -> None:
        self._inbox: deque[Any] = deque()
        self._arrived = asyncio.Event()
        self._space = asyncio.Event()
        self._failure: StreamResetError | None = None
        self._other: LocalStream = self

    @property
    def open(self) -> bool:
        """Whether neither side has given up."""
        return self._failure is None

    async def send(self, content: Any) -> None:
        """Hand one message to the other side; waits while 16 are unread."""
        while len(self._other._inbox) >= MAX_WAITING_MESSAGES and self.open:
            self._space.clear()
            await self._space.wait()
        if self._failure is not None:
            raise self._failure
        self._other._inbox.append(content)
        self._other._arrived.set()

    async def receive(self) -> Any:
        """Return the next message; raises StreamResetError after a reset."""
        while not self._inbox:
            if self._failure is not None:
                raise self._failure
            self._arrived.clear()
            await self._arrived.wait()
        content = self._inbox.popleft()
        self._other._space.set()
        return content

    async def finish(self) -> None:
        """Send End."""
        if self.open:
            await self.send(End())

    def reset(self, code: str, detail: str = "") -> None:
        """Give up on the stream for both sides; safe to call twice."""
        for side in (self, self._other):
            side._failure = side._failure or StreamResetError(code, detail)
            side._arrived.set()
            side._space.set()


def local_stream_pair() -> tuple[LocalStream, LocalStream]:
    """Return both ends of a new local stream."""
    near, far = LocalStream(), LocalStream()
    near._other, far._other = far, near
    return near, far
