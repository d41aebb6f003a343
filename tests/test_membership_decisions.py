"""Unit tests of links, link monitors, views, readers, and gossip."""

import itertools
from collections import Counter

import pytest

from dotterelpitch.clock import ManualClock
from dotterelpitch.membership.gossip import (
    BURST_SECONDS,
    COPIES_PER_DIGEST,
    MAX_PAYLOAD_BYTES,
    ByteBudget,
    DigestStore,
    GossipDigest,
    Outbox,
    PublicationPacer,
    broadcast,
)
from dotterelpitch.membership.link_monitor import (
    MAX_RECOVERY_SECONDS,
    LinkMonitor,
    LinkState,
    PauseDetector,
)
from dotterelpitch.membership.model import Vm, VmList, VmState
from dotterelpitch.membership.readers import (
    READERS_PER_DOMAIN,
    choose_readers,
    is_reader,
)
from dotterelpitch.membership.sparse_links import plan_links, probe_target
from dotterelpitch.membership.view import (
    JOIN_GRACE_SECONDS,
    LinkReport,
    ViewBuilder,
    decode_link_reports,
    reachable_from,
)


def fleet(count, domains=4):
    return [Vm(f"vm-{n}", f"d{n % domains}") for n in range(count)]


def planned_links(vms, suspected=()):
    """Return the links that the VMs plan, each as the set of its two ends."""
    links = set()
    for vm in vms:
        plan = plan_links(vm.name, vm.failure_domain, vms, suspected)
        links.update(frozenset((vm.name, peer)) for peer in plan.peers())
    return links


def hops_from(links, start):
    """Return the number of links from ``start`` to every VM."""
    distance = {start: 0}
    frontier = {start}
    while frontier:
        near = {n for link in links if link & frontier for n in link} - set(distance)
        distance.update(dict.fromkeys(near, max(distance.values()) + 1))
        frontier = near
    return distance


@pytest.mark.parametrize(
    ("count", "domains", "max_degree", "max_hops"),
    [(2, 2, 1, 1), (6, 3, 4, 4), (8, 4, 7, 4), (93, 4, 10, 10), (370, 4, 11, 14)],
)
def test_links_connect_the_fleet_with_bounded_degree(
    count, domains, max_degree, max_hops
):
    vms = fleet(count, domains)
    links = planned_links(vms)
    degree = Counter(name for link in links for name in link)
    distance = hops_from(links, "vm-0")
    assert len(distance) == count
    assert max(degree.values()) <= max_degree
    assert max(distance.values()) <= max_hops


def test_links_bypass_suspected_vms_and_survive_a_domain_partition():
    vms = fleet(93)
    suspected_names = {vm.name for vm in vms[::9]}
    remaining = {
        link
        for link in planned_links(vms, suspected_names)
        if not link & suspected_names
    }
    assert len(hops_from(remaining, "vm-1")) == 93 - len(suspected_names)
    partitioned_names = {vm.name for vm in vms if vm.failure_domain == "d0"}
    own = plan_links("vm-1", "d1", vms, partitioned_names).across_domains
    all_across = [
        plan_links(vm.name, "d1", vms, partitioned_names).across_domains
        for vm in vms[1::4]
    ]
    assert any(partitioned_names & set(across) for across in [own, *all_across])


def test_probes_reach_every_suspected_vm_in_turn():
    suspected = {f"vm-{n}" for n in range(7)}
    assert {probe_target("me", suspected, turn) for turn in range(7)} == suspected
    assert probe_target("me", (), 3) is None


@pytest.mark.parametrize(
    ("steps", "state"),
    # A text is an action on the monitor, a number the seconds until the next one.
    [
        ([], LinkState.DOWN),
        (["received"], LinkState.UP),
        (["received", 2.4], LinkState.UP),
        (["received", 2.5], LinkState.DOWN),
        (["received", "disconnected", 0.9], LinkState.UP),
        (["received", "disconnected", 1.0], LinkState.DOWN),
        (["received", "disconnected", 0.9, "received", 0.9], LinkState.UP),
        (["received", 2.5, "received"], LinkState.RECOVERING),
        (["received", 2.5, "received", 0.9, "received"], LinkState.RECOVERING),
        (["received", 2.5, "received", 0.9, "received", 0.2], LinkState.UP),
        (["received", 2.5, "received", 2.6, "received", 1.0], LinkState.RECOVERING),
        (["received", 2.0, "reset", 2.0], LinkState.UP),
        (["received", 2.5, "check state", "reset"], LinkState.DOWN),
    ],
)
def test_link_state_has_hysteresis(steps, state):
    clock = ManualClock()
    monitor = LinkMonitor(clock)
    action_by_step = {
        "received": monitor.record_received,
        "disconnected": monitor.record_disconnect,
        "reset": monitor.reset_silence,
        "check state": lambda: monitor.state,
    }
    for step in steps:
        if isinstance(step, float):
            clock.advance(step)
        else:
            action_by_step[step]()
    assert monitor.state is state


