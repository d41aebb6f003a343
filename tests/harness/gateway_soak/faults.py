"""The faults of the soak: one coroutine each, which lasts as long as its fault."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

from tests.harness.gateway_soak.engine import SoakEngine
from tests.harness.gateway_soak.history import ENGINES, PEERS, STORE
from tests.harness.gateway_soak.traffic import Traffic
from tests.harness.gateway_soak.world import DRAIN_SECONDS, SoakVm, SoakWorld
from tests.harness.proxy import Direction
from tests.harness.waiting import pause

LINGER_SECONDS = 0.5
ENGINE_MODES = ("errors", "lost", "cut", "extra", "slow")


class Faults:
    """All kinds of faults on one world; each method is one kind."""

    def __init__(self, world: SoakWorld, traffic: Traffic) -> None:
        self._world = world
        self._traffic = traffic
        self._random = world.random

    def kinds(self) -> list[Callable[[float], Awaitable[None]]]:
        """Return every kind of fault."""
        return [
            self.kill_vm,
            self.kill_most,
            self.freeze_vm,
            self.stop_vm,
            self.reload_vm,
            self.cut_vm_from_peers,
            self.cut_one_way,
            self.reset_peers,
            self.delay_peers,
            self.cut_vm_from_store,
            self.store_refuses,
            self.store_falls_silent,
            self.store_forgets,
            self.kill_engine,
            self.restart_engine,
            self.spoil_engines,
            self.reset_engine,
            self.silence_engine,
            self.release_engine,
            self.change_config,
            self.change_configs_quickly,
            self.surge,
        ]

    async def kill_vm(self, seconds: float) -> None:
        """A gateway is killed and starts again."""
        vm = self._pick_vm()
        if vm is not None:
            await self._kill([vm], seconds)

    async def kill_most(self, seconds: float) -> None:
        """Most gateways are killed at one moment."""
        vms = [vm for vm in self._world.vms if not vm.is_down]
        await self._kill(self._random.sample(vms, len(vms) * 2 // 3), 0.5)

    async def freeze_vm(self, seconds: float) -> None:
        """A gateway stands still and wakes without having noticed."""
        vm = self._pick_vm()
        if vm is None:
            return
        vm.is_down = True
        span = self._world.history.disturb("freeze_vm", vm.name)
        vm.gateway.process.pause()
        await pause(seconds)
        vm.gateway.process.wake()
        vm.is_down = False
        span.ended = self._now()

    async def stop_vm(self, seconds: float) -> None:
        """A planned stop: SIGTERM, then a new start."""
        vm = self._pick_vm()
        if vm is None:
            return
        vm.is_down = True
        span = self._world.history.disturb("stop_vm", vm.name, is_planned=True)
        was_serving = vm.is_serving()
        code = await vm.gateway.process.terminate(8.0)
        if was_serving or code != -signal.SIGTERM:
            self._world.history.stop_codes[f"{vm.name} at {span.began:.1f}"] = code
        await self._world.restart(vm)
        span.ended = self._now()

    async def reload_vm(self, seconds: float) -> None:
        """The settings file changes, with a signal or without one."""
        vm = self._random.choice(self._world.vms)
        self._world.reload(vm, with_signal=self._random.random() < 0.5)

    async def cut_vm_from_peers(self, seconds: float) -> None:
        """No byte passes between one gateway and the others."""
        vm = self._random.choice(self._world.vms)
        span = self._world.history.disturb("cut_vm_from_peers", PEERS)
        vm.peers.cut()
        for other in self._world.vms:
            other.peers.cut(vm.name)
        await pause(seconds)
        self._heal_peers()
        span.ended = self._now()

    async def cut_one_way(self, seconds: float) -> None:
        """What one gateway is sent gets lost; what it sends arrives."""
        vm = self._random.choice(self._world.vms)
        span = self._world.history.disturb("cut_one_way", PEERS)
        vm.peers.drop("*", Direction.FORWARD)
        await pause(seconds)
        self._heal_peers()
        span.ended = self._now()

    async def reset_peers(self, seconds: float) -> None:
        """All links between gateways are reset."""
        span = self._world.history.disturb("reset_peers", PEERS)
        for vm in self._world.vms:
            vm.peers.reset()
        span.ended = self._now()

    async def delay_peers(self, seconds: float) -> None:
        """What gateways tell one another is late."""
        span = self._world.history.disturb("delay_peers", PEERS)
        for vm in self._world.vms:
            vm.peers.delay(self._random.uniform(0.05, 0.4))
        await pause(seconds)
        self._heal_peers()
        span.ended = self._now()

    async def cut_vm_from_store(self, seconds: float) -> None:
        """The store is out of reach for some gateways."""
        vms = self._random.sample(self._world.vms, 2)
        spans = [self._world.history.disturb("cut_from_store", v.name) for v in vms]
        for vm in vms:
            vm.store.cut()
        await pause(seconds)
        for vm in vms:
            vm.store.heal()
        for span in spans:
            span.ended = self._now()

    async def store_refuses(self, seconds: float) -> None:
        """The store answers 503 to all."""
        span = self._world.history.disturb("store_refuses", STORE)
        self._world.store.status = 503
        await pause(seconds)
        self._world.store.status = 200
        span.ended = self._now()

    async def store_falls_silent(self, seconds: float) -> None:
        """The store answers nothing."""
        span = self._world.history.disturb("store_falls_silent", STORE)
        self._world.store.is_silent = True
        await pause(seconds)
        self._world.store.is_silent = False
        span.ended = self._now()

    async def store_forgets(self, seconds: float) -> None:
        """The store drops its history."""
        self._world.store.forget_history()

    async def kill_engine(self, seconds: float) -> None:
        """An engine dies; one of another service may take over its address."""
        engine = self._pick_engine()
        if engine is None:
            return
        span = self._world.history.disturb("kill_engine", ENGINES)
        del self._world.engine_by_id[engine.id]
        await engine.stop()
        await pause(seconds)
        self._world.delist_engine(engine)
        await self._replace(engine, swaps_service=True)
        span.ended = self._now()

    async def restart_engine(self, seconds: float) -> None:
        """An engine dies and starts again under its id."""
        engine = self._pick_engine()
        if engine is None:
            return
        span = self._world.history.disturb("restart_engine", ENGINES)
        engine.proxy.refuse()
        await pause(min(1.0, seconds))
        engine.born += 1000
        engine.proxy.accept_again()
        self._world.list_engine(engine)
        span.ended = self._now()

    async def spoil_engines(self, seconds: float) -> None:
        """Half of the engines fail some requests in one way."""
        engines = list(self._world.engine_by_id.values())
        spoilt = self._random.sample(engines, len(engines) // 2)
        mode = self._random.choice(ENGINE_MODES)
        span = self._world.history.disturb(f"spoil_engines {mode}", ENGINES)
        for engine in spoilt:
            engine.mode = mode
        await pause(seconds)
        for engine in spoilt:
            engine.mode = ""
        span.ended = self._now()

    async def reset_engine(self, seconds: float) -> None:
        """All connections to an engine are reset."""
        engine = self._random.choice(list(self._world.engine_by_id.values()))
        span = self._world.history.disturb("reset_engine", ENGINES)
        engine.proxy.reset()
        span.ended = self._now()

    async def silence_engine(self, seconds: float) -> None:
        """No byte passes to or from an engine."""
        engine = self._random.choice(list(self._world.engine_by_id.values()))
        span = self._world.history.disturb("silence_engine", ENGINES)
        engine.proxy.cut()
        await pause(seconds)
        engine.proxy.heal()
        span.ended = self._now()

    async def release_engine(self, seconds: float) -> None:
        """An engine is replaced: the new one starts first, the old one leaves."""
        engine = self._pick_engine()
        if engine is None:
            return
        world = self._world
        await world.add_engine(engine.service, engine.domain)
        del world.engine_by_id[engine.id]
        if self._random.random() < 0.5:
            world.list_engine(engine, "draining")
        else:
            world.delist_engine(engine)
        world.history.left_service_at[engine.id] = self._now()
        await pause(DRAIN_SECONDS + LINGER_SECONDS)
        span = world.history.disturb("release_engine", ENGINES)
        world.delist_engine(engine)
        await engine.stop()
        span.ended = self._now()

    async def change_config(self, seconds: float) -> None:
        """A version adds or drops a route and a key."""
        self._change_routes_and_keys()
        self._world.write_config()

    async def change_configs_quickly(self, seconds: float) -> None:
        """Versions come faster than they can be applied one by one."""
        for _ in range(8):
            self._change_routes_and_keys()
            self._world.write_config()
            await pause(0.06)

    async def surge(self, seconds: float) -> None:
        """Three times the traffic."""
        self._traffic.factor = 3.0
        await pause(seconds)
        self._traffic.factor = 1.0

    async def _kill(self, vms: list[SoakVm], seconds: float) -> None:
        spans = [self._world.history.disturb("kill_vm", vm.name) for vm in vms]
        for vm in vms:
            vm.is_down = True
        await asyncio.gather(*(vm.gateway.process.kill() for vm in vms))
        await pause(seconds)
        await asyncio.gather(*(self._world.restart(vm) for vm in vms))
        for span in spans:
            span.ended = self._now()

    async def _replace(self, engine: SoakEngine, swaps_service: bool) -> None:
        service = engine.service
        proxy = engine.proxy
        counts = [e.service for e in self._world.engine_by_id.values()]
        other = "chats" if service == "calls" else "calls"
        if swaps_service and counts.count(service) >= 2 and self._random.random() < 0.5:
            await self._world.add_engine(other, engine.domain, proxy)
            await self._world.add_engine(service, engine.domain)
            return
        await self._world.add_engine(service, engine.domain, proxy)

    def _change_routes_and_keys(self) -> None:
        world = self._world
        name = f"safe{self._random.randint(2, 9)}"
        if world.routes.pop(name, None) is None:
            world.routes[name] = {"kind": "safe", "max_attempts": 2, "service": "calls"}
        key = f"key-{self._random.randint(2, 9)}"
        if key in world.keys:
            world.keys.remove(key)
        else:
            world.keys.append(key)

    def _pick_vm(self) -> SoakVm | None:
        """Return a running VM, unless too few would be left."""
        running = [vm for vm in self._world.vms if not vm.is_down]
        return self._random.choice(running) if len(running) > 2 else None

    def _pick_engine(self) -> SoakEngine | None:
        """Return an engine whose service has another one."""
        engines = list(self._world.engine_by_id.values())
        services = [engine.service for engine in engines]
        spare = [e for e in engines if services.count(e.service) > 2]
        return self._random.choice(spare) if spare else None

    def _heal_peers(self) -> None:
        for vm in self._world.vms:
            vm.peers.heal()

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()
