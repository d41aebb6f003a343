"""A simulation of several keyed owners; tests control its clock and network."""

import uuid
from collections import Counter

from attrs import define, field

from dotterelpitch.clock import Clock, ManualClock
from dotterelpitch.membership.model import Vm, VmList
from dotterelpitch.requests.keyed_owner import CallDecision, Handover, KeyedOwner
from dotterelpitch.requests.lease_messages import HolderId, LeaseProposal, LeaseReply
from dotterelpitch.requests.ledger import LedgerEntry, LedgerKey
from dotterelpitch.requests.outcomes import Outcome
from dotterelpitch.requests.ownership import slot_of

LEASE_SECONDS = 4.0
WINDOW_SECONDS = 3600.0
SERVICE = "enrolment"
SLOT = 4
DOMAIN_BY_VM = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c"}
SKEW_BY_VM = {"a1": 0.4, "a2": -0.4, "b1": 0.0, "b2": 0.3, "c1": -0.3}


class SkewedClock(Clock):
    """The simulated clock as one VM reads it, its wall clock ``skew`` seconds ahead."""

    def __init__(self, true_clock: ManualClock, skew: float) -> None:
        self._true_clock = true_clock
        self._skew = skew

    def monotonic(self) -> float:
        return self._true_clock.monotonic() + 1000 * self._skew

    def wall(self) -> float:
        return self._true_clock.wall() + self._skew


def uuid7(created_at: float, number: int) -> str:
    """Return a UUIDv7 created at ``created_at`` with ``number`` as its random part."""
    value = int(created_at * 1000) << 80 | 0x7 << 76 | 0b10 << 62 | number
    return str(uuid.UUID(int=value))


def key_in_slot(created_at: float, start: int) -> str:
    """Return a UUIDv7 whose slot is ``SLOT``, different for each ``start``."""
    keys = (uuid7(created_at, start * 1000 + n) for n in range(1000))
    return next(key for key in keys if slot_of(SERVICE, key) == SLOT)


def make_list(revision: int, names) -> VmList:
    """Return a VM list with entry VMs of these names."""
    return VmList(revision, [Vm(name, DOMAIN_BY_VM[name]) for name in sorted(names)])


@define
class Message:
    """One message in transit."""

    target: str
    content: LeaseProposal | LeaseReply | Handover


@define
class Process:
    """One run of one VM's router."""

    vm: str
    owner: KeyedOwner
    paused: bool = False
    accepted: list[LedgerEntry] = field(factory=list)
    dispatched: list[LedgerEntry] = field(factory=list)


