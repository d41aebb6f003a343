"""The version that began a stream, as VMs know it: which VM, for how long, how much."""

import asyncio
import random
from types import SimpleNamespace

import pytest

from dotterelpitch.clock import ManualClock
from dotterelpitch.errors import PlatformError
from dotterelpitch.gateway.cached_prompt_finder import (
    LIST_TTL_SECONDS,
    MAX_ASKED,
    UNNAMED_LIST_TTL_SECONDS,
    CachedPromptFinder,
)
from dotterelpitch.gateway.state import GatewayState
from dotterelpitch.gateway.stream_resumption import (
    OTHER_SERVICE_REASON,
    UNKNOWN_ORIGIN_REASON,
    Resumption,
    StreamResumption,
)
from dotterelpitch.platform.cache_list import decode_cache_list
from dotterelpitch.routing.continuity import (
    MAX_SILENCE_SECONDS,
    MAX_STANDSTILL_SECONDS,
    SETTLING_SECONDS,
)
from dotterelpitch.routing.engines import Engine
from dotterelpitch.routing.route_table import CallKind
from dotterelpitch.routing.stream_origins import (
    MAX_EARLIER_STREAMS,
    MAX_STREAMS,
    RETENTION_SECONDS,
    StreamOrigin,
    StreamOrigins,
    ToldStreams,
    pack_hashes,
    unpack_hashes,
)
from dotterelpitch.store_position import StorePosition
from tests.harness.simulated_gateways import make_fleet

ORIGIN = StreamOrigin("chat", "v1")
STEP_SECONDS = 0.1


def make_call(
    last_event_id="7",
    resumes="r1",
    kind=CallKind.STREAM,
    account="packers",
    parts=("system", "own"),
):
    services = (SimpleNamespace(service="chat"),)
    return SimpleNamespace(
        route=SimpleNamespace(kind=kind, services=services, is_resumable=True),
        headers=SimpleNamespace(last_event_id=last_event_id, resumes=resumes),
        account_name=account,
        service="chat",
        request_id="r2",
        prompt_parts=parts,
        leading_parts=parts[:-1],
        shared_parts=parts[:-1] or parts,
    )


class Caches:
    """Engines that say what they have cached; ``asked`` holds the ids of those asked.

    An engine without an entry in ``parts_by_id`` doesn't answer.
    """

    def __init__(self, parts_by_id=()):
        self.parts_by_id = dict(parts_by_id)
        self.asked = []

    async def read(self, engine_id, address):
        self.asked.append(engine_id)
        if engine_id not in self.parts_by_id:
            raise TimeoutError
        return frozenset(self.parts_by_id[engine_id])


def follow(state, seconds):
    """Let time pass in which the process runs and its state is confirmed."""
    for _ in range(round(seconds / STEP_SECONDS)):
        state.clock.advance(STEP_SECONDS)
        state.continuity.record_running()
        state.confirm(StorePosition(revision=1))


def make_resumption(versions, service="chat", known_for_s=60.0, caches=None):
    clock = ManualClock(100.0)
    state = GatewayState(clock)
    state.directory.replace_all(
        [
            Engine(f"e{number}", "chat", "10.0.0.1:1", "a", version=version)
            for number, version in enumerate(versions)
        ],
        may_be_incomplete=False,
    )
    follow(state, known_for_s)
    origins = StreamOrigins(clock)
    origins.record("packers", "r1", StreamOrigin(service, "v1"))
    finder = CachedPromptFinder(clock, state.directory, (caches or Caches()).read)
    resumption = StreamResumption(state, origins, finder)
    return resumption, state.directory, clock


def resolve(resumption, call):
    return asyncio.run(resumption.resolve(call))


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
    assert resolve(resumption, call) == expected


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
    assert resolve(resumption, call).refusal_reason == UNKNOWN_ORIGIN_REASON


def test_stream_of_another_service_is_refused():
    resumption, _, _ = make_resumption(["v1"], service="calls")
    assert resolve(resumption, make_call()).refusal_reason == OTHER_SERVICE_REASON


# Guards against: all engines were replaced a moment ago, and old streams join the new.
@pytest.mark.parametrize("is_replaced", [True, False])
def test_version_that_has_left_counts_for_a_while(is_replaced):
    resumption, directory, _ = make_resumption(["v1"])
    if is_replaced:
        directory.put(Engine("e0", "chat", "10.0.0.1:1", "a", 0, False, 1, "v2"))
    else:
        directory.remove("e0")
        directory.put(Engine("e1", "chat", "10.0.0.1:1", "a", version="v2"))
    call = make_call(resumes="unknown")
    assert resolve(resumption, call).refusal_reason == UNKNOWN_ORIGIN_REASON
    follow(resumption._state, RETENTION_SECONDS + 1.0)
    assert resolve(resumption, call) == Resumption("chat", "v2")


