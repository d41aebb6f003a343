"""An HTTP/1.1 client connection to an engine, for one request at a time."""

import asyncio
import re
from collections.abc import Mapping

import httptools
from attrs import frozen

from dotterelpitch.upstream.errors import (
    AnswerGarbledError,
    AnswerLostError,
    PathLostError,
)
from dotterelpitch.upstream.response_source import ResponseSource
from dotterelpitch.upstream.status_codes import is_final_status, is_valid_status
from dotterelpitch.upstream.transfer_codings import TRANSFER_ENCODING, are_readable

# Reading from the engine pauses while more than this of a body is unread.
MAX_BUFFERED_BODY_BYTES = 256 * 1024
# Bounds the memory of all header fields of a response.
MAX_HEAD_BYTES = 64 * 1024
# What a field takes in memory besides the characters of its name and value, about.
FIELD_OVERHEAD_BYTES = 160
# Bytes that bring neither the head nor a part of the body, such as an endless line or
# interim responses without end. The parser buffers some of them.
MAX_OVERHEAD_BYTES = 512 * 1024
# Idle limit of engines that don't send a Keep-Alive timeout.
DEFAULT_IDLE_SECONDS = 4.0

_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d+)")


@frozen
class HttpResponseHead:
    """Status and headers of a response; names in ``value_by_name`` are lower case."""

    status: int
    headers: list[tuple[str, str]]
    value_by_name: Mapping[str, str]


