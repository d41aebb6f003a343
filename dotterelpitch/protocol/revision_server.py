"""Serves the documents and the VM list in force to processes that start.

Both agents and routers serve them, so that one running process of either kind that
has a document is sufficient for all processes that start.
"""

from collections.abc import Callable

from dotterelpitch.documents.registry import DocumentRegistry
from dotterelpitch.documents.startup_gate import OfferedRevision
from dotterelpitch.membership.vm_list_registry import VM_LIST_NAME, VmListRegistry
from dotterelpitch.protocol.messages import (
    AskRevisions,
    DocumentState,
    RevisionRequest,
    Revisions,
    VmListState,
)
from dotterelpitch.protocol.server import HandlerTable
from dotterelpitch.protocol.stream import Stream


def current_offers(
    documents: DocumentRegistry, vm_lists: VmListRegistry
) -> list[OfferedRevision]:
    """Return an offer of each document in force and of the VM list."""
    offers = [
        OfferedRevision(service, version.revision, version.checksum)
        for service, version in documents.versions.items()
    ]
    if vm_lists.vm_list.revision:
        offers.append(vm_list_offer(vm_lists))
    return offers


def vm_list_offer(vm_lists: VmListRegistry) -> OfferedRevision:
    """Return the VM list in use as an offer."""
    return OfferedRevision(VM_LIST_NAME, vm_lists.vm_list.revision, vm_lists.checksum)


class RevisionServer:
    """Serves AskRevisions and RevisionRequest from the registries of one process.

    ``is_settled`` returns whether the process has completed its own start.
    """

    def __init__(
        self,
        documents: DocumentRegistry,
        vm_lists: VmListRegistry,
        is_settled: Callable[[], bool],
    ) -> None:
        self._documents = documents
        self._vm_lists = vm_lists
        self._is_settled = is_settled

    def register(self, handlers: HandlerTable) -> None:
        """Add handlers for both requests to ``handlers``."""
        handlers.add(AskRevisions, self._send_revisions)
        handlers.add(RevisionRequest, self._send_content)

    async def _send_revisions(self, stream: Stream, _: AskRevisions) -> None:
        offers = current_offers(self._documents, self._vm_lists)
        await stream.send(Revisions(self._is_settled(), offers))

    async def _send_content(self, stream: Stream, request: RevisionRequest) -> None:
        if request.service == VM_LIST_NAME:
            await stream.send(VmListState(self._vm_lists.vm_list))
            return
        version = self._documents.get(request.service)
        if version is None:
            stream.reset("unknown", request.service)
            return
        await stream.send(
            DocumentState(request.service, version.revision, version.text)
        )
