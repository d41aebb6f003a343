"""What follows on a connection that a caller keeps after a refusal."""

import asyncio

import pytest

from dotterelpitch.gateway.body_memory import STALLED_SECONDS
from tests.harness.gateway_fleet import GatewayFleet, make_config, request_bytes
from tests.harness.kept_caller import KeptCaller

# Bodies above this are too large.
MAX_BODY_BYTES = 1_000_000
BOOKING_BYTES = 600
# The memory of a VM whose bodies take less than two of the largest.
SMALL_MEMORY_MB = 8


@pytest.fixture
async def fleet(tmp_path):
    fleet = GatewayFleet(tmp_path)
    await fleet.start()
    config = make_config(2)
    config["limits"] = {"max_body_bytes": MAX_BODY_BYTES, "header_timeout_ms": 1000}
    fleet.store.put("op/config", config)
    gateway = fleet.gateways[0]
    await gateway.wait_config(2)
    yield fleet
    request_errors = fleet.request_errors()
    await fleet.stop()
    assert not request_errors


def connect(fleet):
    return KeptCaller.connect(fleet.gateways[0].caller_address)


async def outcome(caller):
    """Return the status of the next response, and whether it announces a close."""
    response = await caller.read()
    return response.status, response.announces_close


def booking():
    return request_bytes("/unsafe/1", "POST", bytes(BOOKING_BYTES), close=False)


def in_one_piece(size, **request):
    return [request_bytes(method="POST", body=bytes(size), close=False, **request)]


def in_halves(size, **request):
    (whole,) = in_one_piece(size, **request)
    cut = len(whole) - size // 2
    return [whole[:cut], whole[cut:]]


def in_chunks(size, **request):
    (whole,) = in_one_piece(0, **request)
    headers = (*request.get("headers", ()), "Transfer-Encoding: chunked")
    whole = request_bytes(
        method="POST", close=False, **(request | {"headers": headers})
    )
    half = b"%x\r\n%s\r\n" % (size // 2, bytes(size // 2))
    return [whole + half, half + b"0\r\n\r\n"]


REFUSED_REQUESTS = {
    401: {"path": "/unsafe/1", "key": "unknown"},
    404: {"path": "/nowhere/1"},
    431: {"path": "/unsafe/1", "headers": ("X: " + "x" * 17_000,)},
}


# Guards against: the request behind a refused one on a kept connection gets no answer.
@pytest.mark.parametrize("send", [in_one_piece, in_halves, in_chunks])
@pytest.mark.parametrize("size", [600, 40_000, 400_000])
@pytest.mark.parametrize("status", REFUSED_REQUESTS)
async def test_request_behind_a_refused_one_is_answered(fleet, status, size, send):
    async with connect(fleet) as caller:
        for _ in range(3):
            await caller.send(*send(size, **REFUSED_REQUESTS[status]))
            assert await outcome(caller) == (status, False)
        await caller.send(booking())
        assert await outcome(caller) == (200, False)
    assert len(fleet.exchanges()) == 1


# Guards against: the same where the caller doesn't wait for the refusals.
@pytest.mark.parametrize("size", [600, 40_000])
async def test_requests_sent_ahead_behind_refused_ones_are_answered(fleet, size):
    async with connect(fleet) as caller:
        refused = b"".join(in_one_piece(size, **REFUSED_REQUESTS[404]))
        await caller.send(refused + refused + booking() + refused + booking())
        statuses = [(await caller.read()).status for _ in range(5)]
        assert statuses == [404, 404, 200, 404, 200]


@pytest.fixture
async def small_gateway(fleet):
    """The gateway of ``fleet``, restarted with little memory for bodies."""
    gateway = fleet.gateways[0]
    gateway.write_settings(
        fleet.store.address, [], limits={"memory_mb": SMALL_MEMORY_MB}
    )
    await gateway.process.kill()
    await gateway.process.start()
    await gateway.wait_ready()
    return gateway


# Guards against: the same where there is no memory for the body of the refused one.
@pytest.mark.parametrize("send", [in_one_piece, in_halves, in_chunks])
async def test_request_behind_one_without_room_is_answered(fleet, small_gateway, send):
    async with connect(fleet) as caller:
        # An account may have half of the memory for bodies.
        await caller.send(*send(MAX_BODY_BYTES, path="/unsafe/1"))
        assert await outcome(caller) == (503, False)
        await caller.send(booking())
        assert await outcome(caller) == (200, False)


# Guards against: a body that makes room for others, and whose caller isn't told that
# its connection ends.
async def test_caller_whose_body_makes_room_is_told_of_the_close(fleet, small_gateway):
    async with connect(fleet) as stalled, connect(fleet) as other:
        await stalled.send(in_halves(MAX_BODY_BYTES, path="/open/1", key="")[0])
        await asyncio.sleep(STALLED_SECONDS + 0.1)
        await other.send(*in_one_piece(MAX_BODY_BYTES, path="/open/1", key=""))
        assert await outcome(other) == (200, False)
        assert await outcome(stalled) == (503, True)


EXPECTING = request_bytes(
    "/nowhere/1",
    "POST",
    headers=("Expect: 100-continue", "Content-Length: 600"),
    close=False,
)


# Guards against: a close that isn't announced, where the rest of a body isn't read.
@pytest.mark.parametrize(
    ("parts", "status"),
    [
        (in_one_piece(2 * MAX_BODY_BYTES, path="/unsafe/1"), 413),
        (in_halves(2 * MAX_BODY_BYTES, path="/unsafe/1"), 413),
        (in_chunks(4 * MAX_BODY_BYTES, path="/unsafe/1"), 413),
        (in_halves(2 * MAX_BODY_BYTES, path="/nowhere/1"), 404),
        (in_halves(600, path="/unsafe/1")[:1], 408),
        ([EXPECTING], 404),
    ],
    ids=["413", "413 in halves", "413 in chunks", "404 large", "408", "expecting"],
)
async def test_close_is_announced_where_the_rest_is_not_read(fleet, parts, status):
    async with connect(fleet) as caller:
        await caller.send(*parts)
        assert await outcome(caller) == (status, True)
        assert await caller.is_closed()
    assert not fleet.exchanges()


# Guards against: a refused body that stops holds its connection for long.
async def test_refused_body_that_stops_is_given_up(fleet):
    async with connect(fleet) as caller:
        await caller.send(in_halves(600, **REFUSED_REQUESTS[404])[0])
        assert await outcome(caller) == (404, False)
        assert await caller.is_closed()
