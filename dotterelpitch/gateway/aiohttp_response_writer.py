"""Writes responses through aiohttp."""

from collections.abc import Callable

from aiohttp import web
from attrs import define, field

from dotterelpitch.clock import Clock
from dotterelpitch.gateway.call import ResponseWriter
from dotterelpitch.platform.headers import Headers


@define
class AiohttpResponseWriter(ResponseWriter):
    """Writes the response to a request received by aiohttp.

    The connection is closed after the response if ``ends_connection`` returns True.
    """

    _request: web.BaseRequest
    _ends_connection: Callable[[], bool]
    _clock: Clock
    _response: web.StreamResponse | None = field(default=None, init=False)

    async def start(self, status: int, headers: Headers) -> None:
        response = web.StreamResponse(status=status, headers=headers)
        await self._send_head(response)

    async def write(self, data: bytes) -> None:
        await self._response.write(data)

    async def end(self) -> None:
        if self._ends_connection():
            self._response.force_close()
        await self._response.write_eof()

    async def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        kept = [(n, v) for n, v in headers if n.lower() != "content-length"]
        response = web.Response(status=int(status), headers=kept, body=body)
        await self._send_head(response)
        await response.write_eof()

    def abort(self) -> None:
        if self._request.transport is not None:
            self._request.transport.abort()

    @property
    def response(self) -> web.StreamResponse | None:
        """The response that the aiohttp handler returns; None before it is started."""
        return self._response

    async def _send_head(self, response: web.StreamResponse) -> None:
        if self._ends_connection():
            response.force_close()
        self._response = response
        self.is_started = True
        self.started_at = self._clock.monotonic()
        await response.prepare(self._request)
