"""Handles callers' keyed calls: finds the owner of the key and relays its answer.

A DispatchOnce may be repeated to any router, because the owner's ledger keeps the
key from running twice. An entry router reports the outcome ``unknown`` unless it can
prove another one, since the key may have run through another router.
"""

import asyncio

from aiohttp import web

from dotterelpitch.clock import Clock
from dotterelpitch.errors import PeerError, PeerUnreachableError, ProtocolError
from dotterelpitch.membership.model import Vm
from dotterelpitch.protocol.frames import Data, End
from dotterelpitch.protocol.keyed_messages import (
    DispatchOnce,
    NotOwner,
    OnceAnswer,
    OnceRefused,
)
from dotterelpitch.protocol.stream import Stream
from dotterelpitch.requests.fingerprint import call_fingerprint
from dotterelpitch.requests.key_time import MAX_KEY_LENGTH
from dotterelpitch.requests.keyed_owner import CallDecision, KeyedOwner
from dotterelpitch.requests.ownership import slot_of
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

OWNER_POLL_INTERVAL_SECONDS = 0.2
AVOID_UNREACHABLE_SECONDS = 2.0
RETRY_AFTER_SECONDS = 2.0
REPLAYED_HEADER = "Idempotency-Replayed"
_PROBLEM_BY_DECISION = {
    CallDecision.OTHER_BODY: (422, "The key belongs to another call"),
    CallDecision.MAY_HAVE_RUN: (409, "The key may have run before a takeover"),
    CallDecision.IN_THE_FUTURE: (400, "The key is dated in the future"),
    CallDecision.LEDGER_FULL: (503, "The owner's ledger is full"),
}
_STATUS_BY_OUTCOME_WITHOUT_ANSWER = {Outcome.NOT_RUN: 503, Outcome.UNKNOWN: 504}


class KeyedEntryHandler:
    """Handles the non-idempotent calls that callers send to this router."""

    def __init__(
        self,
        state: FleetState,
        router_client: RouterClient,
        owner: KeyedOwner,
        clock: Clock,
        owner_wait_seconds: float,
    ) -> None:
        self._owner_wait_seconds = owner_wait_seconds
        self._state = state
        self._router_client = router_client
        self._owner = owner
        self._clock = clock
        self._holder_by_slot: dict[int, str] = {}
        self._avoid_until_by_vm: dict[str, float] = {}

    async def serve(self, request: web.Request, call: PlainCall) -> web.StreamResponse:
        """Return the response to one keyed call.

        Raises CallerError when the key is refused, when no complete answer is
        recorded for it, or when no owner could be reached within the configured time.
        """
        key = call.idempotency_key
        if len(key) > MAX_KEY_LENGTH or not (key.isascii() and key.isprintable()):
            detail = f"Idempotency-Key: at most {MAX_KEY_LENGTH} printable characters"
            raise CallerError(400, "Bad request", detail)
        dispatch = _dispatch_message(call)
        give_up_at = self._clock.monotonic() + self._owner_wait_seconds
        while True:
            for vm in self._candidate_owners(dispatch):
                response = await self._dispatch_to(vm, call, dispatch)
                if response is not None:
                    return response
            if self._clock.monotonic() >= give_up_at:
                break
            await asyncio.sleep(OWNER_POLL_INTERVAL_SECONDS)
        log_event(Event.KEYED_NO_OWNER, request=call.request_id, key=dispatch.key)
        raise CallerError(
            503,
            "No owner of the key could be asked",
            "repeat the call with the same key",
            Outcome.UNKNOWN,
            RETRY_AFTER_SECONDS,
            Event.KEYED_NO_OWNER,
        )

    def _candidate_owners(self, dispatch: DispatchOnce) -> list[Vm]:
        """Return the VMs to try: known holders first, then the group by rank.

        VMs that recently could not be reached are left out.
        """
        slot = slot_of(dispatch.service, dispatch.key)
        grantor = self._owner.slot_states[slot].grantor
        promise = grantor.promise()
        names = [promise.holder.vm] if promise else []
        names += [self._holder_by_slot.get(slot, "")]
        for config in reversed(grantor.history.configs):
            names += config.candidates(slot)
        by_name = self._state.view.vm_by_name
        now = self._clock.monotonic()
        return [
            by_name[name]
            for name in dict.fromkeys(names)
            if name in by_name and self._avoid_until_by_vm.get(name, now) <= now
        ]

    def _avoid(self, vm: Vm) -> None:
        until = self._clock.monotonic() + AVOID_UNREACHABLE_SECONDS
        self._avoid_until_by_vm[vm.name] = until

    async def _dispatch_to(
        self, vm: Vm, call: PlainCall, dispatch: DispatchOnce
    ) -> web.Response | None:
        """Return the response of ``vm``, or None when it isn't the owner.

        Also returns None when ``vm`` can't be reached or the stream breaks.
        """
        try:
            stream = await self._router_client.open_stream(vm, dispatch)
            answer = await stream.receive()
            if isinstance(answer, OnceAnswer):
                body = await _read_body(stream)
        except PeerUnreachableError:
            self._avoid(vm)
            return None
        except (PeerError, ProtocolError) as error:
            self._avoid(vm)
            log_event(
                Event.KEYED_OWNER_LOST,
                request=call.request_id,
                key=dispatch.key,
                vm=vm.name,
                reason=str(error),
            )
            return None
        slot = slot_of(dispatch.service, dispatch.key)
        if isinstance(answer, NotOwner):
            self._holder_by_slot[slot] = answer.holder
            return None
        self._holder_by_slot[slot] = vm.name
        if isinstance(answer, OnceRefused):
            raise self._refusal(call, dispatch, CallDecision(answer.decision))
        return _response(call, answer, body)

    def _refusal(
        self, call: PlainCall, dispatch: DispatchOnce, decision: CallDecision
    ) -> CallerError:
        status, title = _PROBLEM_BY_DECISION[decision]
        log_event(
            Event.KEYED_REFUSED,
            request=call.request_id,
            key=dispatch.key,
            decision=decision.value,
        )
        return CallerError(
            status, title, outcome=Outcome.UNKNOWN, event=Event.KEYED_REFUSED
        )


def _dispatch_message(call: PlainCall) -> DispatchOnce:
    fingerprint = call_fingerprint(call.account.name, call.method, call.path, call.body)
    return DispatchOnce(
        call.request_id,
        call.document.service,
        call.account.name,
        call.idempotency_key,
        fingerprint,
        call.method,
        call.path,
        call.headers,
        call.body,
    )


async def _read_body(stream: Stream) -> bytes:
    parts = []
    while isinstance(part := await stream.receive(), Data):
        parts.append(part.payload)
    if not isinstance(part, End):
        raise ProtocolError(f"expected Data or End, not {type(part).__name__}")
    return b"".join(parts)


def _response(call: PlainCall, answer: OnceAnswer, body: bytes) -> web.Response:
    outcome = Outcome(answer.outcome)
    extra = {REPLAYED_HEADER: "true"} if answer.replayed else {}
    if answer.status == 0 or not answer.body_kept:
        raise CallerError(
            _STATUS_BY_OUTCOME_WITHOUT_ANSWER.get(outcome, 409),
            "The answer's body is no longer kept" if answer.status else "No answer",
            answer.reason,
            outcome,
            event=Event.KEYED_ENDED,
            extra_headers=extra,
        )
    headers = {
        **dict(answer.headers),
        **extra,
        OUTCOME_HEADER: outcome.value,
        REQUEST_ID_HEADER: call.request_id,
    }
    return web.Response(status=answer.status, headers=headers, body=body)
