"""Sends a keyed call to an endpoint at most once.

A trace hook of the HTTP client runs just before the client writes the request
head. The hook checks the lease and the ledger and records the call as dispatched.
If either check fails, nothing is written.
"""

from types import SimpleNamespace

import aiohttp

from dotterelpitch.documents.model import Endpoint, ServiceDocument
from dotterelpitch.errors import DotterelpitchError
from dotterelpitch.protocol.keyed_messages import DispatchOnce
from dotterelpitch.requests.keyed_owner import KeyedOwner
from dotterelpitch.requests.ledger import EntryState, LedgerEntry, RecordedAnswer
from dotterelpitch.requests.outcomes import Outcome, outcome_of_status
from dotterelpitch.router.plain_owner import call_timeout, forwarded_headers
from dotterelpitch.router.response_body import read_body
from dotterelpitch.telemetry.events import Event, log_event

FENCING_HEADER = "Dotterelpitch-Fencing"
FENCING_SCOPE_HEADER = "Dotterelpitch-Fencing-Scope"
FENCED_STATUS = 412
MAX_ANSWER_BYTES = 8 * 1024 * 1024


class DispatchRefusedError(DotterelpitchError):
    """Nothing was written: the lease had expired or the call was sent before."""


class KeyedEndpointClient:
    """HTTP client for keyed calls, with a connection pool of its own."""

    def __init__(self, owner: KeyedOwner) -> None:
        self._owner = owner
        trace = aiohttp.TraceConfig()
        trace.on_request_headers_sent.append(self._before_write)
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            auto_decompress=False,
            trace_configs=[trace],
        )

    async def close(self) -> None:
        """Close all connections to endpoints."""
        await self._session.close()

    async def call(
        self,
        entry: LedgerEntry,
        request: DispatchOnce,
        document: ServiceDocument,
        endpoint: Endpoint,
    ) -> RecordedAnswer | None:
        """Return the answer, or None when no connection could be opened.

        With None the entry stays accepted, so that another endpoint may be tried.
        Once the first byte has been written, the answer is final.
        """
        try:
            async with self._session.request(
                request.method,
                f"http://{endpoint.address}{request.path}",
                headers=self._headers(entry, request, endpoint),
                data=request.body or None,
                timeout=call_timeout(document.timeouts),
                allow_redirects=False,
                trace_request_ctx=SimpleNamespace(entry=entry, endpoint=endpoint.name),
            ) as response:
                body = await _read_at_most(response, MAX_ANSWER_BYTES)
                return _answer_of_response(endpoint, response, body)
        except DispatchRefusedError:
            return entry.answer or _unknown_answer("sent before")
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            if entry.state is EntryState.ACCEPTED:
                return None
            return _unknown_answer(f"{endpoint.name}: {error or 'timeout'}")

    async def _before_write(self, session, context, params) -> None:
        call = context.trace_request_ctx
        entry = call.entry
        if not self._owner.begin_dispatch(entry):
            raise DispatchRefusedError(entry.key.key)
        log_event(
            Event.KEYED_DISPATCHED,
            key=entry.key.key,
            service=entry.key.service,
            slot=entry.slot,
            epoch=entry.epoch,
            endpoint=call.endpoint,
        )

    def _headers(
        self, entry: LedgerEntry, request: DispatchOnce, endpoint: Endpoint
    ) -> list[tuple[str, str]]:
        if not endpoint.checks_fencing:
            return request.headers
        return [
            *request.headers,
            (FENCING_HEADER, str(entry.epoch)),
            (FENCING_SCOPE_HEADER, f"slot-{entry.slot}"),
        ]


async def _read_at_most(response: aiohttp.ClientResponse, limit: int) -> bytes | None:
    """Return the body, or None when it is longer than ``limit`` bytes."""
    body = bytearray()
    async for chunk in read_body(response):
        body += chunk
        if len(body) > limit:
            return None
    return bytes(body)


def _answer_of_response(
    endpoint: Endpoint, response: aiohttp.ClientResponse, body: bytes | None
) -> RecordedAnswer:
    if endpoint.checks_fencing and response.status == FENCED_STATUS:
        log_event(Event.KEYED_FENCED, endpoint=endpoint.name)
        return _unknown_answer(f"{endpoint.name} has seen a newer owner")
    return RecordedAnswer(
        outcome_of_status(response.status),
        response.status,
        forwarded_headers(response),
        body or b"",
        body_kept=body is not None,
    )


def _unknown_answer(reason: str) -> RecordedAnswer:
    return RecordedAnswer(Outcome.UNKNOWN, reason=reason)
