"""Tests of the stand-ins' APIs, on which routers, agents, and tests rely."""

import asyncio
import json

import aiohttp
import pytest

from dotterelpitch.standins.engine import EngineStandIn
from dotterelpitch.standins.engine_model import EngineSettings, expected_text
from dotterelpitch.standins.plain import PlainStandIn
from dotterelpitch.standins.platform import PlatformStandIn
from dotterelpitch.standins.serving import serve

MESSAGES = [{"role": "user", "content": "describe the scent of rain " * 20}]


@pytest.fixture
async def start():
    """Return a function that serves an application and returns a client session."""
    started = []

    async def start_application(app):
        runner = await serve(app, "127.0.0.1:0")
        host, port = runner.addresses[0][:2]
        session = aiohttp.ClientSession(f"http://{host}:{port}")
        started.append((runner, session))
        return session

    yield start_application
    for runner, session in started:
        await session.close()
        await runner.cleanup()


def engine(**settings):
    """Return the application of an engine with short prefill and decode times."""
    fast = {"decode_step": 0.001, "prefill_per_token": 0.0001, **settings}
    stand_in = EngineStandIn(EngineSettings(listen="127.0.0.1:0", **fast))
    return stand_in.application()


def chat(max_tokens=8, stream=True, messages=MESSAGES):
    """Return the body of a chat completion request."""
    return {
        "model": "m",
        "messages": messages,
        "stream": stream,
        "max_tokens": max_tokens,
    }


async def read_events(response):
    """Return the event ids, the text, and whether the stream ended with [DONE]."""
    ids, text, done = [], "", False
    async for line in response.content:
        if line.startswith(b"id: "):
            ids.append(int(line[4:]))
        elif line.strip() == b"data: [DONE]":
            done = True
        elif line.startswith(b"data: "):
            delta = json.loads(line[6:])["choices"][0]["delta"]
            text += delta.get("content", "")
    return ids, text, done


async def test_engine_streams_the_expected_text(start):
    client = await start(engine())
    async with client.post("/v1/chat/completions", json=chat()) as response:
        ids, text, done = await read_events(response)
    assert ids == list(range(1, 10))
    assert text == expected_text("m", MESSAGES, 8)
    assert done


async def test_unstreamed_answer_is_complete_and_reuses_the_prefix(start):
    client = await start(engine())
    cached = []
    for _ in range(2):
        body = chat(stream=False)
        async with client.post("/v1/chat/completions", json=body) as response:
            answer = await response.json()
        content = answer["choices"][0]["message"]["content"]
        assert content == expected_text("m", MESSAGES, 8)
        cached.append(answer["usage"]["prompt_tokens_details"]["cached_tokens"])
    assert cached[0] == 0 < cached[1]


async def test_engine_resumes_and_cancels_a_stream(start):
    client = await start(engine(decode_step=0.005))
    headers = {"Dotterelpitch-Request-Id": "r1"}
    request = client.post("/v1/chat/completions", json=chat(200), headers=headers)
    async with request as response:
        await response.content.readuntil(b"\n\n")
        async with client.get("/v1/streams/r1?after=1") as resumed:
            assert (await resumed.content.readline()) == b"id: 2\n"
            async with client.post("/v1/cancel/r1") as cancelled:
                assert (await cancelled.json()) == {"cancelled": True}
            _, _, done = await read_events(resumed)
            assert done
    async with client.get("/control/stats") as stats:
        assert (await stats.json())["cancelled"] == 1


async def test_engine_batches_up_to_its_concurrency(start):
    client = await start(engine(concurrency=2))

    async def ask(number):
        messages = [{"role": "user", "content": str(number)}]
        body = chat(stream=False, messages=messages)
        async with client.post("/v1/chat/completions", json=body) as response:
            return response.status

    assert await asyncio.gather(*(ask(n) for n in range(6))) == [200] * 6
    async with client.get("/control/stats") as response:
        stats = await response.json()
    assert (stats["max_in_flight"], stats["max_queued"]) == (2, 4)


