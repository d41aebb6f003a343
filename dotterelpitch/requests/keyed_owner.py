"""Decides on keyed calls, from the ledger, the slot leases, and the key floors.

Each router process has one ``KeyedOwner``. It holds state and makes decisions
without any I/O; the router's tasks send and receive. No method blocks.
"""

from enum import StrEnum

from attrs import define, frozen

from dotterelpitch.clock import Clock
from dotterelpitch.membership.model import VmList
from dotterelpitch.requests.key_time import key_time
from dotterelpitch.requests.lease import (
    DEFAULT_LEASE_SECONDS,
    LeaseChange,
    LeaseGrantor,
    LeaseHolder,
)
from dotterelpitch.requests.lease_messages import (
    NO_PREDECESSOR,
    HolderId,
    LeaseProposal,
    LeaseReply,
    Predecessor,
)
from dotterelpitch.requests.ledger import (
    EntryState,
    Ledger,
    LedgerEntry,
    LedgerKey,
    RecordedAnswer,
)
from dotterelpitch.requests.outcomes import Outcome
from dotterelpitch.requests.ownership import SLOT_COUNT, slot_group, slot_of
from dotterelpitch.requests.takeover import KeyFloor, KeyFreshness, SkewMargins


class CallDecision(StrEnum):
    """How the owner responds to one keyed call."""

    RUN = "run"
    WAIT = "wait"
    REPLAY = "replay"
    NOT_OWNER = "not-owner"
    OTHER_BODY = "other-body"
    MAY_HAVE_RUN = "may-have-run"
    IN_THE_FUTURE = "in-the-future"
    LEDGER_FULL = "ledger-full"


_DECISION_BY_STATE = {
    EntryState.ACCEPTED: CallDecision.WAIT,
    EntryState.DISPATCHED: CallDecision.WAIT,
    EntryState.FINISHED: CallDecision.REPLAY,
}
_DECISION_BY_FRESHNESS = {
    KeyFreshness.FRESH: CallDecision.RUN,
    KeyFreshness.MAY_HAVE_RUN: CallDecision.MAY_HAVE_RUN,
    KeyFreshness.IN_THE_FUTURE: CallDecision.IN_THE_FUTURE,
}


@frozen
class KeyedAdmission:
    """The decision on a keyed call, with its ledger entry if it has one."""

    decision: CallDecision
    entry: LedgerEntry | None = None


@frozen
class Handover:
    """The state that a slot's owner transfers to its successor.

    ``predecessor`` identifies the old owner and the proposals whose promises it
    has stopped relying on. ``epoch`` and ``floor`` are its lease epoch and key
    floor, and ``entries`` are all its ledger entries of the slot.
    """

    slot: int
    predecessor: Predecessor
    epoch: int
    floor: KeyFloor
    entries: list[LedgerEntry]


@define
class SlotState:
    """The state of one slot in one process.

    ``closing`` is set while the slot is drained for a handover.
    ``received_handover`` is the handover of a predecessor whose lease this
    process hasn't inherited yet; ``predecessor`` goes into its proposals.
    """

    grantor: LeaseGrantor
    holder: LeaseHolder
    floor: KeyFloor
    closing: bool = False
    received_handover: Handover | None = None
    predecessor: Predecessor = NO_PREDECESSOR


