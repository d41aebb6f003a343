"""Which gateways pass on what the others know, so that links grow slowly.

In a small fleet every gateway is linked with every other. In a large one a few
*relays* of each failure domain are, and every other gateway, a *member*, is
linked with one relay of its own domain. All gateways choose from what they know;
where two know of different VMs, both choices work until they agree.
"""

from collections.abc import Collection, Iterable

import xxhash

from dotterelpitch.protocol.gateway_messages import FleetVm

# A fleet up to this size needs no relays: fewer links than two relays would save.
MAX_MESH_VMS = 16
# One relay can go without its members waiting for a new one.
MIN_RELAYS_PER_DOMAIN = 2
# Bounds what one relay sends in each period.
MEMBERS_PER_RELAY = 24


def choose_relays(
    vms: Collection[FleetVm], mesh_vms: int = MAX_MESH_VMS
) -> dict[str, FleetVm]:
    """Return the relays by VM name: the VMs of each domain with the widest links.

    >>> vms = [FleetVm(f"vm-{n}", "a", f"10.0.0.{n}:1", 10 * n) for n in range(4)]
    >>> sorted(choose_relays(vms, mesh_vms=3))
    ['vm-2', 'vm-3']
    """
    if len(vms) <= mesh_vms:
        return {vm.name: vm for vm in vms}
    vms_by_domain: dict[str, list[FleetVm]] = {}
    for vm in vms:
        vms_by_domain.setdefault(vm.failure_domain, []).append(vm)
    return {
        relay.name: relay
        for in_domain in vms_by_domain.values()
        for relay in _select_widest(in_domain)
    }


def order_relays(own: FleetVm, relays: Iterable[FleetVm]) -> list[FleetVm]:
    """Return the relays that a member may use, the best one for it first.

    Those of its own failure domain come first; each member has an order of its
    own, which spreads the members over the relays.
    """
    return sorted(
        (relay for relay in relays if relay.name != own.name),
        key=lambda relay: (
            relay.failure_domain != own.failure_domain,
            _hash_rank(f"{own.name}/{relay.name}"),
        ),
    )


def _select_widest(vms: list[FleetVm]) -> list[FleetVm]:
    count = max(MIN_RELAYS_PER_DOMAIN, -(-len(vms) // MEMBERS_PER_RELAY))
    by_width = sorted(vms, key=lambda vm: (-vm.link_mbps, _hash_rank(vm.name)))
    return by_width[:count]


def _hash_rank(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
