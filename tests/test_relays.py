"""Relays of large fleets: their selection, load totals, and failures of relays."""

import pytest

from dotterelpitch.gateway.peer_directory import (
    LIST_TTL_SECONDS,
    UNREACHABLE_RETRY_SECONDS,
)
from dotterelpitch.gateway.relay_selection import choose_relays, order_relays
from dotterelpitch.routing.crash_suspects import CrashVerdict
from tests.harness.simulated_gateways import FAST_LINK_MBPS, make_fleet, make_vms


@pytest.mark.parametrize(
    ("count", "mesh_vms", "fast_links", "relays"),
    [
        (9, 16, 0, 9),
        (16, 16, 0, 16),
        (17, 16, 0, 6),
        (58, 16, 6, 6),
        (58, 16, 3, 6),
        (150, 16, 6, 9),
        (373, 16, 6, 18),
    ],
)
def test_number_of_relays(count, mesh_vms, fast_links, relays):
    chosen = choose_relays(make_vms(count, fast_links=fast_links), mesh_vms)
    assert len(chosen) == relays
    if relays < count:
        bandwidths = [vm.link_mbps for vm in chosen.values()]
        assert bandwidths.count(FAST_LINK_MBPS) == min(fast_links, relays)


def test_members_spread_over_the_relays_of_their_domain():
    vms = make_vms(58)
    relays = choose_relays(vms).values()
    first_by_member = {
        vm.name: order_relays(vm, relays)[0] for vm in vms if vm not in relays
    }
    for vm in vms:
        if vm.name in first_by_member:
            assert first_by_member[vm.name].failure_domain == vm.failure_domain
    names = [relay.name for relay in first_by_member.values()]
    assert all(names.count(relay.name) >= 3 for relay in relays)


def load_by_address(fleet):
    """Return the load of engine e1 as each gateway counts it."""
    return {
        address: gateway.loads.totals(["e1"])["e1"]
        for address, gateway in fleet.alive.items()
    }


@pytest.mark.parametrize("count", [2, 9, 17, 58])
def test_every_vm_counts_the_load_of_the_fleet_once(count):
    fleet = make_fleet(count)
    for gateway in fleet.alive.values():
        gateway.loads.request_started("e1")
    fleet.run(5.0)
    assert set(load_by_address(fleet).values()) == {count}


def test_number_of_links_grows_linearly():
    fleet = make_fleet(58)
    fleet.run(10.0)
    links = {frozenset(pair) for pair in fleet.links}
    assert len(links) <= 58 - 6 + 6 * 5 / 2 + 3
    max_links = max(len(gateway.links.peers()) for gateway in fleet.alive.values())
    assert max_links <= 24


@pytest.mark.parametrize(("lost", "seconds"), [(1, 4.0), (2, 4.0), (3, 4.0), (6, 8.0)])
def test_loads_are_complete_again_after_relay_failures(lost, seconds):
    fleet = make_fleet(58)
    for gateway in fleet.alive.values():
        gateway.loads.request_started("e1")
    fleet.run(5.0)
    relays = [a for a, gateway in fleet.alive.items() if gateway.topology.is_relay]
    fleet.dead |= set(relays[:lost])
    fleet.run(seconds)
    assert set(load_by_address(fleet).values()) == {58 - lost}


def test_fleet_merges_soon_after_a_partition_heals():
    fleet = make_fleet(58)
    for gateway in fleet.alive.values():
        gateway.loads.request_started("e1")
    fleet.run(5.0)
    cut_off = {a for a, g in fleet.alive.items() if g.vm.failure_domain == "a"}
    fleet.partitioned = cut_off
    fleet.run(6.0)
    assert set(load_by_address(fleet).values()) == {len(cut_off), 58 - len(cut_off)}
    fleet.partitioned = set()
    fleet.run(UNREACHABLE_RETRY_SECONDS + 2.0)
    assert set(load_by_address(fleet).values()) == {58}


def test_fleet_recovers_from_the_loss_of_all_seeds_and_relays():
    fleet = make_fleet(30, fast_links=3)
    fleet.run(5.0)
    fleet.dead |= set(list(fleet.gateway_by_address)[:6])
    fleet.run(LIST_TTL_SECONDS + 8.0)
    sizes = {len(gateway.fleet.known()) for gateway in fleet.alive.values()}
    assert sizes == {24}


def test_permanently_lost_seed_is_rarely_dialed():
    fleet = make_fleet(9)
    fleet.dead.add("10.0.0.0:1")
    fleet.run(30.0)
    fleet.failed_dials.clear()
    fleet.run(60.0)
    assert 0 < len(fleet.failed_dials) <= 8 * 60 / UNREACHABLE_RETRY_SECONDS


def test_crash_reports_reach_every_vm_and_are_sent_once_per_link():
    fleet = make_fleet(58)
    fleet.run(5.0)
    first, *_, last = fleet.alive.values()
    last.suspects.engine_died("e1", "run", ["f"])
    fleet.run(2.0)
    for gateway in fleet.alive.values():
        assert gateway.suspects.verdict("f") is CrashVerdict.ALONE
    link = first.links.all()[0]
    assert first.digests.make(link).crashes == []
