"""The startup of an agent.

It queries its peers before it reads documents from the platform, which may serve a
revision older than the one in force in the fleet.
"""

import asyncio
import contextlib

from dotterelpitch.agent.peer_links import PeerLinks
from dotterelpitch.agent.platform_watcher import PlatformWatcher
from dotterelpitch.agent.settings import AgentSettings
from dotterelpitch.agent.state import AgentState
from dotterelpitch.documents.startup_gate import PEER_QUERY_SECONDS, StartupGate
from dotterelpitch.errors import PeerError, ProtocolError
from dotterelpitch.protocol.connection import Connection, dial
from dotterelpitch.protocol.handshake import Identity
from dotterelpitch.protocol.messages import (
    AskRevisions,
    DocumentState,
    RevisionRequest,
    Revisions,
    VmListState,
)
from dotterelpitch.protocol.revision_server import RevisionServer
from dotterelpitch.protocol.server import HandlerTable
from dotterelpitch.telemetry.events import Event, log_event

MAX_CONCURRENT_QUERIES = 16
CALL_TIMEOUT_SECONDS = 1.0
LOCAL_ROUTER = "local router"
LOCAL_ROUTER_TIMEOUT_SECONDS = 0.6
VM_LIST_RETRY_SECONDS = 0.5


class Startup:
    """Queries all listed agents and routers once, and serves their queries.

    The router of this VM counts as a peer, but isn't queried: it connects to the
    agent and sends its state unasked.
    """

    def __init__(
        self,
        state: AgentState,
        identity: Identity,
        handlers: HandlerTable,
        settings: AgentSettings,
    ) -> None:
        self._state = state
        self._identity = identity
        self._settings = settings
        self._gate = StartupGate(state.clock)
        self._peer_finished = asyncio.Event()
        self._query_semaphore = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)
        RevisionServer(state.documents, state.vm_lists, self._is_settled).register(
            handlers
        )

    async def run(self, links: PeerLinks, platform: PlatformWatcher) -> None:
        """Query the peers; return once documents may be read from the platform."""
        seeds = [links.dial_seed(address) for address in self._settings.seeds]
        await self._wait_for_vm_list(platform)
        await self._query_peers()
        for seed in seeds:
            if seed.done():
                seed.result()
        self._state.settled.set()
        event = (
            Event.STARTUP_TIMED_OUT if self._gate.timed_out() else Event.STARTUP_SETTLED
        )
        log_event(
            event,
            vm_list=self._state.vm_list.revision,
            documents={
                service: version.revision
                for service, version in self._state.documents.versions.items()
            },
        )

    def stop_waiting_for_router(self) -> None:
        """Stop waiting for the state of this VM's router.

        Called when the router has sent its complete state, and in any case after
        ``LOCAL_ROUTER_TIMEOUT_SECONDS``.
        """
        self._gate.stop_waiting_for(LOCAL_ROUTER)
        self._peer_finished.set()

    async def _wait_for_vm_list(self, platform: PlatformWatcher) -> None:
        """Return once a VM list is in use, from the platform, a router, or a peer."""
        while self._state.vm_list.revision == 0:
            if not await platform.read_vm_list():
                await asyncio.sleep(VM_LIST_RETRY_SECONDS)

    async def _query_peers(self) -> None:
        other_vms = [vm for vm in self._state.entry_vms if vm.name != self._state.vm]
        addresses = {
            address
            for vm in other_vms
            for address in (vm.agent_address, vm.router_address)
        }
        addresses.discard("")
        self._gate.start([*addresses, LOCAL_ROUTER])
        loop = asyncio.get_running_loop()
        loop.call_later(LOCAL_ROUTER_TIMEOUT_SECONDS, self.stop_waiting_for_router)
        tasks = [
            asyncio.create_task(self._query_peer(address))
            for address in sorted(addresses)
        ]
        await self._wait_for_answers()
        for task in tasks:
            task.cancel()

    async def _wait_for_answers(self) -> None:
        """Return once the gate opens, at the latest at its deadline."""
        while not self._gate.may_read_platform():
            self._peer_finished.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(PEER_QUERY_SECONDS):
                    await self._peer_finished.wait()

    async def _query_peer(self, address: str) -> None:
        """Get the revisions of one peer and fetch those newer than ours."""
        async with self._query_semaphore:
            try:
                connection = await dial(address, self._identity)
                await self._fetch(address, connection)
            except (PeerError, ProtocolError, TimeoutError):
                self._gate.stop_waiting_for(address)
        self._peer_finished.set()

    async def _fetch(self, address: str, connection: Connection) -> None:
        try:
            response = await connection.call(AskRevisions(), CALL_TIMEOUT_SECONDS)
            if not isinstance(response, Revisions):
                raise ProtocolError(f"unexpected {type(response).__name__}")
            for offer in response.offers:
                if self._state.wants(offer):
                    request = RevisionRequest(offer.service)
                    content = await connection.call(request, CALL_TIMEOUT_SECONDS)
                    self._offer(content, connection.peer.vm)
            self._gate.record_answer(address, response.settled, response.offers)
        finally:
            connection.close()

    def _offer(self, content: object, peer: str) -> None:
        if isinstance(content, DocumentState):
            self._state.offer_document(
                content.service, content.revision, content.text, peer
            )
        elif isinstance(content, VmListState):
            self._state.offer_vm_list(content.vm_list, peer)

    def _is_settled(self) -> bool:
        return self._state.settled.is_set() and self._gate.is_settled(
            self._state.documents, self._settings.services
        )
