"""Calls to one engine: cancellation and timeouts.

An engine goes on decoding for a while after its caller has gone, so that the stream
can be resumed, unless it is asked to cancel. Either the relay or the task that waits
for a reset may notice the disconnect first.
"""

import asyncio
import json

import aiohttp
import pytest

from dotterelpitch.documents.model import Endpoint, Timeouts
from dotterelpitch.errors import StreamResetError
from dotterelpitch.protocol.frames import Data
from dotterelpitch.protocol.messages import DispatchChat
from dotterelpitch.router.engine_call import CallEnd, EngineCall
from dotterelpitch.standins.engine import EngineStandIn
from dotterelpitch.standins.engine_model import EngineSettings
from dotterelpitch.standins.serving import serve
from tests.harness.waiting import pause

BODY = {
    "model": "m",
    "messages": [{"role": "user", "content": "hello"}],
    "stream": True,
    "max_tokens": 100_000,
}


class CallerStream:
    """The owner's stream to a caller that disconnects after three data messages.

    ``noticed_by`` names the task that notices it first: ``relay``, at its next send,
    or ``reset``, the task that waits for a reset.
    """

    def __init__(self, noticed_by: str) -> None:
        self.gone = asyncio.Event()
        self._noticed_by = noticed_by
        self._data_messages = 0

    async def send(self, content) -> None:
        self._data_messages += isinstance(content, Data)
        if self._data_messages < 3:
            return
        if self._noticed_by == "relay":
            raise StreamResetError("caller done")
        self.gone.set()


def dispatch() -> DispatchChat:
    """Return a DispatchChat with BODY; irrelevant fields have empty values."""
    values = {"int": 0, "str": "", "float": 0.0, "bool": False, "bytes": b""}
    fields = {
        field.name: values.get(getattr(field.type, "__name__", ""), [])
        for field in DispatchChat.__attrs_attrs__
    }
    fields.update(request_id="r1", engine="e", body=json.dumps(BODY).encode())
    return DispatchChat(**fields)


async def run_call(settings, timeouts, stream):
    """Run one call at a stand-in engine; return its result and the engine's stats."""
    runner = await serve(EngineStandIn(settings).application(), settings.listen)
    host, port = runner.addresses[0][:2]
    async with aiohttp.ClientSession() as session:
        engine = Endpoint("e", f"{host}:{port}", "d1")
        gone = asyncio.create_task(stream.gone.wait())
        call = EngineCall(session, dispatch(), engine, timeouts)
        result = await asyncio.wait_for(call.run(stream, gone), 10.0)
        gone.cancel()
        async with session.get(f"http://{engine.address}/control/stats") as response:
            stats = await response.json()
    await runner.cleanup()
    return result, stats


@pytest.mark.parametrize("noticed_by", ["relay", "reset"])
async def test_disconnected_caller_cancels_engine_call(noticed_by):
    settings = EngineSettings("127.0.0.1:0", decode_step=0.002, resume_linger=60.0)
    result, stats = await run_call(settings, Timeouts(), CallerStream(noticed_by))
    assert result.end is CallEnd.CALLER_GONE
    assert (stats["cancelled"], stats["in_flight"]) == (1, 0)


class SlowStream(CallerStream):
    """The stream to a caller that reads its second data message after a second."""

    async def send(self, content) -> None:
        if self._data_messages == 1:
            await pause(1.0)
        await super().send(content)


@pytest.mark.parametrize(
    ("engine", "timeouts", "caller_speed", "end"),
    [
        ({"prefill_per_token": 9.0}, Timeouts(first_token=0.3), "", CallEnd.TIMEOUT),
        ({"decode_step": 9.0}, Timeouts(between_tokens=0.3), "", CallEnd.TIMEOUT),
        ({}, Timeouts(between_tokens=0.3), "slow", CallEnd.CALLER_GONE),
    ],
    ids=["first token late", "next token late", "slow caller is no timeout"],
)
async def test_only_stalled_engine_times_out(engine, timeouts, caller_speed, end):
    settings = EngineSettings("127.0.0.1:0", **engine)
    caller = SlowStream("reset") if caller_speed else CallerStream("reset")
    result, _ = await run_call(settings, timeouts, caller)
    assert result.end is end
