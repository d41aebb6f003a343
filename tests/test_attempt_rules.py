"""What follows an attempt, and the budget that repeats are paid from."""

import random

import pytest

from dotterelpitch.clock import ManualClock
from dotterelpitch.routing.attempt_outcomes import (
    RETRY_RULE_BY_OUTCOME,
    AttemptOutcome,
    FinalResponse,
    final_response,
)
from dotterelpitch.routing.fleet_retry_budget import FleetRetryBudget


@pytest.mark.parametrize("ran_before", [False, True])
@pytest.mark.parametrize("end", RETRY_RULE_BY_OUTCOME)
def test_a_refusal_is_said_only_of_what_has_not_run(end, ran_before):
    may_have_run = ran_before or RETRY_RULE_BY_OUTCOME[end].may_have_run
    if may_have_run:
        assert final_response(end, may_have_run) is not FinalResponse.REFUSAL


@pytest.mark.parametrize(
    ("end", "expected"),
    [
        (AttemptOutcome.NOT_SENT, FinalResponse.REFUSAL),
        (AttemptOutcome.REJECTED, FinalResponse.REFUSAL),
        (AttemptOutcome.FAILED, FinalResponse.ENGINE_RESPONSE),
        (AttemptOutcome.LOST, FinalResponse.BAD_GATEWAY),
        (AttemptOutcome.TIMED_OUT, FinalResponse.TIMEOUT),
    ],
)
def test_the_final_answer_of_a_single_attempt(end, expected):
    assert final_response(end, RETRY_RULE_BY_OUTCOME[end].may_have_run) is expected


@pytest.mark.parametrize("vms", [3, 9, 60])
@pytest.mark.parametrize("skew", [1.0, 5.0])
def test_all_vms_together_keep_the_budget_in_every_window(vms, skew):
    """Pattern: every attempt fails at every VM, with uneven traffic."""
    share, slack, window_s = 0.2, 58.0, 10.0
    clock = ManualClock()
    windows = [FleetRetryBudget(clock, share, slack, window_s) for _ in range(vms)]
    for window in windows:
        window.set_vm_count(vms)
    seeded = random.Random(1)
    requests, repeats = [], []
    weights = [skew if n == 0 else 1.0 for n in range(vms)]
    for _ in range(4_000):
        clock.advance(0.02)
        now = clock.monotonic()
        window = seeded.choices(windows, weights)[0]
        window.request_started("s")
        requests.append(now)
        for _ in range(3):
            if window.try_spend("s"):
                repeats.append(now)
        recent = [at for at in repeats[-600:] if at > now - window_s]
        asked = [at for at in requests[-600:] if at > now - window_s]
        assert len(recent) <= share * len(asked) + slack


def test_a_vm_that_knows_no_peers_spends_the_part_of_a_large_fleet():
    window = FleetRetryBudget(ManualClock(), 0.0, 58.0, 10.0)
    assert not window.try_spend("s")
