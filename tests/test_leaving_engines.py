"""Engines that say that they leave: whose word counts, for which run, for how long."""

import asyncio

import pytest
from attrs import evolve

from dotterelpitch.clock import ManualClock
from dotterelpitch.gateway.engine_status_recorder import EngineStatusRecorder
from dotterelpitch.gateway.leaving_engine_checker import (
    CHECK_INTERVAL_SECONDS,
    LeavingEngineChecker,
)
from dotterelpitch.gateway.state import GatewayState
from dotterelpitch.platform.engine_status import EngineStatus, decode_engine_status
from dotterelpitch.platform.headers import ResponseClass
from dotterelpitch.routing.engine_pauses import EnginePauses
from dotterelpitch.routing.engines import Engine
from dotterelpitch.routing.leaving_engines import (
    RETENTION_SECONDS,
    UNDATED_CONFIRMATION_SECONDS,
)
from dotterelpitch.routing.rate_limit_registry import RateLimitRegistry
from dotterelpitch.upstream.engine_check import CheckResult
from tests.harness.simulated_gateways import make_fleet

ENGINE = Engine("e1", "chat", "10.0.0.1:1", "a", started_ms=5)
NEXT_RUN = Engine("e1", "chat", "10.0.0.1:1", "a", started_ms=6)
OTHER_ID = Engine("e2", "chat", "10.0.0.1:1", "a", started_ms=6)
UNDATED = Engine("e1", "chat", "10.0.0.1:1", "a")
LEAVES = EngineStatus(is_leaving=True)


def make_state(*engines):
    clock = ManualClock(100.0)
    state = GatewayState(clock)
    state.directory.replace_all(engines, may_be_incomplete=False)
    return state, clock


def usable_ids(state):
    return [engine.id for engine in state.directory.usable("chat")]


@pytest.mark.parametrize(
    ("headers", "is_leaving"),
    [
        ([], False),
        ([("Server-Leaving", "1")], True),
        ([("server-leaving", " 1 ")], True),
        ([("Server-Leaving", "1"), ("Server-Leaving", "1")], True),
        ([("Server-Leaving", "1"), ("Server-Leaving", "0")], False),
        ([("Server-Leaving", "0")], False),
        ([("Server-Leaving", "")], False),
        ([("Server-Leaving", "yes")], False),
        ([("Server-Leaving", "1" * 5000)], False),
    ],
)
def test_only_a_clear_word_means_that_an_engine_leaves(headers, is_leaving):
    assert decode_engine_status(200, headers).is_leaving == is_leaving


# Guards against: only one kind of response is read for what its engine says.
@pytest.mark.parametrize(
    ("response_class", "counts"),
    [
        (ResponseClass.ANSWERED, True),
        (ResponseClass.NOT_RUN, True),
        (ResponseClass.FAILED, True),
        (ResponseClass.MISDIRECTED, False),
        (ResponseClass.NOT_AUTHENTIC, False),
    ],
)
def test_word_counts_in_every_response_of_the_engine_itself(response_class, counts):
    state, clock = make_state(ENGINE)
    recorder = EngineStatusRecorder(
        state, RateLimitRegistry(clock), EnginePauses(clock), state.cold_engines
    )
    recorder.record(ENGINE, response_class, LEAVES)
    assert usable_ids(state) == ([] if counts else ["e1"])


def test_word_counts_when_the_engine_is_asked_for_a_sign_of_life():
    state, clock = make_state(ENGINE)
    recorder = EngineStatusRecorder(
        state, RateLimitRegistry(clock), EnginePauses(clock), state.cold_engines
    )
    recorder.record_check(ENGINE, LEAVES)
    assert usable_ids(state) == []


# Guards against: the registry brings an engine back that has said that it leaves, or
# its word sticks to another run of it, or to another engine at the same address.
@pytest.mark.parametrize(
    ("listed", "usable", "usable_once_asked"),
    [
        ([ENGINE], [], []),
        ([NEXT_RUN], [], ["e1"]),
        ([UNDATED], [], ["e1"]),
        ([OTHER_ID], ["e2"], ["e2"]),
        ([ENGINE, OTHER_ID], ["e2"], ["e2"]),
    ],
)
@pytest.mark.parametrize("is_dropped_before", [False, True])
def test_word_holds_for_its_run_whatever_the_registry_says(
    listed, usable, usable_once_asked, is_dropped_before
):
    state, clock = make_state(ENGINE)
    state.record_leaving(ENGINE.run)
    if is_dropped_before:
        state.directory.replace_all([], may_be_incomplete=False)
        clock.advance(50.0)
        state.expire()
    state.directory.replace_all(listed, may_be_incomplete=False)
    assert usable_ids(state) == usable
    for engine in state.engines_in_doubt():
        state.record_stays(engine.run)
    assert usable_ids(state) == usable_once_asked


