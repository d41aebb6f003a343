"""Config and engine directory of a gateway, for valid and invalid store records."""

import pytest

from dotterelpitch.clock import ManualClock
from dotterelpitch.gateway.state import GatewayState
from dotterelpitch.platform.config_record import CONFIG_KEY
from dotterelpitch.platform.store import StoreRecord, StoreResponse
from dotterelpitch.routing.engines import REREGISTRATION_SECONDS
from dotterelpitch.telemetry.events import Event, observe_events
from tests.harness.store_records import config_record, engine_record


@pytest.fixture
def clock():
    return ManualClock(100.0)


@pytest.fixture
def state(clock):
    state = GatewayState(clock)
    records = (config_record(5), engine_record("e1"), engine_record("e2"))
    state.apply_list(StoreResponse(records, 10), may_be_incomplete=False)
    return state


def usable_ids(state):
    return [engine.id for engine in state.directory.usable("chat")]


@pytest.mark.parametrize(
    ("offered", "in_force"),
    [
        ([6], 6),
        ([4], 5),
        ([5], 5),
        ([9, 7], 9),
        ([6, 30, 31], 31),
    ],
)
def test_a_config_is_replaced_only_by_a_higher_version(state, offered, in_force):
    for version in offered:
        state.apply_changes(StoreResponse((config_record(version),), 11))
    assert state.config.version == in_force


@pytest.mark.parametrize(
    ("values", "in_force"),
    [
        ([b'{"version": 6}', config_record(7).value], 7),
        ([config_record(6).value, config_record(7).value], 7),
        ([config_record(6).value, b"{"], 6),
        ([b"{", None], 5),
    ],
)
def test_last_valid_config_of_an_answer_is_applied(state, values, in_force):
    records = tuple(StoreRecord(CONFIG_KEY, value) for value in values)
    state.apply_changes(StoreResponse(records, 11))
    assert state.config.version == in_force


@pytest.mark.parametrize("value", [None, b"", b"{", b"[]", b'{"version": "9"}'])
def test_invalid_config_leaves_the_current_one_in_force(state, value):
    state.apply_changes(StoreResponse((StoreRecord(CONFIG_KEY, value),), 11))
    assert state.config.version == 5


@pytest.mark.parametrize(
    "record",
    [
        StoreRecord("servers/e1", None),
        StoreRecord("servers/e1", b"\xff\x00"),
        StoreRecord("servers/e1", b"[]"),
        engine_record("e1", state="draining"),
        engine_record("e1", state="resting"),
        engine_record("e1", address="no address"),
        engine_record("e1", address="name.example:80"),
        engine_record("e1", address=7),
        engine_record("e1", capacity="many"),
        engine_record("e1", service=None),
        engine_record("e1", service="another"),
    ],
)
def test_unusable_engine_record_removes_only_that_engine(state, record):
    state.apply_changes(StoreResponse((record,), 11))
    assert usable_ids(state) == ["e2"]


@pytest.mark.parametrize("is_list", [True, False])
@pytest.mark.parametrize(("revision", "usable"), [(14, ["e2"]), (16, ["e1", "e2"])])
def test_answer_older_than_the_state_reverts_no_engine(
    state, is_list, revision, usable
):
    elsewhere = engine_record("e1", service="another")
    state.apply_changes(StoreResponse((elsewhere,), 15))
    records = (config_record(6), engine_record("e1"), engine_record("e2"))
    if is_list:
        state.apply_list(StoreResponse(records, revision), may_be_incomplete=False)
    else:
        state.apply_changes(StoreResponse(records, revision))
    assert usable_ids(state) == usable
    assert state.config.version == 6


def test_engine_missing_from_a_full_list_is_removed_at_once(state):
    state.apply_list(StoreResponse((engine_record("e2"),), 11), may_be_incomplete=False)
    assert usable_ids(state) == ["e2"]


