"""Handles idempotent plain calls at the admission owner of the endpoint."""

import aiohttp

from dotterelpitch.documents.model import ServiceDocument, Timeouts
from dotterelpitch.protocol.frames import Data
from dotterelpitch.protocol.messages import (
    DispatchFailed,
    DispatchPlain,
    Refused,
    ResponseHead,
)
from dotterelpitch.protocol.stream import Stream
from dotterelpitch.router.response_body import check_head, read_body
from dotterelpitch.router.state import FleetState

FORWARDED_RESPONSE_HEADERS = ("Content-Type", "Content-Language", "Location", "ETag")


class PlainOwnerHandler:
    """Handles the idempotent calls to the plain endpoints that this VM owns."""

    def __init__(self, state: FleetState, session: aiohttp.ClientSession) -> None:
        self._state = state
        self._session = session

    async def handle(self, stream: Stream, request: DispatchPlain) -> None:
        """Call the endpoint of one DispatchPlain and relay the response."""
        document = self._state.view.document_by_service.get(request.service)
        address = document and _address(document, request.endpoint)
        if not address:
            await stream.send(Refused("the endpoint isn't in the document", 1.0))
            return
        try:
            async with self._session.request(
                request.method,
                f"http://{address}{request.path}",
                headers=request.headers,
                data=request.body or None,
                timeout=call_timeout(document.timeouts),
                allow_redirects=False,
            ) as response:
                check_head(response)
                await stream.send(
                    ResponseHead(response.status, forwarded_headers(response))
                )
                async for chunk in read_body(response):
                    await stream.send(Data(chunk))
        except aiohttp.ClientConnectorError as error:
            await stream.send(DispatchFailed(str(error), False))
        except (aiohttp.ClientError, TimeoutError) as error:
            await stream.send(DispatchFailed(str(error) or "timeout", True))


def call_timeout(timeouts: Timeouts) -> aiohttp.ClientTimeout:
    """Return the timeouts for one call of a plain endpoint."""
    return aiohttp.ClientTimeout(total=timeouts.total, sock_connect=timeouts.connect)


def forwarded_headers(response: aiohttp.ClientResponse) -> list[tuple[str, str]]:
    """Return the headers of an endpoint's response that go to the caller."""
    return [
        (name, response.headers[name])
        for name in FORWARDED_RESPONSE_HEADERS
        if name in response.headers
    ]


def _address(document: ServiceDocument, name: str) -> str:
    return next((e.address for e in document.endpoints if e.name == name), "")
