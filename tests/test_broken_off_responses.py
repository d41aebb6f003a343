"""Responses of engines and endpoints of the product's own interface that break off."""

import asyncio
from functools import partial
from types import SimpleNamespace

import aiohttp
import attrs
import pytest

from dotterelpitch.documents.model import (
    Endpoint,
    EndpointKind,
    ServiceDocument,
    Timeouts,
)
from dotterelpitch.protocol.messages import DispatchFailed, DispatchPlain
from dotterelpitch.requests.outcomes import Outcome
from dotterelpitch.router.engine_call import CallEnd, EngineCall
from dotterelpitch.router.keyed_endpoint import KeyedEndpointClient
from dotterelpitch.router.plain_owner import PlainOwnerHandler
from tests.harness.scripted_engine import reset_connection
from tests.harness.waiting import pause
from tests.keyed_world import SERVICE, settled_world
from tests.test_engine_call import dispatch
from tests.test_keyed_endpoint import accepted_entry, dispatch_message

START = b"HTTP/1.1 200 OK\r\n"
WITH_LENGTH = START + b"Content-Length: 2\r\n\r\nok"
CHUNKED = START + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
WITHOUT_LENGTH = START + b"Connection: close\r\n\r\n"
UNKNOWN_CODING = START + b"Transfer-Encoding: chun\r\n\r\n2\r\nok\r\n0\r\n\r\n"


class BreakingServer:
    """Sends ``answer`` to each request, then closes or resets the connection."""

    def __init__(self, answer: bytes, resets: bool) -> None:
        self._answer = answer
        self._resets = resets
        self._has_ended = asyncio.Event()

    async def __aenter__(self) -> Endpoint:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        return Endpoint("p1", f"{host}:{port}", "d1", EndpointKind.PLAIN)

    async def __aexit__(self, *_: object) -> None:
        await self._has_ended.wait()
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self._answer)
        await writer.drain()
        await pause(0.02)
        if self._resets:
            reset_connection(writer)
        writer.close()
        self._has_ended.set()


class RecordingStream:
    """Records the messages to the router that has the caller."""

    def __init__(self) -> None:
        self.messages = []

    async def send(self, message) -> None:
        self.messages.append(message)


async def takes_chat_for_whole(endpoint):
    """Return whether the response to a chat counts as whole."""
    async with aiohttp.ClientSession() as session:
        gone = asyncio.create_task(asyncio.Event().wait())
        call = EngineCall(session, dispatch(), endpoint, Timeouts())
        result = await call.run(RecordingStream(), gone)
        gone.cancel()
    return result.end is CallEnd.COMPLETE


async def takes_plain_call_for_whole(endpoint, method="GET", body=b""):
    """Return whether the response to a plain call counts as whole."""
    document = ServiceDocument(SERVICE, endpoints=[endpoint])
    view = SimpleNamespace(document_by_service={SERVICE: document})
    call = DispatchPlain("r1", SERVICE, endpoint.name, "a", method, "/1", [], body)
    stream = RecordingStream()
    async with aiohttp.ClientSession() as session:
        handler = PlainOwnerHandler(SimpleNamespace(view=view), session)
        await handler.handle(stream, call)
    return not isinstance(stream.messages[-1], DispatchFailed)


async def takes_keyed_call_for_whole(endpoint, body=b""):
    """Return whether the response to a keyed call counts as whole."""
    owner, entry = accepted_entry(settled_world())
    client = KeyedEndpointClient(owner)
    request = attrs.evolve(dispatch_message(entry, "PUT"), body=body)
    answer = await client.call(entry, request, ServiceDocument(SERVICE), endpoint)
    await client.close()
    return answer.outcome is Outcome.COMPLETED


# (answer, whether the connection is reset, whether the answer is whole)
ANSWERS = {
    "with length": (WITH_LENGTH, False, True),
    "with length, then reset": (WITH_LENGTH, True, True),
    "in chunks, then reset": (CHUNKED + b"0\r\n\r\n", True, True),
    "status without a body, then reset": (b"HTTP/1.1 204 No\r\n\r\n", True, True),
    "without length": (WITHOUT_LENGTH + b"ok", False, True),
    "without length, reset": (WITHOUT_LENGTH + b"ok", True, False),
    "without length, reset after the head": (WITHOUT_LENGTH, True, False),
    "in a coding cut short": (UNKNOWN_CODING, False, False),
    "cut in its head": (WITHOUT_LENGTH[:-2], False, False),
    "with length, cut": (WITH_LENGTH[:-1], False, False),
    "in chunks, cut": (CHUNKED, False, False),
    **{
        f"status {status}": (WITH_LENGTH.replace(b"200", status), False, False)
        for status in (b"000", b"099", b"600", b"999")
    },
}


# Guards against: an answer without a length whose connection is reset counts as whole.
@pytest.mark.parametrize(
    "is_taken_for_whole",
    [takes_chat_for_whole, takes_plain_call_for_whole, takes_keyed_call_for_whole],
    ids=["chat", "plain", "keyed"],
)
@pytest.mark.parametrize(
    ("answer", "resets", "is_whole"), ANSWERS.values(), ids=ANSWERS.keys()
)
async def test_response_that_breaks_off_isnt_whole(
    is_taken_for_whole, answer, resets, is_whole
):
    async with BreakingServer(answer, resets) as endpoint:
        assert await is_taken_for_whole(endpoint) is is_whole


# Guards against: a part of an answer that came while a long upload was still being
# written, and was cut by a reset, counts as whole.
@pytest.mark.parametrize("part", [b"ok", b"x" * 600_000])
async def test_early_answer_to_an_upload_cut_by_a_reset_isnt_whole(part):
    upload = b"y" * 3_000_000
    for call in (
        partial(takes_plain_call_for_whole, method="POST", body=upload),
        partial(takes_keyed_call_for_whole, body=upload),
    ):
        async with BreakingServer(WITHOUT_LENGTH + part, resets=True) as endpoint:
            assert not await call(endpoint)
