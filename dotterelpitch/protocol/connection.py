"""Authenticated connections that multiplex streams.

Either side may open a stream. A stream starts with a typed request and carries
messages in both directions until both sides have sent End or one sends Reset.
Data is flow-controlled by credit per stream, so that a slow reader blocks only its
own stream. While streams are open, each side sends pings. A peer from which
nothing arrives for 3 s is considered lost, because the socket of a frozen or
partitioned peer stays open.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from dotterelpitch.errors import (
    ConnectionLostError,
    PeerUnreachableError,
    ProtocolError,
    StreamResetError,
)
from dotterelpitch.protocol.codec import FrameDecoder, encode_frame
from dotterelpitch.protocol.frame_sink import FrameSink
from dotterelpitch.protocol.frames import (
    Credit,
    Data,
    End,
    Hello,
    Ping,
    Pong,
    Reset,
    Welcome,
)
from dotterelpitch.protocol.handshake import (
    CONNECTION_STREAM,
    READ_CHUNK_BYTES,
    Identity,
    handshake_as_dialer,
    handshake_as_listener,
)
from dotterelpitch.protocol.stream import Stream
from dotterelpitch.protocol.traffic import TrafficCounter, traffic_totals
from dotterelpitch.telemetry.events import Event, log_event

WRITE_HIGH_WATER_BYTES = 32 * 1024
HANDSHAKE_TIMEOUT_SECONDS = 3.0
CONNECT_TIMEOUT_SECONDS = 2.0
# Bounds the open streams of a connection; further ones of the peer are reset.
MAX_STREAMS = 10_000
PING_INTERVAL_SECONDS = 1.0
PEER_TIMEOUT_SECONDS = 3.0


Handler = Callable[[Stream, Any], Awaitable[None]]


class Connection(FrameSink):
    """An established connection and its open streams.

    ``run`` must run in exactly one task, which reads all frames. ``closed`` is set
    when the connection ends, and ``interrupted_streams`` then holds the number of
    streams that were still open. ``is_dialer`` tells whether this side opened the
    connection; the dialer's streams have odd numbers.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_dialer: bool,
        handler: Handler | None,
        peer: Hello | Welcome,
        decoder: FrameDecoder,
    ) -> None:
        self.peer = peer
        self.traffic = TrafficCounter()
        self._peer_traffic = traffic_totals.for_peer(peer.vm)
        self.closed = asyncio.Event()
        self.interrupted_streams = 0
        self._reader = reader
        self._writer = writer
        self._decoder = decoder
        self._handler = handler
        self._first_stream_number = 1 if is_dialer else 2
        self._next_stream_number = self._first_stream_number
        self._stream_by_number: dict[int, Stream] = {}
        self._tasks: set[asyncio.Task] = set()
        self._write_buffer = bytearray()
        self._flush_scheduled = False
        self._last_received_at = self._now()
        self._ping_timer: asyncio.TimerHandle | None = None

    def open_stream(self, request: Any) -> Stream:
        """Open a stream with ``request`` as its first message.

        Raises ConnectionLostError when the connection is closed.
        """
        if self.closed.is_set():
            raise ConnectionLostError(f"connection to {self.peer.vm} is closed")
        stream = Stream(self, self._next_stream_number)
        self._next_stream_number += 2
        self._stream_by_number[stream.number] = stream
        self.write(stream.number, request)
        return stream

    async def call(self, request: Any, timeout: float) -> Any:
        """Open a stream, return the first response, and close the stream.

        Raises TimeoutError after ``timeout`` seconds, and PeerError when the peer
        resets the stream or the connection is lost.
        """
        stream = self.open_stream(request)
        try:
            async with asyncio.timeout(timeout):
                response = await stream.receive()
        except TimeoutError:
            stream.reset("timeout")
            raise
        await stream.finish()
        return response

    def write(self, number: int, content: Any) -> None:
        """Queue one frame; frames of one event loop iteration are sent together."""
        if self.closed.is_set():
            return
        frame = encode_frame(number, content)
        kind = type(content).__name__
        self.traffic.sent_by_kind[kind] += len(frame)
        self._peer_traffic.sent_by_kind[kind] += len(frame)
        self._write_buffer += frame
        if not self._flush_scheduled:
            self._flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    async def drain(self) -> None:
        """Wait while the socket's write buffer is above the high-water mark."""
        if len(self._write_buffer) >= WRITE_HIGH_WATER_BYTES:
            self._flush()
        if self._writer.transport.get_write_buffer_size() < WRITE_HIGH_WATER_BYTES:
            return
        try:
            await self._writer.drain()
        except OSError as error:
            raise ConnectionLostError(str(error)) from error

    @property
    def is_congested(self) -> bool:
        """Whether the unsent bytes have reached the high-water mark."""
        unsent = self._writer.transport.get_write_buffer_size()
        return unsent + len(self._write_buffer) >= WRITE_HIGH_WATER_BYTES

    def remove_stream(self, number: int) -> None:
        """Remove an ended stream."""
        self._stream_by_number.pop(number, None)

    async def run(self) -> None:
        """Read and dispatch frames until the connection ends.

        A protocol or socket error closes the connection and isn't raised.
        """
        reason = "closed by the peer"
        self._schedule_ping()
        data = b""  # The decoder may hold complete frames since the handshake.
        try:
            while True:
                for number, content in self._decoder.feed(data):
                    self._dispatch(number, content)
                if not (data := await self._reader.read(READ_CHUNK_BYTES)):
                    break
                self._last_received_at = self._now()
        except ProtocolError as error:
            reason = str(error)
            log_event(Event.PEER_REFUSED, peer=self.peer.vm, reason=reason)
        except OSError as error:
            reason = str(error)
        finally:
            self.close(reason)

    def close(self, reason: str = "closed by this process") -> None:
        """Close the socket and fail every open stream.

        Sets ``interrupted_streams`` to the number of open streams.
        """
        if self.closed.is_set():
            return
        self._flush()
        self.closed.set()
        self.interrupted_streams = len(self._stream_by_number)
        if self._ping_timer is not None:
            self._ping_timer.cancel()
        self._writer.close()
        for stream in list(self._stream_by_number.values()):
            stream.fail(ConnectionLostError(f"{self.peer.vm}: {reason}"))

    def _schedule_ping(self) -> None:
        loop = asyncio.get_running_loop()
        self._ping_timer = loop.call_later(PING_INTERVAL_SECONDS, self._ping)

    def _ping(self) -> None:
        """Send a ping while streams are open; close when the peer timed out."""
        if self._stream_by_number:
            if self._now() - self._last_received_at > PEER_TIMEOUT_SECONDS:
                self.close("the peer is silent")
                return
            self.write(CONNECTION_STREAM, Ping())
        else:
            self._last_received_at = self._now()
        self._schedule_ping()

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    def _flush(self) -> None:
        self._flush_scheduled = False
        if self._write_buffer and not self.closed.is_set():
            self._writer.write(bytes(self._write_buffer))
            self._write_buffer.clear()

    def _dispatch(self, number: int, content: Any) -> None:
        if number == CONNECTION_STREAM:
            if isinstance(content, Ping):
                self.write(CONNECTION_STREAM, Pong())
            return
        stream = self._stream_by_number.get(number)
        kind = type(content).__name__
        self.traffic.received_by_kind[kind] += self._decoder.frame_bytes
        self._peer_traffic.received_by_kind[kind] += self._decoder.frame_bytes
        if stream is not None:
            stream.deliver(content)
            return
        if number % 2 == self._first_stream_number % 2 or isinstance(
            content, Data | Credit | End | Reset
        ):
            return  # A late frame of a stream that has already ended.
        self._accept_stream(number, content)

    def _accept_stream(self, number: int, content: Any) -> None:
        if self._handler is None or len(self._stream_by_number) >= MAX_STREAMS:
            self.write(number, Reset("refused", "no handler or too many streams"))
            return
        stream = Stream(self, number)
        self._stream_by_number[number] = stream
        task = asyncio.get_running_loop().create_task(self._handle(stream, content))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _handle(self, stream: Stream, content: Any) -> None:
        try:
            await self._handler(stream, content)
            await stream.finish()
        except (StreamResetError, ConnectionLostError) as error:
            stream.reset("lost", str(error))
        except Exception as error:
            log_event(Event.STREAM_FAILED, peer=self.peer.vm, reason=repr(error))
            stream.reset("internal", type(error).__name__)


