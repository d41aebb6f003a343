"""HTTP listeners of a gateway, for callers, readiness checks, and metrics."""

import asyncio
from collections.abc import Callable

from aiohttp import web
from attrs import define, field

from dotterelpitch.telemetry.events import Event, log_event

# aiohttp's own keep-alive timeout is above that of any config, so that it doesn't
# interfere: the gateway enforces the config's timeouts itself.
KEEPALIVE_TIMEOUT_SECONDS = 3600.0
# Bounds the request line and each header.
MAX_LINE_BYTES = 32 * 1024
# Bounds the connections that wait to be accepted.
BACKLOG = 1024
METRICS_PATH = "/metrics"


@define
class Listeners:
    """Opens and closes the listeners; ``callers`` holds the callers' connections."""

    callers: web.Server
    _is_ready: Callable[[], bool]
    _render_metrics: Callable[[], str]
    _callers_listener: asyncio.Server | None = field(default=None, init=False)
    _other_listeners: list[asyncio.Server] = field(factory=list, init=False)

    @classmethod
    def create(
        cls,
        handle: Callable,
        is_ready: Callable[[], bool],
        render_metrics: Callable[[], str],
    ) -> "Listeners":
        """Return listeners that pass callers' requests to ``handle``."""
        callers = web.Server(
            handle,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=KEEPALIVE_TIMEOUT_SECONDS,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
        )
        return cls(callers, is_ready, render_metrics)

    async def open(self, callers: str, ready: str, metrics: str) -> None:
        """Listen on three addresses (``IP:port``).

        If the metrics address is in use, the failure is logged and the gateway runs
        without metrics.
        """
        self._callers_listener = await _listen(self.callers, callers)
        self._other_listeners.append(
            await _listen(web.Server(self._answer_ready), ready)
        )
        try:
            server = await _listen(web.Server(self._answer_metrics), metrics)
        except OSError as error:
            log_event(Event.METRICS_UNSERVED, address=metrics, reason=str(error))
            return
        self._other_listeners.append(server)

    def close_callers(self) -> None:
        """Stop accepting connections from callers."""
        self._callers_listener.close()

    def close(self) -> None:
        """Close all listeners."""
        for listener in (self._callers_listener, *self._other_listeners):
            listener.close()

    async def _answer_ready(self, request: web.BaseRequest) -> web.Response:
        return web.Response(status=200 if self._is_ready() else 503)

    async def _answer_metrics(self, request: web.BaseRequest) -> web.Response:
        if request.path != METRICS_PATH:
            return web.Response(status=404)
        return web.Response(text=self._render_metrics())


async def _listen(server: web.Server, address: str) -> asyncio.Server:
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    return await loop.create_server(server, host, int(port), backlog=BACKLOG)
