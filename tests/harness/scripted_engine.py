"""An engine whose response to each request is scripted by a test, byte by byte."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable

import attrs

HEALTH_PATH = "/health"

Behavior = Callable[["EngineExchange"], Awaitable[None]]


@attrs.define
class EngineExchange:
    """A request at a scripted engine, with the connection to answer on.

    ``caller_left`` is set when the connection is closed during the answer.
    """

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    writer: asyncio.StreamWriter
    caller_left: asyncio.Event = attrs.field(factory=asyncio.Event)

    def header(self, name: str) -> str | None:
        """Return the value of a header or None; a header sent twice fails the test."""
        values = [v for n, v in self.headers if n.lower() == name.lower()]
        assert len(values) < 2, f"header {name} was sent {len(values)} times"
        return values[0] if values else None

    def write_head(self, status: str = "200 OK", *lines: str) -> None:
        """Write a response head with the request's id and a fixed ``Response-Seal``."""
        request_id = self.header("Request-Id")
        head = [f"HTTP/1.1 {status}", f"Request-Id: {request_id}", "Response-Seal: s"]
        self.writer.write("\r\n".join([*head, *lines, "", ""]).encode())

    def write_chunk(self, data: bytes) -> None:
        """Write one chunk of a chunked body; empty ``data`` ends the body."""
        self.writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    def reset(self) -> None:
        """Reset the connection (RST), even if all received bytes were read."""
        reset_connection(self.writer)


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Reset a connection (RST) unless it is closed already."""
    linger = struct.pack("ii", 1, 0)
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def answer(exchange: EngineExchange) -> None:
    """Answer 200 with the request's target as the body."""
    body = exchange.target.encode()
    exchange.write_head("200 OK", f"Content-Length: {len(body)}")
    exchange.writer.write(body)


class ScriptedEngine:
    """An HTTP server with scripted answers.

    ``script`` holds the behaviors of the next requests; all later requests get
    ``behavior``. ``exchanges`` records all requests but health checks, which the
    engine answers by itself, unless ``answers_checks`` is False, and ``health_checks``
    counts; ``connections`` counts all accepted connections.
    """

    def __init__(self, engine_id: str, behavior: Behavior = answer) -> None:
        self.id = engine_id
        self.behavior = behavior
        self.address = ""
        self.script: list[Behavior] = []
        self.exchanges: list[EngineExchange] = []
        self.answers_checks = True
        self.health_checks = 0
        self.connections = 0
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Listen on ``address``."""
        self.address = address
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve_connection, host, int(port)
        )

    async def stop(self) -> None:
        """Stop listening; open connections stay."""
        self._server.close()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (exchange := await self._read(reader, writer)) is not None:
                if exchange.target == HEALTH_PATH:
                    self._answer_health_check(exchange)
                    continue
                self.exchanges.append(exchange)
                behavior = self.script.pop(0) if self.script else self.behavior
                watcher = asyncio.create_task(_watch_disconnect(reader, exchange))
                await behavior(exchange)
                watcher.cancel()
                await asyncio.gather(watcher, return_exceptions=True)
                await writer.drain()
        writer.close()

    def _answer_health_check(self, exchange: EngineExchange) -> None:
        self.health_checks += 1
        if not self.answers_checks:
            return
        head = f"HTTP/1.1 200 OK\r\nInstance-Id: {self.id}\r\nContent-Length: 0\r\n\r\n"
        exchange.writer.write(head.encode())

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


async def _watch_disconnect(
    reader: asyncio.StreamReader, exchange: EngineExchange
) -> None:
    """Set ``caller_left`` if the caller disconnects before it has its answer."""
    with contextlib.suppress(ConnectionError):
        await reader.read(1)
    exchange.caller_left.set()
