"""What callers see of a planned stop, in calm."""

import asyncio
import contextlib
import signal

import pytest

from dotterelpitch.gateway.planned_stop import LAST_BODY_SECONDS
from tests.harness.gateway_fleet import GatewayFleet, make_config, request_bytes
from tests.harness.kept_caller import KeptCaller
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
    request_errors = fleet.request_errors()
    await fleet.stop()
    assert not request_errors


@pytest.fixture
async def callers(fleet):
    """Callers that are connected to a gateway in calm."""
    gateway = await fleet.start()
    async with contextlib.AsyncExitStack() as stack:
        connections = [
            KeptCaller.connect(gateway.caller_address) for _ in range(CALLERS)
        ]
        yield [await stack.enter_async_context(c) for c in connections]


def booking():
    return request_bytes("/unsafe/1", "POST", bytes(BODY_BYTES), close=False)


async def stops_accepting(fleet):
    """Return once the gateway takes no connections any more."""
    with contextlib.suppress(ConnectionError):
        async with asyncio.timeout(STOP_SECONDS):
            while True:
                async with KeptCaller.connect(fleet.gateways[0].caller_address):
                    await asyncio.sleep(0.01)


# Guards against: a body that is on its way when the gateway stops accepting isn't read
# on, and its request is held and then refused for a reason that isn't true.
async def test_body_on_its_way_at_the_end_of_accepting_is_read(fleet, callers):
    gateway = fleet.gateways[0]
    gateway.process.send_signal(signal.SIGTERM)
    data = booking()
    half = len(data) - BODY_BYTES // 2
    for caller in callers:
        await caller.send(data[:half])
    await stops_accepting(fleet)
    for caller in callers:
        await caller.send(data[half:])
    for caller in callers:
        response = await caller.read(ANSWER_SECONDS)
        assert (response.status, response.announces_close) == (200, True)
    assert await gateway.process.wait_or_kill() == 0


# Guards against: a request whose body doesn't come in time is cut at the end of the
# grace, or held until then; or the process ends before a caller that goes on sending
# has read the refusal.
@pytest.mark.parametrize("goes_on", [False, True])
async def test_body_that_comes_too_late_is_refused_at_once(fleet, callers, goes_on):
    gateway = fleet.gateways[0]
    config = make_config(2)
    config["limits"]["header_timeout_ms"] = LONG_HEADER_TIMEOUT_MS
    fleet.store.put("op/config", config)
    await gateway.wait_config(2)
    caller = callers[0]
    gateway.process.send_signal(signal.SIGTERM)
    await caller.send(booking()[: -BODY_BYTES // 2])
    await stops_accepting(fleet)
    if goes_on:
        for _ in range(4):
            await asyncio.sleep(LAST_BODY_SECONDS / 2)
            await caller.send(bytes(100))
    response = await caller.read(ANSWER_SECONDS)
    assert (response.status, response.announces_close) == (503, True)
    assert "retry-after:" in response.head
    assert b"the gateway is stopping" in response.body
    assert not fleet.exchanges()
    assert await gateway.process.wait_or_kill() == 0


# Guards against: whole requests that come in the moment in which accepting ends have
# their connections closed without an answer.
async def test_requests_that_come_as_accepting_ends_are_answered(fleet, callers):
    gateway = fleet.gateways[0]
    for caller in callers:
        await caller.send(request_bytes("/safe/1", close=False))
        assert (await caller.read(ANSWER_SECONDS)).status == 200
    gateway.process.send_signal(signal.SIGTERM)
    await eventually(lambda: gateway.process.events(102), STOP_SECONDS)
    # While the process stands still, requests come and the time to stop accepting too.
    gateway.process.send_signal(signal.SIGSTOP)
    for caller in callers:
        await caller.send(request_bytes("/safe/1", close=False))
    await asyncio.sleep(3.0)
    gateway.process.send_signal(signal.SIGCONT)
    for caller in callers:
        response = await caller.read(ANSWER_SECONDS)
        assert (response.status, response.announces_close) == (200, True)
    assert await gateway.process.wait_or_kill() == 0
