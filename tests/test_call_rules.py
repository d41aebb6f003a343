"""Each rule that may forbid an attempt of a call: when it does, and what it uses up."""

from types import SimpleNamespace

import pytest

from dotterelpitch.clock import ManualClock
from dotterelpitch.gateway.attempt_result import AttemptResult
from dotterelpitch.gateway.call_progress import CallProgress
from dotterelpitch.gateway.call_rules import (
    MAX_UNSENT_ATTEMPTS,
    BannedContentRule,
    BannedPartRule,
    CallRules,
    ConcurrencyRule,
    EvacuationRule,
    IdempotencyRule,
    PauseRule,
    RateLimitRule,
    RetryBudgetRule,
    TimeRule,
    UnsentAttemptsRule,
)
from dotterelpitch.gateway.event_stream_filter import EventStreamFilter
from dotterelpitch.routing.attempt_outcomes import AttemptOutcome

CLOCK = ManualClock(100.0)


def make_call(left_s=1.0, objective_s=0.5, is_retryable=True, max_attempts=2):
    return SimpleNamespace(
        request_id="r1",
        service="chat",
        priority=0,
        account_name="packers",
        fingerprint="f",
        prompt_parts=("p", "own"),
        deadline=CLOCK.monotonic() + left_s,
        route=SimpleNamespace(
            objective_s=objective_s,
            is_retryable=is_retryable,
            max_attempts=max_attempts,
        ),
    )


def make_progress(outcome=None, last_id="", **values):
    result = AttemptResult(outcome) if outcome else None
    events = EventStreamFilter(last_id)
    return CallProgress(events, last_result=result, **values)


def make_tracker(is_banned=False, parts=(), is_trial_due=False):
    suspects = SimpleNamespace(crashed_engines=lambda name: ["e1"])
    part_suspects = SimpleNamespace(
        crashed_engines=lambda name: ["e1"], try_trial=lambda parts: is_trial_due
    )
    return SimpleNamespace(
        is_banned=lambda call: is_banned,
        banned_parts=lambda call: list(parts),
        suspects=suspects,
        part_suspects=part_suspects,
    )


class Budget:
    """A retry budget with so many retries left, of a fleet of one VM."""

    vm_count = 1

    def __init__(self, left):
        self.left = left

    def try_spend(self, service):
        self.left -= 1
        return self.left >= 0


def make_admission(admits):
    return SimpleNamespace(admits=lambda *args: admits)


def make_pauses(remaining_s):
    return SimpleNamespace(remaining_s=lambda engines: remaining_s)


def make_directory(has_only_evacuated=False):
    return SimpleNamespace(
        usable=lambda service: [],
        has_only_evacuated=lambda service: has_only_evacuated,
    )


DIRECTORY = make_directory()
LOST = AttemptOutcome.LOST
REJECTED = AttemptOutcome.REJECTED
NOT_SENT = AttemptOutcome.NOT_SENT


