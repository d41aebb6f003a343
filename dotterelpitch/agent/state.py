"""The state of the agent, with reactive streams of its changes."""

import asyncio
from collections.abc import Collection, Iterable

import reactivex
from attrs import frozen
from reactivex import operators
from reactivex.subject import BehaviorSubject, Subject

from dotterelpitch.clock import Clock
from dotterelpitch.documents.registry import DocumentRegistry, OfferResult
from dotterelpitch.documents.startup_gate import OfferedRevision
from dotterelpitch.membership.gossip import (
    DEFAULT_BYTES_PER_SECOND,
    DigestStore,
    GossipDigest,
    PublicationPacer,
)
from dotterelpitch.membership.model import Vm, VmList, VmRole
from dotterelpitch.membership.view import (
    LINKS_TOPIC,
    LinkReport,
    MembershipView,
    ViewBuilder,
    decode_link_reports,
)
from dotterelpitch.membership.vm_list_registry import (
    VM_LIST_NAME,
    VmListOfferResult,
    VmListRegistry,
)
from dotterelpitch.protocol.revision_server import current_offers, vm_list_offer
from dotterelpitch.telemetry.events import Event, log_event


@frozen
class DigestUpdate:
    """A new digest and the peer that sent it.

    ``peer`` is empty for a digest that this VM has published.
    """

    digest: GossipDigest
    peer: str = ""


class AgentState:
    """Documents in force, the VM list, membership, and gossip of one agent.

    ``revisions`` emits each version that comes into force, ``digest_updates``
    each new digest, and ``view`` the membership on each change. ``settled`` is
    set once the startup is complete.
    """

    def __init__(
        self,
        vm: str,
        failure_domain: str,
        incarnation: str,
        clock: Clock,
        gossip_bytes_per_second: float = DEFAULT_BYTES_PER_SECOND,
    ) -> None:
        self.vm = vm
        self.failure_domain = failure_domain
        self.clock = clock
        self.documents = DocumentRegistry(clock)
        self.vm_lists = VmListRegistry()
        self.digests = DigestStore(vm, clock)
        self.pacer = PublicationPacer(clock, gossip_bytes_per_second)
        self.settled = asyncio.Event()
        self.revisions: Subject[OfferedRevision] = Subject()
        self.digest_updates: Subject[DigestUpdate] = Subject()
        self.view: BehaviorSubject[MembershipView] = BehaviorSubject(MembershipView())
        self._view_builder = ViewBuilder(vm, clock)
        self._report_by_vm: dict[str, LinkReport] = {}
        self._own_report = LinkReport(incarnation)
        self._has_published_report = False

    @property
    def vm_list(self) -> VmList:
        """The VM list in use."""
        return self.vm_lists.vm_list

    @property
    def entry_vms(self) -> list[Vm]:
        """The listed entry VMs, including leaving ones."""
        return [vm for vm in self.vm_list.vms if vm.role is VmRole.ENTRY]

    def usable_vm_list(self) -> VmList:
        """Return the list without the entry VMs that are suspected or leaving."""
        excluded = self.view.value.suspected | self.view.value.leaving
        vms = [vm for vm in self.vm_list.vms if vm.name not in excluded]
        return VmList(self.vm_list.revision, vms)

    @property
    def own_report(self) -> LinkReport:
        """The link report that this VM publishes to the fleet."""
        return self._own_report

    def changes(self) -> reactivex.Observable:
        """Return a stream that emits on every change of any kind."""
        return reactivex.merge(
            self.revisions, self.digest_updates, self.view.pipe(operators.skip(1))
        )

    def offers(self) -> list[OfferedRevision]:
        """Return an offer of every version in force, including the VM list."""
        return current_offers(self.documents, self.vm_lists)

    def wants(self, offer: OfferedRevision) -> bool:
        """Return whether the offered version would replace ours."""
        if offer.service == VM_LIST_NAME:
            return self.vm_lists.wants(offer.revision, offer.checksum)
        return self.documents.wants(offer.service, offer.revision, offer.checksum)

    def offer_document(
        self, service: str, revision: int, text: str, source: str
    ) -> OfferResult:
        """Offer a document to the registry; emit its revision if it is now in force."""
        result = self.documents.offer(service, revision, text, source)
        if result is OfferResult.IN_FORCE:
            version = self.documents.get(service)
            self.revisions.on_next(
                OfferedRevision(service, version.revision, version.checksum)
            )
        return result

    def offer_vm_list(self, vm_list: VmList, source: str) -> VmListOfferResult:
        """Offer a VM list to the registry; emit its revision if it is now in use."""
        result = self.vm_lists.offer(vm_list, source)
        if result is VmListOfferResult.IN_USE:
            self.refresh_view()
            self.revisions.on_next(vm_list_offer(self.vm_lists))
        return result

    def publish_due(self) -> None:
        """Publish the payloads of the routers that the pacer allows now."""
        for topic, payload in self.pacer.take_due(len(self.entry_vms)):
            self.publish(topic, payload)

    def publish(self, topic: str, payload: bytes) -> None:
        """Publish a payload of this VM by gossip."""
        digest = self.digests.publish(topic, payload)
        self.digest_updates.on_next(DigestUpdate(digest))

    def merge(self, digests: Iterable[GossipDigest], peer: str) -> None:
        """Merge digests received from ``peer`` and emit those that are new."""
        links_changed = False
        for digest in digests:
            if not self.digests.merge(digest):
                continue
            merged = self.digests.get(digest.topic, digest.origin)
            is_own = digest.origin == self.vm
            self.digest_updates.on_next(DigestUpdate(merged, "" if is_own else peer))
            links_changed |= digest.topic == LINKS_TOPIC
        if links_changed:
            self._decode_reports()
            self.refresh_view()

    def update_own_report(
        self,
        peers: Collection[str] | None = None,
        leaving: bool | None = None,
        platform_reachable: bool | None = None,
    ) -> None:
        """Update this VM's link report and publish it if it has changed.

        An argument of None keeps the current value.
        """
        own = self._own_report
        report = LinkReport(
            own.incarnation,
            own.peers if peers is None else sorted(peers),
            own.leaving if leaving is None else leaving,
            own.platform_reachable
            if platform_reachable is None
            else platform_reachable,
        )
        if report == own and self._has_published_report:
            return
        self._has_published_report = True
        self._own_report = report
        self.publish(LINKS_TOPIC, report.encode())
        self._decode_reports()
        self.refresh_view()

    def refresh_view(self) -> None:
        """Recompute the membership; log and emit it if it has changed."""
        before = self.view.value
        view = self._view_builder.build(self.vm_list, self._report_by_vm)
        if view == before:
            return
        for event, names in (
            (Event.VM_SUSPECTED, view.suspected - before.suspected),
            (Event.VM_RECOVERED, before.suspected - view.suspected),
            (Event.VM_LEAVING, view.leaving - before.leaving),
        ):
            for name in sorted(names):
                log_event(event, vm=name)
        self.view.on_next(view)

    def _decode_reports(self) -> None:
        payloads = self.digests.by_origin(LINKS_TOPIC)
        self._report_by_vm = decode_link_reports(
            (name, digest.payload) for name, digest in payloads.items()
        )
