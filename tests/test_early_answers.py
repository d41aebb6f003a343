"""Engines that answer a long upload at once, or with a status that is none.

Each case is played direct and through a peer: a gateway whose connections to the
engines are reset has its calls sent by the other one.
"""

import asyncio
import contextlib
import itertools
import random

import pytest

from tests.harness.gateway_fleet import (
    HOST,
    KEY,
    GatewayFleet,
    make_config,
    request_bytes,
    send_raw,
)
from tests.harness.proxy import reset_writer
from tests.harness.socket_owner import find_owner
from tests.harness.waiting import eventually, pause

MAX_BODY_BYTES = 2_000_000
UPLOAD_BYTES = 900_000
PIECE_BYTES = 30_000
INVALID_STATUSES = [b"000", b"001", b"099", b"600", b"999", b"1000", b"20", b"2OO"]
HEADS = {
    "close": b"HTTP/1.1 200 OK\r\nConnection: close\r\n",
    "no field": b"HTTP/1.1 200 OK\r\n",
    "1.0": b"HTTP/1.0 200 OK\r\n",
}
PARTS = {"short": b"x" * 9, "long": b"x" * 600_000}
# Head and part, bytes read before the answer, seconds until the reset; whether the
# upload is in chunks, and its connection kept.
CASES = list(
    itertools.product(
        HEADS, PARTS, (0, 64_000), (0.0, 0.02, 0.2), (False, True), (False, True)
    )
)
PLAYED_CASES = 48
SEED = 54
# A kept connection is read on for so long after the last bytes.
KEPT_READ_SECONDS = 0.3
ANSWER_SECONDS = 4.0


class EarlyEngine:
    """Answers as told once it has read a head, and resets the connection.

    Without ``status_line``, a request is answered in full. Connections of the process
    ``refused_pid`` are reset. ``reads`` bytes of a body are read before the answer.
    """

    def __init__(self, engine_id):
        self.id = engine_id
        self.address = ""
        self.refused_pid = 0
        self.head = b""
        self.part = b""
        self.reads = 0
        self.reset_after_s = 0.0
        self.runs = 0

    async def start(self, address):
        """Listen on an address."""
        self.address = address
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self):
        """Stop listening."""
        self._server.close()

    async def _serve(self, reader, writer):
        peer, own = writer.get_extra_info("peername"), writer.get_extra_info("sockname")
        if self.refused_pid and find_owner(peer, own, {self.refused_pid: "refused"}):
            reset_writer(writer)
            return
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await self._answer(head, reader, writer)
        writer.close()

    async def _answer(self, head, reader, writer):
        request_id = (
            next(line for line in head.split(b"\r\n") if line.startswith(b"Request-Id"))
            if b"Request-Id" in head
            else b"X: y"
        )
        fields = request_id + b"\r\nResponse-Seal: s\r\n"
        if head.startswith(b"GET"):
            identity = f"Instance-Id: {self.id}\r\nContent-Length: 2\r\n\r\nok"
            writer.write(b"HTTP/1.1 200 OK\r\n" + fields + identity.encode())
            return
        self.runs += 1
        with contextlib.suppress(asyncio.IncompleteReadError):
            await reader.readexactly(self.reads)
        writer.write(self.head + fields + b"\r\n" + self.part)
        await pause(self.reset_after_s)
        reset_writer(writer)
        raise ConnectionResetError


class EarlyAnswers:
    """Two gateways and two engines; ``caller_address`` is that of the first gateway."""

    def __init__(self, folder):
        self.fleet = GatewayFleet(folder)
        self.fleet.engines = [EarlyEngine("e1"), EarlyEngine("e2")]

    async def start(self, is_through_peer):
        """Start all; return once calls get through."""
        gateway = await self.fleet.start(2)
        config = make_config(2)
        config["limits"]["max_body_bytes"] = MAX_BODY_BYTES
        self.fleet.store.put("op/config", config)
        for each in self.fleet.gateways:
            await each.wait_config(2)
        self.caller_address = gateway.caller_address
        if is_through_peer:
            for engine in self.fleet.engines:
                engine.refused_pid = gateway.process.pid
        await eventually(self._is_served, 10.0, "a call gets through")

    async def _is_served(self):
        answer = await send_raw(self.caller_address, request_bytes("/safe/x"))
        return answer.startswith(b"HTTP/1.1 200")

    def set(self, **values):
        """Set how the engines answer."""
        for engine in self.fleet.engines:
            for name, value in values.items():
                setattr(engine, name, value)

    async def upload(self, is_chunked, is_kept):
        """Send one long body in pieces; return all that is answered."""
        host, _, port = self.caller_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        sending = asyncio.create_task(_send_upload(writer, is_chunked, is_kept))
        received = await _read_answer(reader, is_kept)
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        writer.close()
        return received


