"""Creates and connects the components for keyed calls."""

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
    """The components of one router for keyed calls.

    They are the owner of slots, its leases and handovers, and the handler of
    callers' keyed calls, ``entry_handler``.
    """

    def __init__(
        self,
        settings: RouterSettings,
        identity: Identity,
        state: FleetState,
        handlers: HandlerTable,
        peers: PeerPool,
        router_client: RouterClient,
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
        self._call_runner = KeyedCallRunner(vm, owner, state, self._endpoints)
        self._leases = LeaseManager(owner, state, peers)
        self._handover = KeyedHandover(
            owner, self._leases, self._call_runner, state, peers
        )
        self.entry_handler = KeyedEntryHandler(
            state, router_client, owner, clock, settings.owner_wait_seconds
        )
        handlers.add(DispatchOnce, self._call_runner.handle)
        handlers.add(LeaseRequest, self._leases.handle_request)
        handlers.add(LeaseRelease, self._leases.handle_release)
        handlers.add(LedgerHandover, self._handover.handle)
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Start the background tasks."""
        self._tasks = [
            asyncio.create_task(self._leases.run()),
            asyncio.create_task(self._call_runner.run_expiry()),
            asyncio.create_task(self._handover.run_rebalancing()),
        ]

    @property
    def settled(self) -> bool:
        """Whether another VM may be stopped without leaving slots unowned.

        See ``LeaseManager.settled``.
        """
        return self._leases.settled

    def lease_seconds_left(self) -> list[float]:
        """Return the remaining seconds of each lease that is held."""
        holders = [state.holder for state in self._owner.slot_states]
        return [h.remaining_seconds for h in holders if h.valid]

    def issue_key(self) -> str:
        """Return a new idempotency key with a signed issue time."""
        return issue_key(self._clock.wall(), self._secret)

    async def stop(self, grace_seconds: float) -> None:
        """Hand over all slots, and wait for running calls at endpoints to end."""
        self._tasks[-1].cancel()  # Stop rebalancing.
        await self._handover.stop()
        if runs := list(self._call_runner.run_by_key.values()):
            await asyncio.wait(runs, timeout=grace_seconds)
        await self._handover.finish()

    async def close(self) -> None:
        """Cancel all tasks and close the connections to endpoints."""
        for task in self._tasks:
            task.cancel()
        await self._endpoints.close()