def test_a_flapping_link_stays_down_longer_up_to_a_limit():
    clock = ManualClock()
    monitor = LinkMonitor(clock)
    monitor.record_received()
    waits = []
    for _ in range(7):
        clock.advance(3.0)
        assert monitor.state is LinkState.DOWN
        start = clock.monotonic()
        while monitor.state is not LinkState.UP:
            monitor.record_received()
            clock.advance(0.25)
        waits.append(clock.monotonic() - start)
    assert waits == sorted(waits)
    assert waits[0] <= 1.5
    assert MAX_RECOVERY_SECONDS <= waits[-1] <= MAX_RECOVERY_SECONDS + 0.5


def test_a_pause_is_detected_once():
    clock = ManualClock()
    detector = PauseDetector(clock)
    clock.advance(0.5)
    assert detector.tick() == 0.0
    clock.advance(9.0)
    assert (detector.tick(), detector.tick()) == (9.0, 0.0)


def report(*peers, **flags):
    return LinkReport("1", list(peers), **flags)


@pytest.mark.parametrize(
    ("reports", "reachable"),
    [
        ({}, {"a"}),
        ({"a": report("b"), "b": report("a")}, {"a", "b"}),
        ({"a": report("b"), "b": report()}, {"a"}),
        ({"a": report(), "b": report("a")}, {"a"}),
        ({"a": report("b"), "b": report("a", "c"), "c": report("b")}, set("abc")),
        ({"a": report("b"), "b": report("a"), "c": report("b")}, {"a", "b"}),
    ],
)
def test_a_link_counts_when_both_ends_report_it(reports, reachable):
    assert reachable_from("a", reports) == reachable


def test_the_view_tracks_suspected_leaving_and_joining_vms():
    clock = ManualClock()
    builder = ViewBuilder("a", clock)
    vms = [Vm(name, "d") for name in "abc"]
    vm_list = VmList(1, [*vms, Vm("x", "d", state=VmState.LEAVING)])
    reports = {
        "a": report("b"),
        "b": report("a", leaving=True, platform_reachable=False),
    }
    view = builder.build(vm_list, reports)
    assert view.suspected == set()
    assert view.leaving == {"b", "x"}
    assert view.platform_unreachable == {"b"}
    clock.advance(JOIN_GRACE_SECONDS)
    assert builder.build(vm_list, reports).suspected == {"c", "x"}
    assert builder.build(vm_list, {"a": report()}).suspected == {"b", "c", "x"}
    vm_list = VmList(2, [*vm_list.vms, Vm("new", "d")])
    assert builder.build(vm_list, reports).suspected == {"c", "x"}


def test_malformed_reports_are_skipped():
    good = report("b").encode()
    payloads = [("a", good), ("b", b""), ("c", b"\xc1"), ("d", b"\x93\x01\x02\x03")]
    assert set(decode_link_reports(payloads)) == {"a"}


def test_readers_are_few_and_replaced():
    vms = fleet(370)
    for domain in ("d0", "d1"):
        readers = choose_readers("s", domain, vms)
        assert len(readers) == READERS_PER_DOMAIN
        after = choose_readers("s", domain, vms, suspected=readers[:1])
        assert readers[1] == after[0] and readers[0] not in after
        assert readers[0] not in choose_readers("s", domain, vms, (), readers[:1])
    all_names = {vm.name for vm in vms}
    assert choose_readers("s", "d0", vms, (), all_names) == choose_readers(
        "s", "d0", vms
    )
    assert choose_readers("s", "d0", vms, all_names) == choose_readers("s", "d0", vms)


