"""A placer's view of the documents and VMs at one moment."""

from functools import cached_property

from attrs import field, frozen

from dotterelpitch.documents.model import Endpoint, ServiceDocument
from dotterelpitch.hashing import best
from dotterelpitch.membership.model import VmList
from dotterelpitch.placement.plan import has_placed_models


@frozen(slots=False)
class PlacementView:
    """The documents in force and the VM list, with properties derived from them.

    A view is immutable, and each derived property is computed at most once.
    """

    document_by_service: dict[str, ServiceDocument] = field(factory=dict)
    vm_list: VmList = field(factory=VmList)

    @cached_property
    def placed_documents(self) -> list[ServiceDocument]:
        """The documents that set a number of replicas for any model."""
        return [d for d in self.document_by_service.values() if has_placed_models(d)]

    @cached_property
    def domains_by_service(self) -> dict[str, frozenset[str]]:
        """The failure domains of the engines of each placed document."""
        return {
            document.service: frozenset(e.failure_domain for e in document.engines())
            for document in self.placed_documents
        }

    @cached_property
    def placer_by_domain(self) -> dict[str, str | None]:
        """The VM that places the engines of each failure domain.

        Rendezvous hashing selects one of the domain's live entry VMs. Only a
        domain without any gets a placer from another domain.
        """
        domains = frozenset().union(*self.domains_by_service.values())
        return {domain: self._placer_of(domain) for domain in sorted(domains)}

    @cached_property
    def shared_addresses(self) -> frozenset[str]:
        """The engine addresses that several documents name.

        Orders derived from two documents would undo each other, so these engines
        get no orders.
        """
        seen: set[str] = set()
        shared: set[str] = set()
        for document in self.document_by_service.values():
            addresses = {engine.address for engine in document.engines()}
            shared |= seen & addresses
            seen |= addresses
        return frozenset(shared)

    def own_domains(self, service: str, vm_name: str) -> set[str]:
        """Return the failure domains of ``service`` that ``vm_name`` places."""
        placers = self.placer_by_domain
        return {d for d in self.domains_by_service[service] if placers[d] == vm_name}

    def present_engines(self, document: ServiceDocument) -> list[Endpoint]:
        """Return the engines of ``document`` that aren't listed as leaving."""
        leaving = self.vm_list.leaving_endpoints()
        return [e for e in document.engines() if e.vm_name not in leaving]

    def _placer_of(self, failure_domain: str) -> str | None:
        vms = (
            self.vm_list.live_entry_vms(failure_domain) or self.vm_list.live_entry_vms()
        )
        return best(f"placer:{failure_domain}", (vm.name for vm in vms))
