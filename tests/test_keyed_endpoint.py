"""Tests of the HTTP call that sends a keyed request to its endpoint.

A non-idempotent call must not reach an endpoint twice. So the lease is checked just
before the first byte is written, and the client must not resend a call when the
connection breaks, not even on a keep-alive connection.
"""

import asyncio

import pytest

from dotterelpitch.documents.model import Endpoint, EndpointKind, ServiceDocument
from dotterelpitch.protocol.keyed_messages import DispatchOnce
from dotterelpitch.requests.keyed_owner import CallDecision
from dotterelpitch.requests.ledger import EntryState
from dotterelpitch.requests.outcomes import Outcome
from dotterelpitch.router.keyed_endpoint import KeyedEndpointClient
from tests.harness.ports import free_address
from tests.keyed_world import LEASE_SECONDS, SERVICE, settled_world

DOCUMENT = ServiceDocument(SERVICE)


class RawEndpoint:
    """A TCP server that counts requests and responds to each with fixed bytes.

    On each connection it responds to ``requests_before_close`` requests, and closes
    the connection when the next request has arrived.
    """

    def __init__(self, answer: bytes, requests_before_close: int = 1) -> None:
        self.request_count = 0
        self._answer = answer
        self._requests_before_close = requests_before_close

    async def __aenter__(self) -> "RawEndpoint":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.endpoint = Endpoint("p1", f"127.0.0.1:{port}", "d1", EndpointKind.PLAIN)
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        for number in range(1, 10):
            try:
                await reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError:
                break
            self.request_count += 1
            if number > self._requests_before_close:
                break
            writer.write(self._answer)
        writer.close()


def accepted_entry(world):
    """Call a new key at a1; return the owner and the accepted ledger entry."""
    assert world.call("a1", world.new_key()) is CallDecision.RUN
    return world.process_by_vm["a1"].owner, world.process_by_vm["a1"].accepted.pop()


def dispatch_message(entry, method):
    key = entry.key
    return DispatchOnce(
        "r1", key.service, key.account, key.key, "f", method, "/swaps/1", [], b""
    )


@pytest.fixture
def world():
    return settled_world()


OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
UNAVAILABLE = b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize("method", ["POST", "PUT", "DELETE"])
@pytest.mark.parametrize(
    "answer, outcome",
    [
        (OK, Outcome.COMPLETED),
        (UNAVAILABLE, Outcome.FAILED),
        (UNAVAILABLE.replace(b"503", b"408"), Outcome.FAILED),
        (UNAVAILABLE.replace(b"503", b"429"), Outcome.FAILED),
        # The connection closes before the response, and before the end of its body.
        (b"", Outcome.UNKNOWN),
        (OK[:-1], Outcome.UNKNOWN),
    ],
)
async def test_outcome_of_each_kind_of_response(world, method, answer, outcome):
    owner, entry = accepted_entry(world)
    async with RawEndpoint(answer, 1 if answer else 0) as raw:
        client = KeyedEndpointClient(owner)
        call = client.call(
            entry,
            dispatch_message(entry, method),
            document_with_total_timeout(1.0),
            raw.endpoint,
        )
        recorded = await call
        await client.close()
    assert (recorded.outcome, raw.request_count) == (outcome, 1)


def document_with_total_timeout(seconds):
    """Return the document with a total timeout of ``seconds`` per call."""
    return ServiceDocument(
        SERVICE, timeouts=type(DOCUMENT.timeouts)(total=seconds, connect=0.5)
    )


@pytest.mark.parametrize("method", ["PUT", "DELETE"])
async def test_client_does_not_resend_when_keep_alive_connection_breaks(world, method):
    async with RawEndpoint(OK) as raw:
        outcomes = []
        owner, first = accepted_entry(world)
        client = KeyedEndpointClient(owner)
        _, second = accepted_entry(world)
        for entry in (first, second):
            request = dispatch_message(entry, method)
            recorded = await client.call(entry, request, DOCUMENT, raw.endpoint)
            outcomes.append(recorded.outcome)
        await client.close()
    assert (outcomes, raw.request_count) == ([Outcome.COMPLETED, Outcome.UNKNOWN], 2)


async def test_oversized_body_records_only_outcome(world, monkeypatch):
    monkeypatch.setattr("dotterelpitch.router.keyed_endpoint.MAX_ANSWER_BYTES", 1)
    owner, entry = accepted_entry(world)
    async with RawEndpoint(OK) as raw:
        client = KeyedEndpointClient(owner)
        request = dispatch_message(entry, "POST")
        recorded = await client.call(entry, request, DOCUMENT, raw.endpoint)
        await client.close()
    assert recorded.outcome is Outcome.COMPLETED
    assert (recorded.body_kept, recorded.body) == (False, b"")


async def test_nothing_is_sent_when_lease_expires_before_write(world):
    owner, entry = accepted_entry(world)
    world.clock.advance(LEASE_SECONDS)
    async with RawEndpoint(OK) as raw:
        client = KeyedEndpointClient(owner)
        request = dispatch_message(entry, "POST")
        recorded = await client.call(entry, request, DOCUMENT, raw.endpoint)
        await client.close()
    assert (recorded.outcome, raw.request_count) == (Outcome.NOT_RUN, 0)
    assert entry.state is EntryState.FINISHED


async def test_unreachable_endpoint_leaves_entry_accepted(world):
    owner, entry = accepted_entry(world)
    client = KeyedEndpointClient(owner)
    endpoint = Endpoint("p1", free_address(), "d1", EndpointKind.PLAIN)
    answer = await client.call(
        entry, dispatch_message(entry, "POST"), DOCUMENT, endpoint
    )
    await client.close()
    assert (answer, entry.state) == (None, EntryState.ACCEPTED)
