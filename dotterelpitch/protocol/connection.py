"""One authenticated connection that carries many streams.

Each side may open streams; a stream starts with a typed request and carries
messages both ways until both sides have sent End or one sends Reset. Data is
limited by credit per stream, so a slow reader holds back only its own stream.
While streams are open each side pings; a peer that is silent for 3 s counts as
lost, as one that is frozen or cut off keeps its socket open.
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
    READ_BYTES,
    Identity,
    expect_hello,
    greet,
)
from dotterelpitch.protocol.stream import Stream
from dotterelpitch.protocol.traffic import TrafficCounter, traffic_totals
from dotterelpitch.telemetry.events import Event, log_event

FLUSH_BYTES = 32 * 1024
HANDSHAKE_SECONDS = 3.0
DIAL_SECONDS = 2.0
MAX_STREAMS = 10_000
PING_SECONDS = 1.0
SILENCE_SECONDS = 3.0


Handler = Callable[[Stream, Any], Awaitable[None]]


class Connection(FrameSink):
    """A connection after the handshake; ``run`` is its one reading task."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        dialed: bool,
        handler: Handler | None,
        peer: Hello | Welcome,
        decoder: FrameDecoder,
    ) -> None:
        self.peer = peer
        self.traffic = TrafficCounter()
        self._peer_traffic = traffic_totals.for_peer(peer.vm)
        self.closed = asyncio.Event()
        self.cut_streams = 0
        self._reader = reader
        self._writer = writer
        self._decoder = decoder
        self._handler = handler
        self._first_number = 1 if dialed else 2
        self._next_number = self._first_number
        self._stream_by_number: dict[int, Stream] = {}
        self._tasks: set[asyncio.Task] = set()
        self._outgoing = bytearray()
        self._flush_scheduled = False
        self._last_received = self._now()
        self._next_ping: asyncio.TimerHandle | None = None

    def open_stream(self, request: Any) -> Stream:
        """Open a stream with ``request`` as its first message."""
        if self.closed.is_set():
            raise ConnectionLostError(f"connection to {self.peer.vm} is closed")
        stream = Stream(self, self._next_number)
        self._next_number += 2
        self._stream_by_number[stream.number] = stream
        self.write(stream.number, request)
        return stream

    async def call(self, request: Any, timeout: float) -> Any:
        """Open a stream, return its first answer, and close it.

        Raises TimeoutError after ``timeout`` seconds, and PeerError.
        """
        stream = self.open_stream(request)
        try:
            async with asyncio.timeout(timeout):
                answer = await stream.receive()
        except TimeoutError:
            stream.reset("timeout")
            raise
        await stream.finish()
        return answer

    def write(self, number: int, content: Any) -> None:
        """Queue one frame; frames of one turn of the loop leave together."""
        if self.closed.is_set():
            return
        frame = encode_frame(number, content)
        kind = type(content).__name__
        self.traffic.sent_by_kind[kind] += len(frame)
        self._peer_traffic.sent_by_kind[kind] += len(frame)
        self._outgoing += frame
        if not self._flush_scheduled:
            self._flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    async def drain(self) -> None:
        """Wait while the socket's buffer is above its limit."""
        if len(self._outgoing) >= FLUSH_BYTES:
            self._flush()
        if self._writer.transport.get_write_buffer_size() < FLUSH_BYTES:
            return
        try:
            await self._writer.drain()
        except OSError as error:
            raise ConnectionLostError(str(error)) from error

    @property
    def is_congested(self) -> bool:
        """Whether the peer reads so slowly that frames pile up here."""
        waiting = self._writer.transport.get_write_buffer_size()
        return waiting + len(self._outgoing) >= FLUSH_BYTES

    def forget(self, number: int) -> None:
        """Drop a finished stream."""
        self._stream_by_number.pop(number, None)

    async def run(self) -> None:
        """Read frames until the connection ends; never raises PeerError."""
        reason = "closed by the peer"
        self._schedule_ping()
        data = b""  # The handshake may have left whole frames in the decoder.
        try:
            while True:
                for number, content in self._decoder.feed(data):
                    self._dispatch(number, content)
                if not (data := await self._reader.read(READ_BYTES)):
                    break
                self._last_received = self._now()
        except ProtocolError as error:
            reason = str(error)
            log_event(Event.PEER_REFUSED, peer=self.peer.vm, reason=reason)
        except OSError as error:
            reason = str(error)
        finally:
            self.close(reason)

    def close(self, reason: str = "closed here") -> None:
        """Close the socket and fail every open stream.

        ``cut_streams`` then tells how many were open.
        """
        if self.closed.is_set():
            return
        self._flush()
        self.closed.set()
        self.cut_streams = len(self._stream_by_number)
        if self._next_ping is not None:
            self._next_ping.cancel()
        self._writer.close()
        for stream in list(self._stream_by_number.values()):
            stream.fail(ConnectionLostError(f"{self.peer.vm}: {reason}"))

    def _schedule_ping(self) -> None:
        loop = asyncio.get_running_loop()
        self._next_ping = loop.call_later(PING_SECONDS, self._ping)

    def _ping(self) -> None:
        """Ping the peer while streams are open; close when it stays silent."""
        if self._stream_by_number:
            if self._now() - self._last_received > SILENCE_SECONDS:
                self.close("the peer is silent")
                return
            self.write(CONNECTION_STREAM, Ping())
        else:
            self._last_received = self._now()
        self._schedule_ping()

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    def _flush(self) -> None:
        self._flush_scheduled = False
        if self._outgoing and not self.closed.is_set():
            self._writer.write(bytes(self._outgoing))
            self._outgoing.clear()

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
        if number % 2 == self._first_number % 2 or isinstance(
            content, Data | Credit | End | Reset
        ):
            return  # A late frame of a stream that has ended here.
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
    """Open a connection to ``address`` and start its reading task.

    Raises PeerUnreachableError before any byte of a request has left, and
    AuthenticationError when the keys differ.
    """
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(DIAL_SECONDS):
            reader, writer = await asyncio.open_connection(host, int(port))
    except (OSError, TimeoutError) as error:
        raise PeerUnreachableError(f"{address}: {error or 'timeout'}") from error
    try:
        async with asyncio.timeout(HANDSHAKE_SECONDS):
            decoder = FrameDecoder()
            welcome = await greet(reader, writer, decoder, identity)
    except (OSError, TimeoutError, ConnectionLostError) as error:
        writer.close()
        raise PeerUnreachableError(f"{address}: {error or 'timeout'}") from error
    except ProtocolError:
        writer.close()
        raise
    connection = Connection(reader, writer, True, handler, welcome, decoder)
    _start(connection)
    return connection


async def accept(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    identity: Identity,
    handler: Handler,
) -> Connection | None:
    """Do the listener's side of the handshake; return None when refused."""
    decoder = FrameDecoder()
    try:
        async with asyncio.timeout(HANDSHAKE_SECONDS):
            hello = await expect_hello(reader, writer, decoder, identity)
    except (ProtocolError, OSError, TimeoutError, ConnectionLostError) as error:
        log_event(Event.PEER_REFUSED, peer="unknown", reason=str(error) or "timeout")
        writer.close()
        return None
    return Connection(reader, writer, False, handler, hello, decoder)


def _start(connection: Connection) -> None:
    task = asyncio.get_running_loop().create_task(connection.run())
    connection._tasks.add(task)
