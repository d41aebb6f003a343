"""Calls that one gateway forwards to another, over real connections between the two."""

import asyncio

import pytest
import pytest_asyncio

from dotterelpitch.clock import SteadyClock
from dotterelpitch.errors import ConnectionLostError
from dotterelpitch.gateway.body_memory import BodyMemory
from dotterelpitch.gateway.call import Call, ResponseWriter
from dotterelpitch.gateway.call_progress import CallProgress
from dotterelpitch.gateway.event_stream_filter import EventStreamFilter
from dotterelpitch.gateway.link import LinkTable
from dotterelpitch.gateway.peer_call_server import PeerCallServer
from dotterelpitch.gateway.peer_directory import PeerDirectory
from dotterelpitch.gateway.peer_forwarder import PeerForwarder
from dotterelpitch.gateway.state import GatewayState
from dotterelpitch.platform.config_record import CONFIG_KEY, ConfigDecoder
from dotterelpitch.platform.headers import decode_caller_headers
from dotterelpitch.platform.store import StoreRecord, StoreResponse
from dotterelpitch.protocol.connection import Connection
from dotterelpitch.protocol.forwarded_call_messages import ForwardCall
from dotterelpitch.protocol.gateway_messages import LINK_VERSION, FleetVm
from dotterelpitch.protocol.handshake import Identity
from dotterelpitch.protocol.peer_pool import PeerPool
from dotterelpitch.protocol.server import HandlerTable, InnerServer
from dotterelpitch.protocol.work_tracker import WorkTracker
from dotterelpitch.routing.attempt_outcomes import AttemptOutcome
from dotterelpitch.routing.engine_contact import EngineContact
from tests.harness.gateway_fleet import ACCOUNT, HOST, make_config
from tests.harness.ports import free_address
from tests.harness.store_records import json_record
from tests.harness.waiting import eventually, pause

LARGE_BODY = bytes(range(256)) * 4096
EVENTS = b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n"
CONFIG = json_record(CONFIG_KEY, make_config(5))


class RecordedResponse(ResponseWriter):
    """Keeps what is written to the caller."""

    def __init__(self):
        super().__init__()
        self.status = 0
        self.body = b""
        self.has_ended = False
        self.is_aborted = False

    async def start(self, status, headers):
        self.is_started = True
        self.status = status

    async def write(self, data):
        self.body += data

    async def end(self):
        self.has_ended = True

    async def send_response(self, status, headers, body):
        await self.start(status, headers)
        await self.write(body)
        await self.end()

    def abort(self):
        self.is_aborted = True


class ScriptedForwarder:
    """Runs a script in place of sending calls to engines, and counts the runs."""

    def __init__(self):
        self.script = None
        self.started = 0
        self.cancelled = 0

    async def forward(self, call, writer, progress):
        self.started += 1
        try:
            await self.script(call, writer)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise


class TwoGateways:
    """A gateway that forwards calls and one that takes them."""

    def __init__(self):
        self.clock = SteadyClock()
        self.forwarder = ScriptedForwarder()
        state = GatewayState(self.clock)
        records = (StoreRecord(CONFIG_KEY, CONFIG.value),)
        state.apply_list(StoreResponse(records, 1), may_be_incomplete=False)
        self.taker = PeerCallServer(
            self.clock,
            state,
            EngineContact(self.clock),
            self.forwarder,
            BodyMemory(8 * 1024 * 1024),
            WorkTracker(),
        )
        handlers = HandlerTable()
        handlers.add(ForwardCall, self.taker.handle)
        self.server = InnerServer(Identity.create("vm2", "gateway", ""), handlers)
        self.pool = PeerPool(Identity.create("vm1", "gateway", ""))
        self.vm = FleetVm("vm2", "a", free_address(), 100, LINK_VERSION)
        own = FleetVm("vm1", "a", free_address(), 100, LINK_VERSION)
        self.peers = PeerForwarder(
            self.clock,
            EngineContact(self.clock),
            PeerDirectory(self.clock, own),
            LinkTable(),
            self.pool,
        )
        self.writer = RecordedResponse()

    def run(self, path, body=b"", seconds=3.0):
        """Start to forward one call; return the task with its result."""
        config = ConfigDecoder().decode(CONFIG.value)
        now = self.clock.monotonic()
        call = Call(
            "POST",
            path,
            HOST,
            decode_caller_headers([("Request-Id", "r1"), ("X-Odd", "\udcff")]),
            body,
            config,
            config.find_route(HOST, path),
            next(a for a in config.account_by_key.values() if a.name == ACCOUNT),
            "calls",
            now,
            now + seconds,
        )
        progress = CallProgress(EventStreamFilter(""))
        return asyncio.create_task(self.peers.run(self.vm, call, progress, self.writer))


