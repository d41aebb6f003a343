"""Has a peer send calls to engines while this gateway reaches none."""

import asyncio
import random
from collections import Counter

from dotterelpitch.clock import Clock
from dotterelpitch.errors import PeerError, ProtocolError
from dotterelpitch.gateway.attempt_result import AttemptResult
from dotterelpitch.gateway.call import Call, ResponseWriter
from dotterelpitch.gateway.call_progress import CallProgress
from dotterelpitch.gateway.link import Link, LinkTable
from dotterelpitch.gateway.peer_directory import PeerDirectory
from dotterelpitch.gateway.peer_response import PeerResponse, encode_headers, send_data
from dotterelpitch.gateway.response_forwarding import (
    AttemptLimits,
    ResponseForwarder,
    ResponseObserver,
)
from dotterelpitch.platform.headers import is_sealed
from dotterelpitch.protocol.forwarded_call_messages import (
    CallDeclined,
    ForwardCall,
    ForwardedHead,
    encode_text,
)
from dotterelpitch.protocol.gateway_messages import (
    ENGINE_CONTACT_LINK_VERSION,
    FleetVm,
)
from dotterelpitch.protocol.peer_pool import PeerPool
from dotterelpitch.protocol.stream import Stream
from dotterelpitch.routing.attempt_outcomes import AttemptOutcome
from dotterelpitch.routing.engine_contact import (
    UNCONFIRMED_SECONDS,
    EngineContact,
)
from dotterelpitch.routing.route_table import CallKind
from dotterelpitch.telemetry.events import Event, log_event
from dotterelpitch.upstream.errors import AnswerLostError
from dotterelpitch.upstream.status_codes import states_not_run

# A peer that can't be connected to within this time is left out.
CONNECT_TIMEOUT_SECONDS = 0.3
# A peer that has declined a call, or couldn't be reached, is asked last for this long.
DECLINED_SECONDS = 1.0
# A call is offered to this many peers.
MAX_PEERS_ASKED = 3
# The peer answers at the call's deadline; this is how long that may take to arrive.
ANSWER_GRACE_SECONDS = 0.15


