"""Prompts of callers that name their parts in bytes that aren't UTF-8."""

import pytest

from tests.harness.gateway_fleet import (
    CHAT_ROUTES,
    GatewayFleet,
    make_config,
    request_bytes,
    send_raw,
)
from tests.harness.waiting import eventually, pause

TASK_BROKE = 109
LINK_DOWN = 306
CRASHES_REPORTED = 418
REPORT_SECONDS = 5.0
# Several digests are sent meanwhile.
WATCH_SECONDS = 1.0
EVENT = b"id: 1\ndata: a\n\n"


async def send_event(exchange):
    """Answer with a stream of one event."""
    exchange.write_head("200 OK", f"Content-Length: {len(EVENT)}")
    exchange.writer.write(EVENT)


def request_with_prompt(parts):
    """Return the bytes of a request with a prompt; ``@`` stands for the odd byte."""
    request = request_bytes("/chat/x", headers=(f"Prompt-Prefix: {parts}",))
    return request.replace(b"@", b"\xff")


async def start(folder, gateways):
    """Return a fleet with one route that takes prompts."""
    fleet = GatewayFleet(folder)
    await fleet.start(gateways)
    fleet.store.put("op/config", make_config(2, CHAT_ROUTES))
    for gateway in fleet.gateways:
        await gateway.wait_config(2)
    for engine in fleet.engines:
        engine.behavior = send_event
    return fleet


# Guards against: a request whose prompt has such a part meets an error of the gateway.
@pytest.mark.parametrize("parts", ["@:9", "@:5,a:9", "a:5,@:9", "a:5,@:5,b:9"])
async def test_prompt_with_an_odd_part_is_served(tmp_path, parts):
    fleet = await start(tmp_path, 1)
    try:
        address = fleet.gateways[0].caller_address
        answer = await send_raw(address, request_with_prompt(parts))
    finally:
        await fleet.stop()
    assert answer.startswith(b"HTTP/1.1 200")


# Guards against: the report of a crash under such a prompt can't be sent to peers, so
# all links break again and again, and each leaves memory behind.
async def test_crash_under_an_odd_prompt_leaves_links_alone(tmp_path):
    fleet = await start(tmp_path, 2)

    async def crash(exchange):
        engine = next(e for e in fleet.engines if exchange in e.exchanges)
        await engine.stop()
        exchange.reset()

    script = [crash]
    for engine in fleet.engines:
        engine.script = script
    taker, peer = fleet.gateways
    try:
        request = request_with_prompt("@:500,a:90,b:9")
        answer = await send_raw(taker.caller_address, request)

        def is_reported():
            return bool(peer.process.events(CRASHES_REPORTED))

        await eventually(is_reported, REPORT_SECONDS, "the peer knows of the crash")
        await pause(WATCH_SECONDS)
        faults = [
            event
            for gateway in fleet.gateways
            for number in (TASK_BROKE, LINK_DOWN)
            for event in gateway.process.events(number)
        ]
    finally:
        await fleet.stop()
    assert answer.startswith(b"HTTP/1.1 200")
    assert not faults
