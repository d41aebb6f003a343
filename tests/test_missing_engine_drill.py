"""After an outage of the store, engines that are gone are out of use in time.

Those that live write their records again, within two seconds of the store's return.
"""

import time

import pytest

from tests.harness.gateway_fleet import GatewayFleet, make_config
from tests.harness.ports import free_address
from tests.harness.proxy import FaultProxy
from tests.harness.scripted_engine import ScriptedEngine
from tests.harness.waiting import eventually, pause

# The settings' contact_ms: so long after the store's return its bounds hold again.
CONTACT_SECONDS = 3.0
BOUNDS = {"grace_s": 5, "contact_ms": 3000, "drain_ms": 2000, "config_apply_ms": 2000}
# Longer than a record lives without a heartbeat.
OUTAGE_SECONDS = 4.2
# After the store's return the living engines write their records.
RETURN_SECONDS = (0.6, 1.8)
ENGINE_MISSING = 215


class OutageDrill:
    """Gateways behind one path to the store, and three engines of which one is gone."""

    def __init__(self, folder):
        self.fleet = GatewayFleet(folder)
        self.fleet.engines.append(ScriptedEngine("e3"))
        self.path = None

    async def start(self, vms):
        """Start all; return once the gateways are ready."""
        store = self.fleet.store
        await store.start(free_address())
        store.put("op/config", make_config(1))
        for engine in self.fleet.engines:
            await engine.start(free_address())
            self.fleet.register_engine(engine)
        self.path = FaultProxy(store.address)
        await self.path.start()
        for _ in range(vms):
            gateway = self.fleet.add_gateway(self.path.address)
            seeds = [self.fleet.gateways[0].peer_address]
            gateway.write_settings(self.path.address, seeds, bounds=BOUNDS)
            await gateway.process.start()
        for gateway in self.fleet.gateways:
            await gateway.wait_ready()

    async def stop(self):
        """End all that was started."""
        await self.fleet.stop()
        if self.path is not None:
            await self.path.stop()

    def removals(self, gateway):
        """Return when a gateway has removed engines that were missing, by id."""
        events = gateway.process.events(ENGINE_MISSING)
        return {e["engine"]: e["at"] for e in events if e["action"] == "removed"}


def reset_paths(drill):
    """Connections to the store are reset until the return."""
    drill.path.refuse()


def silence_paths(drill):
    """Connections to the store are silent until the return."""
    drill.path.drop()


# Guards against: a gateway keeps an engine that is gone for longer than it has to
# register again, since its removal waits for the end of a watch, or since the first
# list comes late.
@pytest.mark.parametrize("vms", [1, 2])
@pytest.mark.parametrize("cut", [reset_paths, silence_paths])
async def test_engine_that_is_gone_is_out_of_use_in_time(tmp_path, vms, cut):
    drill = OutageDrill(tmp_path)
    try:
        await drill.start(vms)
        gone, *living = drill.fleet.engines
        cut(drill)
        await pause(OUTAGE_SECONDS)
        for engine in drill.fleet.engines:
            drill.fleet.store.delete(f"servers/{engine.id}")
        drill.path.accept_again()
        drill.path.heal()
        returned_at = time.time()
        for engine, after_s in zip(living, RETURN_SECONDS, strict=True):
            await pause(returned_at + after_s - time.time())
            drill.fleet.register_engine(engine)
        for gateway in drill.fleet.gateways:
            await eventually(lambda g=gateway: drill.removals(g), 8.0, "a removal")
            removals = drill.removals(gateway)
            assert removals.keys() == {gone.id}
            assert RETURN_SECONDS[-1] < removals[gone.id] - returned_at
            assert removals[gone.id] - returned_at <= CONTACT_SECONDS
    finally:
        await drill.stop()
