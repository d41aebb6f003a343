"""Engines that send bytes without end harm neither the gateway nor other requests."""

import asyncio

import psutil
import pytest

from tests.harness.gateway_fleet import GatewayFleet, request_bytes, send_raw
from tests.harness.waiting import pause

REQUESTS = 10
MAX_GROWTH_BYTES = 30 * 1024 * 1024
JUNK = b"x" * 64 * 1024


def endless(*head_lines, status="200 OK", before=b"", junk=JUNK):
    """Return a behavior that sends a head, then bytes until the caller closes."""

    async def behavior(exchange):
        if head_lines:
            exchange.write_head(status, *head_lines)
        exchange.writer.write(before)
        while not exchange.caller_left.is_set():
            exchange.writer.write(junk)
            await exchange.writer.drain()
            await pause(0.001)

    return behavior


HEAD = b"HTTP/1.1 200 OK\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
LAST_CHUNK = b"\r\n0\r\n\r\n"
CHUNKED = "Transfer-Encoding: chunked"
FOREIGN = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: another\r\nContent-Length: 99999999999\r\n\r\n"
)
# Before any of the answer has been passed on.
ENDLESS = {
    "status line": ("safe", endless(before=b"HTTP/1.1 200 ")),
    "header line": ("safe", endless(before=b"HTTP/1.1 200 OK\r\nX-Long: ")),
    "event": ("stream", endless("Content-Type: text/event-stream", before=b"data: ")),
    "error body": ("safe", endless("X-A: b", status="500 Internal Server Error")),
    "header lines": ("safe", endless(before=HEAD, junk=b"X-A: b\r\n" * 8000)),
    "one-byte names": ("safe", endless(before=HEAD, junk=b"a:\r\n" * 16_000)),
    "interim answers": ("safe", endless(junk=INTERIM * 2000)),
    "another's answer": ("safe", endless(before=FOREIGN)),
    "lines of an event": (
        "stream",
        endless("Content-Type: text/event-stream", junk=b"data: x\n" * 8000),
    ),
    "error in chunks": (
        "safe",
        endless(CHUNKED, status="500 Internal Server Error", junk=b"1\r\nx\r\n" * 9000),
    ),
}
# After the head, and perhaps a part of the body.
ENDLESS_AFTER_THE_HEAD = {
    "body": ("safe", endless("X-A: b")),
    "body of a length": ("safe", endless("Content-Length: 99999999999")),
    "body in chunks": ("safe", endless(CHUNKED, junk=b"1\r\nx\r\n" * 9000)),
    "chunk size": ("safe", endless(CHUNKED, before=b"2;x=")),
    "trailers": ("safe", endless(CHUNKED, before=b"2\r\nok\r\n0\r\nX: ")),
    "events": (
        "stream",
        endless("Content-Type: text/event-stream", junk=b"id: 1\ndata: x\n\n" * 3000),
    ),
}


async def play(folder, route, behavior):
    """Return what callers got of such answers, and by how many bytes memory grew.

    Another request must be served afterwards.
    """
    fleet = GatewayFleet(folder)
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
        answers = await asyncio.gather(*calls, return_exceptions=True)
        for engine in fleet.engines:
            engine.behavior = answer_ok
        await pause(2.0)
        answer = await send_raw(gateway.caller_address, request_bytes("/safe/2"))
        assert answer.startswith(b"HTTP/1.1 200")
        return answers, growth
    finally:
        await fleet.stop()


# Guards against: one endless answer takes the gateway's memory, or looks complete.
@pytest.mark.parametrize(("route", "behavior"), ENDLESS.values(), ids=ENDLESS.keys())
async def test_endless_answers_are_cut_and_other_requests_are_served(
    tmp_path, route, behavior
):
    answers, growth = await play(tmp_path, route, behavior)
    for answer in answers:
        assert answer.startswith(b"HTTP/1.1 502")
    assert growth <= MAX_GROWTH_BYTES


# Guards against: the same where the end is to come after a part that was passed on.
@pytest.mark.parametrize(
    ("route", "behavior"),
    ENDLESS_AFTER_THE_HEAD.values(),
    ids=ENDLESS_AFTER_THE_HEAD.keys(),
)
async def test_endless_bodies_are_passed_on_in_bounds_and_cut(
    tmp_path, route, behavior
):
    answers, growth = await play(tmp_path, route, behavior)
    for answer in answers:
        is_reset = isinstance(answer, ConnectionError)
        assert is_reset or not answer.endswith(LAST_CHUNK)
    assert growth <= MAX_GROWTH_BYTES


async def answer_ok(exchange):
    """Answer 200 with a short body."""
    exchange.write_head("200 OK", "Content-Length: 2")
    exchange.writer.write(b"ok")