class KeyedOwner:
    """Holds the slot leases of one process and admits the calls of their keys.

    ``secret`` verifies the times in signed keys. ``margins`` bounds how far
    clocks may differ. Without ``ledger`` a new one of the default size is used.
    """

    def __init__(
        self,
        holder_id: HolderId,
        clock: Clock,
        secret: bytes = b"",
        lease_seconds: float = DEFAULT_LEASE_SECONDS,
        margins: SkewMargins | None = None,
        ledger: Ledger | None = None,
    ) -> None:
        self.holder_id = holder_id
        self.clock = clock
        self.lease_seconds = lease_seconds
        self.ledger = Ledger() if ledger is None else ledger
        self.margins = margins or SkewMargins()
        self._secret = secret
        self.slot_states = [self._new_slot(slot) for slot in range(SLOT_COUNT)]

    def use_vm_list(self, vm_list: VmList) -> None:
        """Add the group config of every slot under ``vm_list``."""
        for slot, state in enumerate(self.slot_states):
            state.grantor.history.merge(0, [slot_group(vm_list, slot)])

    def owns(self, slot: int) -> bool:
        """Return whether this process may accept new calls for ``slot`` now."""
        state = self.slot_states[slot]
        return state.holder.valid and not state.closing

    def admit(
        self, key: LedgerKey, fingerprint: str, repeat_window: float
    ) -> KeyedAdmission:
        """Return the decision on one call.

        With ``CallDecision.RUN`` the key has been recorded as accepted.
        ``repeat_window`` is how long a key may be repeated, in seconds.
        """
        entry = self.ledger.get(key)
        if entry is not None:
            if entry.fingerprint != fingerprint:
                return KeyedAdmission(CallDecision.OTHER_BODY, entry)
            return KeyedAdmission(_DECISION_BY_STATE[entry.state], entry)
        slot = slot_of(key.service, key.key)
        if not self.owns(slot):
            return KeyedAdmission(CallDecision.NOT_OWNER)
        now = self.clock.wall()
        created_at = key_time(key.key, self._secret)
        floor = self.slot_states[slot].floor
        freshness = floor.classify(created_at, now, repeat_window, self.margins)
        if freshness is not KeyFreshness.FRESH:
            return KeyedAdmission(_DECISION_BY_FRESHNESS[freshness])
        if not self._ensure_capacity():
            return KeyedAdmission(CallDecision.LEDGER_FULL)
        entry = LedgerEntry(
            key=key,
            slot=slot,
            fingerprint=fingerprint,
            key_time=created_at,
            accepted_at=now,
            expires_at=now + repeat_window + self.margins.caller + self.margins.fleet,
            epoch=self.slot_states[slot].holder.epoch,
        )
        self.ledger.add(entry)
        return KeyedAdmission(CallDecision.RUN, entry)

    def may_dispatch(self, entry: LedgerEntry) -> bool:
        """Return whether ``entry`` is undispatched and its lease is still valid."""
        holder = self.slot_states[entry.slot].holder
        return (
            entry.state is EntryState.ACCEPTED
            and holder.valid
            and holder.epoch == entry.epoch
        )

    def begin_dispatch(self, entry: LedgerEntry) -> bool:
        """Record ``entry`` as dispatched, and return whether it may be sent.

        Call this directly before the first byte is sent. If the lease is no
        longer valid, the entry is finished as not run, which is final: the key
        is never dispatched.
        """
        if self.may_dispatch(entry):
            return self.ledger.mark_dispatched(entry)
        if entry.state is EntryState.ACCEPTED:
            self.ledger.finish(
                entry, RecordedAnswer(Outcome.NOT_RUN, reason="the lease has run out")
            )
        return False

    def handle_proposal(self, proposal: LeaseProposal) -> LeaseReply:
        """Return this VM's reply to a lease proposal."""
        return self.slot_states[proposal.slot].grantor.handle_proposal(proposal)

    def handle_reply(self, reply: LeaseReply) -> LeaseChange:
        """Process a reply to one of this process's lease proposals.

        When a lease starts or is inherited, the slot's key floor is replaced.
        """
        state = self.slot_states[reply.slot]
        change = state.holder.handle_reply(reply)
        if change is LeaseChange.STARTED:
            state.floor = KeyFloor.at_takeover(self.clock.wall(), self.margins)
        elif change is LeaseChange.INHERITED:
            state.floor = state.received_handover.floor
        if change is not LeaseChange.UNCHANGED:
            state.received_handover = None
            state.closing = False
        return change

    def next_proposal(self, slot: int) -> LeaseProposal:
        """Return a proposal to acquire or renew the lease of ``slot``."""
        state = self.slot_states[slot]
        return state.holder.next_proposal(predecessor=state.predecessor)

    def resign(self, slot: int) -> Predecessor:
        """Stop relying on the lease of ``slot``.

        Returns this process as a predecessor, whose promises up to the last
        round may be released.
        """
        state = self.slot_states[slot]
        state.received_handover = None
        state.predecessor = NO_PREDECESSOR
        return Predecessor(self.holder_id, state.holder.resign())

    def close(self, slot: int) -> None:
        """Stop accepting new keys of ``slot``, in preparation for a handover."""
        self.slot_states[slot].closing = True

    def unfinished(self, slot: int) -> list[LedgerEntry]:
        """Return the ledger entries of ``slot`` without a final answer."""
        entries = self.ledger.of_slot(slot)
        return [e for e in entries if e.state is not EntryState.FINISHED]

    def hand_over(self, slot: int) -> Handover | None:
        """Resign from ``slot`` and return the state for its successor.

        Returns None when the lease has expired already: the successor then has
        to take over with an empty ledger. Calls that were accepted but not
        dispatched are finished as not run.
        """
        state = self.slot_states[slot]
        for entry in self.ledger.of_slot(slot):
            if entry.state is EntryState.ACCEPTED:
                answer = RecordedAnswer(Outcome.NOT_RUN, reason="the owner stops")
                self.ledger.finish(entry, answer)
        if not state.holder.valid:
            return None
        epoch = state.holder.epoch
        predecessor = self.resign(slot)
        return Handover(
            slot, predecessor, epoch, state.floor, self.ledger.of_slot(slot)
        )

    def receive_handover(self, handover: Handover) -> None:
        """Merge a predecessor's ledger entries and prepare to inherit its slot.

        The next proposals for the slot name the predecessor. If this process
        holds the slot's lease already, only the entries are merged.
        """
        state = self.slot_states[handover.slot]
        self.merge_entries(handover.entries)
        if not state.holder.valid:
            grantor = state.grantor
            grantor.highest_epoch = max(grantor.highest_epoch, handover.epoch)
            self.resign(handover.slot)
            state.received_handover = handover
            state.predecessor = handover.predecessor

    def merge_entries(self, entries: list[LedgerEntry]) -> None:
        """Add entries from another owner, or their answers if the key is known."""
        for entry in entries:
            known = self.ledger.get(entry.key)
            if known is None:
                self.ledger.add(entry)
            elif entry.answer is not None:
                self.ledger.finish(known, entry.answer)

    def expire(self) -> int:
        """Remove finished entries past their repeat window; return how many.

        The slot's key floor is raised to cover them, because a later revision of
        the document may lengthen the repeat window.
        """
        expired = self.ledger.expire(self.clock.wall())
        for entry in expired:
            floor = self.slot_states[entry.slot].floor
            floor.raise_to(entry.key_time, entry.accepted_at)
        return len(expired)

    def _new_slot(self, slot: int) -> SlotState:
        grantor = LeaseGrantor(slot, self.holder_id.vm, self.clock, self.lease_seconds)
        holder = LeaseHolder(self.holder_id, grantor, self.clock, self.lease_seconds)
        floor = KeyFloor.at_takeover(self.clock.wall(), self.margins)
        return SlotState(grantor, holder, floor)

    def _ensure_capacity(self) -> bool:
        """Expire or evict entries of a full ledger; return whether one fits."""
        if not self.ledger.full:
            return True
        now = self.clock.wall()
        if self.expire():
            return True
        oldest = self.ledger.entry_to_evict()
        if oldest is None:
            return False
        self.slot_states[oldest.slot].floor.raise_to(oldest.key_time, now)
        self.ledger.remove(oldest)
        return True
