"""Everything a router has for keyed calls, wired together."""

import asyncio

from dotterelpitch.clock import Clock
from dotterelpitch.protocol.handshake import Identity
from dotterelpitch.protocol.keyed_messages import (
    DispatchOnce,
    LeaseRelease,
    LeaseRequest,
    LedgerHandover,
)
from dotterelpitch.protocol.peer_pool import PeerPool
from dotterelpitch.protocol.server import HandlerTable
from dotterelpitch.requests.key_time import issue_key
from dotterelpitch.requests.keyed_owner import KeyedOwner
from dotterelpitch.requests.lease_messages import HolderId
from dotterelpitch.requests.ledger import Ledger
from dotterelpitch.requests.takeover import SkewMargins
from dotterelpitch.router.keyed_call_runner import KeyedCallRunner
from dotterelpitch.router.keyed_endpoint import KeyedEndpointClient
from dotterelpitch.router.keyed_entry import KeyedEntryHandler
from dotterelpitch.router.keyed_handover import KeyedHandover
from dotterelpitch.router.lease_manager import LeaseManager
from dotterelpitch.router.router_client import RouterClient
from dotterelpitch.router.settings import RouterSettings
from dotterelpitch.router.state import FleetState


class KeyedRouting:
    """The owner, its leases, its handovers, and the entry side."""

    def __init__(
        self,
        settings: RouterSettings,
        identity: Identity,
        state: FleetState,
        handlers: HandlerTable,
        peers: PeerPool,
        exchanges: RouterClient,
        clock: Clock,
    ) -> None:
        self._clock = clock
        self._secret = identity.key
        vm = settings.vm_name
        owner = KeyedOwner(
            HolderId(vm, identity.incarnation),
            clock,
            secret=identity.key,
            lease_seconds=settings.lease_seconds,
            margins=SkewMargins(
                settings.caller_skew_seconds, settings.fleet_skew_seconds
            ),
            ledger=Ledger(settings.ledger_entries),
        )
        self._endpoints = KeyedEndpointClient(owner)
        self._owner = owner
        self._service = KeyedCallRunner(vm, owner, state, self._endpoints)
        self._leases = LeaseManager(owner, state, peers)
        self._handover = KeyedHandover(owner, self._leases, self._service, state, peers)
        self.entry = KeyedEntryHandler(
            state, exchanges, owner, clock, settings.owner_wait_seconds
        )
        handlers.add(DispatchOnce, self._service.handle)
        handlers.add(LeaseRequest, self._leases.handle_request)
        handlers.add(LeaseRelease, self._leases.handle_release)
        handlers.add(LedgerHandover, self._handover.handle)
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Start the lasting tasks."""
        self._tasks = [
            asyncio.create_task(self._leases.run()),
            asyncio.create_task(self._service.expire_for_ever()),
            asyncio.create_task(self._handover.rebalance_for_ever()),
        ]

    @property
    def settled(self) -> bool:
        """Whether a planned stop of another VM would find this one ready."""
        return self._leases.settled

    def lease_seconds_left(self) -> list[float]:
        """Return how long each held lease still holds."""
        holders = [state.holder for state in self._owner.slot_states]
        return [h.remaining_seconds for h in holders if h.valid]

    def issue_key(self) -> str:
        """Return a new idempotency key with a signed issue time."""
        return issue_key(self._clock.wall(), self._secret)

    async def stop(self, grace_seconds: float) -> None:
        """Give all slots away and let the calls at endpoints end."""
        self._tasks[-1].cancel()
        await self._handover.stop()
        if runs := list(self._service.run_by_key.values()):
            await asyncio.wait(runs, timeout=grace_seconds)
        await self._handover.finish()

    async def close(self) -> None:
        """End all tasks and connections to endpoints."""
        for task in self._tasks:
            task.cancel()
        await self._endpoints.close()
