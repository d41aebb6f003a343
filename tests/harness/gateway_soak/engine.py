"""An engine that records what it runs and fails in a configurable way."""

import asyncio
import hashlib
import json
import random
import time
from collections.abc import Callable

from tests.harness.gateway_soak.history import (
    CrashArrival,
    History,
    NoticeGiven,
    Run,
)
from tests.harness.scripted_engine import EngineExchange, ScriptedEngine
from tests.harness.source_proxy import SourceProxy

EVENT_SECONDS = 0.03
WORK_SECONDS = (0.002, 0.03)
# The share of its requests that a failing engine fails.
FAILURE_SHARE = 0.3
# The ids of requests that crash engines: this, the fault's name, VM, and number.
CRASH_ID_PREFIX = "crash"
CACHE_LIST_PATH = "/v1/kv-list"
VERSION_FIELD = "version"
VERSIONS = ("v1", "v1.1", "v2")


def seal(request_id: str, body: bytes) -> str:
    """Return the checksum that proves that an engine sent this body."""
    return hashlib.sha256(request_id.encode() + body).hexdigest()[:16]


def plain_body(request_id: str) -> bytes:
    """Return the expected body of a non-streaming answer."""
    return f"answer to {request_id}".encode() * (1 + sum(request_id.encode()) % 40)


def event_count(request_id: str) -> int:
    """Return how many events the stream of a request has."""
    return 1 + sum(request_id.encode()) % 30


def ends_with_connection(request_id: str) -> bool:
    """Return whether the answer has neither a length nor chunks."""
    return sum(request_id.encode()) % 7 == 0


def event(request_id: str, number: int, version: str = "") -> bytes:
    """Return one event of a stream, which names the engine's version, if any."""
    lines = [f"id: {number}", f"data: {request_id}/{number}"]
    if version:
        lines.append(f"{VERSION_FIELD}: {version}")
    return "\n".join([*lines, "", ""]).encode()


