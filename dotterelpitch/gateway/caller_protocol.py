"""Connections of callers, with bounds on what they make the process hold and do."""

import asyncio
import socket
from typing import Any

from aiohttp import StreamReader, web
from aiohttp.web_protocol import RequestHandler

from dotterelpitch.clock import Clock
from dotterelpitch.gateway.body_memory import BYTES_PER_MB
from dotterelpitch.gateway.head_memory import HeadMemory
from dotterelpitch.gateway.intake_pacer import IntakePacer, PacedInput, is_costly
from dotterelpitch.telemetry.events import Event, log_event

# Read at once from a connection; in one turn of the event loop many may be read.
READ_BYTES = 16 * 1024
# Held by the kernel for each connection until it is read.
RECEIVE_BUFFER_BYTES = 64 * 1024
# Parsed at once of input that is costly to parse.
SLICE_BYTES = 2 * 1024
# What a connection takes at most, with its buffers, beside the bodies.
CONNECTION_BYTES = 64 * 1024
CONNECTION_MEMORY_SHARE = 0.25
MIN_CONNECTIONS = 64
# Descriptors that aren't for connections.
FILE_DESCRIPTORS = 200
# A caller's connection may need another one to an engine; the rest is for peers, the
# store, and checks.
CONNECTION_DESCRIPTOR_SHARE = 0.4
# Requests that wait on a connection behind the one that is handled. Beyond it nothing
# is read: their bodies are in no budget yet.
MAX_WAITING_REQUESTS = 2
END_OF_HEAD = b"\r\n\r\n"


def max_connections(memory_mb: int, descriptors: int = 0) -> int:
    """Return how many connections of callers a VM with these resources can hold.

    ``descriptors`` is 0 if their number isn't known; then the memory alone counts.
    """
    share = CONNECTION_MEMORY_SHARE * memory_mb * BYTES_PER_MB
    most = int(share / CONNECTION_BYTES)
    if descriptors:
        sockets = descriptors - FILE_DESCRIPTORS
        most = min(most, int(CONNECTION_DESCRIPTOR_SHARE * sockets))
    return max(MIN_CONNECTIONS, most)


class CallerProtocol(RequestHandler, PacedInput):
    """A connection of a caller.

    Input that is costly to parse goes through the pacer; reading stops meanwhile.
    After ``discard_input`` all further input is dropped unparsed. ``is_handling`` is
    set until the request that is handled has been answered. ``head_since`` is since
    when a request's head is incomplete, and ``unread_since`` since when what has been
    written isn't read; times of the monotonic clock, or None.
    """

    def __init__(self, server: "CallerServer", **settings: Any) -> None:
        super().__init__(server, **settings)
        # aiohttp has no setting for these.
        self._max_msg_queue_size = MAX_WAITING_REQUESTS
        self._msg_queue_resume_size = MAX_WAITING_REQUESTS - 1
        self._server = server
        self._held = bytearray()
        self._is_discarding = False
        self._newest_body: StreamReader | None = None
        self.heads = server.head_memory.hold(self._count_open, self._drop_heads)
        self.is_handling = False
        self.head_since: float | None = None
        self.unread_since: float | None = None
        self.active_at = server.clock.monotonic()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound what is read at once, and make room for the connection."""
        transport.max_size = READ_BYTES
        super().connection_made(transport)
        self._server.make_room()

    def data_received(self, data: bytes) -> None:
        """Parse input, at once if that is cheap."""
        if self._is_discarding:
            return
        self.active_at = self._server.clock.monotonic()
        if not self._held and not is_costly(data):
            self._parse(data)
            return
        if not self._held:
            self._server.pacer.add(self)
        self._held += data
        self._pause_transport_reading()

    def pause_writing(self) -> None:
        """Note that the caller doesn't read, or not as fast as it is written."""
        self.unread_since = self._server.clock.monotonic()
        super().pause_writing()

    def resume_writing(self) -> None:
        """Note that the caller has read on."""
        self.unread_since = None
        super().resume_writing()

    def feed_slice(self) -> bool:
        """Parse a slice of the input that is held back; return whether some is left."""
        if self._is_discarding or self.transport is None:
            self._held.clear()
            return False
        if not self._reading_paused and not self._buffer_paused:
            data = bytes(self._held[:SLICE_BYTES])
            del self._held[:SLICE_BYTES]
            self._parse(data)
        if self._held:
            return True
        self._resume_transport_reading()
        return False

    def discard_input(self) -> None:
        """Drop all further input; the connection is to be closed."""
        self._is_discarding = True
        self._held.clear()
        self._resume_transport_reading()

    @property
    def is_in_request(self) -> bool:
        """Whether a request has come that isn't answered, or its answer is being read.

        A caller that still sends the body of an answered request isn't in one.
        """
        if self.is_handling or self._is_discarding:
            return True
        is_waiting = self._waiter is not None and not self._waiter.done()
        is_skipping_body = self._current_request is not None
        return self._request_count > 0 and not (is_waiting or is_skipping_body)

    def _parse(self, data: bytes) -> None:
        if self._is_discarding:
            return
        requests, body_bytes = self._request_count, self._count_body_bytes()
        super().data_received(data)
        if self._request_count > requests:
            self._newest_body = self._messages[-1][1]
            end = data.find(END_OF_HEAD)
            head = data if end < 0 else data[: end + len(END_OF_HEAD)]
            self.heads.complete(head, self._request_count - requests)
        elif self._count_body_bytes() == body_bytes:
            self.heads.grow(data)
        if self._messages or self._request_in_progress:
            self.head_since = None
        elif data and self.head_since is None:
            self.head_since = self._server.clock.monotonic()

    def _count_body_bytes(self) -> int:
        return self._newest_body.total_bytes if self._newest_body is not None else 0

    def _count_open(self) -> int:
        return len(self._messages) + self._request_in_progress

    def _drop_heads(self) -> None:
        log_event(Event.HEADS_DROPPED)
        self.discard_input()
        abort(self)

    def _resume_transport_reading(self) -> None:
        """Read again, unless input is held back or a buffer is full."""
        is_full = self._reading_paused or self._buffer_paused
        if not self._held and (self._is_discarding or not is_full):
            super()._resume_transport_reading()