class World:
    """The processes by VM, the messages between them, and the executed keys.

    ``late_writes`` are dispatches of restarted processes whose first byte hasn't
    reached the endpoint yet. ``cut_links`` are pairs of source and target.
    """

    def __init__(self, names=tuple(DOMAIN_BY_VM)) -> None:
        self.clock = ManualClock(10_000.0)
        self.messages: list[Message] = []
        self.executions: Counter[str] = Counter()
        self.reported_not_run: set[str] = set()
        self.starts = 0
        self.key_count = 0
        self.late_writes: list[LedgerEntry] = []
        self.lists = [make_list(1, names)]
        self.process_by_vm: dict[str, Process] = {}
        self.cut_links: set[tuple[str, str]] = set()
        for name in DOMAIN_BY_VM:
            self.start(name, self.lists[0])

    def start(self, vm: str, vm_list: VmList) -> Process:
        """Start or restart ``vm`` without any previous state."""
        self.starts += 1
        if previous := self.process_by_vm.get(vm):
            self.late_writes += previous.dispatched
        clock = SkewedClock(self.clock, SKEW_BY_VM[vm])
        owner = KeyedOwner(HolderId(vm, f"run{self.starts}"), clock)
        owner.use_vm_list(vm_list)
        self.process_by_vm[vm] = Process(vm, owner)
        return self.process_by_vm[vm]

    def holders(self) -> list[str]:
        """Return the VMs whose lease on ``SLOT`` is valid now."""
        return [
            vm
            for vm, process in self.process_by_vm.items()
            if process.owner.slot_states[SLOT].holder.valid
        ]

    def claim(self, vm: str) -> None:
        """Send a lease proposal of ``vm`` to all members."""
        process = self.process_by_vm[vm]
        if process.paused:
            return
        proposal = process.owner.next_proposal(SLOT)
        members = process.owner.slot_states[SLOT].grantor.history.members()
        for member in sorted(members):
            self.send(vm, member, proposal)

    def send(self, source: str, target: str, content) -> None:
        """Send a message unless the link is cut in that direction."""
        if (source, target) not in self.cut_links:
            self.messages.append(Message(target, content))

    def deliver(self, index: int) -> None:
        """Deliver one message, unless its target is paused."""
        message = self.messages[index]
        process = self.process_by_vm[message.target]
        if process.paused:
            return
        del self.messages[index]
        content = message.content
        if isinstance(content, LeaseProposal):
            reply = process.owner.handle_proposal(content)
            self.send(message.target, content.holder.vm, reply)
        elif isinstance(content, LeaseReply):
            process.owner.handle_reply(content)
        else:
            process.owner.receive_handover(content)

    def deliver_all(self) -> None:
        """Deliver until only messages to paused processes are left."""
        while ready := [
            index
            for index, message in enumerate(self.messages)
            if not self.process_by_vm[message.target].paused
        ]:
            self.deliver(ready[0])

    def exchange(self, vm: str) -> None:
        """Claim the slot for ``vm`` and deliver all messages."""
        self.claim(vm)
        self.deliver_all()

    def exchange_all(self, times: int = 1) -> None:
        """Let every process claim the slot in turn."""
        for _ in range(times):
            for vm in self.process_by_vm:
                self.exchange(vm)

    def settle(self, first: str) -> None:
        """Let all processes recover from their start, and ``first`` claim the slot."""
        self.exchange_all()
        self.clock.advance(LEASE_SECONDS + 0.1)
        self.exchange(first)

    def new_key(self, caller_skew: float = 0.0) -> str:
        """Return a key of the slot that is created now."""
        self.key_count += 1
        return key_in_slot(self.clock.wall() + caller_skew, self.key_count)

    def call(self, vm: str, key: str) -> CallDecision:
        """Call ``key`` at ``vm`` and return its decision."""
        process = self.process_by_vm[vm]
        ledger_key = LedgerKey(SERVICE, "depot", key)
        admission = process.owner.admit(ledger_key, "f", WINDOW_SECONDS)
        if admission.decision is CallDecision.RUN:
            process.accepted.append(admission.entry)
        if admission.decision is CallDecision.REPLAY:
            self.record_answer(admission.entry)
        return admission.decision

    def begin(self, vm: str) -> bool:
        """Begin to dispatch an accepted call without sending it.

        Returns False if the owner refuses the dispatch.
        """
        process = self.process_by_vm[vm]
        entry = process.accepted.pop(0)
        if process.owner.begin_dispatch(entry):
            process.dispatched.append(entry)
            return True
        self.record_answer(entry)
        return False

    def write(self, vm: str) -> None:
        """Let the first byte of a recorded dispatch reach the endpoint."""
        process = self.process_by_vm[vm]
        entry = process.dispatched.pop(0)
        self.executions[entry.key.key] += 1

    def write_late(self) -> None:
        """Let the first byte of a restarted process's dispatch reach the endpoint."""
        self.executions[self.late_writes.pop(0).key.key] += 1

    def run(self, vm: str, key: str) -> CallDecision:
        """Call ``key`` at ``vm``, and dispatch and send it if it is accepted."""
        decision = self.call(vm, key)
        if decision is CallDecision.RUN and self.begin(vm):
            self.write(vm)
        return decision

    def hand_over(self, source: str, target: str, take_back: bool = False) -> None:
        """Hand the slot from ``source`` to ``target``.

        With ``take_back`` the source assumes that the handover was lost.
        """
        owner = self.process_by_vm[source].owner
        handover = owner.hand_over(SLOT)
        if handover is not None:
            self.send(source, target, handover)
            if take_back:
                owner.receive_handover(handover)

    def record_answer(self, entry: LedgerEntry) -> None:
        """Record a NOT_RUN outcome that was reported to a caller."""
        if entry.answer and entry.answer.outcome is Outcome.NOT_RUN:
            self.reported_not_run.add(entry.key.key)

    def check(self) -> None:
        """Assert at-most-once execution, correct NOT_RUN reports, and one owner."""
        duplicates = {key: n for key, n in self.executions.items() if n > 1}
        assert not duplicates, f"ran more than once: {duplicates}"
        false_reports = self.reported_not_run & set(self.executions)
        assert not false_reports, f"reported not-run for keys that ran: {false_reports}"
        assert len(self.holders()) <= 1, f"two owners: {self.holders()}"


def settled_world() -> World:
    """Return a simulation in which a1 holds the slot and new keys are served."""
    world = World()
    world.settle("a1")
    for _ in range(4):
        world.clock.advance(1.0)
        world.exchange("a1")
    assert world.holders() == ["a1"]
    return world
