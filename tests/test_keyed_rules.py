"""Tests of the rules that make keyed calls run at most once.

Most of them are a schedule in which a key would run twice, or a slot would have
two owners, if one of the rules didn't hold.

The group of the tested slot is a1 and a2 of its home domain, with b2 as witness.
"""

import pytest

from dotterelpitch.requests.keyed_owner import CallDecision
from dotterelpitch.requests.ledger import (
    EntryState,
    LedgerKey,
)
from dotterelpitch.requests.ownership import slot_group
from tests.keyed_world import (
    LEASE_SECONDS,
    SERVICE,
    SLOT,
    WINDOW_SECONDS,
    World,
    make_list,
    settled_world,
)

AFTER_LEASE_SECONDS = LEASE_SECONDS + 0.1
# Both skew margins (3 s) and the largest clock skew of a VM (0.4 s). A new owner
# runs keys that are created this long after its takeover.
AFTER_MARGINS_SECONDS = 3.5


@pytest.fixture
def world():
    """A settled fleet in which a1 holds the slot and new keys are served."""
    return settled_world()


def isolate(world, vm, on=True):
    """Cut the links of ``vm`` to all others in both directions, or restore them."""
    links = {(vm, other) for other in world.process_by_vm} | {
        (other, vm) for other in world.process_by_vm
    }
    links -= {(vm, vm)}
    world.cut_links = world.cut_links | links if on else world.cut_links - links


def test_group_is_filled_with_witnesses_to_an_odd_size_of_at_least_three():
    groups = {
        names: slot_group(make_list(1, names), SLOT)
        for names in [("a1", "a2", "b1", "b2", "c1"), ("a1",), ("a1", "a2"), ()]
    }
    sizes = [len(group.members) for group in groups.values()]
    assert sizes == [3, 1, 2, 0]


def test_fresh_fleet_serves_new_keys_one_lease_and_the_margins_after_its_start():
    world = World()
    started = world.clock.monotonic()
    decision = None
    while decision is not CallDecision.RUN:
        world.clock.advance(0.25)
        world.exchange("a1")
        world.exchange("a2")
        world.exchange("b2")
        decision = world.call("a1", world.new_key())
    assert world.clock.monotonic() - started <= LEASE_SECONDS + 3.0 + 0.75


def test_second_claimant_is_refused_while_a_promise_is_in_force(world):
    world.exchange("a2")
    assert world.holders() == ["a1"]


def test_killed_owner_of_a_two_vm_domain_is_replaced_by_the_other_vm(world):
    world.process_by_vm["a1"].paused = True
    world.clock.advance(AFTER_LEASE_SECONDS)
    world.exchange("a2")
    assert world.holders() == ["a2"]
    world.clock.advance(AFTER_MARGINS_SECONDS)
    world.exchange("a2")
    assert world.run("a2", world.new_key()) is CallDecision.RUN


def test_partitioned_two_vm_domain_keeps_serving(world):
    isolate(world, "b2")
    for _ in range(3):
        world.clock.advance(AFTER_LEASE_SECONDS / 3)
        world.exchange("a1")
    assert world.run("a1", world.new_key()) is CallDecision.RUN


def test_minority_of_a_partitioned_group_accepts_nothing(world):
    isolate(world, "a1")
    world.clock.advance(AFTER_LEASE_SECONDS)
    world.exchange("a1")
    assert world.run("a1", world.new_key()) is CallDecision.NOT_OWNER


def test_restarted_member_abstains_while_a_lost_promise_may_be_in_force(world):
    """a1 holds the slot by b2's promise, which b2 loses in a restart."""
    world.cut_links = {("a1", "a2"), ("a2", "a1")}
    world.clock.advance(AFTER_LEASE_SECONDS)
    world.exchange("a1")
    world.start("b2", world.lists[0])
    world.exchange("b2")
    world.exchange("a2")
    world.check()
    assert world.holders() == ["a1"]