@pytest.mark.parametrize(
    ("rule", "call", "progress", "forbids"),
    [
        (TimeRule(CLOCK), make_call(0.2), make_progress(), False),
        (TimeRule(CLOCK), make_call(0.02), make_progress(), True),
        (TimeRule(CLOCK), make_call(0.04), make_progress(), True),
        (BannedContentRule(make_tracker()), make_call(), make_progress(), False),
        (BannedContentRule(make_tracker(True)), make_call(), make_progress(), True),
        (
            BannedPartRule(make_tracker(), Budget(0)),
            make_call(),
            make_progress(),
            False,
        ),
        (
            BannedPartRule(make_tracker(parts="p"), Budget(0)),
            make_call(),
            make_progress(),
            True,
        ),
        (
            BannedPartRule(make_tracker(parts="p", is_trial_due=True), Budget(0)),
            make_call(),
            make_progress(),
            False,
        ),
        (
            BannedPartRule(make_tracker(parts="p", is_trial_due=True), Budget(0)),
            make_call(),
            make_progress(LOST),
            True,
        ),
        (ConcurrencyRule(make_admission(True)), make_call(), make_progress(), False),
        (ConcurrencyRule(make_admission(False)), make_call(), make_progress(), True),
        # Guards against: a peer refuses to go on with a stream that has begun.
        (
            ConcurrencyRule(make_admission(False)),
            make_call(),
            make_progress(sent_count=1),
            False,
        ),
        (
            RateLimitRule(make_admission(True), DIRECTORY),
            make_call(),
            make_progress(),
            False,
        ),
        (
            RateLimitRule(make_admission(False), DIRECTORY),
            make_call(),
            make_progress(),
            True,
        ),
        (EvacuationRule(make_directory()), make_call(), make_progress(), False),
        (EvacuationRule(make_directory(True)), make_call(), make_progress(), True),
        (PauseRule(make_pauses(None), DIRECTORY), make_call(), make_progress(), False),
        (PauseRule(make_pauses(0.2), DIRECTORY), make_call(), make_progress(), True),
        (
            UnsentAttemptsRule(),
            make_call(),
            make_progress(unsent_count=MAX_UNSENT_ATTEMPTS - 1),
            False,
        ),
        (
            UnsentAttemptsRule(),
            make_call(),
            make_progress(unsent_count=MAX_UNSENT_ATTEMPTS),
            True,
        ),
        (IdempotencyRule(), make_call(), make_progress(may_have_run=True), False),
        (
            IdempotencyRule(),
            make_call(is_retryable=False),
            make_progress(may_have_run=True),
            True,
        ),
        (IdempotencyRule(), make_call(is_retryable=False), make_progress(), False),
        (RetryBudgetRule(Budget(0)), make_call(), make_progress(NOT_SENT), False),
        (RetryBudgetRule(Budget(1)), make_call(), make_progress(REJECTED), False),
        (RetryBudgetRule(Budget(0)), make_call(), make_progress(REJECTED), True),
        (
            RetryBudgetRule(Budget(9)),
            make_call(max_attempts=1),
            make_progress(LOST, sent_count=1),
            True,
        ),
        (
            RetryBudgetRule(Budget(9)),
            make_call(),
            make_progress(REJECTED, sent_count=2, rejected_count=1),
            True,
        ),
        (
            RetryBudgetRule(Budget(9)),
            make_call(),
            make_progress(REJECTED, sent_count=2, rejected_count=1, last_id="7"),
            False,
        ),
        (
            RetryBudgetRule(Budget(9)),
            make_call(),
            make_progress(REJECTED, sent_count=5, rejected_count=4, last_id="7"),
            True,
        ),
    ],
)
def test_when_a_rule_forbids_an_attempt(rule, call, progress, forbids):
    assert rule.forbids(call, progress) == forbids


def make_rules(budget, is_banned=False, admits=True):
    return CallRules.create(
        CLOCK,
        DIRECTORY,
        make_tracker(is_banned),
        budget,
        make_admission(admits),
        make_admission(True),
        make_pauses(None),
    )


# Guards against: a call that is refused anyway uses up the retries of others.
def test_budget_is_charged_only_if_all_other_rules_allow_a_retry():
    budget = Budget(1)
    progress = make_progress(LOST, may_have_run=True)
    banned = make_rules(budget, is_banned=True).no_retry_reason(make_call(), progress)
    assert banned == BannedContentRule.reason
    once = make_call(is_retryable=False)
    assert make_rules(budget).no_retry_reason(once, progress) == IdempotencyRule.reason
    assert budget.left == 1
    assert not make_rules(budget).no_retry_reason(make_call(), progress)
    assert budget.left == 0


@pytest.mark.parametrize(
    ("is_banned", "admits", "reason"),
    [
        (False, True, ""),
        (True, True, BannedContentRule.reason),
        (True, False, BannedContentRule.reason),
        (False, False, ConcurrencyRule.reason),
    ],
)
def test_caller_is_told_the_first_reason(is_banned, admits, reason):
    rules = make_rules(Budget(0), is_banned, admits)
    assert rules.refusal_reason(make_call(), make_progress()) == reason
