"""The version that began a stream, as VMs know it: which VM, for how long, how much."""

import random
from types import SimpleNamespace

import pytest

from dotterelpitch.clock import ManualClock
from dotterelpitch.gateway.stream_resumption import (
    OTHER_SERVICE_REASON,
    UNKNOWN_ORIGIN_REASON,
    Resumption,
    StreamResumption,
)
from dotterelpitch.routing.engines import Engine, EngineDirectory
from dotterelpitch.routing.route_table import CallKind
from dotterelpitch.routing.stream_origins import (
    MAX_STREAMS,
    RETENTION_SECONDS,
    StreamOrigin,
    StreamOrigins,
    pack_hashes,
)
from tests.harness.simulated_gateways import make_fleet

ORIGIN = StreamOrigin("chat", "v1")


def make_call(last_event_id="7", resumes="r1", kind=CallKind.STREAM, account="packers"):
    services = (SimpleNamespace(service="chat"),)
    return SimpleNamespace(
        route=SimpleNamespace(kind=kind, services=services),
        headers=SimpleNamespace(last_event_id=last_event_id, resumes=resumes),
        account_name=account,
        service="chat",
    )


def make_resumption(versions, service="chat"):
    clock = ManualClock(100.0)
    directory = EngineDirectory(clock)
    for number, version in enumerate(versions):
        directory.put(Engine(f"e{number}", "chat", "10.0.0.1:1", "a", version=version))
    origins = StreamOrigins(clock)
    origins.record("packers", "r1", StreamOrigin(service, "v1"))
    return StreamResumption(directory, origins), directory, clock


# Guards against: a caller's stream goes on at whatever version its VM likes.
@pytest.mark.parametrize(
    ("call", "versions", "expected"),
    [
        (make_call(), ["v1", "v2"], Resumption("chat", "v1")),
        (make_call(), ["v2"], Resumption("chat", "v1")),
        (make_call(last_event_id=""), ["v1", "v2"], Resumption("chat")),
        (make_call(kind=CallKind.SAFE), ["v1", "v2"], Resumption("chat")),
        (make_call(resumes=""), ["v1"], Resumption("chat", "v1")),
        (make_call(resumes=""), ["", ""], Resumption("chat", "")),
        (make_call(resumes=""), [], Resumption("chat")),
    ],
)
def test_version_that_may_serve_a_call(call, versions, expected):
    resumption, _, _ = make_resumption(versions)
    assert resumption.resolve(call) == expected


@pytest.mark.parametrize(
    "call",
    [
        make_call(resumes=""),
        make_call(resumes="unknown"),
        make_call(account="others"),
        make_call(resumes="x" * 100_000),
        make_call(resumes="\udcff\x00"),
    ],
)
@pytest.mark.parametrize("versions", [["v1", "v2"], ["v1", ""]])
def test_stream_of_unknown_origin_is_refused_among_versions(call, versions):
    resumption, _, _ = make_resumption(versions)
    assert resumption.resolve(call).refusal_reason == UNKNOWN_ORIGIN_REASON


def test_stream_of_another_service_is_refused():
    resumption, _, _ = make_resumption(["v1"], service="calls")
    assert resumption.resolve(make_call()).refusal_reason == OTHER_SERVICE_REASON


# Guards against: all engines were replaced a moment ago, and old streams join the new.
@pytest.mark.parametrize("is_replaced", [True, False])
def test_version_that_has_left_counts_for_a_while(is_replaced):
    resumption, directory, clock = make_resumption(["v1"])
    if is_replaced:
        directory.put(Engine("e0", "chat", "10.0.0.1:1", "a", 0, False, 1, "v2"))
    else:
        directory.remove("e0")
        directory.put(Engine("e1", "chat", "10.0.0.1:1", "a", version="v2"))
    call = make_call(resumes="unknown")
    assert resumption.resolve(call).refusal_reason == UNKNOWN_ORIGIN_REASON
    clock.advance(RETENTION_SECONDS + 1.0)
    assert resumption.resolve(call) == Resumption("chat", "v2")


def test_origins_are_forgotten_after_their_time_and_beyond_their_number():
    clock = ManualClock(100.0)
    origins = StreamOrigins(clock)
    origins.merge("vm2", ORIGIN, pack_hashes([1, 2, 3]) + b"cut")
    clock.advance(RETENTION_SECONDS + 1.0)
    for first in range(0, 2 * MAX_STREAMS, 10_000):
        hashes = list(range(first + 10, first + 10_010))
        origins.merge("vm2", ORIGIN, pack_hashes(hashes))
    _, streams = origins.since(0, lambda source: True)
    assert sum(len(packed) for _, packed in streams) <= 8 * MAX_STREAMS


# Guards against: only the VM that passed the first event on knows what began a stream.
@pytest.mark.parametrize("vms", [2, 9, 60])
def test_every_vm_knows_what_began_a_stream_after_the_first_vm_has_died(vms):
    fleet = make_fleet(vms)
    fleet.run(5.0)
    rng = random.Random(1)
    begun = []
    for number in range(40):
        address = rng.choice(list(fleet.gateway_by_address))
        gateway = fleet.gateway_by_address[address]
        gateway.stream_origins.record("packers", f"r{number}", ORIGIN)
        begun.append(f"r{number}")
        fleet.run(0.75)
        if number % 4 == 3:
            fleet.restart(address)
    fleet.run(8.0)
    recent = begun[-20:]
    for gateway in fleet.gateway_by_address.values():
        found = [gateway.stream_origins.find("packers", r) for r in recent]
        assert found == [ORIGIN] * len(recent)