def test_restarted_owner_waits_until_its_own_old_promises_expire(world):
    key = world.new_key()
    world.run("a1", key)
    world.start("a1", world.lists[0])
    world.exchange_all(2)
    assert "a1" not in world.holders()
    world.clock.advance(AFTER_LEASE_SECONDS)
    world.exchange("a1")
    assert world.run("a1", key) is CallDecision.MAY_HAVE_RUN


def test_new_group_also_needs_a_majority_of_the_old_one(world):
    newer = make_list(2, ["b1", "c1"])
    for vm in ("b1", "c1"):
        world.process_by_vm[vm].owner.use_vm_list(newer)
    world.exchange("b1")
    world.exchange("c1")
    assert world.holders() == ["a1"]


def commit_second_list(world):
    """Let b1 hold the slot under list 2, which all VMs but a1 receive.

    a1 stays isolated.
    """
    isolate(world, "a1")
    newer = make_list(2, ["b1", "c1"])
    for vm in ("a2", "b1", "b2", "c1"):
        world.process_by_vm[vm].owner.use_vm_list(newer)
    world.clock.advance(AFTER_LEASE_SECONDS)
    world.exchange("b1")
    assert world.holders() == ["b1"]
    for _ in range(4):
        world.clock.advance(LEASE_SECONDS / 3)
        world.exchange("b1")


def test_member_with_a_newer_list_refuses_and_returns_it(world):
    commit_second_list(world)
    isolate(world, "a1", on=False)
    world.exchange("a1")
    world.exchange("a1")
    assert world.holders() == ["b1"]
    history = world.process_by_vm["a1"].owner.slot_states[SLOT].grantor.history
    assert history.latest.revision == 2


def test_restarted_member_with_a_stale_list_waits_for_recovered_members(world):
    """a1 and b2 are a majority under list 1 and receive nothing from the others."""
    commit_second_list(world)
    isolate(world, "a1", on=False)
    world.start("b2", world.lists[0])
    world.cut_links = {(x, y) for x in ("a2", "b1", "c1") for y in ("a1", "b2")}
    world.exchange("b2")
    world.clock.advance(LEASE_SECONDS / 2)
    world.exchange("b1")
    world.clock.advance(LEASE_SECONDS / 2 + 0.1)
    world.exchange("b1")
    world.exchange("b2")
    world.exchange("a1")
    assert world.holders() == ["b1"]


@pytest.mark.parametrize("caller_skew", [-10.0, 0.0, 1.0, 2.3])
def test_key_that_a_dead_owner_may_have_run_is_not_run_again(world, caller_skew):
    world.exchange("a1")
    world.clock.advance(LEASE_SECONDS * 0.89)
    key = world.new_key(caller_skew)
    assert world.run("a1", key) in (CallDecision.RUN, CallDecision.MAY_HAVE_RUN)
    world.process_by_vm["a1"].paused = True
    world.clock.advance(LEASE_SECONDS * 0.12)
    world.exchange("a2")
    world.clock.advance(AFTER_MARGINS_SECONDS - 0.5)
    assert world.holders() == ["a2"]
    assert world.run("a2", key) is CallDecision.MAY_HAVE_RUN


def test_key_dated_in_the_future_is_refused_everywhere(world):
    assert world.run("a1", world.new_key(8.0)) is CallDecision.IN_THE_FUTURE


def test_owner_whose_lease_expired_during_a_pause_starts_a_new_lease(world):
    """a2 held the slot and ran a key while a1 was paused."""
    world.process_by_vm["a1"].paused = True
    world.clock.advance(AFTER_LEASE_SECONDS)
    world.exchange("a2")
    world.clock.advance(AFTER_MARGINS_SECONDS)
    key = world.new_key()
    assert world.run("a2", key) is CallDecision.RUN
    world.process_by_vm["a2"].paused = True
    world.process_by_vm["a1"].paused = False
    world.start("b2", world.lists[0])
    world.process_by_vm["a2"].paused = False
    world.exchange("b2")
    world.clock.advance(AFTER_LEASE_SECONDS)
    world.process_by_vm["a2"].paused = True
    world.exchange("a1")
    assert world.holders() == ["a1"]
    assert world.run("a1", key) is CallDecision.MAY_HAVE_RUN


