"""The reader of the store fails; the other gateways of its failure domain act in time.

``tests/test_store_readers.py`` has larger fleets and other bounds, without processes.
"""

import time

import pytest

from tests.harness.gateway_fleet import GatewayFleet, make_config
from tests.harness.platform_store import PlatformStore
from tests.harness.ports import free_address
from tests.harness.proxy import FaultProxy
from tests.harness.waiting import eventually, pause

VMS = 3
# The settings' drain_ms, config_apply_ms, and evacuate_ms.
BOUND_SECONDS = 2.0
BOUNDS = {
    "grace_s": 5,
    "drain_ms": 2000,
    "config_apply_ms": 2000,
    "evacuate_ms": 2000,
}
# The store's last answer to the reader is so old when the reader fails; its next watch
# has begun.
ANSWERED_BEFORE_SECONDS = 0.3
CHANGED_AFTER_SECONDS = 0.05
# By then the others have read the store in the reader's place, and have settled again.
CHANGED_AGAIN_AFTER_SECONDS = 2.0
CONFIG_IN_FORCE, EVACUATION_BEGAN, ENGINE_LEAVING = 211, 223, 425
STORE_READER = 219


class ReaderDrill:
    """Three gateways of one failure domain, each with its own path to the store.

    ``old_store`` serves what the store held at the start, and nothing later.
    """

    def __init__(self, folder):
        self.fleet = GatewayFleet(folder)
        self.old_store = PlatformStore()
        self.paths = []

    async def start(self):
        """Start all; return once one gateway reads and the others don't."""
        store = self.fleet.store
        await store.start(free_address())
        await self.old_store.start(free_address())
        for held in (store, self.old_store):
            held.put("op/config", make_config(1))
        for engine in self.fleet.engines:
            await engine.start(free_address())
            self.fleet.register_engine(engine)
        for _ in range(VMS):
            path = FaultProxy(store.address)
            self.paths.append(path)
            gateway = self.fleet.add_gateway(await path.start())
            seeds = [self.fleet.gateways[0].peer_address]
            gateway.write_settings(path.address, seeds, bounds=BOUNDS)
            await gateway.process.start()
        for gateway in self.fleet.gateways:
            await gateway.wait_ready()
        await eventually(lambda: len(self.readers()) == 1, 8.0, "one reader")

    async def stop(self):
        """End all that was started."""
        await self.fleet.stop()
        await self.old_store.stop()
        for path in self.paths:
            await path.stop()

    def readers(self):
        """Return the numbers of the gateways that read the store now."""
        readers = []
        for number, gateway in enumerate(self.fleet.gateways):
            events = gateway.process.events(STORE_READER)
            if events and events[-1]["reads"]:
                readers.append(number)
        return readers

    def change_all(self, version):
        """Let an engine leave, change the config, and evacuate a failure domain."""
        engine = self.fleet.engines[version % 2]
        self.fleet.register_engine(engine, state="draining")
        self.fleet.store.put(f"op/evacuate/domain-{version}", {})
        self.fleet.store.put("op/config", make_config(version))
        return time.time(), engine.id

    async def delays(self, gateway, version, changed_at, engine_id):
        """Return the seconds after which a gateway has acted by each change."""
        process = gateway.process

        def found():
            domains = [f"domain-{version}"]
            return [
                [e for e in process.events(CONFIG_IN_FORCE) if e["version"] == version],
                [e for e in process.events(ENGINE_LEAVING) if e["engine"] == engine_id],
                [
                    e
                    for e in process.events(EVACUATION_BEGAN)
                    if e["failure_domains"] == domains
                ],
            ]

        await eventually(lambda: all(found()), 3 * BOUND_SECONDS, "all changes")
        return [round(events[0]["at"] - changed_at, 2) for events in found()]


async def cut_silently(drill, reader):
    """The reader's path to the store falls silent."""
    drill.paths[reader].cut()


async def refuse(drill, reader):
    """The reader's connections to the store are reset, and new ones too."""
    drill.paths[reader].refuse()


async def serve_an_older_copy(drill, reader):
    """The reader gets its lists from an older copy of the store."""
    drill.paths[reader].target = drill.old_store.address
    drill.paths[reader].reset()


async def suspend(drill, reader):
    """The reader's process stands still."""
    drill.fleet.gateways[reader].process.pause()


async def kill(drill, reader):
    """The reader's process ends."""
    await drill.fleet.gateways[reader].process.kill()


# Guards against: gateways that reach the store act by an old state for longer than the
# bound, since the one that reads it for them is cut off, refused, or standing still.
# The second change comes while the first fault goes on.
@pytest.mark.parametrize(
    "fail", [cut_silently, refuse, serve_an_older_copy, suspend, kill]
)
async def test_changes_are_in_force_in_time_without_the_reader(tmp_path, fail):
    drill = ReaderDrill(tmp_path)
    try:
        await drill.start()
        [reader] = drill.readers()
        others = [g for n, g in enumerate(drill.fleet.gateways) if n != reader]
        drill.fleet.store.put("op/config", make_config(2))
        for gateway in drill.fleet.gateways:
            await gateway.wait_config(2)
        await pause(ANSWERED_BEFORE_SECONDS)
        await fail(drill, reader)
        await pause(CHANGED_AFTER_SECONDS)
        for version in (3, 4):
            changed_at, engine_id = drill.change_all(version)
            for gateway in others:
                delays = await drill.delays(gateway, version, changed_at, engine_id)
                assert max(delays) <= BOUND_SECONDS, (version, delays)
            await pause(CHANGED_AGAIN_AFTER_SECONDS)
    finally:
        await drill.stop()
