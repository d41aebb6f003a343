"""A gateway process with engines of two versions, and streams that pause or break."""

import pytest

from dotterelpitch.routing.continuity import MAX_SILENCE_SECONDS
from dotterelpitch.routing.stream_origins import RETENTION_SECONDS
from tests.harness.gateway_fleet import GatewayFleet, request_bytes, send_raw
from tests.harness.ports import free_address
from tests.harness.proxy import FaultProxy
from tests.harness.scripted_engine import EngineExchange, ScriptedEngine
from tests.harness.silent_streams import EVENTS, stream_with_silence
from tests.harness.waiting import pause

# Longer than a stream may stall before another engine may go on with it.
PAUSE_SECONDS = 2.0


@pytest.fixture
async def fleet(tmp_path):
    """A fleet with one gateway and an engine of each of two versions."""
    fleet = GatewayFleet(tmp_path)
    await fleet.start()
    yield fleet
    await fleet.stop()


async def break_off(exchange: EngineExchange) -> None:
    """Send one event, and reset the connection."""
    exchange.write_head("200 OK", "Transfer-Encoding: chunked")
    exchange.write_chunk(EVENTS[0])
    await exchange.writer.drain()
    await pause(0.05)
    exchange.reset()


@pytest.fixture
async def cut_off(fleet):
    """A second gateway, without peers, and the proxy between it and the store."""
    proxy = FaultProxy(fleet.store.address)
    gateway = fleet.add_gateway(await proxy.start())
    gateway.write_settings(proxy.address, seeds=[])
    await gateway.process.start()
    await gateway.wait_ready()
    yield gateway, proxy
    await proxy.stop()


# Guards against: a stream that a new version has begun goes on at the old one, through
# a VM that has been out of step for a moment.
async def test_stream_joins_no_version_at_a_vm_that_is_out_of_step(fleet, cut_off):
    gateway, proxy = cut_off
    newcomer = ScriptedEngine("e3", break_off)
    await newcomer.start(free_address())
    try:
        for engine in fleet.engines:
            fleet.register_engine(engine, version="v1")
        await pause(RETENTION_SECONDS + 2.0)
        proxy.cut()
        fleet.register_engine(newcomer, version="v2")
        for engine in fleet.engines:
            fleet.register_engine(engine, "draining", "v1")
        await pause(MAX_SILENCE_SECONDS + 0.25)
        headers = ("Deadline-Ms: 6000",)
        request = request_bytes("/resumable/1", headers=headers)
        begun = await send_raw(fleet.gateways[0].caller_address, request)
        assert EVENTS[0].strip() in begun
        headers += ("Last-Event-Id: 1", "Resumes: r1")
        request = request_bytes("/resumable/1", headers=headers)
        response = await send_raw(gateway.caller_address, request)
        assert response.startswith(b"HTTP/1.1 503"), response
        assert not fleet.exchanges()
    finally:
        await newcomer.stop()


# Guards against: a stream is left at a slow engine that alone could go on with it.
async def test_paused_stream_waits_for_the_only_engine_of_its_version(fleet):
    for engine, version in zip(fleet.engines, ("v1", "v2"), strict=True):
        engine.behavior = stream_with_silence(PAUSE_SECONDS)
        fleet.register_engine(engine, version=version)
    await pause(0.5)
    request = request_bytes("/resumable/1", headers=("Deadline-Ms: 6000",))
    response = await send_raw(fleet.gateways[0].caller_address, request)
    assert EVENTS[1].strip() in response
    assert len(fleet.exchanges()) == 1