class CallerServer(web.Server):
    """Accepts connections of callers, up to a number that fits in memory.

    Beyond ``most`` connections the one goes first that has had no request in progress
    for longest; if all have one, the newest goes.
    """

    def __init__(
        self,
        handler: Any,
        clock: Clock,
        pacer: IntakePacer,
        head_memory: HeadMemory,
        most: int,
        **settings: Any,
    ) -> None:
        super().__init__(handler, **settings)
        self.clock = clock
        self.pacer = pacer
        self.head_memory = head_memory
        self._most = most
        self._open: set[RequestHandler] = set()
        self._all_closed = asyncio.Event()

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        return CallerProtocol(self, loop=self._loop, **self._kwargs)

    def connection_made(
        self, handler: RequestHandler, transport: asyncio.Transport
    ) -> None:
        """Record that a connection has begun."""
        super().connection_made(handler, transport)
        self._open.add(handler)

    def connection_lost(
        self, handler: RequestHandler, exc: BaseException | None = None
    ) -> None:
        """Record that a connection has ended; what was written is sent, or lost."""
        super().connection_lost(handler, exc)
        handler.heads.release()
        self._open.discard(handler)
        if not self._open:
            self._all_closed.set()

    async def wait_closed(self) -> None:
        """Wait until no connection is open, so all that was written has been sent."""
        while self._open:
            self._all_closed.clear()
            await self._all_closed.wait()

    def make_room(self) -> None:
        """Close a connection if there are too many."""
        connections = [c for c in self.connections if not is_closing(c)]
        if len(connections) <= self._most:
            return
        idle = [c for c in connections if not c.is_in_request]
        victim = min(idle, key=lambda c: c.active_at) if idle else connections[-1]
        abort(victim)


def is_closing(connection: RequestHandler) -> bool:
    """Return whether a connection ends, though its end isn't recorded yet."""
    return connection.transport is None or connection.transport.is_closing()


def abort(connection: RequestHandler) -> None:
    """Reset a connection at once."""
    if connection.transport is not None:
        connection.transport.abort()


def listening_socket(address: str) -> socket.socket:
    """Return a socket bound to ``IP:port`` with a small receive buffer."""
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    try:
        sock.bind((host, int(port)))
    except OSError:
        sock.close()
        raise
    return sock