async def _read_answer(reader, is_kept):
    """Return what is answered until the connection ends; nothing if it is reset.

    One that is kept stays open after the answer.
    """
    received = b""
    try:
        while True:
            wait_s = KEPT_READ_SECONDS if received and is_kept else ANSWER_SECONDS
            async with asyncio.timeout(wait_s):
                data = await reader.read(65536)
            if not data:
                return received
            received += data
    except ConnectionError:
        return b""
    except TimeoutError:
        return received


async def _send_upload(writer, is_chunked, is_kept):
    framing = "Transfer-Encoding: chunked"
    if not is_chunked:
        framing = f"Content-Length: {UPLOAD_BYTES}"
    lines = [
        "POST /unsafe/x HTTP/1.1",
        f"Host: {HOST}",
        "Request-Id: r1",
        f"Credential: {KEY}",
        framing,
    ]
    if not is_kept:
        lines.append("Connection: close")
    writer.write("\r\n".join([*lines, "", ""]).encode())
    for _ in range(UPLOAD_BYTES // PIECE_BYTES):
        piece = b"y" * PIECE_BYTES
        if is_chunked:
            piece = b"%x\r\n%s\r\n" % (len(piece), piece)
        writer.write(piece)
        await writer.drain()
        await pause(0.002)
    if is_chunked:
        writer.write(b"0\r\n\r\n")


def is_complete_success(received):
    """Return whether the bytes are a success that looks complete to a caller."""
    head, _, body = received.partition(b"\r\n\r\n")
    if not head.startswith(b"HTTP/1.1 2"):
        return False
    if b"chunked" in head.lower():
        return body.endswith(b"0\r\n\r\n")
    lengths = [
        int(line.split(b":")[1])
        for line in head.split(b"\r\n")
        if line.lower().startswith(b"content-length")
    ]
    return not lengths or len(body) >= lengths[0]


# Guards against: a part of an answer that came while the upload was still being
# written, and was cut by a reset, reaches the caller as a complete answer.
@pytest.mark.parametrize("is_through_peer", [False, True], ids=["direct", "by peer"])
async def test_early_answer_cut_by_a_reset_is_not_complete(tmp_path, is_through_peer):
    drill = EarlyAnswers(tmp_path)
    found = []
    try:
        await drill.start(is_through_peer)
        for case in random.Random(SEED).sample(CASES, PLAYED_CASES):
            head, part, reads, reset_after_s, is_chunked, is_kept = case
            drill.set(
                head=HEADS[head],
                part=PARTS[part],
                reads=reads,
                reset_after_s=reset_after_s,
            )
            received = await drill.upload(is_chunked, is_kept)
            if is_complete_success(received):
                found.append((case, received[:200]))
        runs = sum(engine.runs for engine in drill.fleet.engines)
    finally:
        await drill.fleet.stop()
    assert runs >= PLAYED_CASES
    assert found == []


# Guards against: what an engine in trouble sends with a status that HTTP doesn't have
# reaches the caller as an answer.
@pytest.mark.parametrize("is_through_peer", [False, True], ids=["direct", "by peer"])
async def test_answer_with_an_invalid_status_is_none(tmp_path, is_through_peer):
    drill = EarlyAnswers(tmp_path)
    statuses = {}
    try:
        await drill.start(is_through_peer)
        for status in INVALID_STATUSES:
            drill.set(
                head=b"HTTP/1.1 " + status + b" X\r\nContent-Length: 2\r\n",
                part=b"no",
                reset_after_s=0.05,
            )
            request = request_bytes("/unsafe/x", "POST", b"a body")
            received = await send_raw(drill.caller_address, request)
            statuses[status] = received.split(b" ")[1]
    finally:
        await drill.fleet.stop()
    assert set(statuses.values()) == {b"502"}, statuses
