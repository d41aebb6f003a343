"""The fault proxy injects each fault, and a fleet answers chats and plain calls."""

import asyncio

import pytest

from dotterelpitch.standins.engine_model import expected_text
from tests.harness.fleet import MODEL, SERVICE, Fleet, FleetShape
from tests.harness.proxy import Direction, FaultProxy

MESSAGES = [{"role": "user", "content": "describe the scent of rain"}]


@pytest.fixture
async def echo_proxy():
    """Yield a proxy to a server that echoes what it reads."""

    async def echo(reader, writer):
        while data := await reader.read(1024):
            writer.write(data)
        writer.close()

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    proxy = FaultProxy(f"127.0.0.1:{port}")
    await proxy.start()
    yield proxy
    await proxy.stop()
    server.close()


async def connect(proxy):
    host, _, port = proxy.address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def exchange(reader, writer, data, timeout=0.2):
    """Send ``data`` and return the echo, or None if none arrives in time."""
    writer.write(data)
    try:
        return await asyncio.wait_for(reader.read(1024), timeout)
    except TimeoutError:
        return None


@pytest.mark.parametrize("direction", list(Direction))
async def test_cut_holds_bytes_until_healed(echo_proxy, direction):
    reader, writer = await connect(echo_proxy)
    assert await exchange(reader, writer, b"a", 5.0) == b"a"
    echo_proxy.cut("", direction)
    assert await exchange(reader, writer, b"b") is None
    echo_proxy.heal("")
    assert await asyncio.wait_for(reader.read(1024), 5.0) == b"b"
    writer.close()


async def test_drop_loses_bytes_and_healing_resets(echo_proxy):
    reader, writer = await connect(echo_proxy)
    assert await exchange(reader, writer, b"a", 5.0) == b"a"
    echo_proxy.drop()
    assert await exchange(reader, writer, b"b") is None
    echo_proxy.heal()
    with pytest.raises(ConnectionError):
        await asyncio.wait_for(reader.readexactly(1), 5.0)


async def test_half_open_connection_gives_client_no_bytes(echo_proxy):
    reader, writer = await connect(echo_proxy)
    assert await exchange(reader, writer, b"a", 5.0) == b"a"
    echo_proxy.half_open()
    assert await exchange(reader, writer, b"b") is None
    writer.close()


async def test_delay_and_refuse(echo_proxy):
    reader, writer = await connect(echo_proxy)
    assert await exchange(reader, writer, b"a", 5.0) == b"a"
    echo_proxy.delay(0.3)
    assert await exchange(reader, writer, b"b", 0.1) is None
    assert await asyncio.wait_for(reader.read(1024), 5.0) == b"b"
    echo_proxy.refuse()
    with pytest.raises(ConnectionError):
        reader, writer = await connect(echo_proxy)
        await asyncio.wait_for(reader.readexactly(1), 5.0)


async def test_fleet_serves_chats_and_plain_calls_at_every_router():
    shape = FleetShape(domains=2, vms_per_domain=1)
    async with Fleet(shape) as fleet:
        for vm in fleet.vm_by_name:
            answer = await fleet.caller(vm).chat(MODEL, MESSAGES, chat="c1")
            assert (answer.status, answer.is_complete) == (200, True), answer.error
            assert answer.text == expected_text(MODEL, MESSAGES, 16)
            box = await fleet.caller(vm).call("GET", SERVICE, "/boxes/7")
            assert (box.status, box.outcome) == (200, "completed"), box
        stats = await fleet.engine_stats()
        assert sorted(s["requests"] for s in stats.values()) == [0, 2]
