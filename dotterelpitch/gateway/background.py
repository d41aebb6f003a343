"""Supervises the tasks that run as long as the process."""

import asyncio
from collections.abc import Awaitable, Callable

from dotterelpitch.telemetry.events import Event, log_event, short_trace

# Keeps a task that fails immediately after each start from using all of the CPU.
RESTART_DELAY_SECONDS = 1.0


async def keep_running(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a task until it returns; log an exception that ends it and restart it.

    >>> task = asyncio.create_task(keep_running("store", watcher.run))
    """
    while True:
        try:
            await run()
            return
        except Exception as error:
            trace = short_trace()
            log_event(Event.TASK_BROKE, task=name, error=repr(error), trace=trace)
        await asyncio.sleep(RESTART_DELAY_SECONDS)
