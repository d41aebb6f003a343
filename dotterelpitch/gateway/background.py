"""Keeps the endless tasks of the process going."""

import asyncio
from collections.abc import Awaitable, Callable

from dotterelpitch.telemetry.events import Event, log_event, short_trace

# A task that breaks at once again must not take all of the processor.
RESTART_DELAY_SECONDS = 1.0


async def keep_running(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run an endless task; log an error that ends it, and start it again.

    >>> task = asyncio.create_task(keep_running("store", feed.run))
    """
    while True:
        try:
            await run()
            return
        except Exception as error:
            trace = short_trace()
            log_event(Event.TASK_BROKE, task=name, error=repr(error), trace=trace)
        await asyncio.sleep(RESTART_DELAY_SECONDS)
