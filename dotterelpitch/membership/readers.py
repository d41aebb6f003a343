"""Selects the VMs that watch the platform for one service.

In each failure domain, rendezvous hashing over the listed VMs that aren't
suspected selects a few readers, which keep a watch on the platform. All other
VMs receive the documents over the internal streams. The number of watches is
readers x failure domains x services, whatever the size of the fleet.
"""

from collections.abc import Collection, Iterable

from dotterelpitch.hashing import rendezvous_rank
from dotterelpitch.membership.model import Vm

READERS_PER_DOMAIN = 2


def choose_readers(
    service: str,
    failure_domain: str,
    entries: Iterable[Vm],
    suspected: Collection[str] = (),
    platform_unreachable: Collection[str] = (),
) -> list[str]:
    """Return the readers of ``service`` in ``failure_domain``.

    ``platform_unreachable`` names the VMs that report that the platform doesn't
    answer them; they are used only when every unsuspected VM is among them. If
    all VMs of the failure domain are suspected, all of them are candidates.

    >>> vms = [Vm(f"vm-{n}", "a") for n in range(9)]
    >>> first = choose_readers("swaps", "a", vms)
    >>> len(first), set(first) & set(choose_readers("swaps", "a", vms, first))
    (2, set())
    """
    names = [vm.name for vm in entries if vm.failure_domain == failure_domain]
    unsuspected = [name for name in names if name not in suspected]
    usable = [name for name in unsuspected if name not in platform_unreachable]
    for candidates in (usable, unsuspected, names):
        if candidates:
            return rendezvous_rank(service, candidates)[:READERS_PER_DOMAIN]
    return []


def is_reader(
    vm: str,
    service: str,
    failure_domain: str,
    entries: Iterable[Vm],
    suspected: Collection[str] = (),
    platform_unreachable: Collection[str] = (),
) -> bool:
    """Return whether ``vm`` is a reader of ``service``.

    Every VM is one while no VM of the failure domain is listed.
    """
    readers = choose_readers(
        service, failure_domain, entries, suspected, platform_unreachable
    )
    return not readers or vm in readers


if __name__ == "__main__":
    from collections import Counter

    fleet = [Vm(f"vm-{n}", f"domain-{n % 4}") for n in range(370)]
    watches = Counter(
        reader
        for n in range(28)
        for domain in range(4)
        for reader in choose_readers(f"service-{n}", f"domain-{domain}", fleet)
    )
    print("watches of the fleet", watches.total())
    print("watches of the busiest VM", max(watches.values()))
