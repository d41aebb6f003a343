"""Event streams and bodies are complete or visibly incomplete.

The tests kill engines and owners, cut connections, and disconnect callers while a
response is streamed.
"""

import asyncio
import json

import pytest

from dotterelpitch.standins.engine_model import expected_text
from tests.harness.fleet import ACCOUNT_KEY, MODEL, Fleet, FleetShape
from tests.harness.waiting import eventually

MESSAGES = [{"role": "user", "content": "describe a rainy garden"}]
TOKENS = 120
SHAPE = FleetShape(
    domains=2,
    vms_per_domain=2,
    engines_per_domain=1,
    plains_per_domain=0,
    engine_flags={"decode_step": 0.02, "resume_linger": 5.0},
)


async def wait_for_busy_engine(fleet: Fleet) -> str:
    """Wait until an engine has a request in its batch, and return its name."""

    async def find() -> str:
        stats = await fleet.engine_stats()
        return next((n for n, s in stats.items() if s["in_flight"]), "")

    return await eventually(find, 10.0, "a busy engine")


async def cut_connection(fleet: Fleet, engine: str) -> None:
    """Let the engine cut streams after 20 tokens, and end that once it is busy."""
    address = fleet.endpoint_by_name[engine].address
    await fleet.control(address, "faults", {"cut_after_tokens": 20})
    await eventually(lambda: _is_busy(fleet, engine), 10.0, "a busy engine")
    await fleet.control(address, "faults", {"cut_after_tokens": 0})


async def _is_busy(fleet: Fleet, engine: str) -> bool:
    return (await fleet.engine_stats())[engine]["in_flight"] > 0


async def kill_engine(fleet: Fleet, engine: str) -> None:
    await fleet.endpoint_by_name[engine].process.kill()


async def kill_owner(fleet: Fleet, engine: str) -> None:
    """Kill the routers in the engine's failure domain except the caller's own."""
    domain = fleet.endpoint_by_name[engine].domain
    for vm in fleet.vm_by_name.values():
        if vm.domain == domain and vm.name != "d1-v1":
            await fleet.kill_vm(vm.name)
            vm.state = "leaving"
    await fleet.publish_vms()


FAULTS = {
    "connection to the engine cut": cut_connection,
    "engine killed": kill_engine,
    "owner killed": kill_owner,
}


@pytest.mark.parametrize("fault", FAULTS)
async def test_stream_completes_after_fault(fault):
    async with Fleet(SHAPE) as fleet:
        call = asyncio.create_task(
            fleet.caller("d1-v1").chat(MODEL, MESSAGES, max_tokens=TOKENS)
        )
        engine = await wait_for_busy_engine(fleet)
        await FAULTS[fault](fleet, engine)
        answer = await call
        assert answer.is_complete, (answer.error, fleet.logs())
        assert answer.text == expected_text(MODEL, MESSAGES, TOKENS)


async def test_unresumable_stream_ends_with_explicit_error():
    async with Fleet(SHAPE) as fleet:
        call = asyncio.create_task(
            fleet.caller("d1-v1").chat(MODEL, MESSAGES, max_tokens=TOKENS)
        )
        await wait_for_busy_engine(fleet)
        for engine in fleet.endpoint_by_name:
            await kill_engine(fleet, engine)
        answer = await call
    assert not answer.is_complete
    assert json.loads(answer.error)["outcome"] == "unknown"
    assert expected_text(MODEL, MESSAGES, TOKENS).startswith(answer.text)


async def test_caller_resumes_at_any_router_with_last_event_id():
    async with Fleet(SHAPE) as fleet:
        body = {
            "model": MODEL,
            "messages": MESSAGES,
            "max_tokens": TOKENS,
            "stream": True,
        }
        address = fleet.vm_by_name["d1-v1"].http_address
        text, last_event_id = "", ""
        async with fleet.session.post(
            f"http://{address}/v1/chat/completions",
            json=body,
            headers={"Authorization": f"Bearer {ACCOUNT_KEY}"},
        ) as response:
            async for line in response.content:
                if line.startswith(b"id: "):
                    last_event_id = line[4:].strip().decode()
                elif line.startswith(b"data: "):
                    chunk = json.loads(line[6:])
                    text += chunk["choices"][0]["delta"]["content"]
                    if text.count(" ") == 30:
                        break
        answer = await fleet.caller("d2-v2").chat(
            MODEL,
            MESSAGES,
            max_tokens=TOKENS,
            headers={"Last-Event-ID": last_event_id},
        )
        assert answer.is_complete, answer.error
        assert text + answer.text == expected_text(MODEL, MESSAGES, TOKENS)


async def test_engine_cancels_when_caller_disconnects():
    async with Fleet(SHAPE) as fleet:
        call = asyncio.create_task(
            fleet.caller("d1-v1").chat(MODEL, MESSAGES, max_tokens=5000)
        )
        engine = await wait_for_busy_engine(fleet)
        call.cancel()

        async def is_idle() -> bool:
            return (await fleet.engine_stats())[engine]["in_flight"] == 0

        await eventually(is_idle, 4.0, "an idle engine")


async def test_slow_caller_delays_only_its_own_stream():
    shape = FleetShape(
        vms_per_domain=1, plains_per_domain=0, engine_flags={"decode_step": 0.0001}
    )
    async with Fleet(shape) as fleet:
        address = fleet.vm_by_name["d1-v1"].http_address
        body = {"model": MODEL, "messages": MESSAGES, "max_tokens": 20_000}
        async with fleet.session.post(
            f"http://{address}/v1/chat/completions",
            json={**body, "stream": True},
            headers={"Authorization": f"Bearer {ACCOUNT_KEY}"},
        ) as unread:
            answer = await fleet.caller("d1-v1").chat(MODEL, MESSAGES, max_tokens=200)
            assert answer.text == expected_text(MODEL, MESSAGES, 200)
            assert unread.status == 200


async def test_truncated_body_never_looks_complete():
    async with Fleet(SHAPE) as fleet:
        call = asyncio.create_task(
            fleet.caller("d1-v1").chat(MODEL, MESSAGES, max_tokens=TOKENS, stream=False)
        )
        engine = await wait_for_busy_engine(fleet)
        for name in fleet.endpoint_by_name:
            await kill_engine(fleet, name)
        answer = await call
    assert not answer.is_complete, engine
    assert answer.outcome in ("unknown", ""), answer
