"""Odd records among those of the engines: the others hold, and nothing stops."""

import json

import pytest

from dotterelpitch.clock import ManualClock
from dotterelpitch.gateway.state import GatewayState
from dotterelpitch.platform.store import StoreRecord, StoreResponse
from dotterelpitch.protocol.codec import encode_frame
from tests.harness.simulated_gateways import make_fleet

ENGINE = {
    "service": "chat",
    "address": "127.0.0.1:9",
    "zone": "a",
    "capacity": 4,
    "state": "draining",
    "version": "v1",
    "born": 1,
}
FIELDS = tuple(ENGINE)
DEPTH = 200_000
NESTED = b"[" * DEPTH + b"]" * DEPTH
VALUES = {
    "nested": NESTED,
    "nested a little": b"[" * 900 + b"]" * 900,
    "beyond 64 bits": b"1" + b"0" * 30,
    "9,000 digits": b"9" * 9000,
    "infinite": b"1e999",
    "not a number": b"NaN",
    "negative": b"-5",
    "a lone surrogate": b'"\\ud800"',
    "a NUL": b'"\\u0000"',
    "not UTF-8": b'"\xff"',
    "100 kB": b'"' + b"x" * 100_000 + b'"',
    "port 0": b'"127.0.0.1:0"',
    "port out of range": b'"127.0.0.1:70000"',
}


def with_value(field, value):
    """Return a record in which one field has a value, given as JSON."""
    others = json.dumps({n: v for n, v in ENGINE.items() if n != field}).encode()
    return others[:-1] + b', "%s": %s}' % (field.encode(), value)


def sound_record(engine_id, state="ready"):
    content = {**ENGINE, "state": state}
    return StoreRecord(f"servers/{engine_id}", json.dumps(content).encode())


# Guards against: one odd record stops the reading of all, or what is made of it stops
# the messages to the peers.
@pytest.mark.parametrize("field", [None, *FIELDS])
@pytest.mark.parametrize("value", VALUES.values(), ids=VALUES.keys())
@pytest.mark.parametrize("is_list", [True, False])
def test_gateway_follows_the_registry_beside_an_odd_record(is_list, field, value):
    fleet = make_fleet(2)
    fleet.run(2.0)
    gateway, _ = fleet.gateway_by_address.values()
    record = StoreRecord("servers/odd", with_value(field, value) if field else value)
    records = (record, sound_record("e1"), sound_record("e2", "draining"))
    response = StoreResponse(records, 10)
    if is_list:
        gateway.state.apply_list(response, may_be_incomplete=False)
    else:
        gateway.state.apply_changes(response)
    usable = [engine.id for engine in gateway.state.directory.usable("chat")]
    assert usable == ["e1"]
    for link in (link for pair in fleet.links.values() for link in pair):
        encode_frame(1, gateway.digests.make(link))
        for exchange in gateway.exchanges:
            if (message := exchange.message_for(link)) is not None:
                encode_frame(1, message)


# Guards against: an odd config stops the process from following the store.
@pytest.mark.parametrize("value", VALUES.values(), ids=VALUES.keys())
def test_odd_config_is_refused(value):
    state = GatewayState(ManualClock())
    state.apply_changes(StoreResponse((StoreRecord("op/config", value),), 10))
    assert state.config is None
    assert state.revision == 10
