"""The server of the inner protocol, which dispatches streams to handlers."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from dotterelpitch.protocol.connection import Connection, accept
from dotterelpitch.protocol.handshake import Identity
from dotterelpitch.protocol.stream import Stream
from dotterelpitch.protocol.work_tracker import WorkTracker
from dotterelpitch.telemetry.events import Event, log_event

# Bounds the connections that haven't authenticated yet. The simultaneous start of a
# whole fleet needs fewer.
MAX_HANDSHAKES = 128

StreamHandler = Callable[[Stream, Any], Awaitable[None]]


class HandlerTable:
    """The handlers of incoming streams, by the type of the first message.

    ``work`` tracks the streams that a planned stop waits for.
    """

    def __init__(self) -> None:
        self._handler_by_type: dict[type, StreamHandler] = {}
        self._background_types: set[type] = set()
        self.work = WorkTracker()

    def add(
        self, message_type: type, handler: StreamHandler, background: bool = False
    ) -> None:
        """Register the handler of streams that start with ``message_type``.

        A ``background`` stream lasts as long as its connection, so that a planned
        stop doesn't wait for it.
        """
        self._handler_by_type[message_type] = handler
        if background:
            self._background_types.add(message_type)

    async def handle(self, stream: Stream, first: Any) -> None:
        """Run the handler for ``first``; reset the stream if none is registered."""
        handler = self._handler_by_type.get(type(first))
        if handler is None:
            stream.reset("unsupported", type(first).__name__)
            return
        if type(first) in self._background_types:
            await handler(stream, first)
            return
        with self.work.track(type(first).__name__):
            await handler(stream, first)


class InnerServer:
    """Accepts connections of the inner protocol for one process."""

    def __init__(self, identity: Identity, handlers: HandlerTable) -> None:
        self._identity = identity
        self._handlers = handlers
        self._server: asyncio.Server | None = None
        self.connections: set[Connection] = set()
        self._pending_handshakes = 0

    async def start(self, address: str) -> None:
        """Listen on ``address`` (``IP:port``)."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close("process stopped")

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = await self._accept(reader, writer)
        if connection is None:
            return
        peer = connection.peer
        log_event(Event.PEER_CONNECTED, peer=peer.vm, role=peer.role)
        self.connections.add(connection)
        try:
            await connection.run()
        except asyncio.CancelledError:  # The process is stopping.
            connection.close("process stopped")
        finally:
            self.connections.discard(connection)
            event = (
                Event.PEER_LOST if connection.interrupted_streams else Event.PEER_CLOSED
            )
            log_event(
                event,
                peer=peer.vm,
                role=peer.role,
                streams=connection.interrupted_streams,
            )

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> Connection | None:
        """Perform the handshake; return None if it fails or too many are pending."""
        if self._pending_handshakes >= MAX_HANDSHAKES:
            log_event(Event.PEER_REFUSED, peer="unknown", reason="too many handshakes")
            writer.transport.abort()
            return None
        self._pending_handshakes += 1
        try:
            return await accept(reader, writer, self._identity, self._handlers.handle)
        finally:
            self._pending_handshakes -= 1
