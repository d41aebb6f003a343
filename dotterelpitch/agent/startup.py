"""The start of an agent: learn from peers first, then from the platform."""

import asyncio
import contextlib

from dotterelpitch.agent.peer_links import PeerLinks
from dotterelpitch.agent.platform_watch import PlatformWatch
from dotterelpitch.agent.settings import AgentSettings
from dotterelpitch.agent.state import AgentState
from dotterelpitch.documents.startup import ASK_SECONDS, StartupGate
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

CONCURRENT_ASKS = 16
ANSWER_SECONDS = 1.0
LOCAL_ROUTER = "local router"
LOCAL_ROUTER_SECONDS = 0.6
LIST_RETRY_SECONDS = 0.5


class Startup:
    """Asks all listed agents and routers once, and answers those that ask."""

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
        self._answered = asyncio.Event()
        self._slots = asyncio.Semaphore(CONCURRENT_ASKS)
        RevisionServer(state.documents, state.vm_lists, self._is_settled).register(
            handlers
        )

    async def run(self, links: PeerLinks, platform: PlatformWatch) -> None:
        """Return once the agent may read documents from the platform."""
        seeds = [links.dial_seed(address) for address in self._settings.seeds]
        await self._learn_vm_list(platform)
        await self._ask_peers()
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

    def router_has_reported(self) -> None:
        """Note that a router of this VM has sent all that it remembers."""
        self._gate.failed(LOCAL_ROUTER)
        self._answered.set()

    async def _learn_vm_list(self, platform: PlatformWatch) -> None:
        """Wait for a list from the platform, a router, a seed, or any peer."""
        while self._state.vm_list.revision == 0:
            if not await platform.read_vm_list():
                await asyncio.sleep(LIST_RETRY_SECONDS)

    async def _ask_peers(self) -> None:
        others = [vm for vm in self._state.entries if vm.name != self._state.vm]
        addresses = {a for vm in others for a in (vm.agent_address, vm.router_address)}
        addresses.discard("")
        self._gate.ask([*addresses, LOCAL_ROUTER])
        loop = asyncio.get_running_loop()
        loop.call_later(LOCAL_ROUTER_SECONDS, self.router_has_reported)
        tasks = [
            asyncio.create_task(self._ask(address)) for address in sorted(addresses)
        ]
        await self._wait_for_answers()
        for task in tasks:
            task.cancel()

    async def _wait_for_answers(self) -> None:
        """Wait until the gate opens, which it does at its deadline at the latest."""
        while not self._gate.may_read_platform():
            self._answered.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(ASK_SECONDS):
                    await self._answered.wait()

    async def _ask(self, address: str) -> None:
        """Ask one peer for its revisions and fetch those that are above ours."""
        async with self._slots:
            try:
                connection = await dial(address, self._identity)
                await self._fetch(address, connection)
            except (PeerError, ProtocolError, TimeoutError):
                self._gate.failed(address)
        self._answered.set()

    async def _fetch(self, address: str, connection: Connection) -> None:
        try:
            answer = await connection.call(AskRevisions(), ANSWER_SECONDS)
            if not isinstance(answer, Revisions):
                raise ProtocolError(f"unexpected {type(answer).__name__}")
            for offer in answer.offers:
                if self._state.wants(offer):
                    request = RevisionRequest(offer.service)
                    content = await connection.call(request, ANSWER_SECONDS)
                    self._take(content, connection.peer.vm)
            self._gate.answered(address, answer.settled, answer.offers)
        finally:
            connection.close()

    def _take(self, content: object, peer: str) -> None:
        if isinstance(content, DocumentState):
            self._state.take_document(
                content.service, content.revision, content.text, peer
            )
        elif isinstance(content, VmListState):
            self._state.take_vm_list(content.vm_list, peer)

    def _is_settled(self) -> bool:
        return self._state.settled.is_set() and self._gate.is_settled(
            self._state.documents, self._settings.services
        )
