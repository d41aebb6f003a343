"""Sends the calls of peers that reach no engine to engines."""

import asyncio
import contextlib

from dotterelpitch.clock import Clock
from dotterelpitch.errors import PeerError
from dotterelpitch.gateway.body_memory import BodyMemory, BodyReservation
from dotterelpitch.gateway.call import Call
from dotterelpitch.gateway.call_progress import CallProgress
from dotterelpitch.gateway.event_stream_filter import EventStreamFilter
from dotterelpitch.gateway.forwarding import Forwarder
from dotterelpitch.gateway.peer_response import PeerResponseWriter, decode_headers
from dotterelpitch.gateway.state import GatewayState
from dotterelpitch.platform.headers import decode_caller_headers
from dotterelpitch.protocol.forwarded_call_messages import (
    CallDeclined,
    ForwardCall,
    decode_text,
)
from dotterelpitch.protocol.frames import Data, End
from dotterelpitch.protocol.stream import Stream
from dotterelpitch.protocol.work_tracker import WorkTracker
from dotterelpitch.routing.engine_contact import EngineContact
from dotterelpitch.routing.route_table import Account, Route, RoutingConfig
from dotterelpitch.telemetry.events import Event, log_event

# Calls of peers in progress at one time, so that those of own callers have room.
MAX_CALLS = 256


class PeerCallServer:
    """Takes calls that peers forward, unless this gateway can't serve them either.

    A peer has authenticated the caller. Everything else is decided here, as for an own
    caller, but a call isn't forwarded again. While ``is_stopping`` is set, further
    calls are declined. ``work`` tracks the calls in progress.
    """

    def __init__(
        self,
        clock: Clock,
        state: GatewayState,
        contact: EngineContact,
        forwarder: Forwarder,
        body_memory: BodyMemory,
        work: WorkTracker,
    ) -> None:
        self._clock = clock
        self._state = state
        self._contact = contact
        self._forwarder = forwarder
        self._body_memory = body_memory
        self._work = work
        self._count = 0
        self.is_stopping = False

    async def handle(self, stream: Stream, request: ForwardCall) -> None:
        """Answer one call of a peer."""
        reason = self._reason_to_decline(request)
        if reason:
            await self._decline(stream, reason)
            return
        self._count += 1
        try:
            with (
                self._work.track(f"call of {stream.connection.peer.vm}"),
                self._body_memory.reserve() as reservation,
            ):
                await self._serve(stream, request, reservation)
        finally:
            self._count -= 1

    def _reason_to_decline(self, request: ForwardCall) -> str:
        """Return why a call isn't taken, or an empty string."""
        config = self._state.config
        is_older = config is None or config.version < request.config_version
        rules = (
            (self.is_stopping, "the gateway is stopping"),
            (self._contact.is_loss_confirmed, "the gateway reaches no engine either"),
            (self._count >= MAX_CALLS, "too many calls of peers are in progress"),
            (is_older, "the gateway has an older config"),
            (not _allows(config, request), "the config in force forbids the call"),
        )
        return next((reason for applies, reason in rules if applies), "")

    async def _decline(self, stream: Stream, reason: str) -> None:
        log_event(Event.CALL_DECLINED, peer=stream.connection.peer.vm, reason=reason)
        await stream.send(CallDeclined(reason))

    async def _serve(
        self, stream: Stream, request: ForwardCall, reservation: BodyReservation
    ) -> None:
        started = self._clock.monotonic()
        body = await _read_body(stream, reservation)
        if body is None:
            await self._decline(stream, "no memory is left for the body")
            return
        reservation.complete()
        call = self._build_call(request, body, started)
        progress = CallProgress(
            EventStreamFilter(decode_text(request.last_event_id)),
            sent_count=request.sent_count,
            version=request.version or None,
            may_use_peers=False,
        )
        writer = PeerResponseWriter(stream, self._clock)
        forwarding = asyncio.create_task(
            self._forwarder.forward(call, writer, progress)
        )
        await _cancel_if_peer_leaves(stream, forwarding)

    def _build_call(self, request: ForwardCall, body: bytes, started: float) -> Call:
        config = self._state.config
        route = _find_route(config, request)
        headers = decode_caller_headers(decode_headers(request.headers))
        budget_s = min(request.budget_ms / 1000, route.timeout_s)
        return Call(
            request.method,
            decode_text(request.target),
            decode_text(request.host),
            headers,
            body,
            config,
            route,
            _find_account(config, request.account),
            request.service,
            started,
            started + budget_s,
        )


def _allows(config: RoutingConfig | None, request: ForwardCall) -> bool:
    """Return whether the config has the route, the service, and the account."""
    route = _find_route(config, request) if config else None
    if route is None or request.service not in {s.service for s in route.services}:
        return False
    if request.account:
        return _find_account(config, request.account) is not None
    return route.is_public or not config.needs_key


def _find_route(config: RoutingConfig, request: ForwardCall) -> Route | None:
    path = decode_text(request.target).partition("?")[0]
    return config.find_route(decode_text(request.host), path)


def _find_account(config: RoutingConfig, name: str) -> Account | None:
    accounts = config.account_by_key.values()
    return next((account for account in accounts if account.name == name), None)


async def _read_body(stream: Stream, reservation: BodyReservation) -> bytes | None:
    """Return the body of a call, or None if there is no memory for it."""
    body = bytearray()
    while not isinstance(message := await stream.receive(), End):
        if not isinstance(message, Data):
            raise PeerError(f"expected a body, got {type(message).__name__}")
        if not reservation.grow(len(message.payload)):
            return None
        body += message.payload
    return bytes(body)


async def _cancel_if_peer_leaves(stream: Stream, forwarding: asyncio.Task) -> None:
    """Wait for a call; cancel it, and so the engine's work, if the peer resets it."""
    watching = asyncio.create_task(stream.receive())
    try:
        await asyncio.wait({forwarding, watching}, return_when=asyncio.FIRST_COMPLETED)
    finally:
        watching.cancel()
        if not forwarding.done():
            forwarding.cancel()
        await asyncio.gather(watching, return_exceptions=True)
    with contextlib.suppress(asyncio.CancelledError, ConnectionError):
        await forwarding
