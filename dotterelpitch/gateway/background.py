"""Keeps the endless tasks of the process going."""

import asyncio
import traceback
from collections.abc import Awaitable, Callable

from dotterelpitch.telemetry.events import Event, log_event

# A task that breaks at once again must not take all of the processor.
RESTART_SECONDS = 1.0
# How much of a stack trace a log line holds.
TRACE_FRAMES = 4


async def keep_running(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run an endless task; log an error that ends it, and start it again.

    >>> task = asyncio.create_task(keep_running("store", feed.run))
    """
    while True:
        try:
            await run()
            return
        except Exception as error:
            trace = traceback.format_exc(limit=-TRACE_FRAMES)
            log_event(Event.TASK_BROKE, task=name, error=repr(error), trace=trace)
        await asyncio.sleep(RESTART_SECONDS)