async def test_kv_cache_is_copied_between_engines(start):
    first, second = await start(engine()), await start(engine())
    headers = {"Dotterelpitch-Chat": "c1"}
    body = chat(stream=False)
    await first.post("/v1/chat/completions", json=body, headers=headers)
    async with first.get("/v1/kv/c1") as exported:
        await second.put("/v1/kv/c1", json=await exported.json())
    async with second.post("/v1/chat/completions", json=body) as response:
        usage = (await response.json())["usage"]
    assert usage["prompt_tokens_details"]["cached_tokens"] > 0


@pytest.mark.parametrize(
    ("checks_fencing", "statuses"),
    [(True, [200, 409, 200]), (False, [200, 200, 200])],
)
async def test_engine_refuses_outdated_fencing_only_if_it_checks(
    start, checks_fencing, statuses
):
    client = await start(engine(models=("m",), checks_fencing=checks_fencing))
    seen = []
    for fencing in (5, 4, 5):
        order = {"fencing": fencing, "action": "load", "model": f"m{fencing}"}
        async with client.post("/v1/orders", json=order) as response:
            seen.append(response.status)
    assert seen == statuses


async def test_lost_cache_events_leave_gaps_in_the_numbers(start):
    client = await start(engine(cache_event_loss=0.5, seed=3))
    for number in range(20):
        messages = [{"role": "user", "content": str(number)}]
        body = chat(1, stream=False, messages=messages)
        await client.post("/v1/chat/completions", json=body)
    async with client.get("/v1/cache-events?after=2") as response:
        numbers = [e["number"] for e in (await response.json())["events"]]
    assert numbers == sorted(numbers)
    assert 0 < len(numbers) < numbers[-1] - 2


@pytest.mark.parametrize(
    ("checks_fencing", "statuses", "executed"),
    [(True, [200, 412], 1), (False, [200, 200], 2)],
)
async def test_plain_counts_executions(start, checks_fencing, statuses, executed):
    client = await start(PlainStandIn("p", 0.0, checks_fencing).application())
    seen = []
    for fencing in ("7", "6"):
        headers = {"Idempotency-Key": "k", "Dotterelpitch-Fencing": fencing}
        async with client.post("/swaps", headers=headers) as response:
            seen.append(response.status)
    assert seen == statuses
    async with client.get("/control/executions") as response:
        assert (await response.json())["count_by_key"] == {"k": executed}


async def test_platform_watch_returns_on_change_or_timeout(start):
    client = await start(PlatformStandIn().application())
    await client.put("/control/documents/s", json={"service": "s"})
    async with client.get("/v1/documents/s?after=1&wait=0.01") as response:
        assert response.status == 304
    watch = asyncio.create_task(
        client.get("/v1/documents/s?after=1&wait=30").__aenter__()
    )
    await client.put("/control/documents/s", json={"service": "s", "n": 2})
    answer = await watch
    assert await answer.json() == {"revision": 2, "document": {"service": "s", "n": 2}}
    assert answer.headers["ETag"] == '"2"'


@pytest.mark.parametrize(
    ("faults", "reader", "expected"),
    [
        ({}, "a", (200, 2)),
        ({"down": True}, "a", (503, None)),
        ({"stale_revision": 1}, "a", (200, 1)),
        ({"stale_by_reader": {"a": 1}}, "a", (200, 1)),
        ({"stale_by_reader": {"a": 1}}, "b", (200, 2)),
    ],
)
async def test_platform_faults_determine_the_response(start, faults, reader, expected):
    client = await start(PlatformStandIn().application())
    for name in ("x", "y"):
        await client.put("/control/vms", json={"vms": [{"name": name}]})
    await client.put("/control/faults", json=faults)
    async with client.get(f"/v1/vms?reader={reader}") as response:
        revision = (await response.json())["revision"] if response.ok else None
        assert (response.status, revision) == expected
