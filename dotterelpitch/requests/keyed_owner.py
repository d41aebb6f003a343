"""The owner's decisions on keyed calls: ledger, leases and takeover together.

One ``KeyedOwner`` belongs to one router process. It decides and records; the
router's tasks send and receive. Nothing here waits.
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
    """What the owner does with one keyed call."""

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
_DECISION_BY_VERDICT = {
    KeyFreshness.FRESH: CallDecision.RUN,
    KeyFreshness.MAY_HAVE_RUN: CallDecision.MAY_HAVE_RUN,
    KeyFreshness.IN_THE_FUTURE: CallDecision.IN_THE_FUTURE,
}


@frozen
class KeyedAdmission:
    """A decision with the entry that it is about, if any."""

    decision: CallDecision
    entry: LedgerEntry | None = None


@frozen
class Handover:
    """What a slot's owner gives to its successor when it stops holding.

    ``predecessor`` names the requests whose promises it no longer uses. ``epoch``
    is its epoch and ``floor`` its key floor; entries are all that it knows of
    the slot's keys.
    """

    slot: int
    predecessor: Predecessor
    epoch: int
    floor: KeyFloor
    entries: list[LedgerEntry]


@define
class SlotState:
    """All that one process keeps for one slot."""

    grantor: LeaseGrantor
    holder: LeaseHolder
    floor: KeyFloor
    closing: bool = False
    received_handover: Handover | None = None
    predecessor: Predecessor = NO_PREDECESSOR


class KeyedOwner:
    """Owns slots under leases and decides on the calls of their keys."""

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
        """Learn the groups of all slots in ``vm_list``."""
        for slot, state in enumerate(self.slot_states):
            state.grantor.history.merge(0, [slot_group(vm_list, slot)])

    def owns(self, slot: int) -> bool:
        """Whether this process may accept new calls for ``slot`` now."""
        state = self.slot_states[slot]
        return state.holder.valid and not state.closing

    def admit(self, key: LedgerKey, fingerprint: str, window: float) -> KeyedAdmission:
        """Decide on one call; RUN has recorded the key as accepted."""
        entry = self.ledger.get(key)
        if entry is not None:
            if entry.fingerprint != fingerprint:
                return KeyedAdmission(CallDecision.OTHER_BODY, entry)
            return KeyedAdmission(_DECISION_BY_STATE[entry.state], entry)
        slot = slot_of(key.service, key.key)
        if not self.owns(slot):
            return KeyedAdmission(CallDecision.NOT_OWNER)
        now = self.clock.wall()
        made_at = key_time(key.key, self._secret)
        floor = self.slot_states[slot].floor
        verdict = floor.classify(made_at, now, window, self.margins)
        if verdict is not KeyFreshness.FRESH:
            return KeyedAdmission(_DECISION_BY_VERDICT[verdict])
        if not self._make_room():
            return KeyedAdmission(CallDecision.LEDGER_FULL)
        entry = LedgerEntry(
            key=key,
            slot=slot,
            fingerprint=fingerprint,
            key_time=made_at,
            accepted_at=now,
            expires_at=now + window + self.margins.caller + self.margins.fleet,
            epoch=self.slot_states[slot].holder.epoch,
        )
        self.ledger.add(entry)
        return KeyedAdmission(CallDecision.RUN, entry)

    def may_dispatch(self, entry: LedgerEntry) -> bool:
        """Whether the lease of the acceptance still holds at this moment."""
        holder = self.slot_states[entry.slot].holder
        return (
            entry.state is EntryState.ACCEPTED
            and holder.valid
            and holder.epoch == entry.epoch
        )

    def begin_dispatch(self, entry: LedgerEntry) -> bool:
        """Record ``entry`` as dispatched, directly before the first byte leaves.

        When the lease has gone, record that the key has not run and never
        will, and return False.
        """
        if self.may_dispatch(entry):
            return self.ledger.mark_dispatched(entry)
        if entry.state is EntryState.ACCEPTED:
            self.ledger.finish(
                entry, RecordedAnswer(Outcome.NOT_RUN, reason="the lease has run out")
            )
        return False

    def handle_proposal(self, proposal: LeaseProposal) -> LeaseReply:
        """Answer another VM's lease request."""
        return self.slot_states[proposal.slot].grantor.handle_proposal(proposal)

    def handle_reply(self, reply: LeaseReply) -> LeaseChange:
        """Take in an answer to a lease request of this process."""
        state = self.slot_states[reply.slot]
        tenure = state.holder.handle_reply(reply)
        if tenure is LeaseChange.STARTED:
            state.floor = KeyFloor.at_takeover(self.clock.wall(), self.margins)
        elif tenure is LeaseChange.INHERITED:
            state.floor = state.received_handover.floor
        if tenure is not LeaseChange.UNCHANGED:
            state.received_handover = None
            state.closing = False
        return tenure

    def next_proposal(self, slot: int) -> LeaseProposal:
        """Return a request for the lease of ``slot``."""
        state = self.slot_states[slot]
        return state.holder.next_proposal(predecessor=state.predecessor)

    def resign(self, slot: int) -> Predecessor:
        """Stop using the lease of ``slot``; its promises may be released."""
        state = self.slot_states[slot]
        state.received_handover = None
        state.predecessor = NO_PREDECESSOR
        return Predecessor(self.holder_id, state.holder.resign())

    def close(self, slot: int) -> None:
        """Accept no new key of ``slot``, before a handover."""
        self.slot_states[slot].closing = True

    def unfinished(self, slot: int) -> list[LedgerEntry]:
        """Return the entries of ``slot`` that have no answer yet."""
        entries = self.ledger.of_slot(slot)
        return [e for e in entries if e.state is not EntryState.FINISHED]

    def hand_over(self, slot: int) -> Handover | None:
        """Give up ``slot`` and return what the successor needs.

        Returns None when the lease has run out already: then the successor
        has to take over with an empty ledger. Accepted calls that haven't been
        dispatched never will be.
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
        """Learn the predecessor's entries, and claim its slot next."""
        state = self.slot_states[handover.slot]
        self.merge_entries(handover.entries)
        if not state.holder.valid:
            grantor = state.grantor
            grantor.highest_epoch = max(grantor.highest_epoch, handover.epoch)
            self.resign(handover.slot)
            state.received_handover = handover
            state.predecessor = handover.predecessor

    def merge_entries(self, entries: list[LedgerEntry]) -> None:
        """Add another owner's entries, or the answers of known ones."""
        for entry in entries:
            known = self.ledger.get(entry.key)
            if known is None:
                self.ledger.add(entry)
            elif entry.answer is not None:
                self.ledger.finish(known, entry.answer)

    def expire(self) -> int:
        """Drop entries past their repeat window; return how many.

        The floor covers them from then on, because the document may lengthen
        the window later.
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

    def _make_room(self) -> bool:
        if not self.ledger.full:
            return True
        now = self.clock.wall()
        if self.expire():
            return True
        oldest = self.ledger.entry_to_evict()
        if oldest is None:
            return False
        self.slot_states[oldest.slot].floor.raise_to(oldest.key_time, now)
        self.ledger.drop(oldest)
        return True