@pytest.mark.parametrize("engine", [ENGINE, UNDATED])
def test_word_is_kept_while_the_engine_is_listed_or_says_it_again(engine):
    state, clock = make_state(engine)
    leaving = evolve(engine, is_leaving=True)
    for _ in range(5):
        state.record_leaving(engine.run)
        clock.advance(UNDATED_CONFIRMATION_SECONDS / 2)
        state.expire()
        state.directory.put(engine)
        assert state.engines_in_doubt() == []
        assert usable_ids(state) == []
    clock.advance(UNDATED_CONFIRMATION_SECONDS + 1.0)
    state.expire()
    state.directory.put(engine)
    assert usable_ids(state) == []
    # Another run may stand behind an entry without a start time.
    assert state.engines_in_doubt() == ([] if engine.started_ms else [leaving])


# Guards against: an engine in doubt is used before it has answered, or never again.
@pytest.mark.parametrize(
    ("status", "headers", "usable"),
    [
        (200, [], ["e1"]),
        (200, [("Server-Leaving", "1")], []),
        (503, [("Server-Leaving", "1")], []),
        (503, [], []),
        (None, [], []),
    ],
)
async def test_engine_in_doubt_is_used_once_it_says_that_it_stays(
    status, headers, usable
):
    state, clock = make_state(ENGINE)
    asked = []

    async def run_check(check):
        asked.append(check.engine_id)
        if status is not None:
            check.on_status(decode_engine_status(status, headers))
        return CheckResult.RESPONDED if status else CheckResult.SILENT

    recorder = EngineStatusRecorder(
        state, RateLimitRegistry(clock), EnginePauses(clock), state.cold_engines
    )
    checker = LeavingEngineChecker(clock, state, recorder.record_check, run_check)
    checker.ask_all()
    state.record_leaving(ENGINE.run)
    state.directory.put(NEXT_RUN)
    for _ in range(3):
        checker.ask_all()
        await asyncio.sleep(0)
    assert asked == ["e1"]
    assert usable_ids(state) == usable
    clock.advance(CHECK_INTERVAL_SECONDS + 0.1)
    checker.ask_all()
    await asyncio.sleep(0)
    is_asked_again = status is None or (status == 503 and not headers)
    assert len(asked) == 1 + is_asked_again


# Guards against: a word is forgotten with the entry, and comes back with an old list.
def test_word_is_forgotten_some_time_after_the_entry():
    state, clock = make_state(ENGINE)
    state.record_leaving(ENGINE.run)
    state.directory.remove("e1")
    clock.advance(RETENTION_SECONDS + 1.0)
    state.expire()
    assert ENGINE.run not in state.leaving_engines
    _, runs = state.leaving_engines.updates_after(0)
    assert runs == []


# Guards against: each VM learns that an engine leaves by a request of its own.
@pytest.mark.parametrize("vms", [2, 9, 60])
def test_all_vms_hear_that_an_engine_leaves_also_those_that_start_later(vms):
    fleet = make_fleet(vms)
    for gateway in fleet.gateway_by_address.values():
        gateway.state.directory.replace_all([ENGINE], may_be_incomplete=False)
    fleet.run(5.0)
    addresses = list(fleet.gateway_by_address)
    fleet.gateway_by_address[addresses[-1]].state.record_leaving(ENGINE.run)
    fleet.run(1.0)
    states = [g.state for g in fleet.gateway_by_address.values()]
    assert [usable_ids(state) for state in states] == [[]] * vms
    fleet.restart(addresses[0])
    state = fleet.gateway_by_address[addresses[0]].state
    state.directory.replace_all([ENGINE], may_be_incomplete=False)
    fleet.run(8.0)
    assert usable_ids(state) == []
