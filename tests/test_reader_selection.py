"""Who reads the store, among gateways that hear some of the others."""

import pytest

from dotterelpitch.clock import ManualClock
from dotterelpitch.gateway.reader_selection import ReaderSelection

DOMAIN_BY_VM = {f"vm{n}": "abc"[n % 3] for n in range(9)}


def make_choices(clock):
    return {
        vm: ReaderSelection(clock, vm, domain) for vm, domain in DOMAIN_BY_VM.items()
    }


def exchange(choices, clock, seconds=3.0, cut=(), age_by_vm=None):
    """Let the gateways hear one another; return who reads at the end.

    A reader's store age is small, that of the others grows to what they hear.
    """
    age_by_vm = age_by_vm or {}
    readers = set(choices)
    for _ in range(int(seconds / 0.25)):
        clock.advance(0.25)
        for vm, choice in choices.items():
            for other in choices:
                if other != vm and (vm, other) not in cut:
                    age = age_by_vm.get(other, 0.1 if other in readers else 0.5)
                    choice.record_report(other, DOMAIN_BY_VM[other], True, age)
        readers = {vm for vm, choice in choices.items() if choice.should_read_store()}
    return readers


def test_one_gateway_of_each_domain_reads():
    clock = ManualClock(100.0)
    readers = exchange(make_choices(clock), clock)
    assert sorted(DOMAIN_BY_VM[vm] for vm in readers) == ["a", "b", "c"]


def test_a_gateway_that_hears_nobody_reads_for_itself():
    clock = ManualClock(100.0)
    choices = make_choices(clock)
    before = exchange(choices, clock)
    alone = next(vm for vm in choices if vm not in before)
    cut = {(alone, other) for other in choices}
    assert alone in exchange(choices, clock, cut=cut)


def test_a_reader_without_answers_is_replaced_in_its_domain():
    clock = ManualClock(100.0)
    choices = make_choices(clock)
    turned_away = sorted(exchange(choices, clock))[0]
    readers = exchange(choices, clock, age_by_vm={turned_away: 4.0})
    domain = DOMAIN_BY_VM[turned_away]
    assert any(DOMAIN_BY_VM[vm] == domain and vm != turned_away for vm in readers)


@pytest.mark.parametrize("age", [3.0, 60.0])
def test_with_the_store_away_all_try(age):
    clock = ManualClock(100.0)
    choices = make_choices(clock)
    ages = dict.fromkeys(choices, age)
    assert exchange(choices, clock, age_by_vm=ages) == set(choices)


@pytest.mark.parametrize(
    ("own_is_relay", "peer_is_relay", "age", "reads"),
    [
        (False, True, 0.1, False),
        (False, True, 4.0, True),
        (False, False, 0.1, False),
        (True, False, 0.1, True),
    ],
)
def test_a_member_reads_only_while_its_relay_has_nothing_fresh(
    own_is_relay, peer_is_relay, age, reads
):
    clock = ManualClock(100.0)
    choice = ReaderSelection(clock, "vm0", "a", is_relay=own_is_relay)
    choice.record_report("vm3", "a", peer_is_relay, age)
    assert choice.should_read_store() is reads
