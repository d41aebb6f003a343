"""Connections of the inner protocol: handshake, flow control, malformed frames."""

import asyncio
import contextlib

import msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dotterelpitch.errors import (
    ConnectionLostError,
    PeerUnreachableError,
    ProtocolError,
    StreamResetError,
)
from dotterelpitch.membership.model import Vm, VmList, VmRole
from dotterelpitch.protocol import server as server_module
from dotterelpitch.protocol.codec import FrameDecoder, encode_frame
from dotterelpitch.protocol.connection import accept, dial
from dotterelpitch.protocol.frames import Data, End, Hello, Reset
from dotterelpitch.protocol.handshake import Identity
from dotterelpitch.protocol.messages import (
    Refused,
    VmListState,
)
from dotterelpitch.protocol.server import HandlerTable
from dotterelpitch.protocol.stream import STREAM_WINDOW_BYTES
from tests.harness.ports import free_address


async def serve(handler, key="k"):
    """Return a started server and its address."""
    identity = Identity.create("listener", "router", key)

    async def on_connect(reader, writer):
        if connection := await accept(reader, writer, identity, handler):
            await connection.run()

    server = await asyncio.start_server(on_connect, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    return server, f"127.0.0.1:{port}"


async def test_concurrent_streams_exchange_messages_independently():
    async def echo(stream, first):
        await stream.send(Refused(first.reason + "!", 0.0))

    server, address = await serve(echo)
    connection = await dial(address, Identity.create("dialer", "router", "k"))
    answers = await asyncio.gather(
        *(connection.call(Refused(str(n), 0.0), 5.0) for n in range(50))
    )
    assert [a.reason for a in answers] == [f"{n}!" for n in range(50)]
    connection.close()
    server.close()


async def test_wrong_key_is_rejected_on_both_sides():
    server, address = await serve(None, key="other")
    with pytest.raises((PeerUnreachableError, ProtocolError)):
        await dial(address, Identity.create("dialer", "router", "k"))
    server.close()


async def test_other_protocol_version_is_refused_and_listener_continues(
    monkeypatch, caplog
):
    async def echo(stream, first):
        await stream.send(first)

    server, address = await serve(echo)
    identity = Identity.create("dialer", "router", "k")
    with monkeypatch.context() as patch:
        patch.setattr("dotterelpitch.protocol.handshake.PROTOCOL_VERSION", 99)
        reader, writer = await asyncio.open_connection(*address.split(":"))
        hello = Hello(1, "dialer", "router", "i", b"n" * 16, b"p" * 32)
        writer.write(encode_frame(0, hello))
        await asyncio.wait_for(reader.read(), 5.0)  # Returns when the listener closes.
        writer.close()
    assert "the peer uses protocol version 1, expected 99" in caplog.text
    connection = await dial(address, identity)
    assert await connection.call(Refused("x", 0.0), 5.0) == Refused("x", 0.0)
    connection.close()
    server.close()


async def test_stream_without_credit_does_not_block_others():
    release = asyncio.Event()

    async def slow_reader(stream, first):
        if first.reason == "slow":
            await release.wait()
        while not isinstance(await stream.receive(), End):
            pass
        await stream.send(Refused("done", 0.0))

    async def send_body(stream, size):
        for _ in range(size // 65536):
            await stream.send(Data(b"x" * 65536))
        await stream.finish()
        return (await stream.receive()).reason

    server, address = await serve(slow_reader)
    connection = await dial(address, Identity.create("dialer", "router", "k"))
    slow = connection.open_stream(Refused("slow", 0.0))
    fast = connection.open_stream(Refused("fast", 0.0))
    blocked = asyncio.create_task(send_body(slow, 4 * STREAM_WINDOW_BYTES))
    assert await send_body(fast, 4 * STREAM_WINDOW_BYTES) == "done"
    assert not blocked.done()
    release.set()
    assert await blocked == "done"
    connection.close()
    server.close()


async def test_reset_is_received_by_the_peer():
    async def refuse(stream, first):
        stream.reset("no", "refused by the handler")

    server, address = await serve(refuse)
    connection = await dial(address, Identity.create("dialer", "router", "k"))
    with pytest.raises(StreamResetError, match="refused by the handler"):
        await connection.call(Refused("x", 0.0), 5.0)
    connection.close()
    server.close()


async def test_handler_that_loses_another_connection_resets_its_stream():
    async def lose_another(stream, first):
        raise ConnectionLostError("another connection was lost")

    server, address = await serve(lose_another)
    connection = await dial(address, Identity.create("dialer", "router", "k"))
    with pytest.raises(StreamResetError, match="another connection was lost"):
        await connection.call(Refused("x", 0.0), 5.0)
    connection.close()
    server.close()


@pytest.mark.parametrize(
    "frame",
    [
        5,
        [],
        [1],
        ["1", 7, "a", "b"],
        [-1, 7, "a", "b"],
        [1, 9999],
        [1, 7, "a"],
        [1, 7, "a", 4],
        [1, 4, 10**9],
        [1, 5, "many"],
    ],
)
def test_malformed_frames_raise_protocol_error(frame):
    with pytest.raises(ProtocolError):
        list(FrameDecoder().feed(msgpack.packb(frame)))


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.binary(max_size=200))
def test_random_bytes_never_raise_anything_but_protocol_error(data):
    decoder = FrameDecoder(max_frame_bytes=1024)
    with contextlib.suppress(ProtocolError):
        list(decoder.feed(data))


@pytest.mark.parametrize("split", range(1, 12))
def test_frames_decode_across_any_split(split):
    data = encode_frame(3, Reset("c", "d")) + encode_frame(4, Data(b"abc"))
    decoder = FrameDecoder()
    parts = [*decoder.feed(data[:split]), *decoder.feed(data[split:])]
    assert parts == [(3, Reset("c", "d")), (4, Data(b"abc"))]


def test_nested_enums_are_decoded_as_enums():
    vm = Vm("a1", "a", role=VmRole.ENDPOINT)
    frame = encode_frame(1, VmListState(VmList(3, [vm])))
    [(_, content)] = FrameDecoder().feed(frame)
    assert content.vm_list.vms[0].role is VmRole.ENDPOINT


async def test_unresponsive_peer_fails_open_streams(monkeypatch):
    monkeypatch.setattr("dotterelpitch.protocol.connection.PING_INTERVAL_SECONDS", 0.02)
    monkeypatch.setattr("dotterelpitch.protocol.connection.PEER_TIMEOUT_SECONDS", 0.1)

    async def on_connect(reader, writer):
        identity = Identity.create("listener", "router", "k")
        await accept(reader, writer, identity, None)  # Never reads any further frame.

    server = await asyncio.start_server(on_connect, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    connection = await dial(
        f"127.0.0.1:{port}", Identity.create("dialer", "router", "k")
    )
    stream = connection.open_stream(Refused("x", 0.0))
    with pytest.raises(ConnectionLostError, match="silent"):
        await asyncio.wait_for(stream.receive(), 5.0)
    server.close()


async def test_unauthenticated_connections_are_bounded(monkeypatch):
    monkeypatch.setattr(server_module, "MAX_HANDSHAKES", 3)
    address = free_address()
    inner = server_module.InnerServer(
        Identity.create("a", "router", "k"), HandlerTable()
    )
    await inner.start(address)
    host, _, port = address.rpartition(":")
    connections = [await asyncio.open_connection(host, int(port)) for _ in range(6)]
    challenged = 0
    for reader, _ in connections:
        with contextlib.suppress(ConnectionError):
            challenged += bool(await reader.read(1))
    assert challenged == 3
    for _, writer in connections:
        writer.close()
    await inner.close()
