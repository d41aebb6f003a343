"""Keeps the highest revision of the VM list that this process has received.

Ownership and leases depend on the list. It must not revert to a lower revision
that a stale platform serves, or one that was restored from an older state.
"""

from enum import StrEnum

import attrs
import msgpack
import xxhash

from dotterelpitch.membership.model import VmList
from dotterelpitch.telemetry.events import Event, log_event

# Identifies the VM list where a service name identifies a document.
VM_LIST_NAME = ""


class VmListOfferResult(StrEnum):
    """How the registry handled an offered list."""

    IN_USE = "in-use"
    KNOWN = "known"
    OLDER = "older"


class VmListRegistry:
    """Holds the VM list that one process uses.

    >>> registry = VmListRegistry()
    >>> registry.offer(VmList(4), "platform").value
    'in-use'
    >>> registry.offer(VmList(3), "platform").value
    'older'
    """

    def __init__(self) -> None:
        self._vm_list = VmList()
        self._checksum = 0
        self._logged_older_revision = 0

    @property
    def vm_list(self) -> VmList:
        """The list in use; empty with revision 0 before the first offer."""
        return self._vm_list

    @property
    def checksum(self) -> int:
        """The hash that orders two different lists with the same revision."""
        return self._checksum

    def wants(self, revision: int, checksum: int) -> bool:
        """Return whether a list with ``revision`` and ``checksum`` would be used."""
        return (revision, checksum) > (self._vm_list.revision, self._checksum)

    def offer(self, vm_list: VmList, source: str) -> VmListOfferResult:
        """Use ``vm_list`` if it is newer than the one in use; return the result.

        ``source`` is logged. Of two lists with the same revision, the one with
        the higher checksum counts as newer.
        """
        if vm_list.revision < self._vm_list.revision:
            self._log_older(vm_list, source)
            return VmListOfferResult.OLDER
        checksum = vm_list_checksum(vm_list)
        if not self.wants(vm_list.revision, checksum):
            return VmListOfferResult.KNOWN
        self._vm_list = vm_list
        self._checksum = checksum
        log_event(
            Event.VM_LIST_CHANGED,
            revision=vm_list.revision,
            vms=len(vm_list.vms),
            source=source,
        )
        return VmListOfferResult.IN_USE

    def _log_older(self, vm_list: VmList, source: str) -> None:
        if self._logged_older_revision == vm_list.revision:
            return
        self._logged_older_revision = vm_list.revision
        log_event(
            Event.VM_LIST_OLDER_IGNORED,
            revision=vm_list.revision,
            in_use=self._vm_list.revision,
            source=source,
        )


def vm_list_checksum(vm_list: VmList) -> int:
    """Return a hash of the listed VMs that doesn't depend on their order."""
    rows = sorted(attrs.astuple(vm) for vm in vm_list.vms)
    return xxhash.xxh3_64_intdigest(msgpack.packb(rows))
