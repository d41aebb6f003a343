"""Acquires, renews, and releases leases, and answers other routers' lease requests."""

import asyncio
import contextlib
from collections import defaultdict

from attrs import define

from dotterelpitch.errors import PeerError, ProtocolError
from dotterelpitch.protocol.keyed_messages import (
    LeaseRelease,
    LeaseRequest,
    LeaseResponse,
    SlotRelease,
)
from dotterelpitch.protocol.peer_pool import PeerPool
from dotterelpitch.protocol.stream import Stream
from dotterelpitch.requests.keyed_owner import KeyedOwner, SlotState
from dotterelpitch.requests.lease import LeaseChange
from dotterelpitch.requests.lease_messages import (
    LeaseProposal,
    LeaseRefusalReason,
    LeaseReply,
)
from dotterelpitch.router.state import FleetState
from dotterelpitch.telemetry.events import Event, log_event

TICK_INTERVAL_SECONDS = 0.2
RENEWALS_PER_LEASE = 3
# Until a restarted process has recovered, its proposals make no claim and only
# exchange configs.
RECOVERY_PROPOSAL_INTERVAL_SECONDS = 0.6
CLAIM_TIMEOUT_SECONDS = 1.0
CLAIM_DELAY_PER_RANK_SECONDS = 0.7
CALL_TIMEOUT_SECONDS = 1.0
PEER_ALIVE_SECONDS = 3.0
MAX_SETTLE_LEASES = 1.5
_EVENT_BY_CHANGE = {
    LeaseChange.STARTED: Event.LEASE_STARTED,
    LeaseChange.INHERITED: Event.LEASE_INHERITED,
}


@define
class SlotSchedule:
    """The timing of this process's lease requests for one slot.

    All times are monotonic seconds. ``claiming_since`` is when an unfinished claim
    began, and no new claim is made before ``backoff_until``. ``held`` is set if
    the lease was held at the last check.
    """

    requested_at: float = float("-inf")
    claiming_since: float | None = None
    backoff_until: float = float("-inf")
    held: bool = False


@define
class PeerStatus:
    """The last reply of a VM: when it came, and whether the VM may grant leases.

    A VM that has lost its promises in a restart abstains until they have expired;
    ``recovered`` is False for that time.
    """

    replied_at: float
    recovered: bool


