"""What callers see of a planned stop, in calm."""

import asyncio
import contextlib
import signal

import pytest

from dotterelpitch.gateway.app import LAST_BODY_SECONDS
from tests.harness.gateway_fleet import GatewayFleet, make_config, request_bytes
from tests.harness.waiting import eventually

BODY_BYTES = 40_000
CALLERS = 8
# A caller that isn't answered so long after its request is whole has been let down.
ANSWER_SECONDS = 1.0
# The stop lasts no longer: the grace of the harness, and a little.
STOP_SECONDS = 6.0
# Above what is left of the grace.
LONG_HEADER_TIMEOUT_MS = 20_000


@pytest.fixture
async def fleet(tmp_path):
    fleet = GatewayFleet(tmp_path)
    yield fleet
    request_errors = fleet.gateways[0].process.events(502)
    await fleet.stop()
    assert not request_errors


class Caller:
    """A caller on one connection."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, fleet):
        host, _, port = fleet.gateways[0].caller_address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    async def read(self, timeout=ANSWER_SECONDS):
        """Return the bytes of the response up to the close of the connection."""
        async with asyncio.timeout(timeout):
            return (await self.reader.read()).decode()


def booking(**changes):
    return request_bytes("/unsafe/1", "POST", bytes(BODY_BYTES), close=False, **changes)


async def stops_accepting(fleet):
    """Return once the gateway takes no connections any more."""
    with contextlib.suppress(ConnectionError):
        async with asyncio.timeout(STOP_SECONDS):
            while True:
                (await Caller.connect(fleet)).writer.close()
                await asyncio.sleep(0.01)


async def serve_one(caller):
    """Send a whole request on a kept connection and read its response."""
    caller.writer.write(request_bytes("/safe/1", close=False))
    head = (await caller.reader.readuntil(b"\r\n\r\n")).decode()
    length = int(head.lower().split("content-length:")[1].split("\r\n")[0])
    await caller.reader.readexactly(length)
    assert head.startswith("HTTP/1.1 200")


# Guards against: a body that is on its way when the gateway stops accepting isn't read
# on, and its request is held and then refused for a reason that isn't true.
async def test_body_on_its_way_at_the_end_of_accepting_is_read(fleet):
    gateway = await fleet.start()
    callers = [await Caller.connect(fleet) for _ in range(CALLERS)]
    gateway.process.send_signal(signal.SIGTERM)
    data = booking()
    half = len(data) - BODY_BYTES // 2
    for caller in callers:
        caller.writer.write(data[:half])
    await stops_accepting(fleet)
    for caller in callers:
        caller.writer.write(data[half:])
    for caller in callers:
        response = await caller.read()
        assert response.startswith("HTTP/1.1 200"), response
        assert "connection: close" in response.lower()
    assert await gateway.process.wait_or_kill() == 0


# Guards against: a request whose body doesn't come in time is cut at the end of the
# grace, or held until then; or the process ends before a caller that goes on sending
# has read the refusal.
@pytest.mark.parametrize("goes_on", [False, True])
async def test_body_that_comes_too_late_is_refused_at_once(fleet, goes_on):
    gateway = await fleet.start()
    config = make_config(2)
    config["limits"]["header_timeout_ms"] = LONG_HEADER_TIMEOUT_MS
    fleet.store.put("op/config", config)
    await eventually(
        lambda: any(e["version"] == 2 for e in gateway.process.events(211)), 5.0
    )
    caller = await Caller.connect(fleet)
    gateway.process.send_signal(signal.SIGTERM)
    caller.writer.write(booking()[: -BODY_BYTES // 2])
    await stops_accepting(fleet)
    if goes_on:
        for _ in range(4):
            await asyncio.sleep(LAST_BODY_SECONDS / 2)
            caller.writer.write(bytes(100))
    response = await caller.read()
    assert response.startswith("HTTP/1.1 503"), response
    assert "connection: close" in response.lower()
    assert "retry-after:" in response.lower()
    assert "the gateway is stopping" in response
    assert not fleet.exchanges()
    assert await gateway.process.wait_or_kill() == 0


# Guards against: whole requests that come in the moment in which accepting ends have
# their connections closed without an answer.
async def test_requests_that_come_as_accepting_ends_are_answered(fleet):
    gateway = await fleet.start()
    callers = [await Caller.connect(fleet) for _ in range(CALLERS)]
    for caller in callers:
        await serve_one(caller)
    gateway.process.send_signal(signal.SIGTERM)
    await eventually(lambda: gateway.process.events(102), STOP_SECONDS)
    # While the process stands still, requests come and the time to stop accepting too.
    gateway.process.send_signal(signal.SIGSTOP)
    for caller in callers:
        caller.writer.write(request_bytes("/safe/1", close=False))
    await asyncio.sleep(3.0)
    gateway.process.send_signal(signal.SIGCONT)
    for caller in callers:
        response = await caller.read()
        assert response.startswith("HTTP/1.1 200"), response
        assert "connection: close" in response.lower()
    assert await gateway.process.wait_or_kill() == 0