# Guards against: a VM that stood still, or was cut off, takes what it last heard, or
# what has waited for it since, for all there is.
@pytest.mark.parametrize(
    ("stands_still_s", "silent_s", "followed_s", "goes_on"),
    [
        (0.0, 0.0, 0.0, True),
        (MAX_STANDSTILL_SECONDS + 0.1, 0.0, 0.0, False),
        (MAX_STANDSTILL_SECONDS + 0.1, 0.0, 0.5, False),
        (MAX_STANDSTILL_SECONDS + 0.1, 0.0, SETTLING_SECONDS + 0.2, True),
        (0.0, MAX_SILENCE_SECONDS - 0.3, 0.0, True),
        (0.0, MAX_SILENCE_SECONDS + 0.1, 0.0, False),
        (0.0, MAX_SILENCE_SECONDS + 0.1, 0.5, False),
        (0.0, MAX_SILENCE_SECONDS + 0.1, SETTLING_SECONDS + 0.2, True),
    ],
)
def test_one_version_counts_only_without_a_gap(
    stands_still_s, silent_s, followed_s, goes_on
):
    resumption, _, clock = make_resumption(["v1"])
    clock.advance(stands_still_s)
    for _ in range(round(silent_s / STEP_SECONDS)):
        clock.advance(STEP_SECONDS)
        resumption._state.continuity.record_running()
    follow(resumption._state, followed_s)
    resolved = resolve(resumption, make_call(resumes="unknown"))
    assert (resolved == Resumption("chat", "v1")) is goes_on


# Guards against: a stream can be taken up once only.
def test_stream_goes_on_also_if_the_caller_names_an_attempt_that_took_it_up():
    resumption, _, _ = make_resumption(["v1", "v2"])
    first = make_call(resumes="r1")
    assert resolve(resumption, first) == Resumption("chat", "v1")
    resumption.record(first, "v1")
    again = make_call(resumes=first.request_id)
    assert resolve(resumption, again) == Resumption("chat", "v1")


# Guards against: a VM takes having seen one version for there having been only one.
@pytest.mark.parametrize(
    ("known_for_s", "silent_s", "goes_on"),
    [
        (0.0, 0.0, False),
        (5.0, 0.0, False),
        (RETENTION_SECONDS - 0.1, 0.0, False),
        (RETENTION_SECONDS + 0.1, 0.0, True),
        (60.0, 10.0, False),
    ],
)
def test_one_version_counts_only_if_it_is_known_for_long(
    known_for_s, silent_s, goes_on
):
    resumption, _, clock = make_resumption(["v1"], known_for_s=known_for_s)
    clock.advance(silent_s)
    call = make_call(resumes="unknown")
    refusal = Resumption("chat", refusal_reason=UNKNOWN_ORIGIN_REASON)
    assert resolve(resumption, call) == (
        Resumption("chat", "v1") if goes_on else refusal
    )


# Guards against: streams that began before all VMs were lost are all refused.
@pytest.mark.parametrize(
    ("parts_by_id", "parts", "version"),
    [
        ({"e0": ["system", "own"], "e1": ["system"]}, ("system", "own"), "v1"),
        ({"e0": ["system"], "e1": ["own"]}, ("system", "own"), "v2"),
        ({"e1": ["own"]}, ("system", "own"), "v2"),
        ({"e0": ["own"], "e2": ["own"]}, ("system", "own"), "v1"),
        ({"e0": ["own"], "e1": ["own"]}, ("system", "own"), None),
        ({"e0": ["system"], "e1": ["system"]}, ("system", "own"), None),
        ({}, ("system", "own"), None),
        ({"e0": ["own"]}, ("own",), None),
        ({"e0": ["own"]}, (), None),
    ],
)
def test_stream_goes_on_at_the_version_that_has_its_prompt_cached(
    parts_by_id, parts, version
):
    resumption, _, _ = make_resumption(
        ["v1", "v2", "v1"], known_for_s=1.0, caches=Caches(parts_by_id)
    )
    found = resolve(resumption, make_call(resumes="unknown", parts=parts))
    assert found.version == version
    assert bool(found.refusal_reason) == (version is None)
    if version is not None:
        # Known from now on, and told to the peers.
        origin = resumption._origins.find("packers", "unknown")
        assert origin == StreamOrigin("chat", version)