def test_call_accepted_before_a_pause_is_not_dispatched_after_it(world):
    key = world.new_key()
    assert world.call("a1", key) is CallDecision.RUN
    world.clock.advance(AFTER_LEASE_SECONDS)
    assert not world.begin("a1")
    assert world.reported_not_run == {key}
    world.exchange("a1")
    assert world.run("a1", key) is CallDecision.REPLAY
    assert not world.executions


def test_dispatch_paused_after_its_check_runs_once_and_is_never_reported_not_run(world):
    key = world.new_key()
    world.call("a1", key)
    world.begin("a1")
    world.process_by_vm["a1"].paused = True
    world.clock.advance(AFTER_LEASE_SECONDS)
    world.exchange("a2")
    assert world.run("a2", key) is CallDecision.MAY_HAVE_RUN
    world.write("a1")
    world.check()


def test_second_dispatch_of_an_entry_is_refused_and_leaves_it_unfinished(world):
    world.call("a1", world.new_key())
    entry = world.process_by_vm["a1"].accepted[0]
    owner = world.process_by_vm["a1"].owner
    assert owner.begin_dispatch(entry)
    assert not owner.begin_dispatch(entry)
    assert entry.state is EntryState.DISPATCHED


def test_other_body_under_a_known_key_is_refused(world):
    key = LedgerKey(SERVICE, "depot", world.new_key())
    owner = world.process_by_vm["a1"].owner
    decisions = [owner.admit(key, f, WINDOW_SECONDS).decision for f in ("x", "y", "x")]
    assert decisions == [CallDecision.RUN, CallDecision.OTHER_BODY, CallDecision.WAIT]


def test_handover_refuses_no_key_and_waits_for_no_promise(world):
    old, new = world.new_key(), world.new_key()
    world.run("a1", old)
    world.hand_over("a1", "a2")
    world.deliver_all()
    world.exchange("a2")
    assert world.holders() == ["a2"]
    assert world.run("a2", old) is CallDecision.WAIT
    assert world.run("a2", new) is CallDecision.RUN


def test_lost_handover_leads_to_a_takeover_with_an_empty_ledger(world):
    key = world.new_key()
    world.run("a1", key)
    world.hand_over("a1", "a2")
    world.messages.clear()
    world.exchange("a2")
    assert world.holders() == []
    world.clock.advance(AFTER_LEASE_SECONDS)
    world.exchange("a2")
    assert world.run("a2", key) is CallDecision.MAY_HAVE_RUN


def test_successor_waits_for_slow_replies_before_it_stops_inheriting(world):
    """Guard against a new lease while a reply that would let it be inherited is slow.

    b2 has lost its promise to a1 in a restart, and its reply arrives before a1's.
    """
    old, new = world.new_key(), world.new_key()
    world.run("a1", old)
    world.start("b2", world.lists[0])
    world.exchange("b2")
    world.cut_links = {("a1", "b2"), ("b2", "a1")}
    for _ in range(3):
        world.clock.advance(LEASE_SECONDS / 3 + 0.1)
        world.exchange("a1")
    world.cut_links = set()
    world.hand_over("a1", "a2")
    world.deliver_all()
    world.claim("a2")
    order = {"a2": 0, "b2": 1, "a1": 2}
    while world.messages:
        world.messages.sort(key=lambda m: order[m.target])
        world.deliver(0)
    assert world.run("a2", old) is CallDecision.WAIT
    assert world.run("a2", new) is CallDecision.RUN


def take_back(world, vm):
    """Hand the slot over and take it back, as if sending the handover had failed."""
    owner = world.process_by_vm[vm].owner
    handover = owner.hand_over(SLOT)
    owner.receive_handover(handover)
    return handover