@pytest_asyncio.fixture
async def gateways():
    gateways = TwoGateways()
    await gateways.server.start(gateways.vm.address)
    yield gateways
    gateways.pool.close()
    await gateways.server.close()


async def echo(call, writer):
    await writer.send_response(200, [("Response-Seal", "s")], call.body)


async def refuse(call, writer):
    await writer.send_response(503, [("Retry-After", "0.5")], b"{}")


async def stream_events(call, writer):
    await writer.start(200, [])
    for event in EVENTS:
        await writer.write(event)
    await writer.end()


async def break_off(call, writer):
    await writer.start(200, [])
    await writer.write(EVENTS[0])
    writer.abort()


def answer_with(status, headers=()):
    """Return a script that answers as a peer of an earlier version may."""

    async def script(call, writer):
        await writer.send_response(status, headers, b"no")

    return script


# What a peer passes on for its engine, which may have run the call.
answer_of_engine = answer_with(503, [("Response-Seal", "s")])


async def hang(call, writer):
    await asyncio.Event().wait()


async def fail(call, writer):
    raise RuntimeError("a fault of the program")


# Guards against: a response that was cut looks complete, a body is lost on the way, or
# an outcome is told that isn't known.
@pytest.mark.parametrize(
    ("script", "path", "body", "outcome", "status", "received", "has_ended"),
    [
        (echo, "/safe/1", b"hi", AttemptOutcome.DELIVERED, 200, b"hi", True),
        (echo, "/safe/1", b"", AttemptOutcome.DELIVERED, 200, b"", True),
        (
            echo,
            "/unsafe/1",
            LARGE_BODY,
            AttemptOutcome.DELIVERED,
            200,
            LARGE_BODY,
            True,
        ),
        (refuse, "/unsafe/1", b"", AttemptOutcome.DELIVERED, 503, b"{}", True),
        (answer_of_engine, "/unsafe/1", b"", AttemptOutcome.AMBIGUOUS, 0, b"", False),
        (answer_of_engine, "/safe/1", b"", AttemptOutcome.DELIVERED, 503, b"no", True),
        (
            stream_events,
            "/resumable/1",
            b"",
            AttemptOutcome.DELIVERED,
            200,
            b"".join(EVENTS),
            True,
        ),
        (break_off, "/resumable/1", b"", AttemptOutcome.LOST, 200, EVENTS[0], False),
        (break_off, "/safe/1", b"", AttemptOutcome.LOST, 0, b"", False),
        (fail, "/unsafe/1", b"", AttemptOutcome.LOST, 0, b"", False),
        (answer_with(0), "/unsafe/1", b"", AttemptOutcome.LOST, 0, b"", False),
        (answer_with(600), "/safe/1", b"", AttemptOutcome.LOST, 0, b"", False),
        (hang, "/unsafe/1", b"", AttemptOutcome.TIMED_OUT, 0, b"", False),
    ],
)
async def test_response_of_a_peer_is_that_of_the_call(
    gateways, script, path, body, outcome, status, received, has_ended
):
    gateways.forwarder.script = script
    result = await gateways.run(path, body, seconds=1.0)
    assert result.outcome is outcome, result
    assert gateways.writer.status == status
    assert gateways.writer.body == received
    assert gateways.writer.has_ended is has_ended


