"""Final responses by attempt outcome, and the fleet-wide retry budget."""

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
@pytest.mark.parametrize("outcome", RETRY_RULE_BY_OUTCOME)
def test_refusal_requires_that_the_request_has_not_run(outcome, ran_before):
    may_have_run = ran_before or RETRY_RULE_BY_OUTCOME[outcome].may_have_run
    if may_have_run:
        assert final_response(outcome, may_have_run) is not FinalResponse.REFUSAL


@pytest.mark.parametrize(
    ("outcome", "expected"),
    [
        (AttemptOutcome.NOT_SENT, FinalResponse.REFUSAL),
        (AttemptOutcome.REJECTED, FinalResponse.REFUSAL),
        (AttemptOutcome.FAILED, FinalResponse.ENGINE_RESPONSE),
        (AttemptOutcome.AMBIGUOUS, FinalResponse.BAD_GATEWAY),
        (AttemptOutcome.LOST, FinalResponse.BAD_GATEWAY),
        (AttemptOutcome.TIMED_OUT, FinalResponse.TIMEOUT),
    ],
)
def test_final_answer_after_a_single_attempt(outcome, expected):
    assert (
        final_response(outcome, RETRY_RULE_BY_OUTCOME[outcome].may_have_run) is expected
    )


@pytest.mark.parametrize("vms", [3, 9, 60])
@pytest.mark.parametrize("skew", [1.0, 5.0])
def test_fleet_stays_within_the_retry_budget_in_every_window(vms, skew):
    """Every attempt fails at every VM, with uneven traffic."""
    share, slack, window_s = 0.2, 58.0, 10.0
    clock = ManualClock()
    budgets = [FleetRetryBudget(clock, share, slack, window_s) for _ in range(vms)]
    for budget in budgets:
        budget.set_vm_count(vms)
    rng = random.Random(1)
    requests, retries = [], []
    weights = [skew if n == 0 else 1.0 for n in range(vms)]
    for _ in range(4_000):
        clock.advance(0.02)
        now = clock.monotonic()
        budget = rng.choices(budgets, weights)[0]
        budget.request_started("s")
        requests.append(now)
        for _ in range(3):
            if budget.try_spend("s"):
                retries.append(now)
        recent_retries = [at for at in retries[-600:] if at > now - window_s]
        recent_requests = [at for at in requests[-600:] if at > now - window_s]
        assert len(recent_retries) <= share * len(recent_requests) + slack


def test_vm_without_known_peers_gets_the_share_of_a_large_fleet():
    budget = FleetRetryBudget(ManualClock(), 0.0, 58.0, 10.0)
    assert not budget.try_spend("s")