class SoakEngine:
    """An engine behind a fault proxy.

    ``failure_mode`` is one of ``faults.FAILURE_MODES`` while the engine fails some
    of its requests, and empty otherwise. ``rate_limit`` is what it names in its
    answers, in requests per second, or None. While ``is_leaving`` it says so in all
    answers, and until ``paused_until``, a monotonic time, it rejects all requests.
    ``on_crash`` is called when a request crashes the engine.
    """

    def __init__(
        self,
        engine_id: str,
        service: str,
        domain: str,
        history: History,
        on_crash: Callable[["SoakEngine"], None],
    ):
        self.id = engine_id
        self._on_crash = on_crash
        self.service = service
        self.domain = domain
        self.started_ms = int(time.time() * 1000)
        self.failure_mode = ""
        self._history = history
        self._random = random.Random(engine_id)
        self.version = self._random.choice(VERSIONS)
        self.rate_limit: float | None = None
        self.is_leaving = False
        self.paused_until = 0.0
        self._cached_parts: set[str] = set()
        self._server = ScriptedEngine(engine_id, self._handle)
        self.proxy: SourceProxy | None = None

    async def start(self, address: str, proxy: SourceProxy) -> None:
        """Listen on ``address``, behind ``proxy``.

        With the proxy of a stopped engine, this engine takes over its address.
        """
        await self._server.start(address)
        self.proxy = proxy
        self.proxy.target = address
        if not proxy.address:
            await self.proxy.start()

    async def stop(self) -> None:
        """Reset all connections and stop listening, without a drain."""
        self.proxy.refuse()
        await self._server.stop()

    def store_record(self, state: str) -> dict:
        """Return the engine's record for the store, with the given state."""
        return {
            "service": self.service,
            "address": self.proxy.address,
            "zone": self.domain,
            "state": state,
            "capacity": 16,
            "call_seq": 0,
            "born": self.started_ms,
            "version": self.version,
        }

    async def _handle(self, exchange: EngineExchange) -> None:
        if exchange.target == CACHE_LIST_PATH:
            self._list_cache(exchange)
            return
        request_id = exchange.header("Request-Id")
        if request_id.startswith(CRASH_ID_PREFIX):
            await self._crash(exchange, request_id)
            return
        content_id = exchange.header("Resumes") or request_id
        run = Run(
            request_id,
            self.id,
            self.service,
            exchange.header("Tenant"),
            exchange.header("Credential") is not None,
            exchange.target.endswith(f"/{content_id}")
            and exchange.body == request_body(content_id),
            time.monotonic(),
            domain=self.domain,
        )
        self._history.runs.append(run)
        if exchange.header("Expect-Instance") != self.id:
            run.ran = False
            _write_misdirected(exchange)
            return
        pause_s = self.paused_until - time.monotonic()
        if pause_s > 0.0:
            run.ran = False
            self._reject(exchange, request_id, pause_s)
            return
        prompt = exchange.header("Prompt-Prefix") or ""
        self._cached_parts |= {e.partition(":")[0] for e in prompt.split(",")}
        fails = bool(self.failure_mode) and self._random.random() < FAILURE_SHARE
        try:
            await self._answer(exchange, request_id, self.failure_mode if fails else "")
        finally:
            run.ended = time.monotonic()

    def _list_cache(self, exchange: EngineExchange) -> None:
        held = [["", part, 50, "m"] for part in sorted(self._cached_parts)]
        body = json.dumps({"held": held}).encode()
        exchange.write_head("200 OK", f"Content-Length: {len(body)}")
        exchange.writer.write(body)

    async def _crash(self, exchange: EngineExchange, request_id: str) -> None:
        if exchange.header("Expect-Instance") != self.id:
            _write_misdirected(exchange)
            return
        _, fault, vm, _ = request_id.split("-")
        self._history.crash_arrivals.append(CrashArrival(fault, vm, time.monotonic()))
        self._on_crash(self)
        await exchange.caller_left.wait()

    async def _answer(
        self, exchange: EngineExchange, request_id: str, failure_mode: str
    ):
        if failure_mode == "errors":
            lines = self._status_lines(request_id)
            exchange.write_head("500 Error", "Content-Length: 0", *lines)
            return
        if exchange.target.startswith(("/stream", "/resumable")):
            await self._stream(exchange, request_id, failure_mode)
            return
        work_s = self._random.uniform(*WORK_SECONDS)
        await asyncio.sleep(work_s * (30 if failure_mode == "slow" else 1))
        if failure_mode == "lost":
            exchange.reset()
            return
        body = plain_body(request_id)
        if ends_with_connection(request_id):
            lines = self._status_lines(request_id)
            _write_head(exchange, request_id, "Connection: close", *lines)
            self._end_with_connection(exchange, body, failure_mode == "cut")
            return
        lines = self._status_lines(request_id)
        _write_head(exchange, request_id, f"Content-Length: {len(body)}", *lines)
        if failure_mode == "cut":
            exchange.writer.write(body[: len(body) // 2])
            exchange.writer.close()
            return
        exchange.writer.write(body)
        if failure_mode == "extra":
            exchange.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")

    def _status_lines(self, request_id: str) -> list[str]:
        """Return the headers in which the engine speaks of itself."""
        lines = []
        if self.rate_limit is not None:
            lines.append(f"Server-Limit: {self.rate_limit}")
        if self.is_leaving:
            lines.append("Server-Leaving: 1")
            notice = NoticeGiven(self.id, request_id, time.monotonic())
            self._history.notices.append(notice)
        return lines

    def _reject(
        self, exchange: EngineExchange, request_id: str, pause_s: float
    ) -> None:
        """Turn a request away, and say for how long no other one is wanted."""
        notice = NoticeGiven(self.id, request_id, time.monotonic(), pause_s)
        self._history.notices.append(notice)
        exchange.write_head(
            "503 Busy",
            "Not-Executed: 1",
            f"Retry-After: {pause_s:.3f}",
            "Content-Length: 0",
        )

    @staticmethod
    def _end_with_connection(
        exchange: EngineExchange, body: bytes, is_cut: bool
    ) -> None:
        """Write a body that ends with its connection, or break it off."""
        if is_cut:
            exchange.writer.write(body[: len(body) // 2])
            exchange.reset()
        else:
            exchange.writer.write(body)
            exchange.writer.close()

    async def _stream(
        self, exchange: EngineExchange, request_id: str, failure_mode: str
    ):
        content_id = exchange.header("Resumes") or request_id
        first = int(exchange.header("Last-Event-Id") or 0) + 1
        last = event_count(content_id)
        is_chunked = not ends_with_connection(request_id)
        framing = "Transfer-Encoding: chunked" if is_chunked else "Connection: close"
        write = exchange.write_chunk if is_chunked else exchange.writer.write
        lines = ["Content-Type: text/event-stream", framing]
        lines += self._status_lines(request_id)
        _write_head(exchange, request_id, *lines)
        breaks_at = (
            self._random.randint(first, last) if failure_mode in ("lost", "cut") else 0
        )
        version = self.version
        for number in range(first, last + 1):
            if exchange.caller_left.is_set() or exchange.writer.is_closing():
                return
            data = event(content_id, number, version)
            if number == breaks_at:
                write(data[: len(data) // 2])
                exchange.reset()
                return
            write(data)
            await asyncio.sleep(EVENT_SECONDS * (10 if failure_mode == "slow" else 1))
        if is_chunked:
            write(b"")
        else:
            exchange.writer.close()


def request_body(request_id: str) -> bytes:
    """Return the body of the request with this id."""
    return f"body of {request_id}".encode()


def _write_misdirected(exchange: EngineExchange) -> None:
    exchange.write_head("421 Misdirected", "Not-Executed: 1", "Content-Length: 0")


def _write_head(exchange: EngineExchange, request_id: str, *lines: str) -> None:
    head = [
        "HTTP/1.1 200 OK",
        f"Request-Id: {request_id}",
        f"Response-Seal: {seal(request_id, plain_body(request_id))}",
    ]
    exchange.writer.write("\r\n".join([*head, *lines, "", ""]).encode())