async def dial(address: str, identity: Identity, handler: Handler | None = None):
    """Open a connection to ``address`` (``IP:port``) and start its reading task.

    Raises PeerUnreachableError when the connection or the handshake fails, in which
    case no byte of a request has been sent, AuthenticationError when the shared keys
    or the protocol versions differ, and ProtocolError on an invalid frame.
    """
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            reader, writer = await asyncio.open_connection(host, int(port))
    except (OSError, TimeoutError) as error:
        raise PeerUnreachableError(f"{address}: {error or 'timeout'}") from error
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_SECONDS):
            decoder = FrameDecoder()
            welcome = await handshake_as_dialer(reader, writer, decoder, identity)
    except (OSError, TimeoutError, ConnectionLostError) as error:
        writer.close()
        raise PeerUnreachableError(f"{address}: {error or 'timeout'}") from error
    except ProtocolError:
        writer.close()
        raise
    connection = Connection(reader, writer, True, handler, welcome, decoder)
    _start_reading(connection)
    return connection


async def accept(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    identity: Identity,
    handler: Handler,
) -> Connection | None:
    """Perform the listener's side of the handshake and return the connection.

    The caller has to call its ``run``. Returns None, and closes the socket, when the
    handshake fails.
    """
    decoder = FrameDecoder()
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_SECONDS):
            hello = await handshake_as_listener(reader, writer, decoder, identity)
    except (ProtocolError, OSError, TimeoutError, ConnectionLostError) as error:
        log_event(Event.PEER_REFUSED, peer="unknown", reason=str(error) or "timeout")
        writer.close()
        return None
    return Connection(reader, writer, False, handler, hello, decoder)


def _start_reading(connection: Connection) -> None:
    task = asyncio.get_running_loop().create_task(connection.run())
    connection._tasks.add(task)
