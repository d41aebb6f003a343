"""Engines that fall silent and go on: where else an answer is lost for it.

In each case the caller's engine is sound, and the answer would have come in time.
"""

import asyncio
from functools import partial

import pytest

from dotterelpitch.clock import SystemClock
from dotterelpitch.gateway.call import ResponseWriter
from dotterelpitch.gateway.event_stream_filter import EventStreamFilter
from dotterelpitch.gateway.response_forwarding import (
    AttemptLimits,
    ResponseForwarder,
    ResponseObserver,
)
from dotterelpitch.gateway.shared_checks import SharedChecks
from dotterelpitch.upstream.connection import HttpResponseHead
from dotterelpitch.upstream.engine_check import CheckResult, EngineCheck
from dotterelpitch.upstream.response_source import ResponseSource
from tests.harness.gateway_fleet import (
    CHAT_ROUTES,
    GatewayFleet,
    make_config,
    request_bytes,
    send_raw,
)
from tests.harness.ports import free_address
from tests.harness.scripted_engine import EngineExchange, ScriptedEngine, answer
from tests.harness.silent_streams import (
    EVENTS,
    hang,
    spend_the_retries,
    stream_with_silence,
    want_pause,
)
from tests.harness.waiting import eventually, pause

SILENCE_SECONDS = 2.2
BUDGET = "Deadline-Ms: 4900"
PROMPT = ("Model: m", "Token-Usage: 10,5", "Prompt-Prefix: a1:800,b2:10")
# More than the kernel holds of a connection whose receiver doesn't read.
LONG_BODY_BYTES = 400_000


async def be_full(exchange: EngineExchange) -> None:
    """Reject the request, as a full engine does."""
    lines = ("Not-Executed: 1", "Content-Length: 0")
    exchange.write_head("503 Service Unavailable", *lines)


async def fail(exchange: EngineExchange) -> None:
    """Fail the request."""
    exchange.write_head("500 Internal Server Error", "Content-Length: 0")


async def begin_only(exchange: EngineExchange) -> None:
    """Send the first event of a stream, and nothing until the caller leaves."""
    exchange.write_head("200 OK", "Transfer-Encoding: chunked")
    exchange.write_chunk(EVENTS[0])
    await exchange.caller_left.wait()


async def answer_late(exchange: EngineExchange) -> None:
    """Answer after a second."""
    await pause(1.0)
    await answer(exchange)


@pytest.fixture
async def fleet(tmp_path):
    """A fleet that each test starts."""
    fleet = GatewayFleet(tmp_path)
    yield fleet
    await fleet.stop()


async def begin(fleet, path: str, *headers: str) -> asyncio.Task:
    """Return the task of a call at the first gateway, once an engine has it."""
    request = request_bytes(path, headers=headers)
    call = asyncio.create_task(send_raw(fleet.gateways[0].caller_address, request))
    await eventually(fleet.exchanges, 2.0, "an engine has the request")
    return call


def others(fleet) -> list[ScriptedEngine]:
    """Return the engines that have had no request."""
    return [engine for engine in fleet.engines if not engine.exchanges]


def assert_whole(response: bytes) -> None:
    """Assert that a stream of two events is there with its end."""
    assert EVENTS[1].strip() in response
    assert response.endswith(b"0\r\n\r\n")


# Guards against: a stream is cut since it left its silent engine for one that answers
# status checks and then doesn't take the stream.
@pytest.mark.parametrize("other_does", [be_full, fail])
async def test_stream_is_left_only_for_an_engine_that_takes_it(fleet, other_does):
    await fleet.start()
    for engine in fleet.engines:
        engine.behavior = stream_with_silence(SILENCE_SECONDS)
    call = await begin(fleet, "/resumable/1", BUDGET)
    others(fleet)[0].behavior = other_does
    assert_whole(await call)


# Guards against: a stream is cut since it left its silent engine for a peer that
# refuses it, or whose engines are silent too: to a VM whose engines are all silent it
# looks as if it reached none.
@pytest.mark.parametrize("peer_engines_do", [want_pause, hang])
async def test_stream_is_left_only_for_a_peer_that_takes_it(fleet, peer_engines_do):
    await fleet.start(gateways=2)
    first, second = fleet.gateways
    await eventually(lambda: first.process.events(701), 5.0, "the peers are linked")
    await pause(1.0)  # The peers have told that they reach engines.
    for engine in fleet.engines:
        engine.behavior = stream_with_silence(SILENCE_SECONDS)
        engine.answers_checks = False
    call = await begin(fleet, "/resumable/1", BUDGET)
    for engine in fleet.engines:
        engine.behavior = peer_engines_do
    if peer_engines_do is want_pause:
        for _ in fleet.engines:
            request = request_bytes("/open/1", key="")
            await send_raw(second.caller_address, request)
    assert_whole(await call)


