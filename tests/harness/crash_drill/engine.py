"""An engine that ends while it runs one particular request content."""

import asyncio
import contextlib
import json
import socket
import time
from enum import StrEnum

import attrs

from tests.harness.scripted_engine import reset_connection

CRASH_BODY = b"this content crashes engines"
# The time between two events of a stream.
EVENT_SECONDS = 0.05
# The connections that the kernel completes for a listener that accepts none.
SILENT_BACKLOG = 1


class Death(StrEnum):
    """How an engine ends, as seen on its sockets.

    A REFUSING engine resets its connections and listens no more. A CLOSING one closes
    them properly instead. A SILENT one keeps them open without a byte, and new ones are
    answered by its kernel at most. A RESETTING one accepts new connections and resets
    them.
    """

    REFUSING = "refusing"
    CLOSING = "closing"
    SILENT = "silent"
    RESETTING = "resetting"


class Return(StrEnum):
    """As what an ended engine returns: id, start time, and address of the next run."""

    SAME_ID = "same id, later start time"
    SAME_ID_UNDATED = "same id, no start time"
    NEW_ID = "new id, same address"
    NEW_ADDRESS = "new id, new address"


@attrs.define
class Arrival:
    """One request that an engine began to run; ``at`` is a monotonic time."""

    request_id: str
    engine: str
    at: float
    crashed: bool


class CrashableEngine:
    """One place of the fleet at which an engine runs, ends, and runs again.

    ``id``, ``address``, and ``started_ms`` are those of the current run. ``work_s`` is
    the time that a request takes. ``cached_parts`` are the prompt parts that it lists
    as cached, or None if it knows no such call.
    """

    def __init__(
        self,
        name: str,
        domain: str,
        death: Death,
        work_s: float,
        arrivals: list[Arrival],
    ):
        self.id = name
        self.domain = domain
        self.address = ""
        self.started_ms = 0
        self.is_up = False
        self.ended = asyncio.Event()
        self._death = death
        self._work_s = work_s
        self._arrivals = arrivals
        self._server: asyncio.Server | None = None
        self._silent_listener: socket.socket | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._run = 0
        self._run_over = asyncio.Event()
        self.cached_parts: set[str] | None = None

    async def start(self, address: str) -> None:
        """Begin a run that listens on ``address``."""
        self._end_run()
        host, _, port = address.rpartition(":")
        self.address = address
        self.started_ms = int(time.time() * 1000)
        self.is_up = True
        self._run += 1
        self.ended = asyncio.Event()
        self._run_over = asyncio.Event()
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self) -> None:
        """Close everything."""
        self.is_up = False
        self._end_run()

    def crash(self) -> None:
        """End the current run in the way set at the creation."""
        if not self.is_up:
            return
        self.is_up = False
        self.ended.set()
        if self._death is Death.RESETTING:
            self._abort_connections()
            return
        self._server.close()
        if self._death is Death.SILENT:
            self._listen_silently()
        elif self._death is Death.CLOSING:
            self._close_connections()
        else:
            self._abort_connections()

    def _end_run(self) -> None:
        """Close what the current run has left open."""
        self._run_over.set()
        self._close_silent_listener()
        if self._server is not None:
            self._server.close()
        self._abort_connections()

    def _listen_silently(self) -> None:
        host, _, port = self.address.rpartition(":")
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(SILENT_BACKLOG)
        self._silent_listener = listener

    def _close_silent_listener(self) -> None:
        if self._silent_listener is not None:
            self._silent_listener.close()
            self._silent_listener = None

    def _close_connections(self) -> None:
        for writer in list(self._writers):
            writer.close()

    def _abort_connections(self) -> None:
        for writer in list(self._writers):
            reset_connection(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if not self.is_up:
            reset_connection(writer)
            return
        self._writers.add(writer)
        endings = (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        )
        try:
            with contextlib.suppress(*endings):
                while await self._serve_request(reader, writer):
                    pass
        finally:
            self._writers.discard(writer)
            if self.is_up:
                writer.close()

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request; return whether the connection goes on."""
        run, run_over = self._run, self._run_over
        head = await reader.readuntil(b"\r\n\r\n")
        headers = _parse_headers(head)
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        await self.before_response(head)
        if self.has_ended(run):
            await run_over.wait()
            return False
        if head.startswith(b"GET /health "):
            writer.write(self.health_response())
            return True
        if head.startswith(b"GET /v1/kv-list ") and self.cached_parts is not None:
            writer.write(_cache_list(self.cached_parts))
            return True
        if headers.get("expect-instance") != self.id:
            writer.write(
                b"HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
            return True
        crashes = self.crashes_under(headers, body)
        self._arrivals.append(
            Arrival(
                headers["request-id"], f"{self.id}#{run}", time.monotonic(), crashes
            )
        )
        if crashes:
            await self.begin_crashing_response(headers, writer)
            self.crash()
        else:
            await self.respond(headers, body, writer)
        if self.has_ended(run):
            await run_over.wait()
            return False
        return True

    async def before_response(self, head: bytes) -> None:
        """Wait until the request with this head may be responded to."""

    def health_response(self) -> bytes:
        """Return the response to a status check."""
        return (
            f"HTTP/1.1 200 OK\r\nInstance-Id: {self.id}\r\nContent-Length: 0\r\n\r\n"
        ).encode()

    def crashes_under(self, headers: dict[str, str], body: bytes) -> bool:
        """Return whether a request crashes the engine; names are in lower case."""
        return body == CRASH_BODY

    async def begin_crashing_response(
        self, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        """Do what the engine still does before it ends."""

    async def respond(
        self, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Write the response to a request that doesn't crash the engine."""
        run = self.run_number
        await asyncio.sleep(self._work_s)
        if not self.has_ended(run):
            writer.write(response_head(headers, f"Content-Length: {len(body)}") + body)

    @property
    def run_number(self) -> int:
        """The number of the current run."""
        return self._run

    def has_ended(self, run: int) -> bool:
        """Return whether a run of this engine has ended."""
        return not self.is_up or self._run != run


def response_head(headers: dict[str, str], *lines: str) -> bytes:
    """Return the head of the response to the request with these headers."""
    head = [
        "HTTP/1.1 200 OK",
        f"Request-Id: {headers['request-id']}",
        "Response-Seal: s",
    ]
    return "\r\n".join([*head, *lines, "", ""]).encode()


async def write_stream(
    headers: dict[str, str], writer: asyncio.StreamWriter, work_s: float, *lines: str
) -> None:
    """Write a whole stream that lasts ``work_s``, with further head ``lines``.

    ``headers`` are those of its request.
    """
    framing = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
    writer.write(response_head(headers, *framing, *lines))
    first = int(headers.get("last-event-id") or 0) + 1
    for number in range(first, int(work_s / EVENT_SECONDS) + 1):
        event = f"id: {number}\ndata: {number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await asyncio.sleep(EVENT_SECONDS)
    writer.write(b"0\r\n\r\n")


def _cache_list(parts: set[str]) -> bytes:
    """Return the response that lists the cached prompt parts."""
    held = [["", part, 500, "m"] for part in sorted(parts)]
    body = json.dumps({"epoch": 1, "next_token": 1, "held": held}).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


def _parse_headers(head: bytes) -> dict[str, str]:
    lines = head.decode("latin-1").split("\r\n")[1:]
    fields = (line.partition(":") for line in lines if line)
    return {name.lower(): value.strip() for name, _, value in fields}
