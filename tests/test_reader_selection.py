"""Selection of store readers among gateways that receive only some of the digests."""

import pytest

from dotterelpitch.clock import ManualClock
from dotterelpitch.gateway.reader_selection import ReaderSelection

DOMAIN_BY_VM = {f"vm{n}": "abc"[n % 3] for n in range(9)}


def make_selections(clock):
    return {
        vm: ReaderSelection(clock, vm, domain) for vm, domain in DOMAIN_BY_VM.items()
    }


def run_rounds(selections, clock, seconds=3.0, blocked_pairs=(), store_age_by_vm=None):
    """Exchange reports between the gateways; return the readers at the end.

    A reader reports a low store age, the other gateways a higher one, in seconds;
    ``store_age_by_vm`` overrides it.
    """
    store_age_by_vm = store_age_by_vm or {}
    readers = set(selections)
    for _ in range(int(seconds / 0.25)):
        clock.advance(0.25)
        for vm, selection in selections.items():
            for other in selections:
                if other != vm and (vm, other) not in blocked_pairs:
                    age = store_age_by_vm.get(other, 0.1 if other in readers else 0.5)
                    selection.record_report(other, DOMAIN_BY_VM[other], True, age)
        readers = {
            vm for vm, selection in selections.items() if selection.should_read_store()
        }
    return readers


def test_one_gateway_per_failure_domain_reads_the_store():
    clock = ManualClock(100.0)
    readers = run_rounds(make_selections(clock), clock)
    assert sorted(DOMAIN_BY_VM[vm] for vm in readers) == ["a", "b", "c"]


def test_partitioned_gateway_reads_the_store():
    clock = ManualClock(100.0)
    selections = make_selections(clock)
    before = run_rounds(selections, clock)
    isolated = next(vm for vm in selections if vm not in before)
    blocked_pairs = {(isolated, other) for other in selections}
    assert isolated in run_rounds(selections, clock, blocked_pairs=blocked_pairs)


def test_reader_with_stale_state_is_replaced_in_its_domain():
    clock = ManualClock(100.0)
    selections = make_selections(clock)
    stale_reader = sorted(run_rounds(selections, clock))[0]
    readers = run_rounds(selections, clock, store_age_by_vm={stale_reader: 4.0})
    domain = DOMAIN_BY_VM[stale_reader]
    assert any(DOMAIN_BY_VM[vm] == domain and vm != stale_reader for vm in readers)


@pytest.mark.parametrize("age", [3.0, 60.0])
def test_all_gateways_read_while_the_store_is_unreachable(age):
    clock = ManualClock(100.0)
    selections = make_selections(clock)
    ages = dict.fromkeys(selections, age)
    assert run_rounds(selections, clock, store_age_by_vm=ages) == set(selections)


@pytest.mark.parametrize(
    ("is_relay", "is_peer_relay", "store_age", "should_read"),
    [
        (False, True, 0.1, False),
        (False, True, 4.0, True),
        (False, False, 0.1, False),
        (True, False, 0.1, True),
    ],
)
def test_member_reads_only_while_its_relay_is_stale(
    is_relay, is_peer_relay, store_age, should_read
):
    clock = ManualClock(100.0)
    selection = ReaderSelection(clock, "vm0", "a", is_relay=is_relay)
    selection.record_report("vm3", "a", is_peer_relay, store_age)
    assert selection.should_read_store() is should_read
