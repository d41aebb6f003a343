"""Engines that send bytes without end harm neither the gateway nor other requests."""

import asyncio

import psutil
import pytest

from tests.harness.gateway_fleet import GatewayFleet, request_bytes, send_raw
from tests.harness.waiting import pause

REQUESTS = 10
MAX_GROWTH_BYTES = 30 * 1024 * 1024
JUNK = b"x" * 64 * 1024


def endless(*head_lines, status="200 OK", before=b""):
    """Return a behavior that sends a head, then bytes until the caller closes."""

    async def behavior(exchange):
        if head_lines:
            exchange.write_head(status, *head_lines)
        exchange.writer.write(before)
        while not exchange.caller_left.is_set():
            exchange.writer.write(JUNK)
            await exchange.writer.drain()
            await pause(0.001)

    return behavior


ENDLESS = {
    "status line": ("safe", endless(before=b"HTTP/1.1 200 ")),
    "header line": ("safe", endless(before=b"HTTP/1.1 200 OK\r\nX-Long: ")),
    "event": ("stream", endless("Content-Type: text/event-stream", before=b"data: ")),
    "error body": ("safe", endless("X-A: b", status="500 Internal Server Error")),
}


# Guards against: one endless answer takes the gateway's memory, or looks complete.
@pytest.mark.parametrize(("route", "behavior"), ENDLESS.values(), ids=ENDLESS.keys())
async def test_endless_answers_are_cut_and_other_requests_are_served(
    tmp_path, route, behavior
):
    fleet = GatewayFleet(tmp_path)
    try:
        gateway = await fleet.start()
        process = psutil.Process(gateway.process.pid)
        before = process.memory_info().rss
        for engine in fleet.engines:
            engine.behavior = behavior
        request = request_bytes(f"/{route}/1", headers=("Deadline-Ms: 3000",))
        calls = [
            asyncio.create_task(send_raw(gateway.caller_address, request))
            for _ in range(REQUESTS)
        ]
        growth = 0
        while not all(call.done() for call in calls):
            growth = max(growth, process.memory_info().rss - before)
            await pause(0.02)
        for answer in await asyncio.gather(*calls):
            assert answer.startswith(b"HTTP/1.1 502")
        assert growth <= MAX_GROWTH_BYTES
        for engine in fleet.engines:
            engine.behavior = answer_ok
        await pause(2.0)
        answer = await send_raw(gateway.caller_address, request_bytes("/safe/2"))
        assert answer.startswith(b"HTTP/1.1 200")
    finally:
        await fleet.stop()


async def answer_ok(exchange):
    """Answer 200 with a short body."""
    exchange.write_head("200 OK", "Content-Length: 2")
    exchange.writer.write(b"ok")
