"""Requests that a caller sends ahead on one connection, behind a slow one."""

import asyncio
import socket

import pytest

from tests.harness.gateway_fleet import GatewayFleet, request_bytes, send_raw
from tests.harness.scripted_engine import answer
from tests.harness.waiting import eventually

REQUESTS = 33
# Small enough that no body alone stops the reading.
BODY = bytes(31_000)
SEND_BUFFER_BYTES = 16 * 1024
STALLED_SECONDS = 1.0
# What the sockets hold is a part of these.
MOST_TAKEN = REQUESTS / 2


class AheadCaller:
    """Sends requests without waiting for answers, over a small send buffer."""

    def __init__(self, address):
        self._address = address
        self._loop = asyncio.get_running_loop()
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self._socket.setblocking(False)
        self._sending = None
        self.taken = 0
        self.received = b""

    async def connect(self):
        """Open the connection."""
        host, _, port = self._address.rpartition(":")
        await self._loop.sock_connect(self._socket, (host, int(port)))

    def start(self, request):
        """Start to send a request again and again; ``taken`` counts those sent."""
        self._sending = asyncio.create_task(self._send(request))

    async def _send(self, request):
        for _ in range(REQUESTS):
            await self._loop.sock_sendall(self._socket, request)
            self.taken += 1

    async def stalled(self):
        """Return how many requests were taken once no more are."""
        before = -1
        while before != self.taken:
            before = self.taken
            await asyncio.wait({self._sending}, timeout=STALLED_SECONDS)
        return self.taken

    async def read_answers(self, count):
        """Read until there are so many answers."""
        while self.received.count(b"HTTP/1.1 200") < count:
            data = await self._loop.sock_recv(self._socket, 65536)
            assert data, self.received[-300:]
            self.received += data

    async def close(self):
        """End the connection."""
        if self._sending is not None:
            self._sending.cancel()
            await asyncio.gather(self._sending, return_exceptions=True)
        self._socket.close()


# Guards against: bodies that wait behind a slow request, and are in no budget yet, take
# the memory of the process; or a connection that isn't read on once they have room.
@pytest.mark.parametrize("body", [BODY, b""], ids=["bodies", "no bodies"])
async def test_few_requests_wait_behind_a_slow_one(tmp_path, body):
    fleet = GatewayFleet(tmp_path)
    released = asyncio.Event()

    async def answer_when_released(exchange):
        await released.wait()
        await answer(exchange)

    caller = None
    try:
        gateway = await fleet.start()
        for engine in fleet.engines:
            engine.behavior = answer_when_released
        caller = AheadCaller(gateway.caller_address)
        await caller.connect()
        caller.start(request_bytes("/unsafe/x", "POST", body, close=False))
        taken = await caller.stalled()
        await eventually(fleet.exchanges, 5.0, "the first request is under way")
        assert len(fleet.exchanges()) == 1
        if body:
            assert taken <= MOST_TAKEN
        released.set()
        async with asyncio.timeout(10.0):
            await caller.read_answers(REQUESTS)
        assert len(fleet.exchanges()) == REQUESTS
    finally:
        if caller is not None:
            await caller.close()
        await fleet.stop()


# Guards against: a caller that leaves while its requests wait keeps others waiting.
async def test_caller_that_leaves_its_requests_behind_harms_nobody(tmp_path):
    fleet = GatewayFleet(tmp_path)
    try:
        gateway = await fleet.start()
        caller = AheadCaller(gateway.caller_address)
        await caller.connect()
        caller.start(request_bytes("/safe/x", "POST", BODY, close=False))
        await eventually(lambda: caller.taken > 2, 5.0, "requests wait")
        await caller.close()
        response = await send_raw(gateway.caller_address, request_bytes("/safe/y"))
        assert response.startswith(b"HTTP/1.1 200")
        assert fleet.request_errors() == []
    finally:
        await fleet.stop()
