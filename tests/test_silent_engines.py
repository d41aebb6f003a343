"""Engines that fall silent and go on: a stream that began there reaches its end.

Each case has another reason why no other engine can go on with the stream meanwhile.
"""

import asyncio

import pytest

from tests.harness.gateway_fleet import GatewayFleet, request_bytes, send_raw
from tests.harness.scripted_engine import EngineExchange
from tests.harness.silent_streams import (
    EVENTS,
    hang,
    spend_the_retries,
    stream_with_silence,
    want_pause,
)
from tests.harness.waiting import eventually

# Longer than a stream may stall before another engine may go on with it.
SILENCE_SECONDS = 2.0
# As many requests run at once at an engine of the fleet, by its record.
SLOTS = 4


async def stop_listening(fleet, other):
    """Let the other engine end, while its record stays."""
    await other.stop()


async def stop_answering(fleet, other):
    """Let the other engine answer nothing, status checks included."""
    other.behavior = hang
    other.answers_checks = False


async def ask_for_a_pause(fleet, other):
    """Let the other engine ask the gateway for a pause."""
    other.behavior = want_pause
    address = fleet.gateways[0].caller_address
    await send_raw(address, request_bytes("/open/1", key=""))
    assert other.exchanges


async def make_it_leave(fleet, other):
    """Let the other engine leave."""
    fleet.register_engine(other, state="draining")


async def reject(exchange: EngineExchange) -> None:
    """Reject the request."""
    lines = ("Not-Executed: 1", "Content-Length: 0")
    exchange.write_head("503 Service Unavailable", *lines)


REASONS = [
    spend_the_retries,
    stop_listening,
    stop_answering,
    ask_for_a_pause,
    make_it_leave,
]


@pytest.fixture
async def fleet(tmp_path):
    """A fleet with one gateway, whose store and engines run."""
    fleet = GatewayFleet(tmp_path)
    await fleet.start()
    yield fleet
    await fleet.stop()


# Guards against: a stream is cut since its engine is silent for a while, although no
# other engine can go on with it.
@pytest.mark.parametrize("prevent", REASONS)
async def test_stream_stays_at_its_silent_engine_if_no_other_can_go_on(fleet, prevent):
    for engine in fleet.engines:
        engine.behavior = stream_with_silence(SILENCE_SECONDS)
    request = request_bytes("/resumable/1", headers=("Deadline-Ms: 4500",))
    address = fleet.gateways[0].caller_address
    calling = asyncio.create_task(send_raw(address, request))
    await eventually(fleet.exchanges, 2.0, "the stream has begun")
    silent, other = sorted(fleet.engines, key=lambda e: len(e.exchanges), reverse=True)
    await prevent(fleet, other)
    response = await calling
    assert EVENTS[1].strip() in response
    assert response.endswith(b"0\r\n\r\n")
    assert len(silent.exchanges) == 1


# Guards against: a stream is cut since its silent engine was left for one that rejects
# it, although the silent engine goes on.
async def test_stream_goes_back_to_its_engine_if_the_other_rejects_it(fleet):
    for engine in fleet.engines:
        engine.script = [stream_with_silence(SILENCE_SECONDS)]
        engine.behavior = reject
    address = fleet.gateways[0].caller_address
    request = request_bytes("/resumable/1", headers=("Deadline-Ms: 4500",))
    calling = asyncio.create_task(send_raw(address, request))
    await eventually(fleet.exchanges, 2.0, "the stream has begun")
    silent, other = sorted(fleet.engines, key=lambda e: len(e.exchanges), reverse=True)
    silent.behavior = stream_with_silence(0.0)
    other.script = []
    response = await calling
    assert EVENTS[1].strip() in response
    assert response.endswith(b"0\r\n\r\n")
    assert response.count(EVENTS[0].strip()) == 1
    assert len(other.exchanges) == 1


# Guards against: a stream is cut since its silent engine is left for one that is full
# and rejects it.
async def test_stream_stays_at_its_silent_engine_if_the_others_are_full(fleet):
    address = fleet.gateways[0].caller_address
    for engine in fleet.engines:
        engine.script = [hang] * SLOTS
        engine.behavior = reject
    waiting = [
        asyncio.create_task(send_raw(address, request_bytes(f"/stream/{n}")))
        for n in range(2 * SLOTS - 1)
    ]
    await eventually(lambda: len(fleet.exchanges()) == len(waiting), 2.0, "they run")
    free, full = sorted(fleet.engines, key=lambda e: len(e.exchanges))
    assert len(full.exchanges) == SLOTS
    free.script = [stream_with_silence(SILENCE_SECONDS)]
    request = request_bytes("/resumable/1", headers=("Deadline-Ms: 4500",))
    response = await send_raw(address, request)
    assert EVENTS[1].strip() in response
    assert response.endswith(b"0\r\n\r\n")
    await asyncio.gather(*waiting)
