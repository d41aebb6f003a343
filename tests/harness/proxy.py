"""A TCP proxy that injects faults and runs in the event loop of the test process.

Faults are set per source and direction. The source of a connection between VMs is
the VM that its Hello frame names; all other connections have the source ``""``.

>>> proxy = FaultProxy("127.0.0.1:9000")
>>> await proxy.start()
>>> proxy.cut("vm1", Direction.FORWARD)
>>> proxy.heal("vm1")
"""

import asyncio
import contextlib
import socket
import struct
from enum import Enum

import attrs

from dotterelpitch.errors import ProtocolError
from dotterelpitch.protocol.codec import FrameDecoder
from dotterelpitch.protocol.frames import Hello
from tests.harness.ports import free_address

CHUNK_BYTES = 64 * 1024
# Chunks that wait for delivery in one direction; beyond that reading stops.
MAX_DELAYED_CHUNKS = 256
ANY_SOURCE = "*"


class Direction(Enum):
    """The direction of bytes: from the client to the target, or back."""

    FORWARD = "forward"
    BACKWARD = "backward"


class Mode(Enum):
    """What happens to bytes: forwarded, held until ``heal``, or discarded."""

    PASS = "pass"
    HOLD = "hold"
    DROP = "drop"


@attrs.define
class LinkState:
    """The fault state of one source in one direction."""

    mode: Mode = Mode.PASS
    delay_seconds: float = 0.0
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def set(self, mode: Mode, delay_seconds: float = 0.0) -> None:
        """Set the fault and wake the tasks that wait for a change."""
        self.mode = mode
        self.delay_seconds = delay_seconds
        self.changed.set()
        self.changed = asyncio.Event()

    async def wait_not_held(self) -> Mode:
        """Wait until the mode isn't HOLD and return it."""
        while self.mode is Mode.HOLD:
            await self.changed.wait()
        return self.mode


@attrs.frozen
class Chunk:
    """Bytes to deliver at event-loop time ``due``; empty at the end of the stream."""

    due: float
    data: bytes


class FaultProxy:
    """Forwards connections to one target address and injects faults into them."""

    def __init__(self, target: str, name: str = "") -> None:
        self.target = target
        self.name = name
        self.address = ""
        self.is_refusing = False
        self.connections: set[ProxiedConnection] = set()
        self._link_by_key: dict[tuple[str, Direction], LinkState] = {}
        self._default_by_direction = {direction: LinkState() for direction in Direction}
        self._server: asyncio.Server | None = None

    async def start(self) -> str:
        """Listen on a free port and return the address."""
        self.address = self.address or free_address()
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))
        return self.address

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def link(self, source: str, direction: Direction) -> LinkState:
        """Return the fault state of ``source``; a new one starts with the default."""
        key = (source, direction)
        if key not in self._link_by_key:
            default = self._default_by_direction[direction]
            state = LinkState(default.mode, default.delay_seconds)
            self._link_by_key[key] = state
        return self._link_by_key[key]

    def cut(self, source: str = ANY_SOURCE, *directions: Direction) -> None:
        """Hold all bytes until ``heal``, like packet loss that TCP recovers from."""
        self._set(source, directions, Mode.HOLD)

    def drop(self, source: str = ANY_SOURCE, *directions: Direction) -> None:
        """Discard all bytes; ``heal`` resets the connections that lost some."""
        self._set(source, directions, Mode.DROP)

    def delay(
        self, seconds: float, source: str = ANY_SOURCE, *directions: Direction
    ) -> None:
        """Forward all bytes with a delay of ``seconds``."""
        self._set(source, directions, Mode.PASS, seconds)

    def heal(self, source: str = ANY_SOURCE, *directions: Direction) -> None:
        """Forward bytes without delay again; reset connections that lost bytes."""
        for connection in [c for c in self.connections if c.has_lost_bytes]:
            connection.abort()
        self._set(source, directions, Mode.PASS)

    def refuse(self) -> None:
        """Reset all connections and each new one until ``accept_again`` is called."""
        self.is_refusing = True
        self.reset()

    def accept_again(self) -> None:
        """Accept new connections again after ``refuse``."""
        self.is_refusing = False

    def reset(self, source: str = ANY_SOURCE) -> None:
        """Reset the open connections of ``source``, both to client and target."""
        for connection in self._connections_of(source):
            connection.abort()

    def half_open(self, source: str = ANY_SOURCE) -> None:
        """Reset only the target's side; the client's stays open but gets no bytes."""
        for connection in self._connections_of(source):
            connection.abort_target_only()

    def _connections_of(self, source: str) -> list["ProxiedConnection"]:
        return [c for c in self.connections if source in (ANY_SOURCE, c.source)]

    def _set(
        self, source: str, directions: tuple, mode: Mode, delay: float = 0.0
    ) -> None:
        for direction in directions or tuple(Direction):
            if source == ANY_SOURCE:
                self._default_by_direction[direction].set(mode, delay)
                for (_, link_direction), state in self._link_by_key.items():
                    if link_direction is direction:
                        state.set(mode, delay)
            else:
                self.link(source, direction).set(mode, delay)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.is_refusing:
            reset_writer(writer)
            return
        connection = ProxiedConnection(self, reader, writer)
        self.connections.add(connection)
        try:
            await connection.run()
        finally:
            self.connections.discard(connection)


