"""A short soak keeps every promise, and the checks notice broken ones."""

import time

import pytest

from dotterelpitch.load.caller import Answer
from tests.harness.fleet import Fleet
from tests.harness.soak.checks import (
    Evidence,
    check_at_most_once,
    check_leaving,
    check_not_run,
    check_whole_answers,
    verdict_table,
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
from tests.harness.soak.history import FaultSpan, History, Sent
from tests.harness.soak.runner import run_soak
from tests.harness.soak.sampler import STREAM_SECONDS, LoadSampler


def evidence(*sent):
    """Return evidence with these requests and nothing run."""
    history = History(sent=list(sent))
    fleet = Fleet()
    return Evidence(fleet, history, LoadSampler(fleet, history))


def chat(**answer):
    return Sent("v", 0.0, "abc", answer=Answer(status=200, **answer))


def booking(outcome, key="k"):
    return Sent("v", 0.0, key=key, answer=Answer(status=200, outcome=outcome))


@pytest.mark.parametrize(
    ("sent", "broken"),
    [
        (chat(is_complete=True, text="abc"), 0),
        (chat(is_complete=True, text="ab"), 1),
        (chat(is_complete=True, text="abd"), 2),
        (chat(text="ab", error="unknown"), 0),
        (chat(text="ab", error="the stream ended without its closing event"), 1),
    ],
)
def test_whole_answers(sent, broken):
    assert len(check_whole_answers(evidence(sent)).violations) == broken


@pytest.mark.parametrize(
    ("outcomes", "executed", "not_run_broken", "once_broken"),
    [
        (["completed"], 1, 0, 0),
        (["completed"], 0, 0, 1),
        (["unknown", "completed"], 2, 0, 1),
        (["not-run", "not-run"], 0, 0, 0),
        (["not-run", "not-run"], 1, 1, 0),
        (["not-run", "completed"], 1, 0, 0),
    ],
)
def test_bookings(outcomes, executed, not_run_broken, once_broken):
    found = evidence(*(booking(outcome) for outcome in outcomes))
    found.executions["k"] = executed
    assert len(check_not_run(found).violations) == not_run_broken
    assert len(check_at_most_once(found).violations) == once_broken


def test_a_run_after_three_seconds_of_leaving_is_noticed():
    found = evidence()
    now = time.time()
    found.history.leaving.append(FaultSpan("LeavingEngine", "e", now, now + 9))
    found.runs_by_engine["e"] = [(now + 2.9, "r1"), (now + 3.1, "r2"), (now + 10, "r")]
    assert len(check_leaving(found).violations) == 1


def test_load_above_the_bound_counts_once_it_outlasts_the_streams():
    sampler = evidence().sampler
    for _ in range(int(STREAM_SECONDS / 0.25)):
        sampler.take({"a": 9, "b": 1, "c": 1})
    assert not sampler.violations
    sampler.take({"a": 9, "b": 1, "c": 1})
    assert sampler.violations


@pytest.mark.timeout(110)
async def test_a_short_soak_keeps_the_promises():
    result = await run_soak(seconds=20.0, seed=20)
    assert result.passed, "\n".join(verdict_table(result.verdicts))


@pytest.mark.timeout(110)
@pytest.mark.parametrize(
    "together",
    [
        (KillVm, CutDomain),
        (FreezeVm, ChangeDocument),
        (PlatformStale, KillVm),
        (FlapEngine, Surge),
        (ReplaceVm, LeavingEngine),
    ],
    ids=lambda kinds: " and ".join(kind.__name__ for kind in kinds),
)
async def test_two_faults_together_keep_the_promises(together):
    result = await run_soak(seconds=8.0, seed=30, together=together)
    assert result.passed, "\n".join(verdict_table(result.verdicts))
