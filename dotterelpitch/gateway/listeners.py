"""HTTP listeners of a gateway, for callers, readiness checks, and metrics."""

import asyncio
from collections.abc import Callable

from aiohttp import web
from attrs import define, field

from dotterelpitch.clock import Clock
from dotterelpitch.gateway.caller_protocol import (
    READ_BYTES,
    CallerServer,
    listening_socket,
    max_connections,
)
from dotterelpitch.gateway.head_memory import HeadMemory
from dotterelpitch.gateway.intake_pacer import IntakePacer
from dotterelpitch.telemetry.events import Event, log_event

# aiohttp's own keep-alive timeout is above that of any config, so that it doesn't
# interfere: the gateway enforces the config's timeouts itself.
KEEPALIVE_TIMEOUT_SECONDS = 3600.0
# Bounds the request line and each header.
MAX_LINE_BYTES = 32 * 1024
# Bounds the connections that wait to be accepted.
BACKLOG = 1024
# Accepted in one turn of the event loop, before any of them can be closed again.
ACCEPTED_AT_ONCE = 64
# Bounds the header fields of a request; their bytes are bounded by the config.
MAX_FIELDS = 4096
# Connections for readiness checks and for metrics.
MAX_OTHER_CONNECTIONS = 64
# Bodies are passed on as they come, and what follows a refusal isn't parsed.
PARSING = {
    "access_log": None,
    "auto_decompress": False,
    "lingering_time": 0.0,
    "read_bufsize": READ_BYTES,
}
METRICS_PATH = "/metrics"


@define
class Listeners:
    """Opens and closes the listeners; ``callers`` holds the callers' connections."""

    callers: CallerServer
    _clock: Clock
    _pacer: IntakePacer
    _head_memory: HeadMemory
    _is_ready: Callable[[], bool]
    _render_metrics: Callable[[], str]
    _callers_listener: asyncio.Server | None = field(default=None, init=False)
    _other_listeners: list[asyncio.Server] = field(factory=list, init=False)

    @classmethod
    def create(
        cls,
        clock: Clock,
        memory_mb: int,
        descriptors: int,
        handle: Callable,
        is_ready: Callable[[], bool],
        render_metrics: Callable[[], str],
    ) -> "Listeners":
        """Return listeners that pass callers' requests to ``handle``.

        ``memory_mb`` is the memory of the VM, which bounds the connections and heads;
        ``descriptors`` bounds the connections too.
        """
        pacer = IntakePacer(clock)
        head_memory = HeadMemory.for_vm(memory_mb)
        callers = CallerServer(
            handle,
            clock,
            pacer,
            head_memory,
            max_connections(memory_mb, descriptors),
            handler_cancellation=True,
            keepalive_timeout=KEEPALIVE_TIMEOUT_SECONDS,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            max_headers=MAX_FIELDS,
            **PARSING,
        )
        return cls(callers, clock, pacer, head_memory, is_ready, render_metrics)

    async def open(self, callers: str, ready: str, metrics: str) -> None:
        """Listen on three addresses (``IP:port``).

        If the metrics address is in use, the failure is logged and the gateway runs
        without metrics.
        """
        self._callers_listener = await _listen(self.callers, callers)
        self._other_listeners.append(
            await _listen(self._create_small(self._answer_ready), ready)
        )
        try:
            server = await _listen(self._create_small(self._answer_metrics), metrics)
        except OSError as error:
            log_event(Event.METRICS_UNSERVED, address=metrics, reason=str(error))
            return
        self._other_listeners.append(server)

    async def pace(self) -> None:
        """Parse costly input in slices until cancelled."""
        await self._pacer.run()

    def _create_small(self, handle: Callable) -> CallerServer:
        """Return a server for the platform's few requests."""
        return CallerServer(
            handle,
            self._clock,
            self._pacer,
            self._head_memory,
            MAX_OTHER_CONNECTIONS,
            **PARSING,
        )

    def close_callers(self) -> None:
        """Stop accepting connections from callers."""
        self._callers_listener.close()

    def close(self) -> None:
        """Close all listeners."""
        for listener in (self._callers_listener, *self._other_listeners):
            listener.close()

    async def _answer_ready(self, request: web.BaseRequest) -> web.Response:
        return _without_body(
            request, web.Response(status=200 if self._is_ready() else 503)
        )

    async def _answer_metrics(self, request: web.BaseRequest) -> web.Response:
        if request.path != METRICS_PATH:
            return _without_body(request, web.Response(status=404))
        return _without_body(request, web.Response(text=self._render_metrics()))


def _without_body(request: web.BaseRequest, response: web.Response) -> web.Response:
    """Return the response, after which the connection is closed if a body follows."""
    if request.can_read_body:
        request.protocol.discard_input()
        response.force_close()
    return response


async def _listen(server: CallerServer, address: str) -> asyncio.Server:
    loop = asyncio.get_running_loop()
    sock = listening_socket(address)
    listener = await loop.create_server(server, sock=sock, backlog=ACCEPTED_AT_ONCE)
    sock.listen(BACKLOG)  # asyncio takes one number for both.
    return listener
