"""Calls that one gateway forwards to another: who is asked, and what is declined."""

import asyncio
import json

import pytest

from dotterelpitch.clock import ManualClock
from dotterelpitch.gateway.body_memory import BodyMemory
from dotterelpitch.gateway.call_progress import CallProgress
from dotterelpitch.gateway.event_stream_filter import EventStreamFilter
from dotterelpitch.gateway.link import Link, LinkTable
from dotterelpitch.gateway.peer_call_server import MAX_CALLS, PeerCallServer
from dotterelpitch.gateway.peer_directory import PeerDirectory
from dotterelpitch.gateway.peer_forwarder import (
    DECLINED_SECONDS,
    MAX_PEERS_ASKED,
    PeerForwarder,
)
from dotterelpitch.gateway.state import GatewayState
from dotterelpitch.platform.config_record import CONFIG_KEY
from dotterelpitch.platform.store import StoreRecord, StoreResponse
from dotterelpitch.protocol.forwarded_call_messages import (
    CallDeclined,
    ForwardCall,
    ForwardedHead,
    HeaderField,
)
from dotterelpitch.protocol.frames import Data, End, Welcome
from dotterelpitch.protocol.gateway_messages import (
    ENGINE_CONTACT_LINK_VERSION,
    LINK_VERSION,
    FleetVm,
)
from dotterelpitch.protocol.work_tracker import WorkTracker
from dotterelpitch.routing.engine_contact import UNCONFIRMED_SECONDS, EngineContact
from tests.harness.gateway_fleet import ACCOUNT, HOST, KEY, make_config

NOW = 100.0


class ConnectionStub:
    """The connection to a peer."""

    peer = Welcome("vm1", "incarnation", b"proof")


class StreamStub:
    """A stream that brings a body and records what is sent."""

    connection = ConnectionStub

    def __init__(self, *messages):
        self.messages = list(messages)
        self.sent = []

    async def receive(self):
        if self.messages:
            return self.messages.pop(0)
        return await asyncio.Event().wait()

    async def send(self, message):
        self.sent.append(message)

    def reset(self, code, detail=""):
        self.sent.append(code)


class ForwarderStub:
    """Answers each call with its own headers, and keeps it."""

    def __init__(self):
        self.calls = []

    async def forward(self, call, writer, progress):
        self.calls.append((call, progress))
        await writer.send_response(200, call.headers.forwarded, call.body)


def make_request(**changes):
    values = {
        "method": "POST",
        "target": b"/safe/1",
        "host": HOST.encode(),
        "service": "calls",
        "account": ACCOUNT,
        "budget_ms": 1500,
        "config_version": 5,
        "last_event_id": b"",
        "version": "",
        "sent_count": 0,
        "headers": [HeaderField(b"Request-Id", b"r1"), HeaderField(b"X", b"\xff")],
        **changes,
    }
    return ForwardCall(**values)


def make_server(clock, contact=None, memory=1000, keys=(KEY,)):
    state = GatewayState(clock)
    value = json.dumps(make_config(5, keys=keys)).encode()
    response = StoreResponse((StoreRecord(CONFIG_KEY, value),), 1)
    state.apply_list(response, may_be_incomplete=False)
    forwarder = ForwarderStub()
    server = PeerCallServer(
        clock,
        state,
        contact or EngineContact(clock),
        forwarder,
        BodyMemory(memory),
        WorkTracker(),
    )
    return server, forwarder


# Guards against: calls of peers run without an account once no account has a key.
@pytest.mark.parametrize("account", ["", ACCOUNT])
async def test_gateway_takes_no_calls_without_a_key_in_force(account):
    server, _ = make_server(ManualClock(NOW), keys=())
    stream = StreamStub(Data(b"body"), End())
    await server.handle(stream, make_request(account=account))
    assert isinstance(stream.sent[0], CallDeclined)


# Guards against: a gateway serves a call of a peer that it wouldn't serve by itself, or
# says that one hasn't run which has.
@pytest.mark.parametrize(
    ("changes", "is_taken"),
    [
        ({}, True),
        ({"config_version": 4}, True),
        ({"config_version": 6}, False),
        ({"target": b"/unknown/1"}, False),
        ({"host": b"other.example"}, False),
        ({"service": "another"}, False),
        ({"account": "nobody"}, False),
        ({"account": ""}, False),
        ({"account": "", "target": b"/open/1"}, True),
    ],
)
async def test_gateway_takes_only_calls_that_its_config_allows(changes, is_taken):
    server, forwarder = make_server(ManualClock(NOW))
    stream = StreamStub(Data(b"bo"), Data(b"dy"), End())
    await server.handle(stream, make_request(**changes))
    assert isinstance(stream.sent[0], ForwardedHead if is_taken else CallDeclined)
    assert len(forwarder.calls) == is_taken


# Guards against: a call is forwarded round in circles, gets more attempts or time, or
# loses its body or bytes of its headers on the way.
async def test_call_arrives_as_it_was_sent_and_is_not_forwarded_again():
    server, forwarder = make_server(ManualClock(NOW))
    stream = StreamStub(Data(b"bo"), Data(b"dy"), End())
    request = make_request(sent_count=1, last_event_id=b"7", version="v2")
    await server.handle(stream, request)
    call, progress = forwarder.calls[0]
    assert call.body == b"body"
    assert call.account_name == ACCOUNT
    assert call.headers.key == ""
    assert call.deadline == NOW + 1.5
    assert not progress.may_use_peers
    assert (progress.sent_count, progress.version) == (1, "v2")
    assert progress.events.last_id == "7"
    head, body = stream.sent
    assert head.headers == request.headers
    assert body == Data(b"body")