def test_undelivered_handover_is_taken_back_with_its_ledger(world):
    old, new = world.new_key(), world.new_key()
    world.run("a1", old)
    take_back(world, "a1")
    world.exchange("a1")
    assert world.run("a1", old) is CallDecision.WAIT
    assert world.run("a1", new) is CallDecision.RUN


def test_handover_taken_back_after_its_successor_owned_the_slot_inherits_nothing(world):
    handover = take_back(world, "a1")
    world.process_by_vm["a2"].owner.receive_handover(handover)
    world.exchange("a2")
    key = world.new_key()
    assert world.run("a2", key) is CallDecision.RUN
    world.exchange("a1")
    assert world.holders() == ["a2"]
    world.process_by_vm["a2"].paused = True
    world.clock.advance(AFTER_LEASE_SECONDS)
    world.exchange("a1")
    assert world.run("a1", key) is CallDecision.MAY_HAVE_RUN


def test_successor_does_not_displace_a_promise_made_after_the_handover(world):
    world.hand_over("a1", "a2")
    world.exchange("a1")
    world.exchange("a2")
    assert world.holders() == ["a1"]


def test_handover_used_after_another_owner_inherits_nothing(world):
    world.hand_over("a1", "a2")
    world.clock.advance(AFTER_LEASE_SECONDS)
    world.exchange("b2")
    world.clock.advance(AFTER_MARGINS_SECONDS)
    world.exchange("b2")
    key = world.new_key()
    assert world.run("b2", key) is CallDecision.RUN
    world.process_by_vm["b2"].paused = True
    world.clock.advance(AFTER_LEASE_SECONDS)
    world.exchange("a2")
    world.clock.advance(0.6)
    world.exchange("a2")
    assert world.holders() == ["a2"]
    assert world.run("a2", key) is CallDecision.MAY_HAVE_RUN


def test_epochs_increase_across_owners_even_if_members_restart(world):
    first = world.process_by_vm["a1"].owner.slot_states[SLOT].holder.epoch
    for vm in world.process_by_vm:
        world.start(vm, world.lists[0])
    world.settle("a2")
    assert world.process_by_vm["a2"].owner.slot_states[SLOT].holder.epoch > first


def test_only_fencing_protects_when_a_list_replaces_a_whole_group(world):
    """Leases can't prevent two owners if no member knows the old group."""
    world.start("c1", make_list(2, ["c1"]))
    world.clock.advance(AFTER_LEASE_SECONDS)
    world.exchange("a1")
    world.clock.advance(0.1)
    world.exchange("c1")
    assert world.holders() == ["a1", "c1"]
    epochs = [
        world.process_by_vm[vm].owner.slot_states[SLOT].holder.epoch
        for vm in ("a1", "c1")
    ]
    assert epochs[0] < epochs[1]


def test_restart_of_a_one_vm_group_does_not_create_a_second_owner(world):
    """Guard against a second owner after c1, a group of its own, has restarted.

    Lists 1 to 3 contain all VMs, then c1 alone, then a1 alone. c1 grants a1 the
    slot under list 3, restarts with list 1, and loses list 3. b1, which held the
    slot under list 2, hasn't received list 3 and sends c1 another proposal.
    """
    process_by_vm = world.process_by_vm
    world.clock.advance(AFTER_LEASE_SECONDS)
    for vm in ("b1", "c1"):
        process_by_vm[vm].owner.use_vm_list(make_list(2, ["c1"]))
    world.exchange("b1")
    world.exchange("b1")
    world.clock.advance(AFTER_LEASE_SECONDS)
    isolate(world, "a1")
    world.cut_links -= {("a1", "c1"), ("c1", "a1")}
    for vm in ("a1", "c1"):
        process_by_vm[vm].owner.use_vm_list(make_list(3, ["a1"]))
    world.exchange("a1")
    world.exchange("a1")
    assert world.holders() == ["a1"]
    isolate(world, "a1")
    world.start("c1", world.lists[0])
    for _ in range(5):
        world.clock.advance(1.0)
        for vm in ("a1", "c1", "b1"):
            world.exchange(vm)
    assert world.holders() == ["a1"]
