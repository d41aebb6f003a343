"""The rate limits that engines name: which values and which responses count."""

import pytest

from dotterelpitch.clock import ManualClock
from dotterelpitch.platform.engine_status import decode_engine_status
from dotterelpitch.routing.engines import Engine
from dotterelpitch.routing.fleet_rate_limits import FleetRateLimits
from dotterelpitch.routing.rate_limit_registry import ObservedLimit, RateLimitRegistry

ENGINE = Engine("e1", "chat", "10.0.0.1:1", "a", started_ms=1)
RESTARTED = Engine("e1", "chat", "10.0.0.1:1", "a", started_ms=2)
RENAMED = Engine("e2", "chat", "10.0.0.1:1", "a", started_ms=2)


@pytest.mark.parametrize(
    ("values", "expected"),
    [
        (["2.5"], 2.5),
        ([" 40 "], 40.0),
        (["0"], 0.0),
        ([], None),
        (["-1"], None),
        (["NaN"], None),
        (["1e400"], None),
        (["inf"], None),
        (["three"], None),
        (["٣"], None),
        ([""], None),
        (["3", "3"], None),
        (["1" * 5000], None),
        (["3, 4"], None),
    ],
)
def test_only_one_plain_decimal_number_names_a_limit(values, expected):
    headers = [("Other", "1"), *(("SERVER-LIMIT", value) for value in values)]
    assert decode_engine_status(200, headers).rate_limit == expected


@pytest.mark.parametrize(
    ("responses", "expected"),
    [
        ([(0.0, 3.0)], 3.0),
        ([(0.0, 3.0), (1.0, 1.0)], 1.0),
        ([(0.0, 3.0), (1.0, 9.0)], 9.0),
        ([(0.0, 3.0), (1.0, None)], None),
        ([(0.0, 3.0), (1.0, None), (1.1, 3.0)], 3.0),
        ([(0.0, 3.0), (0.1, None)], 3.0),
        ([(0.0, None)], None),
    ],
)
def test_latest_response_tells_the_limit(responses, expected):
    clock = ManualClock()
    registry = RateLimitRegistry(clock)
    for at, limit in responses:
        clock.advance(at - clock.monotonic())
        registry.record_response(ENGINE, limit)
    assert registry.limit(ENGINE) == expected


@pytest.mark.parametrize("engine", [RESTARTED, RENAMED])
def test_limit_ends_with_the_run_of_the_engine(engine):
    registry = RateLimitRegistry(ManualClock())
    registry.record_response(ENGINE, 3.0)
    assert registry.limit(engine) is None


@pytest.mark.parametrize(
    ("named_at", "absent_at", "expected"),
    [(5.0, 0.0, 1.0), (-5.0, -9.0, 3.0), (5.0, 9.0, None), (-5.0, 1.0, None)],
)
def test_latest_observation_of_any_vm_counts(named_at, absent_at, expected):
    clock = ManualClock()
    registry = RateLimitRegistry(clock)
    registry.record_response(ENGINE, 3.0)
    limit = ObservedLimit("e1", ENGINE.started_ms, 1.0, named_at, absent_at)
    registry.merge("vm2", [limit])
    assert registry.limit(ENGINE) == expected


# Guards against: a peer that hasn't heard of a restart brings the old limit back.
def test_limit_of_an_earlier_run_is_ignored():
    registry = RateLimitRegistry(ManualClock(10.0))
    registry.record_response(RESTARTED, 3.0)
    registry.merge("vm2", [ObservedLimit("e1", ENGINE.started_ms, 1.0, 11.0)])
    registry.record_response(ENGINE, 1.0)
    assert registry.limit(RESTARTED) == 3.0


def test_peers_are_told_of_changes_and_now_and_then_of_the_same_limit():
    clock = ManualClock()
    registry = RateLimitRegistry(clock)
    told = []
    count = 0
    for _ in range(20):
        registry.record_response(ENGINE, 3.0)
        count, changed = registry.updates_after(count)
        told += changed
        clock.advance(0.1)
    assert len(told) == 2
    registry.record_response(ENGINE, None)
    clock.advance(0.5)
    registry.record_response(ENGINE, None)
    count, changed = registry.updates_after(count)
    assert [limit.is_in_force for limit in changed] == [False]


# Guards against: an engine that names a limit again gets a burst at once.
def test_engine_that_names_a_limit_again_starts_with_a_full_bucket():
    clock = ManualClock(10.0)
    rate_limits = FleetRateLimits(clock)
    registry, limiter = rate_limits.registry, rate_limits.limiter
    registry.record_response(ENGINE, 1.0)
    assert not limiter.try_send(ENGINE)
    clock.advance(5.0)
    registry.record_response(ENGINE, None)
    assert rate_limits.admits("chat", 0, [ENGINE])
    clock.advance(5.0)
    registry.record_response(ENGINE, 1.0)
    assert not limiter.try_send(ENGINE)


def test_limits_of_unknown_engines_are_removed():
    registry = RateLimitRegistry(ManualClock())
    registry.record_response(ENGINE, 3.0)
    registry.retain(set())
    assert registry.is_empty()
    assert registry.updates_after(0) == (1, [])
