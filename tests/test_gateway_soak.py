"""Short soaks of real gateways, and tests of the checks that evaluate a soak."""

import pytest

from tests.harness.gateway_soak import checks
from tests.harness.gateway_soak.history import (
    PART_PREFIX,
    STORE,
    ConfigVersion,
    CrashArrival,
    FaultSpan,
    History,
    LimitSpan,
    NoticeGiven,
    Run,
    SentRequest,
)
from tests.harness.gateway_soak.runner import run_gateway_soak

SHORT_SECONDS = 15.0
# Seeds that failed before and stay here, each with the cause.
# 5: SIGTERM while a restarted gateway was importing modules: exit code -15.
REGRESSION_SEEDS = [5]


def sent(route="unsafe", key="key-1", at=10.0, **changes):
    return SentRequest("r1", "vm1", route, key, b"", at, **{"ended": at + 1, **changes})


def run(engine="e1", service="calls", at=10.1, **changes):
    return Run("r1", engine, service, "packers", False, True, at, **changes)


def config(version, at, routes=("safe", "unsafe", "stream"), keys=("key-1",)):
    return ConfigVersion(version, at, frozenset(routes), frozenset(keys))


LEAVES = NoticeGiven("e1", "r1", 10.0)
PAUSES = NoticeGiven("e1", "r1", 10.0, 3.0)
ONE_CONFIG = [config(1, 0.0)]
KEY_REMOVED = [config(1, 0.0, keys=("key-1", "key-2")), config(2, 6.0)]
ROUTE_ADDED = [config(1, 0.0), config(2, 6.0, routes=("safe", "unsafe", "safe2"))]


@pytest.mark.parametrize(
    ("check", "history", "violations"),
    [
        (checks.answers_are_complete, History([sent(status=200)]), 1),
        (checks.answers_are_complete, History([sent(status=200, is_complete=True)]), 0),
        (checks.unsafe_requests_run_once, History([sent()], [run(), run("e2")]), 1),
        (
            checks.unsafe_requests_run_once,
            History([sent()], [run(), run("e2", ran=False)]),
            0,
        ),
        (checks.refused_requests_did_not_run, History([sent(status=503)], [run()]), 1),
        (checks.refused_requests_did_not_run, History([sent(status=502)], [run()]), 0),
        (checks.requests_arrive_unchanged, History([], [run()]), 1),
        (checks.requests_arrive_unchanged, History([sent()], [run()]), 0),
        (
            checks.runs_are_allowed,
            History([sent()], [run(service="chats")], configs=ONE_CONFIG),
            1,
        ),
        (
            checks.runs_are_allowed,
            History([sent(key="key-2")], [run()], configs=KEY_REMOVED),
            1,
        ),
        (
            checks.runs_are_allowed,
            History([sent(key="key-2", at=8.0)], [run(at=8.1)], configs=KEY_REMOVED),
            0,
        ),
        (
            checks.runs_are_allowed,
            History(
                [sent(key="key-2")],
                [run()],
                [FaultSpan("store_refuses", STORE, 5.0, 8.0)],
                KEY_REMOVED,
            ),
            0,
        ),
        (
            checks.allowed_requests_are_not_denied,
            History([sent("safe2", status=404)], configs=ROUTE_ADDED),
            1,
        ),
        (
            checks.allowed_requests_are_not_denied,
            History([sent("safe2", at=7.0, status=404)], configs=ROUTE_ADDED),
            0,
        ),
        (
            checks.removed_engines_get_no_requests,
            History([sent()], [run()], removed_at_by_engine={"e1": 7.0}),
            1,
        ),
        (
            checks.removed_engines_get_no_requests,
            History([sent()], [run()], removed_at_by_engine={"e1": 9.0}),
            0,
        ),
        (
            checks.planned_stops_cut_no_requests,
            History([sent(error="reset")], [run()]),
            1,
        ),
        (
            checks.planned_stops_cut_no_requests,
            History([sent(error="reset")], [run()], [FaultSpan("k", "vm1", 9, 9)]),
            0,
        ),
        (
            checks.answers_meet_their_deadline,
            History([sent(error="deadline exceeded")]),
            1,
        ),
        (checks.processes_exit_cleanly, History(exit_code_by_stop={"vm1": -9}), 1),
        (checks.processes_exit_cleanly, History(unexpected_exits=["vm1"]), 1),
        (checks.streams_hold_one_version, History([sent(versions={"v1", "v2"})]), 1),
        (checks.streams_hold_one_version, History([sent(versions={"v1"})]), 0),
        (
            checks.engines_get_no_more_than_their_limit,
            History([sent()], [run(at=14.0)] * 12, limits=[LimitSpan("e1", 1, 10.0)]),
            1,
        ),
        (
            checks.engines_get_no_more_than_their_limit,
            History([sent()], [run(at=14.0)] * 11, limits=[LimitSpan("e1", 1, 10.0)]),
            0,
        ),
        (
            checks.leaving_engines_get_nothing_new,
            History([sent(at=14.0)], [run(at=14.1)], notices=[LEAVES]),
            1,
        ),
        (
            checks.leaving_engines_get_nothing_new,
            History([sent(at=11.0)], [run(at=11.1)], notices=[LEAVES]),
            0,
        ),
        (
            checks.leaving_engines_get_nothing_new,
            History(
                [sent(at=14.0)],
                [run(at=14.1)],
                [FaultSpan("kill_vm", "vm1", 12.0, 12.5)],
                notices=[LEAVES],
            ),
            0,
        ),
        (
            checks.pausing_engines_are_left_alone,
            History([sent()], [run(at=12.0)] * 3, notices=[PAUSES]),
            1,
        ),
        (
            checks.pausing_engines_are_left_alone,
            History([sent()], [run(at=12.0)] * 2, notices=[PAUSES]),
            0,
        ),
        (
            checks.pausing_engines_are_left_alone,
            History([sent()], [run(at=10.2)] * 3, notices=[PAUSES]),
            0,
        ),
        (checks.service_recovers, History(final_served_share=0.5), 1),
    ],
)
def test_check_reports_violation(check, history, violations):
    assert len(list(check(history))) == violations


@pytest.mark.parametrize(
    ("fault", "crashes_before_stop"), [("content1", 3), (f"{PART_PREFIX}1", 5)]
)
def test_check_reports_what_crashes_engines_too_late(fault, crashes_before_stop):
    in_time = [CrashArrival(fault, "vm1", 10.0)] * crashes_before_stop
    late = [CrashArrival(fault, "vm1", 14.0)] * 4
    assert list(checks.crashing_requests_stop(History(crash_arrivals=in_time + late)))
    allowed = in_time + late[:3]
    assert not list(checks.crashing_requests_stop(History(crash_arrivals=allowed)))


def test_check_reports_retries_beyond_budget():
    requests = [sent(at=10.0 + n / 50) for n in range(100)]
    runs = [run(at=10.0 + n / 50) for n in range(100)]
    assert list(checks.retries_stay_within_budget(History(requests, runs)))
    assert not list(checks.retries_stay_within_budget(History(requests, runs[:45])))


@pytest.mark.timeout(100)
@pytest.mark.parametrize("seed", [1, *REGRESSION_SEEDS])
async def test_short_gateway_soak_has_no_violations(tmp_path, seed):
    result = await run_gateway_soak(tmp_path, SHORT_SECONDS, seed)
    assert not result.violations, result.report()
