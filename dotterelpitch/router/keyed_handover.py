"""Hands over slots with their ledgers to other VMs, and receives such handovers.

At a graceful shutdown every slot goes to the highest-ranked candidate that
responds. While the fleet runs, a slot goes back to its preferred owner, so that
slots are spread evenly again after a restart.
"""

import asyncio
from collections.abc import Iterable

from dotterelpitch.errors import PeerError, ProtocolError
from dotterelpitch.membership.model import Vm
from dotterelpitch.protocol.frames import End
from dotterelpitch.protocol.keyed_messages import (
    HandoverTaken,
    LedgerHandover,
    LedgerPart,
)
from dotterelpitch.protocol.peer_pool import PeerPool
from dotterelpitch.protocol.stream import Stream
from dotterelpitch.requests.keyed_owner import Handover, KeyedOwner
from dotterelpitch.requests.lease_messages import NO_PREDECESSOR
from dotterelpitch.requests.ledger import LedgerEntry, LedgerKey
from dotterelpitch.requests.takeover import KeyFloor
from dotterelpitch.router.keyed_call_runner import KeyedCallRunner
from dotterelpitch.router.lease_manager import LeaseManager
from dotterelpitch.router.ledger_rows import entry_of, parts_of
from dotterelpitch.router.state import FleetState
from dotterelpitch.telemetry.events import Event, log_event

# The slot number of a LedgerHandover that carries late answers only.
ANSWERS_ONLY_SLOT = -1
REBALANCE_INTERVAL_SECONDS = 2.0
MIN_OWNED_SECONDS = 5.0
UNFINISHED_CALLS_TIMEOUT_SECONDS = 2.0
HANDOVER_TIMEOUT_SECONDS = 3.0
CLAIM_TIMEOUT_SECONDS = 1.0


