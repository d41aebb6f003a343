"""Keeps this router's leases: asks, renews, gives back, and answers others."""

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

TICK_SECONDS = 0.2
RENEWALS_PER_LEASE = 3
QUESTION_SECONDS = 0.6
CLAIM_SECONDS = 1.0
RANK_SECONDS = 0.7
CALL_SECONDS = 1.0
FRESH_REPLY_SECONDS = 3.0
SETTLE_LEASES = 1.5
_EVENT_BY_TENURE = {
    LeaseChange.STARTED: Event.LEASE_STARTED,
    LeaseChange.INHERITED: Event.LEASE_INHERITED,
}


@define
class SlotSchedule:
    """When this process asked for one slot, in monotonic seconds."""

    asked_at: float = float("-inf")
    claiming_since: float | None = None
    hold_off_until: float = float("-inf")
    held: bool = False


@define
class PeerReport:
    """When a VM last answered, and whether it remembered."""

    at: float
    remembers: bool


class LeaseManager:
    """One task for all slots; one short task for each request to a member."""

    def __init__(self, owner: KeyedOwner, state: FleetState, peers: PeerPool) -> None:
        self._owner = owner
        self._state = state
        self._peers = peers
        self._clock = owner.clock
        self._schedules = [SlotSchedule() for _ in owner.slot_states]
        self._tasks: set[asyncio.Task] = set()
        self._wake = asyncio.Event()
        self._waiters_by_slot: dict[int, list[asyncio.Event]] = {}
        self.report_by_vm: dict[str, PeerReport] = {}
        self.stopping = False
        self._started_at = owner.clock.monotonic()

    async def run(self) -> None:
        """Ask and renew for ever."""
        subscription = self._state.views.subscribe(
            lambda view: self._owner.use_vm_list(view.vm_list)
        )
        try:
            while True:
                self._tick()
                self._wake.clear()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(TICK_SECONDS):
                        await self._wake.wait()
        finally:
            subscription.dispose()

    def wake(self) -> None:
        """Look at all slots now."""
        self._wake.set()

    async def handle_request(self, stream: Stream, request: LeaseRequest) -> None:
        """Answer another router's LeaseRequest."""
        replies = [self._owner.handle_proposal(ask) for ask in request.proposals]
        await stream.send(LeaseResponse(replies))

    async def handle_release(self, stream: Stream, request: LeaseRelease) -> None:
        """Drop promises that another router gives back."""
        for release in request.releases:
            member = self._owner.slot_states[release.slot].grantor
            member.release(release.predecessor.holder, release.predecessor.round)
        self.wake()

    def alive(self, vm: str) -> bool:
        """Whether ``vm`` answered lately and may grant and own."""
        report = self.report_by_vm.get(vm)
        if report is None or not report.remembers:
            return False
        return self._clock.monotonic() - report.at < FRESH_REPLY_SECONDS

    @property
    def settled(self) -> bool:
        """Whether this process may grant, or nobody else can do better.

        False after a restart into a running fleet, until the forgotten
        promises have run out: the next VM shouldn't be stopped before. It is
        bounded, so that a dead member doesn't keep this VM from serving.
        """
        waited = self._clock.monotonic() - self._started_at
        if waited >= SETTLE_LEASES * self._owner.lease_seconds:
            return True
        if not self.report_by_vm:
            alone = self._peer_names() == set()
            return alone or waited >= FRESH_REPLY_SECONDS
        others_remember = any(r.remembers for r in self.report_by_vm.values())
        return not others_remember or all(
            state.grantor.recovered
            for state in self._owner.slot_states
            if self._owner.holder_id.vm in state.grantor.history.members()
        )

    async def renew(self) -> None:
        """Ask all members for the owned slots now, and wait for the replies."""
        asks_by_member: dict[str, list[LeaseProposal]] = defaultdict(list)
        for slot, state in enumerate(self._owner.slot_states):
            if state.holder.valid:
                ask = self._owner.next_proposal(slot)
                self._note_ask(slot, ask)
                for vm in state.grantor.history.members():
                    asks_by_member[vm].append(ask)
        await asyncio.gather(
            *(
                self._ask_peer(vm, LeaseRequest(asks))
                for vm, asks in asks_by_member.items()
                if vm != self._owner.holder_id.vm
            )
        )

    async def claim_now(self, slot: int, timeout: float) -> None:
        """Claim ``slot`` and return once it is owned, or after ``timeout``."""
        owned = asyncio.Event()
        self._waiters_by_slot.setdefault(slot, []).append(owned)
        self.wake()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await owned.wait()

    def leave_to_heir(self, slot: int) -> None:
        """Don't claim ``slot`` for a lease time, after it was given away."""
        now = self._clock.monotonic()
        self._schedules[slot] = SlotSchedule(
            hold_off_until=now + self._owner.lease_seconds
        )

    def release(self, releases_by_member: dict[str, list[SlotRelease]]) -> None:
        """Give promises back to the members that may have made them."""
        for vm, releases in releases_by_member.items():
            if vm == self._owner.holder_id.vm:
                for release in releases:
                    member = self._owner.slot_states[release.slot].grantor
                    member.release(
                        release.predecessor.holder, release.predecessor.round
                    )
            else:
                self._spawn(self._send_release(vm, releases))

    def _peer_names(self) -> set[str]:
        """Return the other members of all groups that this VM is in."""
        me = self._owner.holder_id.vm
        groups = [state.grantor.history.members() for state in self._owner.slot_states]
        return {name for group in groups if me in group for name in group} - {me}

    def _tick(self) -> None:
        asks_by_member: dict[str, list[LeaseProposal]] = defaultdict(list)
        releases_by_member: dict[str, list[SlotRelease]] = defaultdict(list)
        for slot, state in enumerate(self._owner.slot_states):
            self._watch_loss(slot, state)
            if self._gives_up(slot, state):
                given_up = self._owner.resign(slot)
                for vm in state.grantor.history.members():
                    releases_by_member[vm].append(SlotRelease(slot, given_up))
            elif self._wants_to_ask(slot, state):
                ask = self._owner.next_proposal(slot)
                self._note_ask(slot, ask)
                for vm in state.grantor.history.members():
                    asks_by_member[vm].append(ask)
        self.release(releases_by_member)
        for vm, asks in asks_by_member.items():
            self._ask(vm, asks)

    def _wants_to_ask(self, slot: int, state: SlotState) -> bool:
        """Whether it is time to ask for ``slot``."""
        now = self._clock.monotonic()
        since = now - self._schedules[slot].asked_at
        if state.holder.valid:
            return since >= self._owner.lease_seconds / RENEWALS_PER_LEASE
        if state.holder.epoch:
            return since >= TICK_SECONDS
        if (
            self.stopping
            or self._owner.holder_id.vm not in state.grantor.history.members()
        ):
            return False
        if not state.grantor.recovered:
            return since >= QUESTION_SECONDS
        if self._schedules[slot].claiming_since is not None or state.received_handover:
            return since >= TICK_SECONDS
        if now < self._schedules[slot].hold_off_until or state.grantor.promise():
            return False
        return state.grantor.seconds_without_promise() >= self._rank(slot, state)

    def _rank(self, slot: int, state: SlotState) -> float:
        """Return how long to leave the slot to better candidates."""
        candidates = state.grantor.history.latest.candidates(slot)
        if self._owner.holder_id.vm not in candidates:
            return len(candidates) * RANK_SECONDS
        return candidates.index(self._owner.holder_id.vm) * RANK_SECONDS

    def _gives_up(self, slot: int, state: SlotState) -> bool:
        """Whether a claim has failed, so that its promises block others."""
        schedule = self._schedules[slot]
        now = self._clock.monotonic()
        if state.holder.valid or schedule.claiming_since is None:
            return False
        if now - schedule.claiming_since < CLAIM_SECONDS:
            return False
        schedule.claiming_since = None
        schedule.hold_off_until = now + TICK_SECONDS + self._rank(slot, state)
        return True

    def _note_ask(self, slot: int, ask: LeaseProposal) -> None:
        schedule = self._schedules[slot]
        schedule.asked_at = self._clock.monotonic()
        valid = self._owner.slot_states[slot].holder.valid
        if ask.claim and not valid and schedule.claiming_since is None:
            schedule.claiming_since = schedule.asked_at

    def _watch_loss(self, slot: int, state: SlotState) -> None:
        schedule = self._schedules[slot]
        if schedule.held and not state.holder.valid:
            log_event(Event.LEASE_LOST, slot=slot, epoch=state.holder.epoch)
        schedule.held = state.holder.valid
        if schedule.held:
            schedule.claiming_since = None

    def _ask(self, vm: str, asks: list[LeaseProposal]) -> None:
        if vm == self._owner.holder_id.vm:
            self._take(
                LeaseResponse([self._owner.handle_proposal(ask) for ask in asks])
            )
        else:
            self._spawn(self._ask_peer(vm, LeaseRequest(asks)))

    async def _ask_peer(self, vm: str, request: LeaseRequest) -> None:
        listed = self._state.view.vm_by_name.get(vm)
        try:
            if listed is None:
                return
            connection = await self._peers.connection(listed.router_address)
            response = await connection.call(request, CALL_SECONDS)
            if isinstance(response, LeaseResponse):
                self._take(response)
        except (PeerError, ProtocolError, TimeoutError):
            return

    async def _send_release(self, vm: str, releases: list[SlotRelease]) -> None:
        listed = self._state.view.vm_by_name.get(vm)
        if listed is None:
            return
        try:
            connection = await self._peers.connection(listed.router_address)
            await connection.call(LeaseRelease(releases), CALL_SECONDS)
        except (PeerError, ProtocolError, TimeoutError):
            return

    def _take(self, response: LeaseResponse) -> None:
        for reply in response.replies:
            tenure = self._owner.handle_reply(reply)
            if reply.member != self._owner.holder_id.vm:
                report = PeerReport(self._clock.monotonic(), reply.recovered)
                self.report_by_vm[reply.member] = report
                if not reply.granted:
                    self._note_other_holder(reply)
            if tenure is not LeaseChange.UNCHANGED:
                self._log_tenure(reply.slot, tenure)

    def _note_other_holder(self, reply: LeaseReply) -> None:
        """Leave a slot to a holder that this process has forgotten.

        A claim that another's promise refuses ends at the next tick, so that it
        doesn't keep the holder from renewing here.
        """
        if reply.previous_holder.vm in ("", self._owner.holder_id.vm):
            return
        schedule = self._schedules[reply.slot]
        state = self._owner.slot_states[reply.slot]
        if reply.reason != LeaseRefusalReason.PROMISED:
            now = self._clock.monotonic()
            schedule.hold_off_until = now + self._owner.lease_seconds
        elif not state.holder.epoch and state.received_handover is None:
            schedule.claiming_since = float("-inf")

    def _log_tenure(self, slot: int, tenure: LeaseChange) -> None:
        state = self._owner.slot_states[slot]
        self._schedules[slot].held = True
        for waiter in self._waiters_by_slot.pop(slot, []):
            waiter.set()
        self._schedules[slot].claiming_since = None
        log_event(
            _EVENT_BY_TENURE[tenure],
            slot=slot,
            epoch=state.holder.epoch,
            list_revision=state.grantor.history.latest.revision,
            timed_floor=state.floor.timed,
        )

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
