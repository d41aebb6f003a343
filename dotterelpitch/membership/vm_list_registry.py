"""Keeps the highest revision of the VM list that this process has seen.

Ownership and leases rest on the list, so it must not go back when a stale
platform, or one restored from an older state, serves a lower revision.
"""

from enum import StrEnum

import attrs
import msgpack
import xxhash

from dotterelpitch.membership.model import VmList
from dotterelpitch.telemetry.events import Event, log_event

VM_LIST_NAME = ""


class VmListOfferResult(StrEnum):
    """What became of an offered list."""

    IN_USE = "in-use"
    KNOWN = "known"
    OLDER = "older"


class VmListRegistry:
    """The VM list in use in one process.

    >>> registry = VmListRegistry()
    >>> registry.offer(VmList(4), "platform").value
    'in-use'
    >>> registry.offer(VmList(3), "platform").value
    'older'
    """

    def __init__(self) -> None:
        self._vm_list = VmList()
        self._checksum = 0
        self._reported_older = 0

    @property
    def vm_list(self) -> VmList:
        """The list in use; revision 0 and empty before the first."""
        return self._vm_list

    @property
    def checksum(self) -> int:
        """The hash that decides between two lists of one revision."""
        return self._checksum

    def wants(self, revision: int, checksum: int) -> bool:
        """Tell whether a peer's list would replace ours."""
        return (revision, checksum) > (self._vm_list.revision, self._checksum)

    def offer(self, vm_list: VmList, source: str) -> VmListOfferResult:
        """Use ``vm_list`` if its revision is higher than the present one."""
        if vm_list.revision < self._vm_list.revision:
            self._report_older(vm_list, source)
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

    def _report_older(self, vm_list: VmList, source: str) -> None:
        if self._reported_older == vm_list.revision:
            return
        self._reported_older = vm_list.revision
        log_event(
            Event.VM_LIST_OLDER_IGNORED,
            revision=vm_list.revision,
            in_use=self._vm_list.revision,
            source=source,
        )


def vm_list_checksum(vm_list: VmList) -> int:
    """Return a hash of the list's content that doesn't depend on its order."""
    rows = sorted(attrs.astuple(vm) for vm in vm_list.vms)
    return xxhash.xxh3_64_intdigest(msgpack.packb(rows))
