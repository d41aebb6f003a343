"""Reads the body of a caller's request, or what is left of one that is refused.

A refusal may be sent before the end of the body has come. What follows on the
connection belongs to the body until then. So the rest is read and dropped if its end
can be expected within the limits, and the next request on the connection is served.
Otherwise the refusal announces that the connection is closed.
"""

import asyncio
from collections.abc import Callable
from http import HTTPStatus

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.web_protocol import RequestPayloadError
from attrs import define, field

from dotterelpitch.clock import Clock
from dotterelpitch.gateway.body_memory import BodyReservation
from dotterelpitch.gateway.refusals import RefusedError
from dotterelpitch.routing.route_table import CallerLimits
from dotterelpitch.telemetry.events import Event, log_event

# Retry-After when the memory for bodies is full. Most requests that hold it now have
# ended by then.
BODY_RETRY_AFTER_SECONDS = 0.5
# A caller whose connection is closed while it sends can read the response for so long.
LINGER_SECONDS = 0.5


@define(eq=False)
class RequestBody:
    """The body of one request.

    ``read`` returns it as a whole. A request that is refused before its body was read
    ends with ``finish``, once the response has been written.
    """

    _request: web.BaseRequest
    _request_id: str
    _clock: Clock
    _get_limits: Callable[[], CallerLimits]
    _is_given_up: bool = field(default=False, init=False)

    @property
    def ends_connection(self) -> bool:
        """Whether the connection is of no use after the response.

        So it is if the end of the body isn't to be expected: it has made no progress,
        is too large, or the caller may leave it out now that it is refused.
        """
        if self._is_complete:
            return False
        content = self._request.content
        size = max(self._request.content_length or 0, content.total_bytes)
        return (
            self._is_given_up
            or size > self._get_limits().max_body_bytes
            or ("Expect" in self._request.headers and not content.total_bytes)
        )

    async def read(self, reservation: BodyReservation, deadline: float) -> bytes:
        """Return the whole body; ``deadline`` is a time of the monotonic clock.

        Raises RefusedError if it is too large, makes no progress, or finds no room, and
        where it is given up meanwhile.
        """
        if not self._request.can_read_body:
            return b""
        limits = self._get_limits()
        if (self._request.content_length or 0) > limits.max_body_bytes:
            raise _too_large(limits)
        parts: list[bytes] = []
        try:
            while data := await self._read_part(limits, deadline):
                if not reservation.grow(len(data)):
                    raise _no_room()
                parts.append(data)
                if reservation.size > limits.max_body_bytes:
                    raise _too_large(limits)
        except TimeoutError:
            self._is_given_up = True
            raise RefusedError(
                HTTPStatus.REQUEST_TIMEOUT, "the rest of the body doesn't come"
            ) from None
        reservation.complete()
        return b"".join(parts)

    def evict(self) -> None:
        """Refuse the request, whose body isn't complete, to make room for others."""
        self.give_up(_no_room())

    def give_up(self, error: RefusedError) -> None:
        """End the reading of the body with an error, unless all of it has come."""
        if self._request.content.is_eof():
            return
        self._is_given_up = True
        self._request.content.set_exception(error)

    async def finish(self, response: web.StreamResponse) -> None:
        """Drop the rest of the body, so that the next request can be read.

        The connection is closed if the response says so, or if the rest doesn't come.
        """
        if self._is_complete:
            return
        if response.keep_alive and await self._skip_rest():
            return
        log_event(
            Event.BODY_UNREAD,
            request=self._request_id,
            announced=not response.keep_alive,
        )
        await self._close_connection(response)

    @property
    def _is_complete(self) -> bool:
        return not self._request.can_read_body or self._request.content.is_eof()

    async def _skip_rest(self) -> bool:
        """Read and drop the rest; return whether its end has come."""
        limits = self._get_limits()
        content = self._request.content
        try:
            while await self._read_part(limits):
                if content.total_bytes > limits.max_body_bytes:
                    return False
        except (TimeoutError, HttpProcessingError, RequestPayloadError):
            return False
        return True

    async def _close_connection(self, response: web.StreamResponse) -> None:
        """Close the connection, after a moment for the caller to read the response."""
        protocol = self._request.protocol
        protocol.discard_input()
        response.force_close()
        protocol.close()
        await asyncio.sleep(LINGER_SECONDS)

    async def _read_part(
        self, limits: CallerLimits, deadline: float | None = None
    ) -> bytes:
        """Return the next bytes; empty at the end.

        Raises TimeoutError if none come for as long as a head may take.
        """
        timeout_s = limits.header_timeout_s
        if deadline is not None:
            timeout_s = min(timeout_s, deadline - self._clock.monotonic())
        async with asyncio.timeout(timeout_s):
            return await self._request.content.readany()


def _no_room() -> RefusedError:
    return RefusedError(
        HTTPStatus.SERVICE_UNAVAILABLE,
        "the bodies of other requests take all memory for bodies",
        BODY_RETRY_AFTER_SECONDS,
    )


def _too_large(limits: CallerLimits) -> RefusedError:
    return RefusedError(
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        f"the body is above {limits.max_body_bytes} bytes",
    )
