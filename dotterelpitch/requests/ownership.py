"""Finds the slot of a key and the VMs that may own and lease the slot.

The key space is cut into a fixed number of slots. A slot's home failure domain
is found by rendezvous over the domains of the VM list, and the slot's *group*
is made of that domain's entry VMs, with witnesses from other domains until the
group has an odd number of members and at least three. So a domain of two VMs
serves alone when it is cut off, and one VM of it serves with its witness when
the other is killed.
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

    ``owners`` are VMs of the home domain, ``witnesses`` VMs of others.
    """

    revision: int
    owners: list[str]
    witnesses: list[str]

    @property
    def members(self) -> list[str]:
        """All VMs whose promises count."""
        return [*self.owners, *self.witnesses]

    @property
    def majority(self) -> int:
        """How many members make a quorum."""
        return len(self.members) // 2 + 1

    def same_members(self, other: "GroupConfig") -> bool:
        """Whether quorums of both are drawn from the same VMs."""
        return set(self.members) == set(other.members)

    def candidates(self, slot: int) -> list[str]:
        """Return the members in the order in which they should own ``slot``."""
        key = f"slot-{slot}"
        return rank(key, self.owners) + rank(key, self.witnesses)


def slot_of(service: str, key: str) -> int:
    """Return the slot of a key; it never changes.

    >>> slot_of("enrolment", "k1") == slot_of("enrolment", "k1")
    True
    """
    return rendezvous_score(service, key) % SLOT_COUNT


def slot_group(vm_list: VmList, slot: int) -> GroupConfig:
    """Return the group of ``slot`` in ``vm_list``; empty when no VM is live."""
    entries = vm_list.live_entry_vms()
    home = best(f"slot-{slot}", sorted({vm.failure_domain for vm in entries}))
    if home is None:
        return GroupConfig(vm_list.revision, [], [])
    local = rank(home, [vm.name for vm in entries if vm.failure_domain == home])
    owners = local[:MAX_GROUP_OWNERS]
    others = [vm for vm in entries if vm.failure_domain != home]
    wanted = max(MIN_GROUP_MEMBERS - len(owners), 1 - len(owners) % 2)
    return GroupConfig(
        vm_list.revision, sorted(owners), _witnesses(home, others, wanted)
    )


def _witnesses(home: str, others: list[Vm], wanted: int) -> list[str]:
    """Return up to ``wanted`` VMs, from as many failure domains as can be."""
    domain_order = rank(home, {vm.failure_domain for vm in others})
    names_by_domain = {
        domain: rank(home, [vm.name for vm in others if vm.failure_domain == domain])
        for domain in domain_order
    }
    chosen: list[str] = []
    for depth in range(wanted):
        for domain in domain_order:
            names = names_by_domain[domain]
            if depth < len(names) and len(chosen) < wanted:
                chosen.append(names[depth])
    return sorted(chosen)
