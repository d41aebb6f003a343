"""Record batches between gateways: newer records are sent, removed engines aren't."""

import asyncio
from types import SimpleNamespace

import pytest

from dotterelpitch.clock import ManualClock
from dotterelpitch.gateway.link import Link
from dotterelpitch.gateway.reader_selection import ReaderSelection
from dotterelpitch.gateway.record_exchange import RecordExchange
from dotterelpitch.gateway.state import GatewayState
from dotterelpitch.platform.store import StoreRecord, StoreResponse
from dotterelpitch.protocol.gateway_messages import (
    LINK_VERSION,
    FetchRecords,
    FleetVm,
    GatewayDigest,
)
from dotterelpitch.routing.engines import REREGISTRATION_SECONDS
from tests.harness.store_records import config_record, engine_record


class GatewayStub:
    """The state and the record exchange of one gateway, without a network."""

    def __init__(self, clock, *engine_ids, revision):
        self.state = GatewayState(clock)
        self.records = RecordExchange(
            clock, self.state, ReaderSelection(clock, "v", "a")
        )
        self.apply_list(*engine_ids, revision=revision)

    def apply_list(self, *engine_ids, revision, may_be_incomplete=False):
        records = (config_record(1), *map(engine_record, engine_ids))
        self.state.apply_list(StoreResponse(records, revision), may_be_incomplete)

    def send_to(self, peer):
        request = FetchRecords(peer.state.config.version, peer.state.revision)
        peer.records.apply_batch(self.records.make_batch(request))

    @property
    def usable_ids(self):
        return [engine.id for engine in self.state.directory.usable("chat")]


@pytest.fixture
def clock():
    return ManualClock(100.0)


@pytest.mark.parametrize("may_be_incomplete", [False, True])
@pytest.mark.parametrize("peer_engines", [("e2",), ("e2", "e3")])
def test_engine_missing_from_the_last_list_is_not_sent_to_peers(
    clock, may_be_incomplete, peer_engines
):
    sender = GatewayStub(clock, "e1", "e2", revision=10)
    peer = GatewayStub(clock, *peer_engines, revision=15)
    sender.apply_list("e2", revision=20, may_be_incomplete=may_be_incomplete)
    sender.send_to(peer)
    assert "e1" not in peer.usable_ids
    assert "e2" in peer.usable_ids
    assert peer.state.revision == 20


def test_engine_that_may_reregister_is_kept_by_the_peer_too(clock):
    sender = GatewayStub(clock, "e1", "e2", revision=10)
    peer = GatewayStub(clock, "e1", "e2", revision=10)
    sender.apply_list("e2", revision=20, may_be_incomplete=True)
    sender.send_to(peer)
    assert peer.usable_ids == ["e1", "e2"]
    clock.advance(REREGISTRATION_SECONDS + 0.1)
    peer.state.expire()
    assert peer.usable_ids == ["e2"]


def test_only_changes_are_sent_to_a_peer_slightly_behind(clock):
    sender = GatewayStub(clock, "e1", revision=10)
    peer = GatewayStub(clock, "e1", revision=10)
    sender.state.apply_changes(StoreResponse((engine_record("e2"),), 11))
    sender.state.apply_changes(StoreResponse((StoreRecord("servers/e1", None),), 12))
    batch = sender.records.make_batch(FetchRecords(1, 10))
    assert not batch.is_full
    assert batch.deleted == ["servers/e1"]
    sender.send_to(peer)
    assert peer.usable_ids == ["e2"]


class ScriptedConnection:
    """A connection to a peer that answers with a batch, or never."""

    def __init__(self, batch=None):
        self._batch = batch

    async def call(self, request, timeout_s):
        if self._batch is None:
            await asyncio.Event().wait()
        return self._batch


def make_link(vm, batch=None):
    peer = FleetVm(vm, "a", f"127.0.0.1:{vm[-1]}", 100, LINK_VERSION)
    return Link(peer, SimpleNamespace(connection=ScriptedConnection(batch)))


# Guards against: a peer that falls silent between its digest and its answer keeps a
# gateway from asking another one, for longer than a change may take.
async def test_records_are_fetched_from_another_peer_while_one_is_silent(clock):
    sender = GatewayStub(clock, "e2", revision=12)
    asking = GatewayStub(clock, "e1", revision=10)
    fresh = asking.records._reader_selection
    fresh.is_relay = False
    digest = GatewayDigest("vm1", 1, 12, 0)
    hedge_s = fresh.timing.fetch_hedge_s

    def may_fetch(vm):
        fresh.record_report("vm1", "a", True, 0.0)
        return asking.records.should_fetch(digest, vm=vm)

    assert may_fetch("vm1")
    silent = asyncio.create_task(asking.records.fetch(make_link("vm1")))
    await asyncio.sleep(0)
    assert not may_fetch("vm2")
    clock.advance(hedge_s + 0.01)
    assert [may_fetch(vm) for vm in ("vm1", "vm2")] == [False, True]
    request = FetchRecords(1, asking.state.revision)
    await asking.records.fetch(make_link("vm2", sender.records.make_batch(request)))
    assert asking.usable_ids == ["e2"]
    silent.cancel()
    await asyncio.gather(silent, return_exceptions=True)
    assert not may_fetch("vm2")