class EngineConnection(asyncio.Protocol, ResponseSource):
    """Sends one request at a time and reads its response.

    ``is_reusable`` becomes False, and stays so, as soon as the next response might
    not belong to the next request. ``has_responded`` is whether any response has begun
    on the connection. ``has_ended_response`` is whether the last response
    was complete only by the connection's end. ``opened_at`` and ``idle_since`` are
    times of the monotonic clock in seconds, and ``idle_limit_s`` how long the engine
    keeps an idle connection open.
    """

    def __init__(self) -> None:
        self.is_reusable = True
        self.has_responded = False
        self.opened_at = 0.0
        self.idle_since = 0.0
        self.idle_limit_s = DEFAULT_IDLE_SECONDS
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future | None = None
        self._reset_response()

    # Interface for the gateway.

    def send(self, data: bytes, request_id: str, expects_body: bool = True) -> None:
        """Send the complete bytes of a request.

        A response without ``request_id`` in its Request-Id header is ignored;
        an empty id accepts any. ``expects_body`` is False for HEAD requests.
        """
        self._request_id = request_id
        self._expects_body = expects_body
        self._is_busy = True
        self._reset_response()
        self._transport.write(data)

    async def read_head(self) -> HttpResponseHead:
        """Return the head of the response.

        Raises AnswerLostError if the connection ends before it.
        """
        while self._head is None:
            self._raise_if_lost()
            await self._wait()
        return self._head

    async def read_body(self) -> bytes:
        """Return the next bytes of the body, or ``b""`` at its regular end.

        Raises AnswerLostError if the body ends too early.
        """
        while not self._body:
            if self._is_complete:
                return b""
            self._raise_if_lost()
            await self._wait()
        data = bytes(self._body)
        self._body.clear()
        self._transport.resume_reading()
        return data

    def finish(self, now: float) -> None:
        """End the exchange at ``now``, and close the connection unless it is reusable.

        ``now`` is a time of the monotonic clock in seconds.
        """
        sent_all = not self.is_closing and not self._transport.get_write_buffer_size()
        if not (self._is_complete and sent_all):
            self.is_reusable = False
        self._is_busy = False
        self.idle_since = now
        if not self.is_reusable:
            self.close()

    def close(self) -> None:
        """Abort the connection, so that the engine stops its work at once."""
        self.is_reusable = False
        if self._transport is not None:
            self._transport.abort()

    @property
    def is_closing(self) -> bool:
        """Whether the connection is closed or closing."""
        return self._transport is None or self._transport.is_closing()

    # Callbacks of asyncio.Protocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self.received_bytes += len(data)
        if not self._is_busy or self._is_complete:
            self.is_reusable = False  # These bytes belong to no request.
            if not self._is_busy:
                self.close()
            return
        self._overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail(AnswerGarbledError("the engine switched protocols"))
        except httptools.HttpParserError as error:
            if self._is_complete:
                self.is_reusable = False
            else:
                self._fail(AnswerGarbledError(f"not an HTTP answer: {error}"))
        if self._overhead_bytes > MAX_OVERHEAD_BYTES and not self._is_complete:
            self._fail(
                AnswerGarbledError(f"over {MAX_OVERHEAD_BYTES} bytes without content")
            )
        if len(self._body) > MAX_BUFFERED_BODY_BYTES:
            self._transport.pause_reading()
        self._wake_waiter()

    def eof_received(self) -> bool:
        self._received_eof = True
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self.is_reusable = False
        if self._ends_at_close and self._received_eof and error is None:
            self._is_complete = True
            self.has_ended_response = True
        elif self._error is None:
            reason = str(error) if error else "closed"
            error_class = (
                PathLostError if isinstance(error, TimeoutError) else AnswerLostError
            )
            self._error = error_class(f"the connection ended: {reason}")
        self._wake_waiter()

    # Callbacks of the httptools parser.

    def on_message_begin(self) -> None:
        if self._is_complete:
            self.is_reusable = False
            return
        self._raw_headers = []
        self._head_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._head is not None:
            return  # A trailer, or the head of an unsolicited response.
        self._head_bytes += len(name) + len(value) + FIELD_OVERHEAD_BYTES
        if self._head_bytes > MAX_HEAD_BYTES:
            self._fail(
                AnswerGarbledError(f"the answer's head exceeds {MAX_HEAD_BYTES} bytes")
            )
            return
        self._raw_headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        if self._is_complete or self._error is not None:
            return
        status = self._parser.get_status_code()
        if not is_valid_status(status):
            self._fail(AnswerGarbledError(f"HTTP has no status {status:03}"))
            return
        value_by_name = {name.lower(): value for name, value in self._raw_headers}
        is_interim = not is_final_status(status)
        self._is_ignored = is_interim or self._is_for_another_request(value_by_name)
        if self._is_ignored:
            return
        if not self._parser.should_keep_alive():
            self.is_reusable = False
        self._record_idle_limit(value_by_name.get("keep-alive", ""))
        codings = self._transfer_codings()
        if not are_readable(codings):
            self._fail(AnswerGarbledError(f"sent in transfer codings {codings}"))
            return
        self._ends_at_close = "content-length" not in value_by_name and not codings
        self._overhead_bytes = 0
        self.has_responded = True
        self._head = HttpResponseHead(status, self._raw_headers, value_by_name)
        if not self._expects_body:
            self._is_complete = True
            self.is_reusable = False

    def on_body(self, data: bytes) -> None:
        if not self._is_ignored and not self._is_complete:
            self._overhead_bytes = 0
            self._body += data

    def on_message_complete(self) -> None:
        if self._is_ignored:
            self._is_ignored = False
            return
        self._is_complete = True

    def _reset_response(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._head: HttpResponseHead | None = None
        self._raw_headers: list[tuple[str, str]] = []
        self._head_bytes = 0
        self._overhead_bytes = 0
        self._body = bytearray()
        self._is_complete = False
        self._is_ignored = False
        self._ends_at_close = False
        self.has_ended_response = False
        self._received_eof = False
        self._error: AnswerLostError | None = None
        self._is_busy = getattr(self, "_is_busy", False)

    def _is_for_another_request(self, value_by_name: Mapping[str, str]) -> bool:
        """Return whether a response lacks the request's id, which engines echo.

        Such a response also makes the connection unfit for reuse.
        """
        if not self._request_id:
            return False
        if value_by_name.get("request-id") == self._request_id:
            return False
        self.is_reusable = False
        return True

    def _transfer_codings(self) -> list[str]:
        """Return the value of each Transfer-Encoding field."""
        return [v for n, v in self._raw_headers if n.lower() == TRANSFER_ENCODING]

    def _record_idle_limit(self, keep_alive: str) -> None:
        if match := _KEEP_ALIVE_TIMEOUT.search(keep_alive):
            self.idle_limit_s = float(match.group(1))

    def _fail(self, error: AnswerLostError) -> None:
        self._error = error
        self.close()

    def _raise_if_lost(self) -> None:
        if self._error is not None:
            raise self._error
        if self.is_closing and not self._is_complete:
            raise AnswerLostError("the connection is closed")

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake_waiter(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
