"""Tells starting processes which documents and which VM list are in force here.

Agents and routers both answer, so that one process of either kind that
remembers a document is enough for all that start.
"""

from collections.abc import Callable

from dotterelpitch.documents.registry import DocumentRegistry
from dotterelpitch.documents.startup import OfferedRevision
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
    """Return every version in force, the VM list among them."""
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
    """Answers AskRevisions and RevisionRequest from one process's registries.

    ``is_settled`` tells whether the process has itself completed its start.
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
        """Answer both requests on ``handlers``."""
        handlers.add(AskRevisions, self._answer)
        handlers.add(RevisionRequest, self._answer_request)

    async def _answer(self, stream: Stream, _: AskRevisions) -> None:
        offers = current_offers(self._documents, self._vm_lists)
        await stream.send(Revisions(self._is_settled(), offers))

    async def _answer_request(self, stream: Stream, request: RevisionRequest) -> None:
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