# Guards against: what an engine may have run counts as not sent, and goes to one more
# engine than the route allows.
@pytest.mark.parametrize(
    ("script", "outcome"),
    [
        (refuse, AttemptOutcome.NOT_SENT),
        (answer_of_engine, AttemptOutcome.LOST),
    ],
)
async def test_stream_that_a_peer_does_not_take_up(gateways, script, outcome):
    gateways.forwarder.script = script
    gateways.writer.is_started = True
    result = await gateways.run("/resumable/1")
    assert result.outcome is outcome


# Guards against: the engine goes on working for a caller that has left.
async def test_caller_that_leaves_cancels_the_work_at_the_peer(gateways):
    gateways.forwarder.script = hang
    task = gateways.run("/unsafe/1")
    await eventually(lambda: gateways.forwarder.started, 2.0, "the call has begun")
    task.cancel()
    await eventually(lambda: gateways.forwarder.cancelled, 0.5, "the work has ended")


# Guards against: a call is said not to have run, and sent again, although the peer that
# is lost may have run it; or the reverse, for one that a peer has never had.
@pytest.mark.parametrize("is_begun", [True, False])
async def test_lost_peer_may_have_run_only_what_it_has_got(gateways, is_begun):
    gateways.forwarder.script = hang
    if not is_begun:
        await gateways.server.close()
    task = gateways.run("/unsafe/1")
    if is_begun:
        await eventually(lambda: gateways.forwarder.started, 2.0, "the call has begun")
        await gateways.server.close()
    result = await task
    expected = AttemptOutcome.LOST if is_begun else AttemptOutcome.NOT_SENT
    assert result.outcome is expected
    assert gateways.forwarder.started == is_begun


async def drain_never(connection):
    """Wait as for a buffer that others' calls keep full until the connection ends."""
    await connection.closed.wait()
    raise ConnectionLostError("closed")


# Guards against: a call that waits behind others' on the link counts as not sent, and
# is refused or sent to one more peer, though its last frame is on its way and it runs.
@pytest.mark.parametrize("is_lost", [True, False], ids=["link is lost", "in vain"])
@pytest.mark.parametrize("body", [b"", b"seat"], ids=["no body", "body"])
async def test_call_that_does_not_count_as_sent_is_not_run(
    gateways, monkeypatch, body, is_lost
):
    gateways.forwarder.script = hang
    monkeypatch.setattr(Connection, "drain", drain_never)
    task = gateways.run("/unsafe/1", body, seconds=0.5)
    await pause(0.2)
    if is_lost:
        await gateways.server.close()
    result = await task
    await pause(0.2)
    assert result.outcome is AttemptOutcome.NOT_SENT
    assert gateways.forwarder.started == 0


# Guards against: a call that has been sent, and may run, counts as not sent since the
# link is full by then.
async def test_call_that_has_been_sent_counts_as_sent(gateways, monkeypatch):
    gateways.forwarder.script = hang
    drains = []

    async def drain(connection):
        drains.append(connection)
        if gateways.forwarder.started:
            await drain_never(connection)

    monkeypatch.setattr(Connection, "drain", drain)
    task = gateways.run("/unsafe/1", seconds=0.5)
    await eventually(lambda: gateways.forwarder.started, 2.0, "the call has begun")
    assert drains
    assert (await task).outcome is AttemptOutcome.TIMED_OUT


# Guards against: a peer that stops cuts off calls, or takes further ones.
async def test_peer_that_stops_declines(gateways):
    gateways.forwarder.script = echo
    gateways.taker.is_stopping = True
    result = await gateways.run("/unsafe/1")
    assert result.outcome is AttemptOutcome.NOT_SENT
    assert gateways.forwarder.started == 0
