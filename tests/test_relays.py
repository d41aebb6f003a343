"""Large fleets are linked through relays: the choice, the counts, and lost relays.

Gateways are driven without network: what one sends on a link is handed to the
other in the same step.
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
WIDE_MBPS = 200
NARROW_MBPS = 10


def make_vms(count, domains="abc", wide=6):
    return [
        FleetVm(
            f"vm{n:03}",
            domains[n % len(domains)],
            f"10.0.0.{n}:1",
            WIDE_MBPS if n < wide else NARROW_MBPS,
        )
        for n in range(count)
    ]


@pytest.mark.parametrize(
    ("count", "mesh_vms", "wide", "relays"),
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
def test_how_many_vms_are_relays(count, mesh_vms, wide, relays):
    chosen = choose_relays(make_vms(count, wide=wide), mesh_vms)
    assert len(chosen) == relays
    if relays < count:
        widths = [vm.link_mbps for vm in chosen.values()]
        assert widths.count(WIDE_MBPS) == min(wide, relays)


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
class Member:
    """One gateway's beliefs without its sockets."""

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
class Fleet:
    """Gateways that hand their digests to one another; some may be cut off."""

    clock: ManualClock
    member_by_address: dict
    links: dict = field(factory=dict)
    dead: set = field(factory=set)
    cut: set = field(factory=set)
    dials_in_vain: list = field(factory=list)

    @property
    def alive(self):
        return {
            name: member
            for name, member in self.member_by_address.items()
            if name not in self.dead
        }

    def run(self, seconds):
        for _ in range(int(seconds / PERIOD_SECONDS)):
            self.clock.advance(PERIOD_SECONDS)
            for address, member in self.alive.items():
                member.topology.update()
                self._redial(address, member)
            for (dialler, listener), pair in list(self.links.items()):
                self._exchange(dialler, listener, pair)

    def _redial(self, address, member):
        wanted = member.topology.wanted_addresses()
        for other in wanted:
            if not member.topology.should_dial(other):
                continue
            if self._is_silent(address, other):
                self.dials_in_vain.append(address)
                member.fleet.mark_unreachable(other)
                continue
            self._open(address, other)
        for dialler, listener in list(self.links):
            is_kept = listener in wanted or member.topology.is_in_use(listener)
            if dialler == address and not is_kept:
                self._close(dialler, listener)

    def _is_silent(self, one, other):
        is_across_the_cut = (one in self.cut) != (other in self.cut)
        return is_across_the_cut or bool({one, other} & self.dead)

    def _open(self, dialler, listener):
        first, second = (
            self.member_by_address[dialler],
            self.member_by_address[listener],
        )
        pair = Link(second.vm, None), Link(first.vm, None)
        self.links[dialler, listener] = pair
        for member, link in zip((first, second), pair, strict=True):
            member.links.add(link)
            member.fleet.add_linked(link.peer)

    def _close(self, dialler, listener):
        pair = self.links.pop((dialler, listener))
        for address, link in zip((dialler, listener), pair, strict=True):
            member = self.member_by_address[address]
            if member.links.remove(link):
                member.fleet.remove_linked(link.peer)
                member.loads.remove_source(link.peer.name)

    def _exchange(self, dialler, listener, pair):
        if self._is_silent(dialler, listener):
            for address, other in ((dialler, listener), (listener, dialler)):
                self.member_by_address[address].fleet.mark_unreachable(other)
            self._close(dialler, listener)
            return
        first, second = (
            self.member_by_address[dialler],
            self.member_by_address[listener],
        )
        self._hand_over(first, pair[0], second, pair[1])
        self._hand_over(second, pair[1], first, pair[0])

    def _hand_over(self, sender, out, receiver, into):
        receiver.fleet.record_list(sender.vm.name, sender.topology.fleet_list_for(out))
        receiver.digests.apply(into, sender.digests.make(out))


def make_fleet(count, wide=6):
    clock = ManualClock(100.0)
    vms = make_vms(count, wide=wide)
    seeds = [vm.address for vm in vms[:3]]
    return Fleet(clock, {vm.address: Member(vm, clock, seeds) for vm in vms})


def loads_seen(fleet):
    return {
        name: member.loads.totals(["e1"])["e1"] for name, member in fleet.alive.items()
    }


@pytest.mark.parametrize("count", [2, 9, 17, 58])
def test_every_vm_learns_the_load_of_the_whole_fleet_once(count):
    fleet = make_fleet(count)
    for member in fleet.alive.values():
        member.loads.request_started("e1")
    fleet.run(5.0)
    assert set(loads_seen(fleet).values()) == {count}


def test_links_grow_with_the_vms_and_not_with_their_square():
    fleet = make_fleet(58)
    fleet.run(10.0)
    links = {frozenset(pair) for pair in fleet.links}
    assert len(links) <= 58 - 6 + 6 * 5 / 2 + 3
    busiest = max(len(member.links.peers()) for member in fleet.alive.values())
    assert busiest <= 24


@pytest.mark.parametrize(("lost", "seconds"), [(1, 4.0), (2, 4.0), (3, 4.0), (6, 8.0)])
def test_after_lost_relays_the_others_know_all_loads_again(lost, seconds):
    fleet = make_fleet(58)
    for member in fleet.alive.values():
        member.loads.request_started("e1")
    fleet.run(5.0)
    relays = [a for a, member in fleet.alive.items() if member.topology.is_relay]
    fleet.dead |= set(relays[:lost])
    fleet.run(seconds)
    assert set(loads_seen(fleet).values()) == {58 - lost}


def test_two_parts_of_a_fleet_join_soon_after_a_cut():
    fleet = make_fleet(58)
    for member in fleet.alive.values():
        member.loads.request_started("e1")
    fleet.run(5.0)
    cut_off = {a for a, m in fleet.alive.items() if m.vm.failure_domain == "a"}
    fleet.cut = cut_off
    fleet.run(6.0)
    assert set(loads_seen(fleet).values()) == {len(cut_off), 58 - len(cut_off)}
    fleet.cut = set()
    fleet.run(UNREACHABLE_RETRY_SECONDS + 2.0)
    assert set(loads_seen(fleet).values()) == {58}


def test_a_fleet_that_lost_all_its_seeds_and_relays_finds_itself_again():
    fleet = make_fleet(30, wide=3)
    fleet.run(5.0)
    fleet.dead |= set(list(fleet.member_by_address)[:6])
    fleet.run(LIST_TTL_SECONDS + 8.0)
    sizes = {len(member.fleet.known()) for member in fleet.alive.values()}
    assert sizes == {24}


def test_a_seed_that_is_gone_for_good_is_dialled_seldom():
    fleet = make_fleet(9)
    fleet.dead.add("10.0.0.0:1")
    fleet.run(30.0)
    fleet.dials_in_vain.clear()
    fleet.run(60.0)
    assert 0 < len(fleet.dials_in_vain) <= 8 * 60 / UNREACHABLE_RETRY_SECONDS


def test_crashes_reach_every_vm_and_are_sent_once_on_a_link():
    fleet = make_fleet(58)
    fleet.run(5.0)
    first, *_, last = fleet.alive.values()
    last.suspects.engine_died("e1", "run", ["f"])
    fleet.run(2.0)
    for member in fleet.alive.values():
        assert member.suspects.verdict("f") is CrashVerdict.ALONE
    link = first.links.all()[0]
    assert first.digests.make(link).crashes == []