# Guards against: each stream that is taken up costs engines the listing of a cache.
@pytest.mark.parametrize(
    ("resumes", "ttl_s"),
    [("unknown", LIST_TTL_SECONDS), ("", UNNAMED_LIST_TTL_SECONDS)],
)
def test_caches_are_listed_by_few_engines_and_again_only_after_a_while(resumes, ttl_s):
    async def play():
        count = 40
        caches = Caches({f"e{n}": [f"own{n}"] for n in range(count)})
        _, directory, clock = make_resumption(["v1"] * count)
        finder = CachedPromptFinder(clock, directory, caches.read)
        calls = [make_call("7", resumes, parts=("system", f"new{n}")) for n in range(9)]
        await asyncio.gather(*(finder.find_versions(call) for call in calls))
        assert len(caches.asked) == len(set(caches.asked)) == MAX_ASKED
        clock.advance(ttl_s - 0.1)
        await finder.find_versions(calls[1])
        assert len(caches.asked) == MAX_ASKED
        clock.advance(0.2)
        await finder.find_versions(calls[0])
        assert len(caches.asked) == 2 * MAX_ASKED

    asyncio.run(play())


@pytest.mark.parametrize(
    ("body", "parts"),
    [
        (b'{"held": [["", "a", 5, "m"], ["", "b", 1, "m"]]}', {"a", "b"}),
        (b'{"held": [["", 7], [], "ab", null, {}, ["", "b"]]}', {"b"}),
        (b'{"held": []}', set()),
    ],
)
def test_cache_list_is_decoded(body, parts):
    assert decode_cache_list(body) == parts


@pytest.mark.parametrize("body", [b"", b"[]", b"{}", b'{"held": 1}', b"[" * 100_000])
def test_invalid_cache_list_is_an_error(body):
    with pytest.raises(PlatformError):
        decode_cache_list(body)


def test_origins_are_forgotten_after_their_time_and_beyond_their_number():
    clock = ManualClock(100.0)
    origins = StreamOrigins(clock)
    origins.merge("vm2", ORIGIN, pack_hashes([1, 2, 3]) + b"cut")
    clock.advance(RETENTION_SECONDS + 1.0)
    for first in range(0, 2 * MAX_STREAMS, 10_000):
        hashes = list(range(first + 10, first + 10_010))
        origins.merge("vm2", ORIGIN, pack_hashes(hashes))
    assert len(all_told(origins, ToldStreams())) <= MAX_STREAMS


def all_told(origins, told):
    """Return the hashes that a peer is told, until there is nothing left to tell."""
    hashes = []
    while news := origins.news_for(told, lambda source: True):
        hashes += [h for _, packed in news for h in unpack_hashes(packed)]
    return hashes


# Guards against: the streams of 30 s hold up all else when many VMs start at once.
def test_new_peer_is_told_of_earlier_streams_in_parts_and_the_newest_first():
    clock = ManualClock(100.0)
    origins = StreamOrigins(clock)
    count = 5 * MAX_EARLIER_STREAMS
    for first in range(0, count, 100):
        origins.merge("vm2", ORIGIN, pack_hashes(list(range(first, first + 100))))
        clock.advance(0.1)
    told = ToldStreams()
    part = [
        h
        for _, packed in origins.news_for(told, lambda source: False)
        for h in unpack_hashes(packed)
    ]
    assert len(part) == MAX_EARLIER_STREAMS
    assert min(part) == count - MAX_EARLIER_STREAMS
    # What has begun since comes at once, beside the next part.
    origins.merge("vm2", ORIGIN, pack_hashes([count]))
    [(_, packed)] = origins.news_for(told, lambda source: True)
    assert count in unpack_hashes(packed)
    rest = all_told(origins, told)
    assert {*part, *unpack_hashes(packed), *rest} == set(range(count + 1))
    assert len(part) + len(unpack_hashes(packed)) + len(rest) == count + 1
    assert origins.news_for(told, lambda source: True) == []


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


# Guards against: a VM that hears from one that knows nothing believes to know all.
@pytest.mark.parametrize("vms", [2, 9, 60])
def test_history_of_versions_is_as_long_as_that_of_the_vm_that_ran_longest(vms):
    fleet = make_fleet(vms)
    old = Engine("e1", "chat", "10.0.0.1:1", "a", version="v1")
    new = Engine("e2", "chat", "10.0.0.2:1", "a", version="v2")
    for gateway in fleet.gateway_by_address.values():
        gateway.state.directory.replace_all([old], may_be_incomplete=False)
    fleet.run(RETENTION_SECONDS + 5.0)
    addresses = list(fleet.gateway_by_address)

    def restart(lost):
        for address in lost:
            fleet.restart(address)
        for address in addresses:
            directory = fleet.gateway_by_address[address].state.directory
            directory.replace_all([new], may_be_incomplete=False)
        fleet.run(8.0)

    def histories():
        directories = [g.state.directory for g in fleet.gateway_by_address.values()]
        return [
            (
                d.version_history.reaches_back(RETENTION_SECONDS),
                d.recent_versions("chat", RETENTION_SECONDS),
            )
            for d in directories
        ]

    restart(addresses[1:])
    assert histories() == [(True, {"v1", "v2"})] * vms
    restart(addresses)
    assert histories() == [(False, {"v2"})] * vms
