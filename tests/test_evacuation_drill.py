"""Real gateways send nothing into an evacuated failure domain.

The same is shown for sixty VMs without a network in ``tests/test_evacuations.py``.
"""

import asyncio
import time

import pytest

from tests.harness.gateway_fleet import (
    CHAT_ROUTES,
    GatewayFleet,
    make_config,
    request_bytes,
    send_raw,
)
from tests.harness.platform_store import PlatformStore
from tests.harness.ports import free_address
from tests.harness.scripted_engine import ScriptedEngine

EVACUATION_KEY = "op/evacuate/b"
# Within this time an evacuation is in force at all VMs, if the store is sound.
IN_FORCE_SECONDS = 1.0
# Long enough that the engines of both failure domains are needed.
WORK_SECONDS = 0.05
CALL_INTERVAL_SECONDS = 0.02
VMS = 3


class TimedEngine(ScriptedEngine):
    """An engine that answers all, and records when each request has arrived."""

    def __init__(self, engine_id):
        super().__init__(engine_id, self._answer)
        self.arrivals = []

    async def _answer(self, exchange):
        self.arrivals.append(time.monotonic())
        await asyncio.sleep(WORK_SECONDS)
        exchange.write_head("200 OK", "Content-Length: 2")
        exchange.writer.write(b"ok")


class EvacuationDrill:
    """Gateways of which some can't read the store, under a steady load."""

    def __init__(self, folder, unread_stores=0):
        self.fleet = GatewayFleet(folder)
        self.fleet.engines = [TimedEngine("e1"), TimedEngine("e2")]
        self.refusing_store = PlatformStore()
        self.refusing_store.status = 503
        self._unread_stores = unread_stores
        self.statuses = []
        self._callers = None

    async def __aenter__(self):
        await self.refusing_store.start(free_address())
        await self.fleet.start(VMS - self._unread_stores)
        for engine, domain in zip(self.fleet.engines, "ab", strict=True):
            self.register(engine, domain)
        for _ in range(self._unread_stores):
            await self.add_gateway(self.refusing_store.address)
        self._callers = asyncio.create_task(self._call())
        await asyncio.sleep(1.0)
        return self

    async def __aexit__(self, *error):
        self._callers.cancel()
        await self.fleet.stop()
        await self.refusing_store.stop()

    def register(self, engine, domain):
        content = {
            "service": "calls",
            "address": engine.address,
            "zone": domain,
            "state": "ready",
            "capacity": 8,
        }
        self.fleet.store.put(f"servers/{engine.id}", content)

    async def add_gateway(self, store):
        gateway = self.fleet.add_gateway(store)
        await gateway.process.start()
        await gateway.wait_ready()

    def arrivals_between(self, engine, first, last=float("inf")):
        return [at for at in engine.arrivals if first <= at <= last]

    async def _call(self):
        async with asyncio.TaskGroup() as group:
            while True:
                for gateway in list(self.fleet.gateways):
                    group.create_task(self._call_once(gateway.caller_address))
                await asyncio.sleep(CALL_INTERVAL_SECONDS)

    async def _call_once(self, address):
        try:
            response = await send_raw(address, request_bytes("/safe/x"))
        except OSError:
            return
        if response:
            self.statuses.append(int(response.split(b" ")[1]))


async def nothing(drill):
    """The store is sound and all VMs run."""


async def kill_the_first(drill):
    """The VM that has read the store for the others ends."""
    await drill.fleet.gateways.pop(0).process.kill()


async def start_another(drill):
    """A VM that the store turns away starts after the evacuation."""
    await drill.add_gateway(drill.refusing_store.address)


async def restore_an_older_copy(drill):
    """The store is back from a copy of before the evacuation, written again later."""
    copy = drill.copy
    await asyncio.sleep(IN_FORCE_SECONDS)
    drill.fleet.store.restore(copy)
    await asyncio.sleep(2.0)
    drill.fleet.store.put(EVACUATION_KEY, {})


# Guards against: requests that reach an evacuated failure domain from a VM that the
# store turns away, that has just started, that has lost its reader, or that reads an
# older copy.
@pytest.mark.parametrize(
    ("incident", "unread_stores"),
    [
        (nothing, 0),
        (nothing, 1),
        (kill_the_first, 1),
        (start_another, 1),
        (restore_an_older_copy, 1),
    ],
)
async def test_nothing_arrives_in_an_evacuated_domain(
    tmp_path, incident, unread_stores
):
    async with EvacuationDrill(tmp_path, unread_stores) as drill:
        store, (near, evacuated) = drill.fleet.store, drill.fleet.engines
        assert evacuated.arrivals
        drill.copy = store.copy()
        store.put(EVACUATION_KEY, {})
        acknowledged_at = time.monotonic()
        checks = evacuated.health_checks
        await incident(drill)
        await asyncio.sleep(3 * IN_FORCE_SECONDS)
        late = drill.arrivals_between(evacuated, acknowledged_at + IN_FORCE_SECONDS)
        assert late == []
        assert evacuated.health_checks == checks
        assert set(drill.statuses) == {200}
        store.delete(EVACUATION_KEY)
        await asyncio.sleep(2 * IN_FORCE_SECONDS)
        taken_back_at = time.monotonic() - IN_FORCE_SECONDS
        assert drill.arrivals_between(evacuated, taken_back_at)
        assert drill.arrivals_between(near, taken_back_at)


# Guards against: calls that wait, or that go to evacuated engines for want of others.
async def test_service_without_other_engines_is_refused_at_once(tmp_path):
    async with EvacuationDrill(tmp_path) as drill:
        drill.fleet.store.put("op/evacuate/a", {})
        drill.fleet.store.put(EVACUATION_KEY, {})
        await asyncio.sleep(IN_FORCE_SECONDS)
        before = [len(engine.arrivals) for engine in drill.fleet.engines]
        began = time.monotonic()
        address = drill.fleet.gateways[0].caller_address
        response = await send_raw(address, request_bytes("/unsafe/x"))
        assert time.monotonic() - began < 0.25
        assert response.startswith(b"HTTP/1.1 503")
        assert b"evacuated failure domains" in response
        assert b"Retry-After" in response
        assert [len(engine.arrivals) for engine in drill.fleet.engines] == before


STREAM_EVENTS = 8


async def stream(exchange):
    """Send events for two seconds."""
    exchange.write_head(
        "200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"
    )
    for number in range(1, STREAM_EVENTS + 1):
        exchange.write_chunk(b"id: %d\ndata: x\n\n" % number)
        await asyncio.sleep(0.25)
    exchange.write_chunk(b"")


# Guards against: an evacuation that cuts streams that were under way.
async def test_running_stream_completes(tmp_path):
    fleet = GatewayFleet(tmp_path)
    fleet.engines = [ScriptedEngine("e1", stream)]
    try:
        gateway = await fleet.start()
        fleet.store.put("op/config", make_config(2, CHAT_ROUTES))
        await asyncio.sleep(0.5)
        data = request_bytes("/chat/x", headers=("Prompt-Prefix: p:1,q:1",))
        call = asyncio.create_task(send_raw(gateway.caller_address, data))
        await asyncio.sleep(0.6)
        fleet.store.put("op/evacuate/a", {})
        response = await call
        assert response.count(b"data: x") == STREAM_EVENTS
    finally:
        await fleet.stop()
