"""A store that is back from an older copy: what a gateway believes, and its peers."""

import pytest

from dotterelpitch.clock import ManualClock
from dotterelpitch.gateway.digest_exchange import DigestExchange
from dotterelpitch.gateway.link import Link
from dotterelpitch.gateway.reader_selection import ReaderSelection
from dotterelpitch.gateway.record_exchange import RecordExchange
from dotterelpitch.gateway.state import GatewayState
from dotterelpitch.platform.store import StoreRecord, StoreResponse
from dotterelpitch.protocol.gateway_messages import (
    LINK_VERSION,
    STORE_ERA_LINK_VERSION,
    FetchRecords,
    FetchRecordsOfEra,
    FleetVm,
    GatewayDigest,
    GatewayDigestOfEra,
    RecordBatchOfEra,
)
from dotterelpitch.routing.engines import REREGISTRATION_SECONDS
from dotterelpitch.store_position import StorePosition
from tests.harness.simulated_gateways import make_fleet
from tests.harness.store_records import config_record, engine_record


def removal(engine_id):
    return StoreRecord(f"servers/{engine_id}", None)


def make_state(clock, *engine_ids, revision=100, era=1):
    state = GatewayState(clock)
    records = (config_record(5), *map(engine_record, engine_ids))
    state.apply_list(StoreResponse(records, revision, era), may_be_incomplete=False)
    return state


def apply_list(state, *records, revision, era):
    state.apply_list(StoreResponse(records, revision, era), may_be_incomplete=False)


def usable_ids(state):
    return [engine.id for engine in state.directory.usable("chat")]


@pytest.fixture
def clock():
    return ManualClock(100.0)


# Guards against: after a restore nothing is believed until revisions have caught up.
@pytest.mark.parametrize(
    ("era", "revision", "usable"),
    [
        (2, 80, ["e2"]),
        (2, 100, ["e2"]),
        (3, 1, ["e2"]),
        (1, 101, ["e2"]),
        (1, 99, ["e1"]),
        (0, 500, ["e1"]),
    ],
)
def test_records_of_a_later_era_are_newer_whatever_their_revision(
    clock, era, revision, usable
):
    state = make_state(clock, "e1")
    apply_list(state, engine_record("e2"), revision=revision, era=era)
    clock.advance(REREGISTRATION_SECONDS + 0.1)
    state.expire()
    assert usable_ids(state) == usable


# Guards against: engines that live are dropped with the writes that the store has lost.
def test_engine_that_the_copy_lacks_has_two_seconds_to_register_again(clock):
    state = make_state(clock, "e1", "e2")
    apply_list(state, engine_record("e1"), revision=80, era=2)
    assert usable_ids(state) == ["e1", "e2"]
    clock.advance(REREGISTRATION_SECONDS + 0.1)
    state.expire()
    assert usable_ids(state) == ["e1"]


# Guards against: a copy brings an engine back that had been removed.
@pytest.mark.parametrize("is_listed_twice", [False, True])
def test_removed_engine_is_used_again_only_once_its_record_is_written(
    clock, is_listed_twice
):
    state = make_state(clock, "e1", "e2")
    state.apply_changes(StoreResponse((removal("e1"),), 101, 1))
    copy = (engine_record("e1"), engine_record("e2"))
    for _ in range(1 + is_listed_twice):
        apply_list(state, *copy, revision=80, era=2)
        assert usable_ids(state) == ["e2"]
    assert "servers/e1" not in state.record_by_key
    written = engine_record("e1", call_seq=2)
    state.apply_changes(StoreResponse((written,), 81, 2))
    assert usable_ids(state) == ["e1", "e2"]


# Guards against: a copy takes back that an engine leaves, or which config is in force.
def test_copy_takes_back_neither_a_leaving_engine_nor_the_config(clock):
    state = make_state(clock, "e1", "e2")
    changes = (engine_record("e1", state="draining"), config_record(6))
    state.apply_changes(StoreResponse(changes, 101, 1))
    copy = (config_record(5), engine_record("e1"), engine_record("e2"))
    apply_list(state, *copy, revision=80, era=2)
    assert usable_ids(state) == ["e2"]
    assert state.config.version == 6


def make_exchange(state):
    return RecordExchange(state.clock, state, ReaderSelection(state.clock, "v", "a"))


# Guards against: a peer takes the changes since a revision of another era for its own.
@pytest.mark.parametrize(("era", "is_full"), [(1, True), (2, False), (0, True)])
def test_peer_of_another_era_gets_all_records(clock, era, is_full):
    state = make_state(clock, "e1", revision=80, era=2)
    state.apply_changes(StoreResponse((engine_record("e2"),), 81, 2))
    batch = make_exchange(state).make_batch(FetchRecordsOfEra(5, 80, era))
    assert isinstance(batch, RecordBatchOfEra)
    assert (batch.is_full, batch.store_era) == (is_full, 2)


# Guards against: a VM that doesn't read the store keeps the records of the earlier era.
def test_peer_takes_over_the_records_of_a_later_era(clock):
    sender = make_state(clock, "e2", revision=80, era=2)
    receiver = make_state(clock, "e1", revision=100, era=1)
    exchange = make_exchange(receiver)
    exchange.apply_batch(make_exchange(sender).make_batch(FetchRecordsOfEra(5, 100, 1)))
    assert receiver.position == StorePosition(2, 80)
    assert usable_ids(receiver) == ["e1", "e2"]


# Guards against: an earlier build, which knows no eras, can't follow a newer one, or
# undoes what it knows.
def test_earlier_builds_are_answered_as_before_and_not_followed(clock):
    state = make_state(clock, "e2", revision=80, era=2)
    exchange = make_exchange(state)
    batch = exchange.make_batch(FetchRecords(5, 100))
    assert not isinstance(batch, RecordBatchOfEra)
    assert not exchange.should_fetch(GatewayDigest("v1", 5, 500, 0))


# Guards against: no VM reads the store, since the peers report a lost era as fresh.
@pytest.mark.parametrize(("era", "should_read"), [(1, True), (2, False), (3, False)])
def test_only_reports_of_the_present_era_spare_reading_the_store(
    clock, era, should_read
):
    gateway = next(iter(make_fleet(2).gateway_by_address.values()))
    state = make_state(clock, "e1", revision=80, era=2)
    selection = ReaderSelection(clock, "vm000", "a", is_relay=False)
    digests = DigestExchange(
        clock,
        state,
        gateway.topology,
        gateway.loads,
        gateway.engine_tracker,
        selection,
    )
    peer = FleetVm("vm001", "b", "10.0.0.1:1", 100, LINK_VERSION)
    link = Link(peer, stream=None)
    digests.apply(link, GatewayDigestOfEra("vm001", 5, 80, 0, store_era=era))
    assert selection.should_read_store() is should_read


# Guards against: peers that know no eras get a message that they can't read.
@pytest.mark.parametrize(
    ("link_version", "digest_type"),
    [
        (STORE_ERA_LINK_VERSION - 1, GatewayDigest),
        (STORE_ERA_LINK_VERSION, GatewayDigestOfEra),
    ],
)
def test_digest_names_the_era_to_peers_that_understand_it(
    clock, link_version, digest_type
):
    gateway = next(iter(make_fleet(2).gateway_by_address.values()))
    peer = FleetVm("vm001", "b", "10.0.0.1:1", 100, link_version)
    assert type(gateway.digests.make(Link(peer, stream=None))) is digest_type