# Guards against: a gateway that can't serve calls of peers takes them and fails them.
@pytest.mark.parametrize(
    "reason", ["stopping", "lost", "just lost", "too many", "no memory"]
)
async def test_gateway_declines_what_it_cannot_serve(reason):
    clock = ManualClock(NOW)
    contact = EngineContact(clock)
    contact.record_response(NOW)
    server, forwarder = make_server(clock, contact, memory=3)
    if "lost" in reason:
        clock.advance(UNCONFIRMED_SECONDS if reason == "lost" else 0.0)
        contact.record_failure("e1", is_connecting=True)
        contact.record_failure("e2", is_connecting=True)
    server.is_stopping = reason == "stopping"
    if reason == "too many":
        server._count = MAX_CALLS
    body = b"body" if reason == "no memory" else b""
    stream = StreamStub(Data(body), End())
    await server.handle(stream, make_request())
    is_taken = reason == "just lost"
    assert isinstance(stream.sent[0], CallDeclined) is not is_taken
    assert len(forwarder.calls) == is_taken


def make_forwarder(clock, reaches_by_vm, is_lost=True, unlinked=()):
    own = FleetVm("vm0", "a", "10.0.0.0:1", 100, LINK_VERSION)
    fleet = PeerDirectory(clock, own)
    links = LinkTable()
    for name, reaches in reaches_by_vm.items():
        vm = FleetVm(name, "a", f"{name}:1", 100, LINK_VERSION)
        link = Link(vm, stream=None)
        link.peer_reaches_engines = reaches
        link.peer_said_at = clock.monotonic()
        links.add(link)
        fleet.add_linked(vm)
    fleet.record_list("vm1", unlinked)
    contact = EngineContact(clock)
    if is_lost:
        contact.record_failure("e1", is_connecting=True)
        contact.record_failure("e2", is_connecting=True)
    return PeerForwarder(clock, contact, fleet, links, pool=None)


UNLINKED = FleetVm("vm7", "b", "vm7:1", 100, LINK_VERSION)
EARLIER_BUILD = FleetVm("vm8", "b", "vm8:1", 100, ENGINE_CONTACT_LINK_VERSION - 1)


# Guards against: dead engines are taken for a cut, or calls go to VMs that are cut off
# too, or that don't understand them.
@pytest.mark.parametrize(
    ("reaches_by_vm", "is_lost", "unlinked", "later_s", "chosen"),
    [
        ({"vm1": True}, True, (), 0.0, {"vm1"}),
        ({"vm1": True}, False, (), 0.0, {None}),
        ({}, True, (), 0.0, {None}),
        ({"vm1": False, "vm2": True}, True, (), 0.0, {"vm2"}),
        ({"vm1": None}, True, (), 0.0, {None}),
        ({"vm1": False}, True, (), 0.0, {"vm1"}),
        ({"vm1": False}, True, (), UNCONFIRMED_SECONDS + 0.1, {None}),
        ({"vm1": True}, True, (UNLINKED,), 0.0, {"vm1", "vm7"}),
        ({"vm1": True}, True, (EARLIER_BUILD,), 0.0, {"vm1"}),
        ({"vm1": False}, True, (UNLINKED,), UNCONFIRMED_SECONDS + 0.1, {None}),
    ],
)
def test_only_peers_that_may_reach_engines_are_asked(
    reaches_by_vm, is_lost, unlinked, later_s, chosen
):
    clock = ManualClock(NOW)
    forwarder = make_forwarder(clock, reaches_by_vm, is_lost, unlinked)
    clock.advance(later_s)
    names = set()
    for _ in range(50):
        vm = forwarder.choose(CallProgress(EventStreamFilter("")))
        names.add(vm and vm.name)
    assert names == chosen


# Guards against: one call is offered to the whole fleet, or again to who has declined.
def test_call_is_offered_to_few_peers_and_never_forwarded_twice():
    clock = ManualClock(NOW)
    forwarder = make_forwarder(clock, {f"vm{n}": True for n in range(1, 9)})
    progress = CallProgress(EventStreamFilter(""))
    for _ in range(MAX_PEERS_ASKED):
        progress.asked_vms.append(forwarder.choose(progress).name)
    assert len(set(progress.asked_vms)) == MAX_PEERS_ASKED
    assert forwarder.choose(progress) is None
    forwarded = CallProgress(EventStreamFilter(""), may_use_peers=False)
    assert forwarder.choose(forwarded) is None


# Guards against: each call waits for a peer that isn't reached although others are, or
# calls fail because the only peer was slow once.
@pytest.mark.parametrize(
    ("vms", "later_s", "chosen"),
    [
        (("vm1",), 0.0, {"vm1"}),
        (("vm1", "vm2"), 0.0, {"vm2"}),
        (("vm1", "vm2"), DECLINED_SECONDS, {"vm1", "vm2"}),
    ],
)
async def test_peer_that_was_not_reached_is_asked_last_for_a_moment(
    vms, later_s, chosen
):
    clock = ManualClock(NOW)
    forwarder = make_forwarder(clock, dict.fromkeys(vms, True))
    forwarder._declined_until_by_vm["vm1"] = NOW + DECLINED_SECONDS
    clock.advance(later_s)
    choices = [forwarder.choose(CallProgress(EventStreamFilter(""))) for _ in range(50)]
    assert {vm.name for vm in choices} == chosen