class PeerForwarder:
    """Chooses peers that reach engines, and forwards calls to them.

    A call is forwarded once: the peer sends it to an engine or declines it. Whatever
    the peer answers, but for declining, is the answer to the call.
    """

    def __init__(
        self,
        clock: Clock,
        contact: EngineContact,
        fleet: PeerDirectory,
        links: LinkTable,
        pool: PeerPool,
    ) -> None:
        self._clock = clock
        self._contact = contact
        self._fleet = fleet
        self._links = links
        self._pool = pool
        self._responses = ResponseForwarder(clock)
        self._in_flight_by_vm: Counter[str] = Counter()
        self._declined_until_by_vm: dict[str, float] = {}

    def choose(self, progress: CallProgress) -> FleetVm | None:
        """Return the peer to forward a call to, or None to send it from here."""
        if not progress.may_use_peers or not self._contact.is_lost:
            return None
        if len(progress.asked_vms) >= MAX_PEERS_ASKED:
            return None
        vms = [vm for vm in self._candidates() if vm.name not in progress.asked_vms]
        return min(vms, key=self._rank, default=None)

    def can_go_on(self, progress: CallProgress) -> bool:
        """Return whether a peer that reaches engines is known, and this VM doesn't."""
        if not any(link.peer_reaches_engines for link in self._links.all()):
            return False
        return self.choose(progress) is not None

    async def run(
        self, vm: FleetVm, call: Call, progress: CallProgress, writer: ResponseWriter
    ) -> AttemptResult:
        """Forward a call to a peer and return the outcome."""
        progress.asked_vms.append(vm.name)
        log_event(Event.CALL_FORWARDED, request=call.request_id, peer=vm.name)
        self._in_flight_by_vm[vm.name] += 1
        try:
            result = await self._run(vm, call, progress, writer)
        finally:
            self._in_flight_by_vm[vm.name] -= 1
        if result.outcome is AttemptOutcome.NOT_SENT:
            until = self._clock.monotonic() + DECLINED_SECONDS
            self._declined_until_by_vm[vm.name] = until
        return result

    def _candidates(self) -> list[FleetVm]:
        """Return the peers that reach engines, as far as known.

        Of those without a link nothing is known; they are included if any peer with a
        link reaches engines, so that a few linked peers needn't take all calls.
        """
        links = self._links.all()
        linked = {link.peer.name: link.peer for link in links}
        reaching = {
            link.peer.name: link.peer for link in links if link.peer_reaches_engines
        }
        if not reaching:
            return self._just_lost(links)
        others = [
            vm
            for vm in self._fleet.reachable()
            if vm.name not in linked
            and vm.name != self._fleet.own.name
            and vm.link_version >= ENGINE_CONTACT_LINK_VERSION
        ]
        return [*reaching.values(), *others]

    def _just_lost(self, links: list[Link]) -> list[FleetVm]:
        """Return the peers that have said only just now that they reach no engine."""
        oldest = self._clock.monotonic() - UNCONFIRMED_SECONDS
        return [
            link.peer
            for link in links
            if link.peer_reaches_engines is False and link.peer_said_at >= oldest
        ]

    def _rank(self, vm: FleetVm) -> tuple[bool, int, float]:
        """Return what peers are chosen by, the least first."""
        now = self._clock.monotonic()
        has_declined = self._declined_until_by_vm.get(vm.name, now) > now
        return has_declined, self._in_flight_by_vm[vm.name], random.random()

    async def _run(
        self, vm: FleetVm, call: Call, progress: CallProgress, writer: ResponseWriter
    ) -> AttemptResult:
        try:
            stream = await self._send(vm, call, progress)
        except (PeerError, ProtocolError, TimeoutError) as error:
            return AttemptResult(AttemptOutcome.NOT_SENT, f"{vm.name}: {error!r}")
        try:
            return await self._pass_on(stream, call, progress, writer)
        except (AnswerLostError, PeerError) as error:
            return AttemptResult(AttemptOutcome.LOST, f"{vm.name}: {error}")
        except TimeoutError:
            reason = f"{vm.name}: no answer in time"
            return AttemptResult(AttemptOutcome.TIMED_OUT, reason)
        finally:
            stream.reset("ended")

    async def _send(self, vm: FleetVm, call: Call, progress: CallProgress) -> Stream:
        """Send a call; if this fails, the peer hasn't all of it and doesn't run it.

        The end of a call is queued last, and not waited for: the peer may run the call
        from then on, however long it is under way. The calls of others that wait for
        the same connection are waited for before.
        """
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            connection = await self._pool.connection(vm.address)
        async with asyncio.timeout(self._responses.seconds_until(call.deadline)):
            await connection.drain()
            stream = connection.open_stream(self._encode(call, progress))
            try:
                await send_data(stream, call.body)
            except BaseException:
                stream.reset("incomplete")
                raise
        stream.queue_end()
        return stream

    def _encode(self, call: Call, progress: CallProgress) -> ForwardCall:
        return ForwardCall(
            method=call.method,
            target=encode_text(call.target),
            host=encode_text(call.host),
            service=call.service,
            account=call.account_name,
            budget_ms=int(self._responses.seconds_until(call.deadline) * 1000),
            config_version=call.config.version,
            last_event_id=encode_text(progress.events.last_id),
            version=progress.version or "",
            sent_count=progress.sent_count,
            headers=encode_headers(call.headers.forwarded),
        )

    async def _pass_on(
        self,
        stream: Stream,
        call: Call,
        progress: CallProgress,
        writer: ResponseWriter,
    ) -> AttemptResult:
        answer_by = call.deadline + ANSWER_GRACE_SECONDS
        limits = AttemptLimits(answer_by, answer_by)
        async with asyncio.timeout(self._responses.seconds_until(answer_by)):
            message = await stream.receive()
        if isinstance(message, CallDeclined):
            return AttemptResult(AttemptOutcome.NOT_SENT, message.reason)
        if not isinstance(message, ForwardedHead):
            raise ProtocolError(f"expected a head, got {type(message).__name__}")
        response = PeerResponse(stream, message)
        observer = ResponseObserver()
        pause_s = None
        if call.route.kind is CallKind.STREAM and response.head.status == 200:
            pause_s = await self._responses.forward_events(
                response, response.head, limits, writer, progress.events, observer
            )
        elif writer.is_started:
            reason = f"the peer answered {message.status} in the middle"
            if _is_own_refusal(response):
                return AttemptResult(AttemptOutcome.NOT_SENT, reason)
            raise AnswerLostError(reason)
        elif _is_ambiguous(response, call):
            reason = f"an engine's status {message.status} from a peer"
            return AttemptResult(
                AttemptOutcome.AMBIGUOUS, reason, status=message.status
            )
        else:
            await self._responses.forward_response(
                response, response.head, limits, writer, observer
            )
        return AttemptResult(
            AttemptOutcome.DELIVERED, status=message.status, longest_pause_s=pause_s
        )


def _is_own_refusal(response: PeerResponse) -> bool:
    """Return whether a peer says that it hasn't run a call, and no engine has."""
    head = response.head
    return states_not_run(head.status) and not is_sealed(head.value_by_name)


def _is_ambiguous(response: PeerResponse, call: Call) -> bool:
    """Return whether a peer passes on what its engine may have said after a run.

    Peers of earlier builds do for calls that can't be retried.
    """
    head = response.head
    is_of_engine = states_not_run(head.status) and is_sealed(head.value_by_name)
    return is_of_engine and not call.route.is_retryable
