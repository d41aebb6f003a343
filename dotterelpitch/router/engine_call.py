"""The HTTP call to an engine for one chat, with its relay and its cancellation."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from enum import Enum

import aiohttp
from attrs import frozen

from dotterelpitch.documents.model import Endpoint, Timeouts
from dotterelpitch.errors import PeerError
from dotterelpitch.protocol.frames import Data
from dotterelpitch.protocol.messages import (
    DispatchChat,
    ResponseHead,
)
from dotterelpitch.protocol.stream import Stream
from dotterelpitch.router.idle_timeout import idle_timeout
from dotterelpitch.router.response_body import check_head, read_body
from dotterelpitch.telemetry.metrics import get_metrics
from dotterelpitch.telemetry.usage import UsageReader

STREAM_ID_HEADER = "Dotterelpitch-Request-Id"
CHAT_HEADER = "Dotterelpitch-Chat"
PRIORITY_HEADER = "Dotterelpitch-Priority"
LAST_EVENT_HEADER = "Last-Event-ID"
CANCEL_TIMEOUT_SECONDS = 2.0
FIRST_SERVER_ERROR_STATUS = 500
NOT_FOUND_STATUS = 404


def stream_id(request_id: str, engine: str) -> str:
    """Return the id of a request's stream at an engine."""
    return f"{request_id}~{engine}"


class CallEnd(Enum):
    """How a call to an engine ended.

    ``NOT_LOADED`` means that the engine doesn't serve the model.
    """

    COMPLETE = "complete"
    CALLER_GONE = "caller gone"
    SERVER_ERROR = "server error"
    NOT_LOADED = "not loaded"
    NOT_CONNECTED = "not connected"
    BROKEN = "broken"
    TIMEOUT = "timeout"


@frozen
class CallResult:
    """The result of a call; ``reason`` has details when it failed."""

    end: CallEnd
    reason: str = ""


class EngineCall:
    """Runs one request at one engine and relays the response."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        request: DispatchChat,
        engine: Endpoint,
        timeouts: Timeouts,
    ) -> None:
        self._session = session
        self._request = request
        self._engine = engine
        self._id = stream_id(request.request_id, engine.name)
        self._timeouts = timeouts
        self._timeout = aiohttp.ClientTimeout(
            total=timeouts.total,
            sock_connect=timeouts.connect,
        )

    async def run(self, stream: Stream, caller_gone: asyncio.Task) -> CallResult:
        """Relay the response to ``stream`` until it ends or the caller is gone.

        ``caller_gone`` is done once the caller has disconnected; the engine is then
        asked to cancel the request.
        """
        relay = asyncio.create_task(self._relay(stream))
        await asyncio.wait({relay, caller_gone}, return_when=asyncio.FIRST_COMPLETED)
        if relay.done() and relay.result().end is not CallEnd.CALLER_GONE:
            return relay.result()
        relay.cancel()
        await asyncio.gather(relay, return_exceptions=True)
        await self._cancel()
        return CallResult(CallEnd.CALLER_GONE)

    async def _relay(self, stream: Stream) -> CallResult:
        timeouts = self._timeouts
        try:
            async with (
                idle_timeout(timeouts.first_token) as idle,
                self._open_response() as response,
            ):
                check_head(response)
                if response.status >= FIRST_SERVER_ERROR_STATUS:
                    reason = f"status {response.status}"
                    return CallResult(CallEnd.SERVER_ERROR, reason)
                if response.status == NOT_FOUND_STATUS:
                    reason = "the engine doesn't hold the model"
                    return CallResult(CallEnd.NOT_LOADED, reason)
                headers = [("Content-Type", response.headers.get("Content-Type", ""))]
                await stream.send(ResponseHead(response.status, headers))
                usage = UsageReader()
                async for chunk in read_body(response):
                    idle.pause()
                    usage.feed(chunk)
                    await stream.send(Data(chunk))
                    idle.reset(timeouts.between_tokens)
                usage.report(get_metrics(), self._request.service)
        except PeerError:
            return CallResult(CallEnd.CALLER_GONE)
        except aiohttp.ClientConnectorError as error:
            return CallResult(CallEnd.NOT_CONNECTED, str(error))
        except TimeoutError:
            return CallResult(CallEnd.TIMEOUT, "timeout")
        except aiohttp.ClientError as error:
            return CallResult(CallEnd.BROKEN, str(error) or type(error).__name__)
        return CallResult(CallEnd.COMPLETE)

    @asynccontextmanager
    async def _open_response(self) -> AsyncIterator[aiohttp.ClientResponse]:
        """Resume the stream if the engine still holds it, else start a new one."""
        request, address = self._request, self._engine.address
        if request.first_event > 0:
            url = f"http://{address}/v1/streams/{self._id}"
            params = {"after": str(request.first_event - 1)}
            resumed = self._session.get(url, params=params, timeout=self._timeout)
            async with resumed as response:
                if response.status == 200:
                    yield response
                    return
        async with self._session.post(
            f"http://{address}/v1/chat/completions",
            data=request.body,
            headers=self._headers(),
            timeout=self._timeout,
        ) as response:
            yield response

    def _headers(self) -> dict[str, str]:
        request = self._request
        headers = {
            "Content-Type": "application/json",
            STREAM_ID_HEADER: self._id,
            CHAT_HEADER: request.chat,
            PRIORITY_HEADER: str(request.priority),
        }
        if request.first_event > 0:
            headers[LAST_EVENT_HEADER] = str(request.first_event - 1)
        return headers

    async def _cancel(self) -> None:
        url = f"http://{self._engine.address}/v1/cancel/{self._id}"
        timeout = aiohttp.ClientTimeout(total=CANCEL_TIMEOUT_SECONDS)
        try:
            async with self._session.post(url, timeout=timeout):
                pass
        except (aiohttp.ClientError, TimeoutError):
            pass  # The engine also notices that its connection was closed.
