"""All keys are taken away; requests with any key, or none, must be refused."""

import asyncio
from pathlib import Path

from review.harness import BOUNDS, World, call, make_config, request_bytes, run_case

APPLY_SECONDS = BOUNDS["config_apply_ms"] / 1000
KEYS = {"tenant-a": "key-a", "tenant-b": "key-b"}
# Each kind of caller tries so often, over some seconds.
TRIES = 5


async def play(world: World, has_trouble: bool) -> bool:
    """Return whether no request without a valid key has run."""
    keys = dict(KEYS)
    tenants = [{"name": n, "api_keys": [k]} for n, k in keys.items()]
    (gateway,) = await world.start(make_config(11, tenants))
    note = world.record.note

    async def send(name: str, key: str, number: int) -> int:
        request_id = f"{name}-{number}"
        note(f"client sends POST /booking/x id={request_id} key={key or '-'}")
        data = request_bytes("/booking/x", request_id, key, body=b"seat 7")
        status = (await call(gateway.front, data)).status
        note(f"client got {status} for id={request_id}")
        return status

    before = await send("valid-before", KEYS["tenant-a"], 0)
    forged_before = await send("forged-before", "never-issued", 0)
    if (before, forged_before) != (200, 401):
        note("keys aren't checked at all")
        return False
    version = 11
    # Without the disruption one key stays in force.
    for name in list(keys) if has_trouble else list(keys)[:1]:
        del keys[name]
        version += 3
        tenants = [
            {"name": n, "api_keys": [keys[n]] if n in keys else []} for n in KEYS
        ]
        world.store.put("op/config", make_config(version, tenants))
        note(f"the store acknowledged config {version}: keys left {sorted(keys)}")
        await asyncio.sleep(0.5)
    await asyncio.sleep(APPLY_SECONDS + 1.0)
    for number in range(TRIES):
        await send("revoked", KEYS["tenant-a"], number)
        await send("forged", "never-issued", number)
        await send("keyless", "", number)
        await asyncio.sleep(0.3)
    wrong = [
        run.header("Request-Id")
        for engine in world.engines
        for run in engine.runs
        if run.header("Request-Id").startswith(("revoked", "forged", "keyless"))
    ]
    note(f"engines ran {len(wrong)} requests without a valid key: {sorted(wrong)}")
    return not wrong


run_case(Path(__file__).parent, play)