# Guards against: a safe request gets 504 since it left its silent engine for one that
# is silent too.
async def test_safe_request_is_not_left_for_a_silent_engine(fleet):
    await fleet.start()
    for engine in fleet.engines:
        engine.behavior = answer_late
    call = await begin(fleet, "/safe/1", "Deadline-Ms: 2500")
    (other,) = others(fleet)
    other.behavior = hang
    other.answers_checks = False
    assert (await call).startswith(b"HTTP/1.1 200")


# Guards against: of the other engines only the usual one is asked, though it is silent
# and another one lives.
@pytest.mark.parametrize("silent_index", [0, 1])
async def test_stream_goes_on_at_the_engine_that_lives(fleet, silent_index):
    fleet.engines.append(ScriptedEngine("e3"))
    await fleet.start()
    fleet.store.put("op/config", make_config(2, CHAT_ROUTES))
    await fleet.gateways[0].wait_config(2)
    for engine in fleet.engines:
        engine.behavior = begin_only
    call = await begin(fleet, "/chat/1", BUDGET, *PROMPT)
    silent, living = sorted(others(fleet), key=lambda e: e.id, reverse=silent_index > 0)
    silent.behavior = hang
    silent.answers_checks = False
    living.behavior = stream_with_silence(0.0)
    assert_whole(await call)


# Guards against: an engine that reads a long body late counts as unreachable, and the
# caller gets 502.
async def test_engine_that_reads_late_keeps_its_request(fleet, monkeypatch):
    fleet.engines = [ScriptedEngine("e1")]
    serve = fleet.engines[0]._serve_connection

    async def serve_late(reader, writer):
        writer.transport.pause_reading()
        await pause(1.1)
        writer.transport.resume_reading()
        await serve(reader, writer)

    monkeypatch.setattr(fleet.engines[0], "_serve_connection", serve_late)
    await fleet.start()
    config = make_config(2)
    config["limits"]["max_body_bytes"] = 2 * LONG_BODY_BYTES
    fleet.store.put("op/config", config)
    await fleet.gateways[0].wait_config(2)
    request = request_bytes("/unsafe/1", "POST", b"x" * LONG_BODY_BYTES)
    response = await send_raw(fleet.gateways[0].caller_address, request)
    assert response.startswith(b"HTTP/1.1 200")


# Guards against: the rules of a retry are checked, and logged, at each search.
async def test_spent_budget_is_logged_once_a_stream(fleet):
    await fleet.start()
    for engine in fleet.engines:
        engine.behavior = stream_with_silence(4.0)
    call = await begin(fleet, "/resumable/1", BUDGET)
    await spend_the_retries(fleet, None)
    assert_whole(await call)
    assert len(fleet.gateways[0].process.events(410)) <= 1


class OneEvent(ResponseSource):
    """Sends one event after a moment, and ends."""

    def __init__(self) -> None:
        self._parts = [EVENTS[0], b""]

    async def read_body(self) -> bytes:
        """Return the next part."""
        await pause(0.05)
        return self._parts.pop(0)


class Unheard(ResponseWriter):
    """Writes nowhere."""

    async def start(self, status, headers) -> None:
        """Begin the response."""
        self.is_started = True

    async def write(self, data: bytes) -> None:
        """Drop the bytes."""

    async def end(self) -> None:
        """End the response."""

    async def send_response(self, status, headers, body: bytes) -> None:
        """Drop a whole response."""

    def abort(self) -> None:
        """Break off."""


# Guards against: an engine whose head has only just come counts as silent too long.
async def test_engine_is_not_left_just_after_its_head():
    clock = SystemClock()
    now = clock.monotonic()

    async def find_successor(is_needed):
        return is_needed()

    limits = AttemptLimits(now + 5.0, now - 0.1, 4, find_successor)
    head = HttpResponseHead(200, [], {})
    events = EventStreamFilter("")
    await ResponseForwarder(clock).forward_events(
        OneEvent(), head, limits, Unheard(), events, ResponseObserver()
    )
    assert events.last_id == "1"


class LateChecks(ScriptedEngine):
    """An engine that answers its status checks after half a second."""

    def _answer_health_check(self, exchange: EngineExchange) -> None:
        answer_now = super()._answer_health_check
        asyncio.get_running_loop().call_later(0.5, answer_now, exchange)


# Guards against: who may wait a second for a check learns "silent" from one that began
# with a shorter timeout, and takes a sound engine for ended.
async def test_joined_check_lasts_as_long_as_who_joins_it_waits():
    engine = LateChecks("e1")
    await engine.start(free_address())
    checks = SharedChecks(SystemClock())
    check = partial(EngineCheck, "e1", engine.address, "/health", lambda: True)
    _, result = await asyncio.gather(
        checks.run(check(patience_s=0.0, timeout_s=0.25)), checks.run(check())
    )
    await engine.stop()
    assert result is CheckResult.RESPONDED
