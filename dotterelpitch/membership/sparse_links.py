"""Plans which peers a process keeps a connection to.

Within a failure domain, the VMs form a few rings, each in its own hash order, and
every VM links to its successor on each ring. The union of these rings has a small
diameter, at a degree that doesn't grow with the fleet. Between two failure domains
a few links suffice, which the VMs that rank first for the pair keep.
"""

from collections.abc import Collection, Iterable

from attrs import field, frozen

from dotterelpitch.hashing import rank, rendezvous_score
from dotterelpitch.membership.model import Vm

RINGS_PER_DOMAIN = 2
LINKS_BETWEEN_DOMAINS = 3


@frozen
class LinkPlan:
    """The names of the VMs that one VM connects to."""

    within_domain: list[str] = field(factory=list)
    across_domains: list[str] = field(factory=list)

    def peers(self) -> set[str]:
        """Return the peers of both kinds."""
        return {*self.within_domain, *self.across_domains}


def plan_links(
    vm: str, failure_domain: str, entries: Iterable[Vm], suspected: Collection[str]
) -> LinkPlan:
    """Return the links of ``vm`` among the listed ``entries``.

    Suspected VMs are left out, unless all VMs of a failure domain are suspected.
    They are then included, so that the end of a network partition is noticed.

    >>> vms = [Vm(f"a{n}", "a") for n in range(5)] + [Vm("b0", "b")]
    >>> plan = plan_links("b0", "b", vms, suspected=())
    >>> len(plan.within_domain), len(plan.across_domains)
    (0, 3)
    """
    names_by_domain = _names_by_domain(entries)
    names_by_domain.setdefault(failure_domain, set()).add(vm)
    usable_by_domain = {
        domain: (names - set(suspected)) or names
        for domain, names in names_by_domain.items()
    }
    own_names = usable_by_domain.pop(failure_domain) | {vm}
    across: set[str] = set()
    for domain, names in usable_by_domain.items():
        across.update(_links_between(vm, failure_domain, own_names, domain, names))
    return LinkPlan(sorted(_successors(vm, own_names)), sorted(across))


def _names_by_domain(entries: Iterable[Vm]) -> dict[str, set[str]]:
    names_by_domain: dict[str, set[str]] = {}
    for entry in entries:
        names_by_domain.setdefault(entry.failure_domain, set()).add(entry.name)
    return names_by_domain


def _successors(vm: str, names: set[str]) -> set[str]:
    successors = set()
    for ring in range(RINGS_PER_DOMAIN):
        key = f"ring-{ring}"
        order = sorted(names, key=lambda name, key=key: rendezvous_score(key, name))
        successors.add(order[(order.index(vm) + 1) % len(order)])
    return successors - {vm}


def _links_between(
    vm: str,
    own_domain: str,
    own_names: set[str],
    other_domain: str,
    other_names: set[str],
) -> set[str]:
    pair = "-".join(sorted((own_domain, other_domain)))
    position = rank(pair, own_names).index(vm)
    if position >= LINKS_BETWEEN_DOMAINS:
        return set()
    ranked = rank(pair, other_names)
    peers = {ranked[position % len(ranked)]}
    if len(own_names) < LINKS_BETWEEN_DOMAINS:
        # A domain with fewer VMs than links has several links on one VM.
        extra = range(position, LINKS_BETWEEN_DOMAINS, len(own_names))
        peers.update(ranked[index] for index in extra if index < len(ranked))
    return peers


def probe_target(vm: str, suspected: Collection[str], turn: int) -> str | None:
    """Return the suspected VM to try to connect to in this ``turn``, or None.

    Successive turns cycle through all suspected VMs. Each process tries one at a
    time, so that the parts of a partitioned fleet find each other again without a
    flood of connection attempts.
    """
    if not suspected:
        return None
    order = rank(vm, suspected)
    return order[turn % len(order)]


if __name__ == "__main__":
    fleet = [Vm(f"vm-{n}", f"domain-{n % 4}") for n in range(370)]
    degree_by_name = dict.fromkeys((vm.name for vm in fleet), 0)
    for member in fleet:
        for peer in plan_links(member.name, member.failure_domain, fleet, ()).peers():
            degree_by_name[member.name] += 1
            degree_by_name[peer] += 1
    print("links per VM at most", max(degree_by_name.values()))
