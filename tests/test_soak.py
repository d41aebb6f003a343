"""Short soaks of a fleet, and tests of the checks that evaluate a soak."""

import time

import pytest

from dotterelpitch.load.caller import Answer
from tests.harness.fleet import Fleet
from tests.harness.soak.checks import (
    Evidence,
    check_at_most_once,
    check_complete_answers,
    check_leaving,
    check_not_run,
    result_table,
)
from tests.harness.soak.faults import (
    ChangeDocument,
    CutDomain,
    FlapEngine,
    FreezeVm,
    KillVm,
    LeavingEngine,
    PlatformStale,
    ReplaceVm,
    Surge,
)
from tests.harness.soak.history import FaultSpan, History, SentRequest
from tests.harness.soak.runner import run_soak
from tests.harness.soak.sampler import STREAM_SECONDS, LoadSampler


def evidence(*sent):
    """Return evidence with these requests and no logged runs."""
    history = History(sent=list(sent))
    fleet = Fleet()
    return Evidence(fleet, history, LoadSampler(fleet, history))


def chat(**answer):
    return SentRequest("v", 0.0, "abc", answer=Answer(status=200, **answer))


def keyed_call(outcome, key="k"):
    return SentRequest("v", 0.0, key=key, answer=Answer(status=200, outcome=outcome))


@pytest.mark.parametrize(
    ("sent", "violations"),
    [
        (chat(is_complete=True, text="abc"), 0),
        (chat(is_complete=True, text="ab"), 1),
        (chat(is_complete=True, text="abd"), 2),
        (chat(text="ab", error="unknown"), 0),
        (chat(text="ab", error="the stream ended without its closing event"), 1),
    ],
)
def test_check_of_complete_answers(sent, violations):
    assert len(check_complete_answers(evidence(sent)).violations) == violations


@pytest.mark.parametrize(
    ("outcomes", "executed", "not_run_violations", "at_most_once_violations"),
    [
        (["completed"], 1, 0, 0),
        (["completed"], 0, 0, 1),
        (["unknown", "completed"], 2, 0, 1),
        (["not-run", "not-run"], 0, 0, 0),
        (["not-run", "not-run"], 1, 1, 0),
        (["not-run", "completed"], 1, 0, 0),
    ],
)
def test_checks_of_keyed_calls(
    outcomes, executed, not_run_violations, at_most_once_violations
):
    found = evidence(*(keyed_call(outcome) for outcome in outcomes))
    found.executions["k"] = executed
    assert len(check_not_run(found).violations) == not_run_violations
    assert len(check_at_most_once(found).violations) == at_most_once_violations


def test_check_reports_run_after_three_seconds_of_leaving():
    found = evidence()
    now = time.time()
    found.history.leaving.append(FaultSpan("LeavingEngine", "e", now, now + 9))
    found.runs_by_engine["e"] = [(now + 2.9, "r1"), (now + 3.1, "r2"), (now + 10, "r")]
    assert len(check_leaving(found).violations) == 1


def test_load_above_bound_is_a_violation_once_it_outlasts_streams():
    sampler = evidence().sampler
    for _ in range(int(STREAM_SECONDS / 0.25)):
        sampler.record_sample({"a": 9, "b": 1, "c": 1})
    assert not sampler.violations
    sampler.record_sample({"a": 9, "b": 1, "c": 1})
    assert sampler.violations


@pytest.mark.timeout(110)
async def test_short_soak_has_no_violations():
    result = await run_soak(seconds=20.0, seed=20)
    assert result.passed, "\n".join(result_table(result.check_results))


@pytest.mark.timeout(110)
@pytest.mark.parametrize(
    "simultaneous",
    [
        (KillVm, CutDomain),
        (FreezeVm, ChangeDocument),
        (PlatformStale, KillVm),
        (FlapEngine, Surge),
        (ReplaceVm, LeavingEngine),
    ],
    ids=lambda kinds: " and ".join(kind.__name__ for kind in kinds),
)
async def test_two_simultaneous_faults_cause_no_violations(simultaneous):
    result = await run_soak(seconds=8.0, seed=30, simultaneous=simultaneous)
    assert result.passed, "\n".join(result_table(result.check_results))
