"""Selects the gateways that relay digests, to limit the number of links.

A small fleet is a full mesh. In a large one, a few *relays* of each failure domain
form a mesh, and every other gateway, a *member*, has a link to one relay of its own
domain. Each gateway selects from the VMs that it knows; while two gateways know
different VMs, both selections work until they converge.
"""

from collections.abc import Collection, Iterable

import xxhash

from dotterelpitch.protocol.gateway_messages import FleetVm

# Largest fleet that is a full mesh: relays would save it few links.
MAX_MESH_VMS = 16
# If one relay fails, its members can use the other without waiting for a new one.
MIN_RELAYS_PER_DOMAIN = 2
# Bounds the digests that one relay sends per period.
MEMBERS_PER_RELAY = 24


def choose_relays(
    vms: Collection[FleetVm], mesh_vms: int = MAX_MESH_VMS
) -> dict[str, FleetVm]:
    """Return the relays by VM name: those of each domain with the most bandwidth.

    All VMs are relays in a fleet of up to ``mesh_vms``.

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
        for relay in _select_by_bandwidth(in_domain)
    }


def order_relays(own: FleetVm, relays: Iterable[FleetVm]) -> list[FleetVm]:
    """Return the relays that a member may use, in order of preference.

    Relays of its own failure domain come first. The order within a domain is a
    rendezvous hash of member and relay, which spreads the members over the relays.
    """
    return sorted(
        (relay for relay in relays if relay.name != own.name),
        key=lambda relay: (
            relay.failure_domain != own.failure_domain,
            _hash_rank(f"{own.name}/{relay.name}"),
        ),
    )


def _select_by_bandwidth(vms: list[FleetVm]) -> list[FleetVm]:
    count = max(MIN_RELAYS_PER_DOMAIN, -(-len(vms) // MEMBERS_PER_RELAY))
    by_bandwidth = sorted(vms, key=lambda vm: (-vm.link_mbps, _hash_rank(vm.name)))
    return by_bandwidth[:count]


def _hash_rank(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
