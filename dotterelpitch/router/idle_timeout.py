"""An idle timeout that is cheap to reset.

Rescheduling a timeout for each token creates a timer each time. This one only
stores the time of the last reset, and compares it when its timer fires.

>>> async with idle_timeout(30.0) as idle:
...     while chunk := await read():
...         idle.pause()
...         await send(chunk)
...         idle.reset(15.0)
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager


class IdleTimeout:
    """Expires its ``asyncio.Timeout`` after ``seconds`` without a reset."""

    def __init__(self, timeout: asyncio.Timeout, seconds: float) -> None:
        self._timeout = timeout
        self._loop = asyncio.get_running_loop()
        self._seconds = seconds
        self._paused = False
        self._last_progress_at = self._loop.time()
        self._timer = self._loop.call_later(seconds, self._check)

    def pause(self) -> None:
        """Stop counting idle time until the next reset."""
        self._paused = True

    def reset(self, seconds: float) -> None:
        """Start counting again from now, with a timeout of ``seconds``."""
        if seconds < self._seconds:
            self._timer.cancel()
            self._timer = self._loop.call_later(seconds, self._check)
        self._seconds = seconds
        self._paused = False
        self._last_progress_at = self._loop.time()

    def close(self) -> None:
        """Stop the timer."""
        self._timer.cancel()

    def _check(self) -> None:
        now = self._loop.time()
        if self._paused:
            self._last_progress_at = now
        remaining = self._last_progress_at + self._seconds - now
        if remaining > 0:
            self._timer = self._loop.call_later(remaining, self._check)
        else:
            self._timeout.reschedule(now)


@asynccontextmanager
async def idle_timeout(seconds: float) -> AsyncIterator[IdleTimeout]:
    """Raise TimeoutError in the block after ``seconds`` without a reset."""
    async with asyncio.timeout(None) as timeout:
        idle = IdleTimeout(timeout, seconds)
        try:
            yield idle
        finally:
            idle.close()
