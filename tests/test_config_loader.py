"""Large configs, and many in quick succession, leave callers their time."""

import asyncio
import json

import pytest

from dotterelpitch.clock import ManualClock
from dotterelpitch.gateway.config_loader import PAUSE_FACTOR, ConfigLoader
from dotterelpitch.gateway.state import GatewayState
from dotterelpitch.platform.config_record import CONFIG_KEY, ROUTES_PER_STEP
from dotterelpitch.platform.store import StoreRecord, StoreResponse

STEP_SECONDS = 0.002


class SteppingClock(ManualClock):
    """A clock that goes on a little with each look at it."""

    def monotonic(self):
        self.advance(STEP_SECONDS / 2)
        return super().monotonic()


def config_record(version, routes=0):
    tables = [
        {
            "host": "calls.example",
            "path_prefix": f"/{number}/",
            "kind": "safe",
            "service": "calls",
            "timeout_ms": 1000,
            "slo_ms": 100,
        }
        for number in range(routes)
    ]
    content = {"version": version, "routes": tables}
    return StoreRecord(CONFIG_KEY, json.dumps(content).encode())


@pytest.fixture
def state():
    state = GatewayState(SteppingClock(100.0))
    state.apply_configs([config_record(1)])
    return state


@pytest.fixture
def loader(state):
    loader = ConfigLoader(state.clock, state)
    state.defer_config = loader.offer
    return loader


# Guards against: a config of thousands of routes that stops all else meanwhile.
async def test_large_config_is_decoded_between_other_work(state, loader):
    state.apply_configs([config_record(2, routes=20 * ROUTES_PER_STEP)])
    assert state.config.version == 1
    turns = 0

    async def take_turns():
        nonlocal turns
        while True:
            turns += 1
            await asyncio.sleep(0)

    others = asyncio.create_task(take_turns())
    await loader.load()
    others.cancel()
    assert state.config.version == 2
    assert turns >= 20


# Guards against: each of many configs in quick succession is decoded.
async def test_only_the_newest_config_is_decoded(state, loader, monkeypatch):
    decoded = []
    apply = state.apply_config_in_steps

    def record(config):
        decoded.append(json.loads(config.value)["version"])
        return apply(config)

    monkeypatch.setattr(state, "apply_config_in_steps", record)
    running = asyncio.create_task(loader.run())
    for version in range(2, 30):
        state.apply_configs([config_record(version)])
    state.apply_configs([config_record(29)])
    await asyncio.sleep(0.2)
    running.cancel()
    assert decoded == [29]
    assert state.config.version == 29


async def test_time_is_left_to_others_after_a_config(state, loader):
    state.apply_configs([config_record(2, routes=10 * ROUTES_PER_STEP)])
    assert await loader.load() >= PAUSE_FACTOR * 10 * STEP_SECONDS / 2


# Guards against: an invalid config, or an older one, ends the loader or is in force.
@pytest.mark.parametrize(
    "record", [StoreRecord(CONFIG_KEY, b"{"), config_record(0), config_record(1)]
)
async def test_config_that_is_not_newer_or_not_valid(state, loader, record):
    state.apply_configs([record])
    await loader.load()
    assert state.config.version == 1
    state.apply_list(StoreResponse((config_record(5),), 10), False)
    await loader.load()
    assert state.config.version == 5
