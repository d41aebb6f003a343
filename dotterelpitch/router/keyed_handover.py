"""Gives slots with their ledgers to other VMs, and takes them over.

At a planned stop every slot goes to the next candidate that answers. While the
fleet runs, a slot that another VM should own is given back to it, so that
slots spread again after a restart.
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

ANSWERS_ONLY = -1
REBALANCE_SECONDS = 2.0
MIN_TENURE_SECONDS = 5.0
UNFINISHED_SECONDS = 2.0
SEND_SECONDS = 3.0
LEASED_SECONDS = 1.0


class KeyedHandover:
    """Both sides of LedgerHandover."""

    def __init__(
        self,
        owner: KeyedOwner,
        loop: LeaseManager,
        service: KeyedCallRunner,
        state: FleetState,
        peers: PeerPool,
    ) -> None:
        self._owner = owner
        self._loop = loop
        self._service = service
        self._state = state
        self._peers = peers
        self._owned_since_by_slot: dict[int, float] = {}
        self._tasks: set[asyncio.Task] = set()

    async def handle(self, stream: Stream, request: LedgerHandover) -> None:
        """Take over a slot, or the late answers of one."""
        if self._loop.stopping:
            stream.reset("stopping", "this VM takes no slot")
            return
        entries: list[LedgerEntry] = []
        while isinstance(part := await stream.receive(), LedgerPart):
            entries += [entry_of(row) for row in part.rows]
        if not isinstance(part, End):
            raise ProtocolError("expected LedgerPart or End")
        if request.slot == ANSWERS_ONLY:
            self._owner.merge_entries(entries)
        else:
            floor = KeyFloor(request.timed_floor, request.opaque_since)
            self._owner.receive_handover(
                Handover(
                    request.slot, request.predecessor, request.epoch, floor, entries
                )
            )
            # The predecessor answers as a member until it gets the reply.
            await self._loop.claim_now(request.slot, LEASED_SECONDS)
        await stream.send(HandoverTaken(len(entries)))

    async def rebalance_for_ever(self) -> None:
        """Give each slot to its first candidate once that answers."""
        while True:
            await asyncio.sleep(REBALANCE_SECONDS)
            for slot in self._settled_slots():
                if heir := self._better_candidate(slot):
                    await self._hand_over(slot, [heir])

    async def stop(self) -> None:
        """Give all slots away; called once, at a planned stop."""
        self._loop.stopping = True
        await self._loop.renew()
        owned = [s for s in range(len(self._owner.slot_states)) if self._owner.owns(s)]
        await asyncio.gather(*(self._give_away(slot) for slot in owned))

    async def finish(self) -> None:
        """Wait until late answers have been passed on."""
        if self._tasks:
            await asyncio.wait(self._tasks)

    def _settled_slots(self) -> list[int]:
        """Return the slots that have been owned for long enough to move."""
        now = self._owner.clock.monotonic()
        owned = [s for s in range(len(self._owner.slot_states)) if self._owner.owns(s)]
        self._owned_since_by_slot = {
            slot: self._owned_since_by_slot.get(slot, now) for slot in owned
        }
        return [
            slot
            for slot, since in self._owned_since_by_slot.items()
            if now - since >= MIN_TENURE_SECONDS
        ]

    def _better_candidate(self, slot: int) -> Vm | None:
        latest = self._owner.slot_states[slot].grantor.history.latest
        first = latest.candidates(slot)[0]
        if first == self._owner.holder_id.vm or not self._loop.alive(first):
            return None
        return self._state.view.vm_by_name.get(first)

    async def _give_away(self, slot: int) -> None:
        latest = self._owner.slot_states[slot].grantor.history.latest
        vm_by_name = self._state.view.vm_by_name
        heirs = [
            vm_by_name[name]
            for name in latest.candidates(slot)
            if name != self._owner.holder_id.vm
            and name in vm_by_name
            and self._loop.alive(name)
        ]
        if heirs:
            await self._hand_over(slot, heirs)
        else:
            log_event(Event.HANDOVER_FAILED, slot=slot, reason="no candidate answers")

    async def _hand_over(self, slot: int, heirs: list[Vm]) -> None:
        """Close ``slot``, let its calls end, and send it to the first that takes it."""
        self._owner.close(slot)
        runs = [self._service.run_by_key[key] for key in self._running(slot)]
        if runs:
            await asyncio.wait(runs, timeout=UNFINISHED_SECONDS)
        handover = self._owner.hand_over(slot)
        if handover is None:
            log_event(Event.HANDOVER_FAILED, slot=slot, reason="the lease ran out")
            return
        self._loop.leave_to_heir(slot)
        late = self._owner.unfinished(slot)
        head = LedgerHandover(
            slot,
            handover.predecessor,
            handover.epoch,
            handover.floor.timed,
            handover.floor.opaque_since,
        )
        for heir in heirs:
            if await self._send(heir, head, handover.entries):
                log_event(
                    Event.SLOT_HANDED_OVER,
                    slot=slot,
                    heir=heir.name,
                    entries=len(handover.entries),
                    unfinished=len(late),
                )
                self._pass_on_later(heir, late)
                return
        self._owner.receive_handover(handover)  # Takes the slot back.
        await self._loop.claim_now(slot, LEASED_SECONDS)

    def _running(self, slot: int) -> Iterable[LedgerKey]:
        unfinished = self._owner.unfinished(slot)
        return [e.key for e in unfinished if e.key in self._service.run_by_key]

    def _pass_on_later(self, heir: Vm, late: list[LedgerEntry]) -> None:
        for entry in late:
            run = self._service.run_by_key.get(entry.key)
            if run is not None:
                task = asyncio.create_task(self._pass_on(heir, entry, run))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _pass_on(self, heir: Vm, entry: LedgerEntry, run: asyncio.Task) -> None:
        await asyncio.wait([run])
        head = LedgerHandover(ANSWERS_ONLY, NO_PREDECESSOR, 0, 0.0, 0.0)
        await self._send(heir, head, [entry])

    async def _send(
        self, heir: Vm, head: LedgerHandover, entries: list[LedgerEntry]
    ) -> bool:
        try:
            async with asyncio.timeout(SEND_SECONDS):
                connection = await self._peers.connection(heir.router_address)
                stream = connection.open_stream(head)
                for part in parts_of(entries):
                    await stream.send(part)
                await stream.finish()
                taken = await stream.receive()
        except (PeerError, ProtocolError, TimeoutError) as error:
            reason = str(error) or "timeout"
            log_event(
                Event.HANDOVER_FAILED, slot=head.slot, heir=heir.name, reason=reason
            )
            return False
        return isinstance(taken, HandoverTaken)