class KeyedHandover:
    """Sends and receives LedgerHandover messages.

    A handover moves a slot with its key floor and ledger entries. Calls that are
    still running afterwards send their answers to the successor when they end.
    """

    def __init__(
        self,
        owner: KeyedOwner,
        leases: LeaseManager,
        call_runner: KeyedCallRunner,
        state: FleetState,
        peers: PeerPool,
    ) -> None:
        self._owner = owner
        self._leases = leases
        self._call_runner = call_runner
        self._state = state
        self._peers = peers
        self._owned_since_by_slot: dict[int, float] = {}
        self._tasks: set[asyncio.Task] = set()

    async def handle(self, stream: Stream, request: LedgerHandover) -> None:
        """Take over a slot, or record late answers of a slot taken over before."""
        if self._leases.stopping:
            stream.reset("stopping", "this VM takes no slot")
            return
        entries: list[LedgerEntry] = []
        while isinstance(part := await stream.receive(), LedgerPart):
            entries += [entry_of(row) for row in part.rows]
        if not isinstance(part, End):
            raise ProtocolError(
                f"expected LedgerPart or End, not {type(part).__name__}"
            )
        if request.slot == ANSWERS_ONLY_SLOT:
            self._owner.merge_entries(entries)
        else:
            floor = KeyFloor(request.timed_floor, request.opaque_since)
            self._owner.receive_handover(
                Handover(
                    request.slot, request.predecessor, request.epoch, floor, entries
                )
            )
            # Claim before replying: the predecessor still grants the lease as a
            # member of the group, and may stop once it has the reply.
            await self._leases.claim_now(request.slot, CLAIM_TIMEOUT_SECONDS)
        await stream.send(HandoverTaken(len(entries)))

    async def run_rebalancing(self) -> None:
        """Hand each slot over to its first candidate when that VM is alive.

        Runs until cancelled.
        """
        while True:
            await asyncio.sleep(REBALANCE_INTERVAL_SECONDS)
            for slot in self._movable_slots():
                if successor := self._preferred_candidate(slot):
                    await self._hand_over(slot, [successor])

    async def stop(self) -> None:
        """Hand over all slots; called once, at a graceful shutdown."""
        self._leases.stopping = True
        await self._leases.renew()
        owned = [s for s in range(len(self._owner.slot_states)) if self._owner.owns(s)]
        await asyncio.gather(*(self._hand_over_to_any(slot) for slot in owned))

    async def finish(self) -> None:
        """Wait until the late answers have been sent to the successors."""
        if self._tasks:
            await asyncio.wait(self._tasks)

    def _movable_slots(self) -> list[int]:
        """Return the slots that have been owned for ``MIN_OWNED_SECONDS``."""
        now = self._owner.clock.monotonic()
        owned = [s for s in range(len(self._owner.slot_states)) if self._owner.owns(s)]
        self._owned_since_by_slot = {
            slot: self._owned_since_by_slot.get(slot, now) for slot in owned
        }
        return [
            slot
            for slot, since in self._owned_since_by_slot.items()
            if now - since >= MIN_OWNED_SECONDS
        ]

    def _preferred_candidate(self, slot: int) -> Vm | None:
        latest = self._owner.slot_states[slot].grantor.history.latest
        first = latest.candidates(slot)[0]
        if first == self._owner.holder_id.vm or not self._leases.is_alive(first):
            return None
        return self._state.view.vm_by_name.get(first)

    async def _hand_over_to_any(self, slot: int) -> None:
        latest = self._owner.slot_states[slot].grantor.history.latest
        vm_by_name = self._state.view.vm_by_name
        successors = [
            vm_by_name[name]
            for name in latest.candidates(slot)
            if name != self._owner.holder_id.vm
            and name in vm_by_name
            and self._leases.is_alive(name)
        ]
        if successors:
            await self._hand_over(slot, successors)
        else:
            log_event(Event.HANDOVER_FAILED, slot=slot, reason="no candidate answers")

    async def _hand_over(self, slot: int, successors: list[Vm]) -> None:
        """Close ``slot`` and send it to the first of ``successors`` that accepts it.

        Running calls first have ``UNFINISHED_CALLS_TIMEOUT_SECONDS`` to finish. The
        slot is claimed again when no successor accepts it.
        """
        self._owner.close(slot)
        runs = [self._call_runner.run_by_key[key] for key in self._running(slot)]
        if runs:
            await asyncio.wait(runs, timeout=UNFINISHED_CALLS_TIMEOUT_SECONDS)
        handover = self._owner.hand_over(slot)
        if handover is None:
            log_event(Event.HANDOVER_FAILED, slot=slot, reason="the lease ran out")
            return
        self._leases.yield_to_successor(slot)
        unanswered = self._owner.unfinished(slot)
        head = LedgerHandover(
            slot,
            handover.predecessor,
            handover.epoch,
            handover.floor.timed,
            handover.floor.opaque_since,
        )
        for successor in successors:
            if await self._send(successor, head, handover.entries):
                log_event(
                    Event.SLOT_HANDED_OVER,
                    slot=slot,
                    heir=successor.name,
                    entries=len(handover.entries),
                    unfinished=len(unanswered),
                )
                self._forward_late_answers(successor, unanswered)
                return
        self._owner.receive_handover(handover)  # Reclaim the slot.
        await self._leases.claim_now(slot, CLAIM_TIMEOUT_SECONDS)

    def _running(self, slot: int) -> Iterable[LedgerKey]:
        unfinished = self._owner.unfinished(slot)
        return [e.key for e in unfinished if e.key in self._call_runner.run_by_key]

    def _forward_late_answers(
        self, successor: Vm, unanswered: list[LedgerEntry]
    ) -> None:
        for entry in unanswered:
            run = self._call_runner.run_by_key.get(entry.key)
            if run is not None:
                task = asyncio.create_task(self._forward_answer(successor, entry, run))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _forward_answer(
        self, successor: Vm, entry: LedgerEntry, run: asyncio.Task
    ) -> None:
        await asyncio.wait([run])
        head = LedgerHandover(ANSWERS_ONLY_SLOT, NO_PREDECESSOR, 0, 0.0, 0.0)
        await self._send(successor, head, [entry])

    async def _send(
        self, successor: Vm, head: LedgerHandover, entries: list[LedgerEntry]
    ) -> bool:
        try:
            async with asyncio.timeout(HANDOVER_TIMEOUT_SECONDS):
                connection = await self._peers.connection(successor.router_address)
                stream = connection.open_stream(head)
                for part in parts_of(entries):
                    await stream.send(part)
                await stream.finish()
                reply = await stream.receive()
        except (PeerError, ProtocolError, TimeoutError) as error:
            reason = str(error) or "timeout"
            log_event(
                Event.HANDOVER_FAILED,
                slot=head.slot,
                heir=successor.name,
                reason=reason,
            )
            return False
        return isinstance(reply, HandoverTaken)
