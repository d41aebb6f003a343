"""An engine that does to each request what a test says, byte by byte."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable

import attrs

Behaviour = Callable[["EngineExchange"], Awaitable[None]]


@attrs.define
class EngineExchange:
    """One request at a scripted engine, and the connection to answer on."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    writer: asyncio.StreamWriter
    caller_left: asyncio.Event = attrs.field(factory=asyncio.Event)

    def header(self, name: str) -> str | None:
        """Return the one value of a header; a test fails on two."""
        values = [v for n, v in self.headers if n.lower() == name.lower()]
        assert len(values) < 2, f"{name} stands twice"
        return values[0] if values else None

    def write_head(self, status: str = "200 OK", *lines: str) -> None:
        """Write a head with the echoed id and the seal."""
        request_id = self.header("Request-Id")
        head = [f"HTTP/1.1 {status}", f"Request-Id: {request_id}", "Response-Seal: s"]
        self.writer.write("\r\n".join([*head, *lines, "", ""]).encode())

    def write_chunk(self, data: bytes) -> None:
        """Write one chunk of a chunked body; an empty one ends it."""
        self.writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    def reset(self) -> None:
        """Reset the connection, also when everything of it was read."""
        linger = struct.pack("ii", 1, 0)
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.writer.transport.abort()


async def answer(exchange: EngineExchange) -> None:
    """Answer 200 with the name of the request's target."""
    body = exchange.target.encode()
    exchange.write_head("200 OK", f"Content-Length: {len(body)}")
    exchange.writer.write(body)


class ScriptedEngine:
    """Listens and answers.

    ``script`` holds what the next requests get, ``behaviour`` what all others do.
    """

    def __init__(self, engine_id: str, behaviour: Behaviour = answer) -> None:
        self.id = engine_id
        self.behaviour = behaviour
        self.address = ""
        self.script: list[Behaviour] = []
        self.exchanges: list[EngineExchange] = []
        self.connections = 0
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Listen on ``address``."""
        self.address = address
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self) -> None:
        """Stop listening."""
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (exchange := await self._read(reader, writer)) is not None:
                self.exchanges.append(exchange)
                behaviour = self.script.pop(0) if self.script else self.behaviour
                watcher = asyncio.create_task(_watch_end(reader, exchange))
                await behaviour(exchange)
                watcher.cancel()
                await asyncio.gather(watcher, return_exceptions=True)
                await writer.drain()
        writer.close()

    async def _read(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> EngineExchange | None:
        line = (await reader.readline()).decode("latin-1").strip()
        if not line:
            return None
        method, target, _ = line.split(" ")
        headers = []
        while line := (await reader.readline()).decode("latin-1").strip():
            name, _, value = line.partition(":")
            headers.append((name, value.strip()))
        exchange = EngineExchange(method, target, headers, b"", writer)
        exchange.body = await reader.readexactly(
            int(exchange.header("Content-Length") or 0)
        )
        return exchange


async def _watch_end(reader: asyncio.StreamReader, exchange: EngineExchange) -> None:
    """Note when the caller closes while its request is being answered."""
    with contextlib.suppress(ConnectionError):
        await reader.read(1)
    exchange.caller_left.set()
