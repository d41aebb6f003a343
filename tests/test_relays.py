"""Relays of large fleets: their selection, load totals, and failures of relays.

Gateways run without a network: what one sends on a link is applied at the other in
the same step.
"""

import pytest
from attrs import define, field

from dotterelpitch.clock import ManualClock
from dotterelpitch.gateway.digest_exchange import DigestExchange
from dotterelpitch.gateway.link import Link, LinkTable
from dotterelpitch.gateway.link_topology import LinkTopology
from dotterelpitch.gateway.peer_directory import (
    LIST_TTL_SECONDS,
    UNREACHABLE_RETRY_SECONDS,
    PeerDirectory,
)
from dotterelpitch.gateway.reader_selection import ReaderSelection
from dotterelpitch.gateway.relay_selection import choose_relays, order_relays
from dotterelpitch.gateway.state import GatewayState
from dotterelpitch.protocol.gateway_messages import FleetVm
from dotterelpitch.routing.crash_suspects import CrashSuspects, CrashVerdict
from dotterelpitch.routing.fleet_loads import FleetLoads

PERIOD_SECONDS = 0.25
FAST_LINK_MBPS = 200
SLOW_LINK_MBPS = 10


def make_vms(count, domains="abc", fast_links=6):
    return [
        FleetVm(
            f"vm{n:03}",
            domains[n % len(domains)],
            f"10.0.0.{n}:1",
            FAST_LINK_MBPS if n < fast_links else SLOW_LINK_MBPS,
        )
        for n in range(count)
    ]


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


@define(slots=False)
class SimulatedGateway:
    """The state of one gateway without its sockets."""

    vm: FleetVm
    clock: ManualClock
    seeds: list[str]
    links: LinkTable = field(factory=LinkTable)

    def __attrs_post_init__(self):
        self.fleet = PeerDirectory(self.clock, self.vm)
        self.topology = LinkTopology(self.clock, self.fleet, self.links, self.seeds)
        self.loads = FleetLoads(self.clock)
        self.suspects = CrashSuspects(self.clock, 3)
        self.digests = DigestExchange(
            self.vm.name,
            self.clock,
            GatewayState(self.clock),
            self.topology,
            self.links,
            self.loads,
            self.suspects,
            ReaderSelection(self.clock, self.vm.name, self.vm.failure_domain),
        )


@define
class SimulatedFleet:
    """Gateways that exchange digests; some may be dead or partitioned off.

    ``links`` holds both ends of each link by the addresses of its dialer and its
    listener. ``failed_dials`` holds the dialer of each failed attempt.
    """

    clock: ManualClock
    gateway_by_address: dict
    links: dict = field(factory=dict)
    dead: set = field(factory=set)
    partitioned: set = field(factory=set)
    failed_dials: list = field(factory=list)

    @property
    def alive(self):
        return {
            address: gateway
            for address, gateway in self.gateway_by_address.items()
            if address not in self.dead
        }

    def run(self, seconds):
        for _ in range(int(seconds / PERIOD_SECONDS)):
            self.clock.advance(PERIOD_SECONDS)
            for address, gateway in self.alive.items():
                gateway.topology.update()
                self._update_links(address, gateway)
            for (dialer, listener), pair in list(self.links.items()):
                self._exchange(dialer, listener, pair)

    def _update_links(self, address, gateway):
        wanted = gateway.topology.wanted_addresses()
        for other in wanted:
            if not gateway.topology.should_dial(other):
                continue
            if self._is_unreachable(address, other):
                self.failed_dials.append(address)
                gateway.fleet.mark_unreachable(other)
                continue
            self._open(address, other)
        for dialer, listener in list(self.links):
            is_kept = listener in wanted or gateway.topology.is_in_use(listener)
            if dialer == address and not is_kept:
                self._close(dialer, listener)

    def _is_unreachable(self, one, other):
        crosses_partition = (one in self.partitioned) != (other in self.partitioned)
        return crosses_partition or bool({one, other} & self.dead)

    def _open(self, dialer, listener):
        first, second = (
            self.gateway_by_address[dialer],
            self.gateway_by_address[listener],
        )
        pair = Link(second.vm, None), Link(first.vm, None)
        self.links[dialer, listener] = pair
        for gateway, link in zip((first, second), pair, strict=True):
            gateway.links.add(link)
            gateway.fleet.add_linked(link.peer)

    def _close(self, dialer, listener):
        pair = self.links.pop((dialer, listener))
        for address, link in zip((dialer, listener), pair, strict=True):
            gateway = self.gateway_by_address[address]
            if gateway.links.remove(link):
                gateway.fleet.remove_linked(link.peer)
                gateway.loads.remove_source(link.peer.name)

    def _exchange(self, dialer, listener, pair):
        if self._is_unreachable(dialer, listener):
            for address, other in ((dialer, listener), (listener, dialer)):
                self.gateway_by_address[address].fleet.mark_unreachable(other)
            self._close(dialer, listener)
            return
        first, second = (
            self.gateway_by_address[dialer],
            self.gateway_by_address[listener],
        )
        self._deliver(first, pair[0], second, pair[1])
        self._deliver(second, pair[1], first, pair[0])

    def _deliver(self, sender, sender_link, receiver, receiver_link):
        receiver.fleet.record_list(
            sender.vm.name, sender.topology.fleet_list_for(sender_link)
        )
        receiver.digests.apply(receiver_link, sender.digests.make(sender_link))


def make_fleet(count, fast_links=6):
    clock = ManualClock(100.0)
    vms = make_vms(count, fast_links=fast_links)
    seeds = [vm.address for vm in vms[:3]]
    return SimulatedFleet(
        clock, {vm.address: SimulatedGateway(vm, clock, seeds) for vm in vms}
    )


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