def test_engine_has_time_to_reregister_after_an_outage(state, clock):
    state.apply_list(StoreResponse((), 11), may_be_incomplete=True)
    assert usable_ids(state) == ["e1", "e2"]
    state.apply_changes(StoreResponse((engine_record("e1"),), 12))
    clock.advance(REREGISTRATION_SECONDS + 0.1)
    state.expire()
    assert usable_ids(state) == ["e1"]


# Guards against: engines that live are removed before they have registered again, since
# a gateway that has heard of the store's return from a peer then reads a list itself.
@pytest.mark.parametrize("may_be_incomplete", [False, True])
def test_second_list_after_an_outage_leaves_the_time_to_reregister(
    state, clock, may_be_incomplete
):
    state.apply_list(StoreResponse((engine_record("e1"),), 11), may_be_incomplete=True)
    clock.advance(0.5)
    state.apply_list(StoreResponse((engine_record("e1"),), 12), may_be_incomplete)
    assert usable_ids(state) == ["e1", "e2"]
    clock.advance(REREGISTRATION_SECONDS - 0.4)
    state.expire()
    assert usable_ids(state) == ["e1"]


def test_deletion_after_an_outage_is_applied_at_once(state):
    state.apply_list(StoreResponse((), 11), may_be_incomplete=True)
    state.apply_changes(StoreResponse((StoreRecord("servers/e1", None),), 12))
    assert usable_ids(state) == ["e2"]


@pytest.mark.parametrize(
    ("changes", "seconds", "holders"),
    [
        ([engine_record("e1", state="draining")], 1.0, ["e1", "e2"]),
        ([engine_record("e1", state="draining")], 4.0, ["e2"]),
        ([StoreRecord("servers/e1", None)], 1.0, ["e1", "e2"]),
        ([StoreRecord("servers/e1", None)], 2.0, ["e2"]),
        (
            [engine_record("e1", state="draining"), StoreRecord("servers/e1", None)],
            0.1,
            ["e2"],
        ),
        ([engine_record("e3")], 1.0, ["e1", "e2"]),
        ([engine_record("e3")], 9.0, ["e1", "e2", "e3"]),
        ([engine_record("e1", born=2)], 1.0, ["e2"]),
    ],
)
def test_engines_whose_cache_may_hold_an_older_prompt(
    state, clock, changes, seconds, holders
):
    for revision, change in enumerate(changes, 11):
        state.apply_changes(StoreResponse((change,), revision))
    clock.advance(seconds)
    found = state.directory.cache_holders("chat", settled_s=8.0)
    assert sorted(engine.id for engine in found) == holders


# Guards against: the registry takes back that an engine leaves, as a store does that is
# back from an older copy, and the engine gets requests again.
@pytest.mark.parametrize("is_list", [True, False])
@pytest.mark.parametrize(("born", "is_in_doubt"), [(1, False), (2, True)])
def test_engine_that_its_record_has_withdrawn_is_bound_by_that(
    state, is_list, born, is_in_doubt
):
    leaving = engine_record("e1", state="draining")
    state.apply_changes(StoreResponse((leaving,), 15))
    records = (config_record(6), engine_record("e1", born=born), engine_record("e2"))
    if is_list:
        state.apply_list(StoreResponse(records, 16), may_be_incomplete=False)
    else:
        state.apply_changes(StoreResponse(records, 16))
    assert usable_ids(state) == ["e2"]
    assert [e.id for e in state.engines_in_doubt()] == ["e1"] * is_in_doubt


# Guards against: nothing in the log says of which run of an engine a record spoke.
@pytest.mark.parametrize("is_list", [True, False])
def test_log_names_the_run_and_the_revision_of_a_changed_record(state, is_list):
    lines = []
    stop = observe_events(lambda event, values: lines.append((event, values)))
    response = StoreResponse((engine_record("e1", born=7), engine_record("e2")), 11)
    if is_list:
        state.apply_list(response, may_be_incomplete=False)
    else:
        state.apply_changes(response)
    stop()
    listed = [values for event, values in lines if event is Event.ENGINE_LISTED]
    assert [(v["engine"], v["started_ms"], v["revision"]) for v in listed] == [
        ("e1", 7, 11)
    ]