class ProxiedConnection:
    """A client's connection and the one to the target that its bytes are sent on.

    ``has_lost_bytes`` is set when bytes were discarded. If one side closes its
    connection properly, so is that of the other side; otherwise it is reset.
    """

    def __init__(
        self,
        proxy: FaultProxy,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.source = ""
        self.has_lost_bytes = False
        self._proxy = proxy
        self._reader = reader
        self._writer = writer
        self._target_writer: asyncio.StreamWriter | None = None
        self._is_half_open = False
        self._has_ended_properly = False
        self._closed = asyncio.Event()

    async def run(self) -> None:
        """Forward bytes both ways until either side closes."""
        host, _, port = self._proxy.target.rpartition(":")
        try:
            target_reader, self._target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            self.abort()
            return
        pumps = [
            asyncio.create_task(
                self._pump(self._reader, self._target_writer, Direction.FORWARD)
            ),
            asyncio.create_task(
                self._pump(target_reader, self._writer, Direction.BACKWARD)
            ),
        ]
        await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        if self._is_half_open:
            await self._closed.wait()
        for pump in pumps:
            pump.cancel()
        await asyncio.gather(*pumps, return_exceptions=True)
        if self._has_ended_properly and not self.has_lost_bytes:
            self._close()
        else:
            self.abort()

    def _close(self) -> None:
        """Close the connections to client and target properly."""
        self._closed.set()
        self._writer.close()
        self._target_writer.close()

    def abort(self) -> None:
        """Reset the connections to client and target."""
        self._closed.set()
        for writer in (self._writer, self._target_writer):
            if writer is not None:
                reset_writer(writer)

    def abort_target_only(self) -> None:
        """Reset the connection to the target and keep the client's open."""
        self._is_half_open = True
        if self._target_writer is not None:
            reset_writer(self._target_writer)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        chunks: asyncio.Queue[Chunk] = asyncio.Queue(MAX_DELAYED_CHUNKS)
        delivery = asyncio.create_task(self._deliver(chunks, writer, direction))
        try:
            await self._collect(reader, chunks, direction)
            await delivery
        finally:
            delivery.cancel()

    async def _collect(
        self, reader: asyncio.StreamReader, chunks: asyncio.Queue, direction: Direction
    ) -> None:
        data = b"start"
        while data:
            with contextlib.suppress(OSError):
                data = b""
                data = await reader.read(CHUNK_BYTES)
                self._has_ended_properly |= not data
            if direction is Direction.FORWARD and not self.source:
                self.source = _source_of(data)
            delay = self._proxy.link(self.source, direction).delay_seconds
            due = asyncio.get_running_loop().time() + delay
            await chunks.put(Chunk(due, data))

    async def _deliver(
        self, chunks: asyncio.Queue, writer: asyncio.StreamWriter, direction: Direction
    ) -> None:
        while True:
            chunk = await chunks.get()
            await self._wait_until(chunk.due)
            mode = await self._proxy.link(self.source, direction).wait_not_held()
            if not chunk.data:
                return
            if mode is Mode.DROP or writer.is_closing():
                self.has_lost_bytes = True
                continue
            with contextlib.suppress(OSError):
                writer.write(chunk.data)
                await writer.drain()

    async def _wait_until(self, due: float) -> None:
        remaining = due - asyncio.get_running_loop().time()
        if remaining > 0:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._closed.wait(), remaining)


def reset_writer(writer: asyncio.StreamWriter) -> None:
    """Close with a TCP reset (RST) and no orderly end (FIN)."""
    if not writer.transport.is_closing():
        sock = writer.get_extra_info("socket")
        zero_linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, zero_linger)
    writer.transport.abort()


def _source_of(first: bytes) -> str:
    with contextlib.suppress(ProtocolError):
        for _, content in FrameDecoder().feed(first):
            if isinstance(content, Hello):
                return content.vm
    return ""