class LeaseManager:
    """Manages the leases of this router on all slots.

    One task schedules the requests of all slots, and each request to a group member
    runs in a short task of its own. ``status_by_vm`` holds the last replies of the
    other members, and ``stopping`` prevents new claims.
    """

    def __init__(self, owner: KeyedOwner, state: FleetState, peers: PeerPool) -> None:
        self._owner = owner
        self._state = state
        self._peers = peers
        self._clock = owner.clock
        self._schedules = [SlotSchedule() for _ in owner.slot_states]
        self._tasks: set[asyncio.Task] = set()
        self._wake = asyncio.Event()
        self._waiters_by_slot: dict[int, list[asyncio.Event]] = {}
        self.status_by_vm: dict[str, PeerStatus] = {}
        self.stopping = False
        self._started_at = owner.clock.monotonic()

    async def run(self) -> None:
        """Request and renew leases until cancelled."""
        subscription = self._state.views.subscribe(
            lambda view: self._owner.use_vm_list(view.vm_list)
        )
        try:
            while True:
                self._tick()
                self._wake.clear()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(TICK_INTERVAL_SECONDS):
                        await self._wake.wait()
        finally:
            subscription.dispose()

    def wake(self) -> None:
        """Check all slots now instead of at the next interval."""
        self._wake.set()

    async def handle_request(self, stream: Stream, request: LeaseRequest) -> None:
        """Answer another router's LeaseRequest."""
        replies = [
            self._owner.handle_proposal(proposal) for proposal in request.proposals
        ]
        await stream.send(LeaseResponse(replies))

    async def handle_release(self, stream: Stream, request: LeaseRelease) -> None:
        """Drop the promises that another router releases."""
        for release in request.releases:
            grantor = self._owner.slot_states[release.slot].grantor
            grantor.release(release.predecessor.holder, release.predecessor.round)
        self.wake()

    def is_alive(self, vm: str) -> bool:
        """Return whether ``vm`` replied recently and may grant and hold leases."""
        status = self.status_by_vm.get(vm)
        if status is None or not status.recovered:
            return False
        return self._clock.monotonic() - status.replied_at < PEER_ALIVE_SECONDS

    @property
    def settled(self) -> bool:
        """Whether this process may grant leases, or no other member can either.

        False after a restart into a running fleet, until the promises that this
        process lost have expired; no other VM should be stopped before. The wait
        is limited to ``MAX_SETTLE_LEASES`` lease times, so that a member that is
        down doesn't keep this VM from serving.
        """
        waited = self._clock.monotonic() - self._started_at
        if waited >= MAX_SETTLE_LEASES * self._owner.lease_seconds:
            return True
        if not self.status_by_vm:
            alone = self._peer_names() == set()
            return alone or waited >= PEER_ALIVE_SECONDS
        others_recovered = any(r.recovered for r in self.status_by_vm.values())
        return not others_recovered or all(
            state.grantor.recovered
            for state in self._owner.slot_states
            if self._owner.holder_id.vm in state.grantor.history.members()
        )

    async def renew(self) -> None:
        """Renew the leases of all owned slots now, and wait for the replies."""
        proposals_by_member: dict[str, list[LeaseProposal]] = defaultdict(list)
        for slot, state in enumerate(self._owner.slot_states):
            if state.holder.valid:
                proposal = self._owner.next_proposal(slot)
                self._record_request(slot, proposal)
                for vm in state.grantor.history.members():
                    proposals_by_member[vm].append(proposal)
        await asyncio.gather(
            *(
                self._request_lease_from_peer(vm, LeaseRequest(proposals))
                for vm, proposals in proposals_by_member.items()
                if vm != self._owner.holder_id.vm
            )
        )

    async def claim_now(self, slot: int, timeout: float) -> None:
        """Claim ``slot``; return once it is owned, or after ``timeout`` seconds."""
        owned = asyncio.Event()
        self._waiters_by_slot.setdefault(slot, []).append(owned)
        self.wake()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await owned.wait()

    def yield_to_successor(self, slot: int) -> None:
        """Don't claim ``slot`` for one lease time, after it was handed over."""
        now = self._clock.monotonic()
        self._schedules[slot] = SlotSchedule(
            backoff_until=now + self._owner.lease_seconds
        )

    def release(self, releases_by_member: dict[str, list[SlotRelease]]) -> None:
        """Release promises at the members that may have made them."""
        for vm, releases in releases_by_member.items():
            if vm == self._owner.holder_id.vm:
                for release in releases:
                    grantor = self._owner.slot_states[release.slot].grantor
                    grantor.release(
                        release.predecessor.holder, release.predecessor.round
                    )
            else:
                self._spawn(self._send_release(vm, releases))

    def _peer_names(self) -> set[str]:
        """Return the other members of all groups to which this VM belongs."""
        own = self._owner.holder_id.vm
        groups = [state.grantor.history.members() for state in self._owner.slot_states]
        return {name for group in groups if own in group for name in group} - {own}

    def _tick(self) -> None:
        proposals_by_member: dict[str, list[LeaseProposal]] = defaultdict(list)
        releases_by_member: dict[str, list[SlotRelease]] = defaultdict(list)
        for slot, state in enumerate(self._owner.slot_states):
            self._detect_loss(slot, state)
            if self._abandon_failed_claim(slot, state):
                predecessor = self._owner.resign(slot)
                for vm in state.grantor.history.members():
                    releases_by_member[vm].append(SlotRelease(slot, predecessor))
            elif self._should_request(slot, state):
                proposal = self._owner.next_proposal(slot)
                self._record_request(slot, proposal)
                for vm in state.grantor.history.members():
                    proposals_by_member[vm].append(proposal)
        self.release(releases_by_member)
        for vm, proposals in proposals_by_member.items():
            self._request_lease(vm, proposals)

    def _should_request(self, slot: int, state: SlotState) -> bool:
        """Return whether a lease request for ``slot`` is due."""
        now = self._clock.monotonic()
        since = now - self._schedules[slot].requested_at
        if state.holder.valid:
            return since >= self._owner.lease_seconds / RENEWALS_PER_LEASE
        if state.holder.epoch:
            return since >= TICK_INTERVAL_SECONDS
        if (
            self.stopping
            or self._owner.holder_id.vm not in state.grantor.history.members()
        ):
            return False
        if not state.grantor.recovered:
            return since >= RECOVERY_PROPOSAL_INTERVAL_SECONDS
        if self._schedules[slot].claiming_since is not None or state.received_handover:
            return since >= TICK_INTERVAL_SECONDS
        if now < self._schedules[slot].backoff_until or state.grantor.promise():
            return False
        return state.grantor.seconds_without_promise() >= self._claim_delay(slot, state)

    def _claim_delay(self, slot: int, state: SlotState) -> float:
        """Return how many seconds to leave the slot to higher-ranked candidates."""
        candidates = state.grantor.history.latest.candidates(slot)
        if self._owner.holder_id.vm not in candidates:
            return len(candidates) * CLAIM_DELAY_PER_RANK_SECONDS
        return candidates.index(self._owner.holder_id.vm) * CLAIM_DELAY_PER_RANK_SECONDS

    def _abandon_failed_claim(self, slot: int, state: SlotState) -> bool:
        """Return whether a claim has failed, and schedule a back-off if so.

        The promises of a failed claim have to be released, because they keep other
        candidates from the slot.
        """
        schedule = self._schedules[slot]
        now = self._clock.monotonic()
        if state.holder.valid or schedule.claiming_since is None:
            return False
        if now - schedule.claiming_since < CLAIM_TIMEOUT_SECONDS:
            return False
        schedule.claiming_since = None
        schedule.backoff_until = (
            now + TICK_INTERVAL_SECONDS + self._claim_delay(slot, state)
        )
        return True

    def _record_request(self, slot: int, proposal: LeaseProposal) -> None:
        schedule = self._schedules[slot]
        schedule.requested_at = self._clock.monotonic()
        valid = self._owner.slot_states[slot].holder.valid
        if proposal.claim and not valid and schedule.claiming_since is None:
            schedule.claiming_since = schedule.requested_at

    def _detect_loss(self, slot: int, state: SlotState) -> None:
        schedule = self._schedules[slot]
        if schedule.held and not state.holder.valid:
            log_event(Event.LEASE_LOST, slot=slot, epoch=state.holder.epoch)
        schedule.held = state.holder.valid
        if schedule.held:
            schedule.claiming_since = None

    def _request_lease(self, vm: str, proposals: list[LeaseProposal]) -> None:
        if vm == self._owner.holder_id.vm:
            self._handle_response(
                LeaseResponse(
                    [self._owner.handle_proposal(proposal) for proposal in proposals]
                )
            )
        else:
            self._spawn(self._request_lease_from_peer(vm, LeaseRequest(proposals)))

    async def _request_lease_from_peer(self, vm: str, request: LeaseRequest) -> None:
        listed = self._state.view.vm_by_name.get(vm)
        try:
            if listed is None:
                return
            connection = await self._peers.connection(listed.router_address)
            response = await connection.call(request, CALL_TIMEOUT_SECONDS)
            if isinstance(response, LeaseResponse):
                self._handle_response(response)
        except (PeerError, ProtocolError, TimeoutError):
            return

    async def _send_release(self, vm: str, releases: list[SlotRelease]) -> None:
        listed = self._state.view.vm_by_name.get(vm)
        if listed is None:
            return
        try:
            connection = await self._peers.connection(listed.router_address)
            await connection.call(LeaseRelease(releases), CALL_TIMEOUT_SECONDS)
        except (PeerError, ProtocolError, TimeoutError):
            return

    def _handle_response(self, response: LeaseResponse) -> None:
        for reply in response.replies:
            change = self._owner.handle_reply(reply)
            if reply.member != self._owner.holder_id.vm:
                status = PeerStatus(self._clock.monotonic(), reply.recovered)
                self.status_by_vm[reply.member] = status
                if not reply.granted:
                    self._yield_to_other_holder(reply)
            if change is not LeaseChange.UNCHANGED:
                self._on_lease_acquired(reply.slot, change)

    def _yield_to_other_holder(self, reply: LeaseReply) -> None:
        """Back off from a slot that another process holds.

        This process may have lost its promise to that holder in a restart. A claim
        that is refused because of a promise to another holder ends at the next
        check, so that it doesn't keep that holder from renewing its lease here.
        """
        if reply.previous_holder.vm in ("", self._owner.holder_id.vm):
            return
        schedule = self._schedules[reply.slot]
        state = self._owner.slot_states[reply.slot]
        if reply.reason != LeaseRefusalReason.PROMISED:
            now = self._clock.monotonic()
            schedule.backoff_until = now + self._owner.lease_seconds
        elif not state.holder.epoch and state.received_handover is None:
            schedule.claiming_since = float("-inf")

    def _on_lease_acquired(self, slot: int, change: LeaseChange) -> None:
        state = self._owner.slot_states[slot]
        self._schedules[slot].held = True
        for waiter in self._waiters_by_slot.pop(slot, []):
            waiter.set()
        self._schedules[slot].claiming_since = None
        log_event(
            _EVENT_BY_CHANGE[change],
            slot=slot,
            epoch=state.holder.epoch,
            list_revision=state.grantor.history.latest.revision,
            timed_floor=state.floor.timed,
        )

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
