"""Records that one gateway gives another: newer ones, and no engine that is gone."""

import json

import pytest

from dotterelpitch.clock import ManualClock
from dotterelpitch.gateway.reader_selection import ReaderSelection
from dotterelpitch.gateway.record_exchange import RecordExchange
from dotterelpitch.gateway.state import GatewayState
from dotterelpitch.platform.config_record import CONFIG_KEY
from dotterelpitch.platform.store import StoreRecord, StoreResponse
from dotterelpitch.protocol.gateway_messages import FetchRecords
from dotterelpitch.routing.engines import REREGISTRATION_SECONDS


def engine_record(engine_id):
    content = {
        "service": "chat",
        "address": "127.0.0.1:9",
        "zone": "a",
        "state": "ready",
        "born": 1,
    }
    return StoreRecord(f"servers/{engine_id}", json.dumps(content).encode())


def config_record(version):
    content = {"version": version, "routes": []}
    return StoreRecord(CONFIG_KEY, json.dumps(content).encode())


class Side:
    """One gateway's state and what it exchanges."""

    def __init__(self, clock, *engine_ids, revision):
        self.state = GatewayState(clock)
        self.records = RecordExchange(
            clock, self.state, ReaderSelection(clock, "v", "a")
        )
        self.apply_list(*engine_ids, revision=revision)

    def apply_list(self, *engine_ids, revision, may_be_incomplete=False):
        records = (config_record(1), *map(engine_record, engine_ids))
        self.state.apply_list(StoreResponse(records, revision), may_be_incomplete)

    def give(self, other):
        request = FetchRecords(other.state.config.version, other.state.revision)
        other.records.apply_batch(self.records.make_batch(request))

    @property
    def usable(self):
        return [engine.id for engine in self.state.directory.usable("chat")]


@pytest.fixture
def clock():
    return ManualClock(100.0)


@pytest.mark.parametrize("may_be_incomplete", [False, True])
@pytest.mark.parametrize("other_knows", [("e2",), ("e2", "e3")])
def test_an_engine_that_the_last_list_lacked_isnt_given_to_others(
    clock, may_be_incomplete, other_knows
):
    giver = Side(clock, "e1", "e2", revision=10)
    other = Side(clock, *other_knows, revision=15)
    giver.apply_list("e2", revision=20, may_be_incomplete=may_be_incomplete)
    giver.give(other)
    assert "e1" not in other.usable
    assert "e2" in other.usable
    assert other.state.revision == 20


def test_an_engine_that_may_come_back_stays_for_a_while_at_the_other_too(clock):
    giver = Side(clock, "e1", "e2", revision=10)
    other = Side(clock, "e1", "e2", revision=10)
    giver.apply_list("e2", revision=20, may_be_incomplete=True)
    giver.give(other)
    assert other.usable == ["e1", "e2"]
    clock.advance(REREGISTRATION_SECONDS + 0.1)
    other.state.expire()
    assert other.usable == ["e2"]


def test_changes_alone_are_given_to_who_is_only_a_little_behind(clock):
    giver = Side(clock, "e1", revision=10)
    other = Side(clock, "e1", revision=10)
    giver.state.apply_changes(StoreResponse((engine_record("e2"),), 11))
    giver.state.apply_changes(StoreResponse((StoreRecord("servers/e1", None),), 12))
    batch = giver.records.make_batch(FetchRecords(1, 10))
    assert not batch.is_full
    assert batch.deleted == ["servers/e1"]
    giver.give(other)
    assert other.usable == ["e2"]
