"""Which VM admits requests to an endpoint, and which of two claims prevails.

Each endpoint has one admission owner: a live entry VM, found by rendezvous
hashing over the published VM list, in the endpoint's failure domain if that has
any. While all entry VMs are leaving, one of them remains the owner.

Two VMs that read different lists may both consider themselves the owner of an
engine. The claim from the higher list revision prevails, and the other owner
steps down: it admits nothing more, but keeps reporting what it still has in
flight.
"""

from enum import Enum

from attrs import frozen

from dotterelpitch import hashing
from dotterelpitch.membership.model import Vm, VmList


def admission_owner(
    endpoint: str, failure_domain: str, vm_list: VmList, unreachable: frozenset[str]
) -> Vm | None:
    """Return the owner of ``endpoint`` in ``vm_list``, or None if it has no entry VM.

    The candidates are the live entry VMs of the failure domain, or all live
    entry VMs if it has none, or all entry VMs if none is live. Candidates in
    ``unreachable`` are skipped unless all of them are.
    """
    live = vm_list.live_entry_vms()
    for pool in (vm_list.live_entry_vms(failure_domain), live, vm_list.entry_vms()):
        reachable = [vm for vm in pool if vm.name not in unreachable]
        if reachable or pool:
            by_name = {vm.name: vm for vm in reachable or pool}
            return by_name[hashing.rendezvous_best(endpoint, by_name)]
    return None


@frozen
class Claim:
    """A VM's claim to own an engine, derived from one revision of the VM list."""

    engine: str
    vm: str
    revision: int


class ClaimResolution(Enum):
    """What an owner does with its own claim when another VM claims the engine."""

    KEEP = "keep"
    STEP_DOWN = "step down"


def resolve_claims(own: Claim, other: Claim) -> ClaimResolution:
    """Return what the owner with claim ``own`` does when it receives ``other``.

    Two owners always agree on which of them remains, in whichever order they
    receive the claims. Equal revisions occur when the owners disagree on which
    VMs are reachable; rendezvous hashing then decides between the two.

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
    wins = hashing.rendezvous_best(own.engine, [own.vm, other.vm]) == own.vm
    return ClaimResolution.KEEP if wins else ClaimResolution.STEP_DOWN
