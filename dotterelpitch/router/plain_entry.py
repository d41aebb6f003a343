"""Handles callers' idempotent calls of plain services."""

from aiohttp import web

from dotterelpitch.documents.model import Endpoint, EndpointKind
from dotterelpitch.errors import PeerError, PeerUnreachableError
from dotterelpitch.hashing import rendezvous_rank
from dotterelpitch.protocol.frames import Data, End
from dotterelpitch.protocol.messages import (
    DispatchFailed,
    DispatchPlain,
    ResponseHead,
)
from dotterelpitch.protocol.stream import Stream
from dotterelpitch.router.plain_call import PlainCall
from dotterelpitch.router.problems import (
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    CallerError,
    Outcome,
)
from dotterelpitch.router.router_client import RouterClient
from dotterelpitch.router.state import FleetState
from dotterelpitch.telemetry.events import Event, log_event

RETRY_AFTER_SECONDS = 1.0


class PlainEntryHandler:
    """Handles the idempotent plain calls that callers send to this router."""

    def __init__(self, state: FleetState, router_client: RouterClient) -> None:
        self._state = state
        self._router_client = router_client

    async def serve(self, request: web.Request, call: PlainCall) -> web.StreamResponse:
        """Dispatch one call and relay its response to the caller.

        Raises CallerError when no endpoint responds.
        """
        passed_over: list[str] = []
        may_have_run = False
        for endpoint in self._candidates(call):
            try:
                stream = await self._open(call, endpoint)
                answer = await stream.receive()
            except PeerUnreachableError as error:
                passed_over.append(f"{endpoint.name}: {error}")
                continue
            except PeerError as error:
                may_have_run = True
                passed_over.append(f"{endpoint.name}: {error}")
                continue
            if isinstance(answer, ResponseHead):
                return await self._relay_response(
                    request, call, endpoint, stream, answer
                )
            may_have_run |= isinstance(answer, DispatchFailed) and answer.delivered
            passed_over.append(f"{endpoint.name}: {answer.reason}")
        log_event(Event.ROUTE_REFUSED, request=call.request_id, passed_over=passed_over)
        raise CallerError(
            503,
            "No endpoint can take the request",
            "; ".join(passed_over),
            Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN,
            RETRY_AFTER_SECONDS,
            Event.ROUTE_REFUSED,
        )

    def _candidates(self, call: PlainCall) -> list[Endpoint]:
        by_name = {
            e.name: e
            for e in self._state.view.live_endpoints(call.document)
            if e.kind is EndpointKind.PLAIN
        }
        return [by_name[name] for name in rendezvous_rank(call.request_id, by_name)]

    async def _open(self, call: PlainCall, endpoint: Endpoint) -> Stream:
        owner = self._state.view.owner_of(endpoint)
        if owner is None:
            raise PeerUnreachableError("no VM owns the endpoint")
        return await self._router_client.open_stream(
            owner,
            DispatchPlain(
                call.request_id,
                call.document.service,
                endpoint.name,
                call.account.name,
                call.method,
                call.path,
                call.headers,
                call.body,
            ),
        )

    async def _relay_response(
        self,
        request: web.Request,
        call: PlainCall,
        endpoint: Endpoint,
        stream: Stream,
        head: ResponseHead,
    ) -> web.StreamResponse:
        outcome = Outcome.FAILED if head.status >= 400 else Outcome.COMPLETED
        response = web.StreamResponse(status=head.status, headers=dict(head.headers))
        response.headers[REQUEST_ID_HEADER] = call.request_id
        response.headers[OUTCOME_HEADER] = outcome.value
        log_event(Event.ROUTE_CHOSEN, request=call.request_id, endpoint=endpoint.name)
        try:
            await response.prepare(request)
            await relay_body(response, stream)
            await response.write_eof()
        finally:
            stream.reset("caller done")
        return response


async def relay_body(response: web.StreamResponse, stream: Stream) -> None:
    """Relay a response body; raise ConnectionResetError when it is truncated.

    The caller's connection is then closed without the end of the body, so that
    the caller can't take a truncated response for a complete one.
    """
    while True:
        try:
            content = await stream.receive()
        except PeerError as error:
            raise ConnectionResetError(str(error)) from error
        if isinstance(content, End):
            return
        if not isinstance(content, Data):
            raise ConnectionResetError("the endpoint broke off")
        await response.write(content.payload)
