"""Which VM admits work to an endpoint, and which of two claims holds.

Each endpoint has one admission owner: a live entry VM, found by rendezvous over
the published list, in the endpoint's failure domain when that has any. While all
entry VMs are leaving, one of them goes on as the owner. Two VMs
that read different lists may both believe that they own an engine. The claim
from the higher list revision holds, and the other owner steps down: it admits
nothing more, and goes on reporting what it still has in flight.
"""

from enum import Enum

from attrs import frozen

from dotterelpitch import hashing
from dotterelpitch.membership.model import Vm, VmList


def admission_owner(
    endpoint: str, failure_domain: str, vm_list: VmList, unreachable: frozenset[str]
) -> Vm | None:
    """Return the owner of ``endpoint`` in ``vm_list``, or None without entry VMs.

    VMs in ``unreachable`` are passed over while another one is left.
    """
    live = vm_list.live_entry_vms()
    for pool in (vm_list.live_entry_vms(failure_domain), live, vm_list.entry_vms()):
        reachable = [vm for vm in pool if vm.name not in unreachable]
        if reachable or pool:
            by_name = {vm.name: vm for vm in reachable or pool}
            return by_name[hashing.best(endpoint, by_name)]
    return None


@frozen
class Claim:
    """One VM's belief that it owns an engine, from one list revision."""

    engine: str
    vm: str
    revision: int


class ClaimResolution(Enum):
    """What becomes of an owner's own claim beside another one."""

    KEEP = "keep"
    STEP_DOWN = "step down"


def resolve_claims(own: Claim, other: Claim) -> ClaimResolution:
    """Return what the maker of ``own`` does when it hears of ``other``.

    Two owners always settle on the same one, in whichever order they hear.
    At equal revisions, which happen when the owners disagree on who is
    reachable, rendezvous decides between the two claimants.

    >>> resolve_claims(Claim("e1", "vm-a", 4), Claim("e1", "vm-b", 5))
    <ClaimResolution.STEP_DOWN: 'step down'>
    """
    if own.vm == other.vm:
        return ClaimResolution.KEEP
    if own.revision != other.revision:
        return (
            ClaimResolution.KEEP
            if own.revision > other.revision
            else ClaimResolution.STEP_DOWN
        )
    wins = hashing.best(own.engine, [own.vm, other.vm]) == own.vm
    return ClaimResolution.KEEP if wins else ClaimResolution.STEP_DOWN
