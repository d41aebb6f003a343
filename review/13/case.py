"""An engine that fails part of its bookings after it has run them answers 503."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from parts3 import (
    APP,
    BROKEN,
    HELD,
    Caller,
    answer_plain,
    run_case,
)

FAILED_SHARE = 0.45
FAILING_SECONDS = 6.5
SECONDS = 12.0
# With these a client is told that its request hasn't run and never will.
PROMISES = {408, 421, 429, 503}


def answer_or_fail(until):
    """Return an answer of an engine that books, and then fails part of the time."""

    async def answer(engine, request_id, headers, writer):
        if time.monotonic() > until or random.random() >= FAILED_SHARE:
            return await answer_plain(engine, request_id, headers, writer)
        await asyncio.sleep(0.02)
        engine.record(f"{engine.id} has run {request_id} and answers 503")
        body = b"booked, but the receipt failed"
        head = engine.head(
            request_id, f"Content-Length: {len(body)}", status="503 Service Unavailable"
        )
        writer.write(head + body)
        return True

    return answer


async def play(site, record, trouble):
    await site.start(models=0)
    if trouble:
        failing = next(e for e in site.engines if e.service == APP)
        failing.answer = answer_or_fail(time.monotonic() + FAILING_SECONDS)
    callers = [Caller(record, g, f"book-{g.name}") for g in site.gateways]
    tasks = [asyncio.create_task(caller.run()) for caller in callers]
    await asyncio.sleep(SECONDS)
    for task in tasks:
        task.cancel()
    broken = [
        (request_id, status, site.runs(request_id))
        for caller in callers
        for request_id, status in caller.status_by_id.items()
        if status in PROMISES and site.runs(request_id)
    ]
    for caller in callers:
        record(f"{caller.count()}")
        print(caller.count())
    for request_id, status, engines in broken:
        record(f"REFUSED: {request_id} was answered {status} and ran at {engines}")
    print(f"{len(broken)} bookings refused that have run")
    return BROKEN if broken else HELD


run_case(__file__, play)
