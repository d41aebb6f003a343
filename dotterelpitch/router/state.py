"""The state of the fleet, as received from the agent of this VM."""

import asyncio
import contextlib
from functools import cached_property

from attrs import evolve, field, frozen
from reactivex.subject import BehaviorSubject, Subject

from dotterelpitch.clock import SystemClock
from dotterelpitch.documents.model import Endpoint, ServiceDocument
from dotterelpitch.documents.registry import DocumentRegistry
from dotterelpitch.errors import PeerError, ProtocolError
from dotterelpitch.membership.gossip import GossipDigest
from dotterelpitch.membership.model import Vm, VmList, VmState
from dotterelpitch.membership.vm_list_registry import VmListRegistry
from dotterelpitch.protocol.messages import (
    DigestState,
    DocumentState,
    MembershipState,
    PublishDigest,
    RouterStopping,
    StateComplete,
    VmListState,
    WatchState,
)
from dotterelpitch.protocol.peer_pool import PeerPool
from dotterelpitch.protocol.revision_server import RevisionServer
from dotterelpitch.protocol.server import HandlerTable
from dotterelpitch.protocol.stream import Stream
from dotterelpitch.routing.ownership import admission_owner

AGENT_SOURCE = "agent"
RECONNECT_INTERVAL_SECONDS = 0.3


@frozen(slots=False)
class FleetView:
    """An immutable, consistent snapshot of the fleet.

    ``suspected`` has the names of the entry VMs that the agent can't reach, and
    ``leaving`` those that have begun to shut down or are listed as leaving.
    """

    document_by_service: dict[str, ServiceDocument] = field(factory=dict)
    vm_list: VmList = field(factory=VmList)
    suspected: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()

    @cached_property
    def service_by_model(self) -> dict[str, str]:
        """The name of the service that offers each model."""
        return {
            model.name: document.service
            for document in self.document_by_service.values()
            for model in document.models
        }

    @cached_property
    def vm_by_name(self) -> dict[str, Vm]:
        """The listed VMs by name."""
        return self.vm_list.by_name()

    @cached_property
    def effective_vm_list(self) -> VmList:
        """The VM list, with VMs that have begun to shut down marked as leaving."""
        vms = [
            evolve(vm, state=VmState.LEAVING) if vm.name in self.leaving else vm
            for vm in self.vm_list.vms
        ]
        return VmList(self.vm_list.revision, vms)

    def live_endpoints(self, document: ServiceDocument) -> list[Endpoint]:
        """Return the document's endpoints that aren't listed as leaving."""
        leaving = self.vm_list.leaving_endpoints()
        return [e for e in document.endpoints if e.vm_name not in leaving]

    def owner_of(self, endpoint: Endpoint) -> Vm | None:
        """Return the VM that admits work to ``endpoint``."""
        return admission_owner(
            endpoint.name,
            endpoint.failure_domain,
            self.effective_vm_list,
            self.suspected,
        )


class FleetState:
    """Follows the agent and keeps the latest view while the agent is unreachable.

    ``views`` emits each new view. ``digests`` holds the gossip digests by topic and
    origin VM, and ``digest_updates`` emits each new one. ``complete`` is set once
    a document and a VM list are known.
    """

    def __init__(self) -> None:
        self._documents = DocumentRegistry(SystemClock())
        self._vm_lists = VmListRegistry()
        self._membership = MembershipState()
        self._published_by_topic: dict[str, bytes] = {}
        self._stream: Stream | None = None
        self._stopping = False
        self.digests: dict[tuple[str, str], GossipDigest] = {}
        self.digest_updates: Subject[GossipDigest] = Subject()
        self.views: BehaviorSubject[FleetView] = BehaviorSubject(FleetView())
        self.complete = asyncio.Event()

    @property
    def view(self) -> FleetView:
        """The current view."""
        return self.views.value

    @property
    def connected(self) -> bool:
        """Whether the agent's stream is open."""
        return self._stream is not None

    def serve_revisions(self, handlers: HandlerTable) -> None:
        """Serve the revisions in use here to processes that start."""
        RevisionServer(self._documents, self._vm_lists, self.complete.is_set).register(
            handlers
        )

    async def publish(self, topic: str, payload: bytes) -> None:
        """Publish a new payload of this VM under ``topic`` to the fleet.

        While the agent is unreachable, the payload is kept; it is sent when the
        agent is connected again.
        """
        self._published_by_topic[topic] = payload
        await self._send(PublishDigest(topic, payload))

    async def announce_stop(self) -> None:
        """Announce through the agent that this VM is leaving."""
        self._stopping = True
        await self._send(RouterStopping())

    async def follow_agent(self, address: str, peers: PeerPool) -> None:
        """Follow the agent at ``address`` until cancelled, reconnecting as needed."""
        while True:
            try:
                connection = await peers.connection(address)
                self._stream = connection.open_stream(WatchState())
                await self._resync_agent()
                while True:
                    self._handle_message(await self._stream.receive())
            except (PeerError, ProtocolError):
                self._stream = None
                await asyncio.sleep(RECONNECT_INTERVAL_SECONDS)

    async def _resync_agent(self) -> None:
        """Send this router's state to the agent, which may have been restarted."""
        if self._vm_lists.vm_list.revision:
            await self._send(VmListState(self._vm_lists.vm_list))
        for service, version in self._documents.versions.items():
            await self._send(DocumentState(service, version.revision, version.text))
        for topic, payload in self._published_by_topic.items():
            await self._send(PublishDigest(topic, payload))
        if self._stopping:
            await self._send(RouterStopping())
        await self._send(StateComplete())

    async def _send(self, content: object) -> None:
        if self._stream is None:
            return
        with contextlib.suppress(PeerError):
            await self._stream.send(content)

    def _handle_message(self, content: object) -> None:
        handler_by_type = {
            DocumentState: self._store_document,
            VmListState: self._store_vm_list,
            MembershipState: self._store_membership,
            DigestState: self._store_digests,
            StateComplete: self._publish_view,
        }
        handler = handler_by_type.get(type(content))
        if handler is None:
            raise ProtocolError(f"unexpected {type(content).__name__} from the agent")
        handler(content)

    def _store_document(self, content: DocumentState) -> None:
        self._documents.offer(
            content.service, content.revision, content.text, AGENT_SOURCE
        )

    def _store_vm_list(self, content: VmListState) -> None:
        self._vm_lists.offer(content.vm_list, AGENT_SOURCE)

    def _store_membership(self, content: MembershipState) -> None:
        self._membership = content

    def _store_digests(self, content: DigestState) -> None:
        for digest in content.digests:
            self.digests[digest.key] = digest
            self.digest_updates.on_next(digest)

    def _publish_view(self, _: StateComplete) -> None:
        """Emit everything received since the last view as one new view."""
        self._drop_unlisted_digests()
        document_by_service = {
            service: version.document
            for service, version in self._documents.versions.items()
        }
        self.views.on_next(
            FleetView(
                document_by_service,
                self._vm_lists.vm_list,
                frozenset(self._membership.suspected),
                frozenset(self._membership.leaving),
            )
        )
        if document_by_service and self._vm_lists.vm_list.vms:
            self.complete.set()

    def _drop_unlisted_digests(self) -> None:
        """Drop the digests of VMs that are no longer listed."""
        listed = {vm.name for vm in self._vm_lists.vm_list.vms}
        self.digests = {
            key: digest
            for key, digest in self.digests.items()
            if digest.origin in listed
        }
