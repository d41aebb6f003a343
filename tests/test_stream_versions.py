"""A gateway process with engines of two versions, and streams that pause or break."""

import pytest

from tests.harness.gateway_fleet import GatewayFleet, request_bytes, send_raw
from tests.harness.scripted_engine import EngineExchange
from tests.harness.waiting import pause

# Longer than a stream may stall before another engine may go on with it.
PAUSE_SECONDS = 2.0
EVENTS = [f"id: {n}\ndata: {n}\n\n".encode() for n in (1, 2)]


async def pause_in_stream(exchange: EngineExchange) -> None:
    """Send two events with a long pause between."""
    exchange.write_head("200 OK", "Transfer-Encoding: chunked")
    exchange.write_chunk(EVENTS[0])
    await pause(PAUSE_SECONDS)
    if not exchange.writer.is_closing():
        exchange.write_chunk(EVENTS[1])
        exchange.write_chunk(b"")


@pytest.fixture
async def fleet(tmp_path):
    """A fleet with one gateway and an engine of each of two versions."""
    fleet = GatewayFleet(tmp_path)
    await fleet.start()
    yield fleet
    await fleet.stop()


# Guards against: a stream is left at a slow engine that alone could go on with it.
async def test_paused_stream_waits_for_the_only_engine_of_its_version(fleet):
    for engine, version in zip(fleet.engines, ("v1", "v2"), strict=True):
        engine.behavior = pause_in_stream
        record = {
            "service": "calls",
            "address": engine.address,
            "zone": "a",
            "state": "ready",
            "version": version,
        }
        fleet.store.put(f"servers/{engine.id}", record)
    await pause(0.5)
    request = request_bytes("/resumable/1", headers=("Deadline-Ms: 6000",))
    response = await send_raw(fleet.gateways[0].caller_address, request)
    assert EVENTS[1].strip() in response
    assert len(fleet.exchanges()) == 1
