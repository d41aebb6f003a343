"""A limit on the time without progress that is cheap to push back.

A timeout that is set anew for each token costs a timer each time. This one
notes the instant of the last progress and looks at it when its timer runs out.

>>> async with idle_timeout(30.0) as limit:
...     while chunk := await read():
...         limit.hold()
...         await send(chunk)
...         limit.progress(15.0)
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager


class IdleTimeout:
    """Ends its ``asyncio.Timeout`` after some seconds without progress."""

    def __init__(self, timeout: asyncio.Timeout, seconds: float) -> None:
        self._timeout = timeout
        self._loop = asyncio.get_running_loop()
        self._seconds = seconds
        self._held = False
        self._since = self._loop.time()
        self._timer = self._loop.call_later(seconds, self._look)

    def hold(self) -> None:
        """Don't count from here to the next progress."""
        self._held = True

    def progress(self, seconds: float) -> None:
        """Count from now, and allow ``seconds`` from here on."""
        if seconds < self._seconds:
            self._timer.cancel()
            self._timer = self._loop.call_later(seconds, self._look)
        self._seconds = seconds
        self._held = False
        self._since = self._loop.time()

    def close(self) -> None:
        """Stop the timer."""
        self._timer.cancel()

    def _look(self) -> None:
        now = self._loop.time()
        if self._held:
            self._since = now
        remaining = self._since + self._seconds - now
        if remaining > 0:
            self._timer = self._loop.call_later(remaining, self._look)
        else:
            self._timeout.reschedule(now)


@asynccontextmanager
async def idle_timeout(seconds: float) -> AsyncIterator[IdleTimeout]:
    """Raise TimeoutError once ``seconds`` have passed without progress."""
    async with asyncio.timeout(None) as timeout:
        limit = IdleTimeout(timeout, seconds)
        try:
            yield limit
        finally:
            limit.close()
