"""A crowd sends requests whose path has very many slashes."""

import asyncio
import contextlib
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from parts3 import (
    BROKEN,
    HELD,
    Caller,
    read_response,
    request_bytes,
    run_case,
)

CONNECTIONS = 150
# With its other fields a request's head stays within max_header_bytes (16,384).
PATH_CHARS = 15_000
SECONDS = 25.0
TIMEOUT_S = 0.8
LATER_S = 0.5
LEAST = 8


async def send_paths(gateway, number, trouble, until):
    """Send one request after the other, each when the last one has been answered."""
    host, _, port = gateway.front.rpartition(":")
    path = "/" + ("/" if trouble else "a") * PATH_CHARS
    writer = None
    count = 0
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout_at(until):
            reader, writer = await asyncio.open_connection(host, int(port))
            while True:
                count += 1
                writer.write(request_bytes("GET", path, f"path-{number}-{count}"))
                if await read_response(reader) is None:
                    break
    if writer is not None:
        writer.transport.abort()
    return count


async def check_ready(gateway, record, misses):
    """Ask once a second, as the platform does."""
    while True:
        if not await gateway.is_ready():
            misses.append(gateway.name)
            record(f"{gateway.name} doesn't say that it is ready within a second")
        await asyncio.sleep(1.0)


async def play(site, record, trouble):
    await site.start(models=0)
    misses = []
    callers = [
        Caller(record, g, f"book-{g.name}", deadline_ms=1500) for g in site.gateways
    ]
    tasks = [asyncio.create_task(caller.run()) for caller in callers]
    tasks += [
        asyncio.create_task(check_ready(g, record, misses)) for g in site.gateways
    ]
    await asyncio.sleep(2.0)
    until = asyncio.get_running_loop().time() + SECONDS
    counts = await asyncio.gather(
        *(
            send_paths(gateway, number, trouble, until)
            for gateway in site.gateways
            for number in range(CONNECTIONS)
        )
    )
    for task in tasks:
        task.cancel()
    record(f"{sum(counts)} requests of the crowd, {len(misses)} checks missed")
    print(f"{sum(counts)} requests of the crowd, {len(misses)} checks missed")
    late = unanswered = ran = 0
    for caller in callers:
        for request_id, seconds in caller.seconds_by_id.items():
            if seconds >= TIMEOUT_S:
                late += 1
            if seconds >= TIMEOUT_S + LATER_S:
                unanswered += 1
                ran += bool(site.runs(request_id))
        record(f"{caller.count()}")
        print(caller.count())
    text = (
        f"{late} bookings unanswered at timeout_ms, {unanswered} of them {LATER_S} s "
        f"later; {ran} of these have run"
    )
    record(text)
    print(text)
    return BROKEN if unanswered >= LEAST and 2 * unanswered > late else HELD


run_case(__file__, play)
