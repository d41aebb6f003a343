"""Bounded waits for conditions; the only module of the harness that polls."""

import asyncio
import inspect
from collections.abc import Callable
from typing import Any

import aiohttp

POLL_SECONDS = 0.02
_RETRIED_ERRORS = (AssertionError, aiohttp.ClientError, ConnectionError, TimeoutError)


async def pause(seconds: float) -> None:
    """Sleep for ``seconds``, measured by the event loop."""
    elapsed = asyncio.Event()
    asyncio.get_running_loop().call_later(seconds, elapsed.set)
    await elapsed.wait()


async def eventually(
    condition: Callable[[], Any], timeout: float, what: str = ""
) -> Any:
    """Poll ``condition`` and return its first true result.

    ``condition`` may return an awaitable. An AssertionError, a timeout, or a
    connection failure in it counts as a false result. Raises AssertionError after
    ``timeout`` seconds, with ``what`` and the last result in its text.

    >>> await eventually(lambda: queue.empty(), timeout=5.0)
    """
    loop = asyncio.get_running_loop()
    until = loop.time() + timeout
    last: Any = None
    while True:
        try:
            last = condition()
            if inspect.isawaitable(last):
                remaining = max(0.05, until - loop.time())
                last = await asyncio.wait_for(last, remaining)
            if last:
                return last
        except _RETRIED_ERRORS as error:
            last = repr(error)
        if loop.time() >= until:
            raise AssertionError(
                f"condition not met within {timeout} s: {what}; last result: {last!r}"
            )
        await pause(POLL_SECONDS)
