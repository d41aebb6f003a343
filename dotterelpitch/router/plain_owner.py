"""The owner's side of an idempotent plain call."""

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
from dotterelpitch.router.state import FleetState

PASSED_BACK_HEADERS = ("Content-Type", "Content-Language", "Location", "ETag")


class PlainOwnerHandler:
    """Makes idempotent calls at the plain endpoints that this VM owns."""

    def __init__(self, state: FleetState, session: aiohttp.ClientSession) -> None:
        self._state = state
        self._session = session

    async def handle(self, stream: Stream, request: DispatchPlain) -> None:
        """Answer one DispatchPlain."""
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
            ) as answer:
                await stream.send(ResponseHead(answer.status, passed_back(answer)))
                async for chunk in answer.content.iter_any():
                    await stream.send(Data(chunk))
        except aiohttp.ClientConnectorError as error:
            await stream.send(DispatchFailed(str(error), False))
        except (aiohttp.ClientError, TimeoutError) as error:
            await stream.send(DispatchFailed(str(error) or "timeout", True))


def call_timeout(timeouts: Timeouts) -> aiohttp.ClientTimeout:
    """Return the limits of one call of a plain endpoint."""
    return aiohttp.ClientTimeout(total=timeouts.total, sock_connect=timeouts.connect)


def passed_back(answer: aiohttp.ClientResponse) -> list[tuple[str, str]]:
    """Return the headers of an endpoint's answer that go to the caller."""
    return [
        (name, answer.headers[name])
        for name in PASSED_BACK_HEADERS
        if name in answer.headers
    ]


def _address(document: ServiceDocument, name: str) -> str:
    return next((e.address for e in document.endpoints if e.name == name), "")
