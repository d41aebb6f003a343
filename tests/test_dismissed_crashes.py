"""Crashes whose only evidence was silence are taken back when their engines go on."""

import asyncio
import contextlib

import pytest

from dotterelpitch.clock import ManualClock
from dotterelpitch.gateway.attempt_result import AttemptResult
from dotterelpitch.gateway.engine_tracker import EngineTracker
from dotterelpitch.routing.attempt_outcomes import AttemptOutcome
from dotterelpitch.routing.dismissed_runs import Dismissal
from dotterelpitch.routing.engine_choice import ChoiceReason, EngineChoice
from dotterelpitch.routing.engines import Engine
from tests.harness.gateway_fleet import (
    ROUTES,
    GatewayFleet,
    make_config,
    request_bytes,
    send_raw,
)
from tests.harness.scripted_engine import EngineExchange, ScriptedEngine
from tests.harness.waiting import eventually, pause

ENGINES = 4
STREAMS = 8
# As many crashes as ban a request.
MAX_CRASHED_ENGINES = 3
LONG_ROUTE = {**ROUTES["resumable"], "timeout_ms": 40_000}
EVENT = b"id: 1\ndata: 1\n\n"


async def stream_at_once(exchange: EngineExchange) -> None:
    """Send a complete stream."""
    exchange.write_head("200 OK", "Transfer-Encoding: chunked")
    exchange.write_chunk(EVENT)
    exchange.write_chunk(b"")


async def hang(exchange: EngineExchange) -> None:
    """Answer nothing until the caller leaves."""
    await exchange.caller_left.wait()


def stream_with_silence(until: asyncio.Event):
    """Return a behavior that is silent until an event, and then goes on."""

    async def behavior(exchange: EngineExchange) -> None:
        exchange.write_head("200 OK", "Transfer-Encoding: chunked")
        exchange.write_chunk(EVENT)
        await until.wait()
        number = 1
        while not exchange.caller_left.is_set():
            number += 1
            exchange.write_chunk(b"id: %d\ndata: 1\n\n" % number)
            await pause(0.1)

    return behavior


@pytest.fixture
async def fleet(tmp_path):
    """A fleet with one gateway, whose store and engines run."""
    fleet = GatewayFleet(tmp_path)
    fleet.engines = [ScriptedEngine(f"e{n}") for n in range(ENGINES)]
    gateway = await fleet.start()
    fleet.store.put("op/config", make_config(2, {"resumable": LONG_ROUTE}))
    await gateway.wait_config(2)
    yield fleet
    await fleet.stop()


# Guards against: a request is refused for an hour since the engines that run it were
# silent, though they were sound and went on.
async def test_request_is_served_once_its_silent_engines_have_gone_on(fleet):
    gateway = fleet.gateways[0]
    goes_on = asyncio.Event()
    request = request_bytes("/resumable/1")

    def call() -> asyncio.Task:
        return asyncio.create_task(send_raw(gateway.caller_address, request, 30.0))

    for engine in fleet.engines:
        engine.behavior = stream_with_silence(goes_on)
    streams = [call() for _ in range(STREAMS)]
    await eventually(lambda: len(fleet.exchanges()) == STREAMS, 5.0, "all have begun")
    for engine in fleet.engines:
        engine.behavior = hang
        engine.answers_checks = False
    await eventually(
        lambda: len(gateway.process.events(408)) >= MAX_CRASHED_ENGINES,
        15.0,
        "the silent engines count as crashed",
    )
    await eventually(
        lambda: _is_banned(gateway, request), 5.0, "the request is refused"
    )
    for engine in fleet.engines:
        engine.behavior = stream_at_once
        engine.answers_checks = True
    goes_on.set()
    await eventually(lambda: _is_served(gateway, request), 10.0, "a request is served")
    assert not any(stream.done() for stream in streams)
    for stream in streams:
        stream.cancel()
    await asyncio.gather(*streams, return_exceptions=True)


async def _is_served(gateway, request) -> bool:
    response = await send_raw(gateway.caller_address, request)
    return response.startswith(b"HTTP/1.1 200 ")


async def _is_banned(gateway, request) -> bool:
    with contextlib.suppress(TimeoutError):
        await send_raw(gateway.caller_address, request, 0.5)
    return bool(gateway.process.events(409))


# Guards against: an engine that was only silent is taken for cold, as if restarted.
@pytest.mark.parametrize("is_dismissed", [False, True])
def test_engine_returns_from_an_end_unless_that_is_dismissed(is_dismissed):
    clock = ManualClock(10.0)
    tracker = EngineTracker(clock, "vm1", "a")
    returned = []
    tracker.on_return = returned.append
    engine = Engine("e1", "calls", "10.0.0.1:1", "a", started_ms=1)
    tracker.record_peer_report(engine, clock.monotonic())
    if is_dismissed:
        tracker.record_dismissals([Dismissal(("e1", "1"), clock.wall())], "vm2")
    choice = EngineChoice(engine, ChoiceReason.LEAST_LOADED, 0, 0.0)
    tracker.record_attempt(None, choice, AttemptResult(AttemptOutcome.REJECTED))
    assert bool(returned) is not is_dismissed