def test_an_unlisted_vm_reads_only_if_no_vm_is_listed():
    assert is_reader("new", "s", "d", [])
    assert not is_reader("new", "s", "d", [Vm("a", "d")])


@pytest.mark.parametrize("count", [8, 93, 370])
def test_watches_dont_grow_with_the_fleet(count):
    vms = fleet(count)
    watches = sum(
        is_reader(vm.name, f"s{n}", vm.failure_domain, vms)
        for vm in vms
        for n in range(28)
    )
    assert watches == 28 * 4 * READERS_PER_DOMAIN


def exchange(first, second, bucket, buckets):
    """Run anti-entropy for one of ``buckets`` buckets in both directions."""
    versions = first.versions(bucket, buckets)
    for digest in second.newer_than(versions, bucket, buckets):
        first.merge(digest)
    versions = second.versions(bucket, buckets)
    for digest in first.newer_than(versions, bucket, buckets):
        second.merge(digest)


def test_anti_entropy_makes_two_stores_equal():
    clock = ManualClock()
    stores = [DigestStore(name, clock) for name in ("a", "b")]
    for n, store in itertools.product(range(90), stores):
        store.merge(GossipDigest("load", f"vm-{n}", hash((n, store.vm)) % 7, b""))
    buckets = stores[0].bucket_count()
    assert buckets > 1
    for bucket in range(buckets):
        exchange(*stores, bucket, buckets)
    assert sorted(stores[0].all(), key=lambda d: d.key) == sorted(
        stores[1].all(), key=lambda d: d.key
    )


def test_a_restarted_origin_with_a_slow_clock_exceeds_its_old_versions():
    before = DigestStore("a", ManualClock(wall_offset=2e9)).publish("load", b"old")
    store = DigestStore("a", ManualClock(wall_offset=1e9))
    assert store.publish("load", b"new").version < before.version
    assert store.merge(before)
    current = store.get("load", "a")
    assert (current.payload, current.version > before.version) == (b"new", True)


def test_oversized_payloads_are_refused():
    with pytest.raises(ValueError, match="payload"):
        DigestStore("a", ManualClock()).publish("x", b"x" * (MAX_PAYLOAD_BYTES + 1))


def test_outbox_keeps_the_newest_and_sends_urgent_first():
    outbox = Outbox()
    digests = [
        GossipDigest("load", "a", 1, b"x"),
        GossipDigest("load", "a", 2, b"y"),
        GossipDigest("links", "b", 1, b"z"),
        GossipDigest("usage", "c", 1, b"z"),
    ]
    broadcast(digests, [outbox])
    outbox.acknowledge(GossipDigest("usage", "c", 1, b"z"))
    outbox.acknowledge(GossipDigest("links", "b", 0, b"z"))
    assert [d.topic for d in outbox.take(1e9, urgent_only=True)] == ["links"]
    assert outbox.take(5.0) == []
    assert [d.version for d in outbox.take(1e9)] == [2]
    assert len(outbox) == 0


def test_byte_budget_bounds_the_rate():
    clock = ManualClock()
    budget = ByteBudget(clock, 100.0)
    sent = 0.0
    for _ in range(100):
        if budget.available() > 0:
            budget.spend(60)
            sent += 60
        clock.advance(0.1)
    assert sent <= 100.0 * (10 + BURST_SECONDS) + 60


@pytest.mark.parametrize("origins", [6, 93, 370])
def test_publications_of_all_origins_fit_the_byte_rate(origins):
    clock = ManualClock()
    pacer = PublicationPacer(clock, 3000.0)
    published = 0
    for _ in range(40_000):
        pacer.offer("load", b"x" * 60)
        pacer.offer("usage", b"x" * 60)
        published += sum(len(payload) for _, payload in pacer.take_due(origins))
        clock.advance(0.1)
    rate = published * origins * COPIES_PER_DIGEST / 4000.0
    assert 1000.0 <= rate <= 3000.0


def test_urgent_topics_are_not_delayed_and_newer_payloads_replace_older_ones():
    pacer = PublicationPacer(ManualClock(), 100.0)
    pacer.offer("load", b"a")
    assert pacer.take_due(370) == [("load", b"a")]
    pacer.offer("load", b"b")
    pacer.offer("load", b"c")
    assert pacer.take_due(370) == []
    pacer.offer("suspects", b"d")
    assert pacer.take_due(370) == [("suspects", b"d")]
