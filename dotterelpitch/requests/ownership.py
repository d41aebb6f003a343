"""Maps keys to slots, and slots to the VMs that may own them.

The key space is divided into a fixed number of slots. Rendezvous hashing over
the failure domains of the VM list selects a slot's home domain. The slot's
*group* consists of that domain's entry VMs and of witnesses from other domains,
which are added until the group has an odd number of members and at least three.
A home domain of two VMs can therefore serve alone when it is partitioned from
the others, and one of its VMs can serve with the witness when the other VM is
killed.
"""

from attrs import frozen

from dotterelpitch.hashing import best, rank, rendezvous_score
from dotterelpitch.membership.model import Vm, VmList

SLOT_COUNT = 32
MAX_GROUP_OWNERS = 5
MIN_GROUP_MEMBERS = 3


@frozen
class GroupConfig:
    """The group of one slot at one revision of the VM list.

    ``owners`` are VMs of the home domain, ``witnesses`` VMs of other domains.
    All of them vote on leases; witnesses own the slot only as a last resort.
    """

    revision: int
    owners: list[str]
    witnesses: list[str]

    @property
    def members(self) -> list[str]:
        """All VMs that vote on the slot's leases."""
        return [*self.owners, *self.witnesses]

    @property
    def majority(self) -> int:
        """The number of members in a quorum."""
        return len(self.members) // 2 + 1

    def same_members(self, other: "GroupConfig") -> bool:
        """Return whether both configs have the same members, in whatever role."""
        return set(self.members) == set(other.members)

    def candidates(self, slot: int) -> list[str]:
        """Return the members by their preference as owner of ``slot``, best first."""
        key = f"slot-{slot}"
        return rank(key, self.owners) + rank(key, self.witnesses)


def slot_of(service: str, key: str) -> int:
    """Return the slot of a key, which never changes and is the same everywhere.

    >>> slot_of("enrolment", "k1") == slot_of("enrolment", "k1")
    True
    """
    return rendezvous_score(service, key) % SLOT_COUNT


def slot_group(vm_list: VmList, slot: int) -> GroupConfig:
    """Return the group of ``slot`` under ``vm_list``; empty if no VM is live."""
    entries = vm_list.live_entry_vms()
    home = best(f"slot-{slot}", sorted({vm.failure_domain for vm in entries}))
    if home is None:
        return GroupConfig(vm_list.revision, [], [])
    local = rank(home, [vm.name for vm in entries if vm.failure_domain == home])
    owners = local[:MAX_GROUP_OWNERS]
    others = [vm for vm in entries if vm.failure_domain != home]
    witness_count = max(MIN_GROUP_MEMBERS - len(owners), 1 - len(owners) % 2)
    return GroupConfig(
        vm_list.revision, sorted(owners), _witnesses(home, others, witness_count)
    )


def _witnesses(home: str, others: list[Vm], count: int) -> list[str]:
    """Return up to ``count`` VMs, spread over as many failure domains as possible."""
    domain_order = rank(home, {vm.failure_domain for vm in others})
    names_by_domain = {
        domain: rank(home, [vm.name for vm in others if vm.failure_domain == domain])
        for domain in domain_order
    }
    chosen: list[str] = []
    for depth in range(count):
        for domain in domain_order:
            names = names_by_domain[domain]
            if depth < len(names) and len(chosen) < count:
                chosen.append(names[depth])
    return sorted(chosen)
