"""The faults of the soak: coroutines that each run as long as their fault."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

from tests.harness.gateway_soak.engine import VERSIONS, SoakEngine
from tests.harness.gateway_soak.fleet import DOMAINS, DRAIN_SECONDS, SoakFleet, SoakVm
from tests.harness.gateway_soak.history import (
    ENGINES,
    PART_PREFIX,
    PEERS,
    STORE,
    LimitSpan,
)
from tests.harness.gateway_soak.traffic import Traffic
from tests.harness.hostile_clients import KINDS, attack_from_a_process
from tests.harness.proxy import Direction
from tests.harness.waiting import pause

EXTRA_DRAIN_SECONDS = 0.5
# What crashes engines comes for so long, with this time between.
CRASH_SECONDS = 8.0
CRASH_INTERVAL_SECONDS = 0.4
# Engines name a rate limit for so long; the bound holds after some seconds only.
LIMIT_SECONDS = 8.0
# A failure domain is evacuated for so long and more.
EVACUATION_SECONDS = 3.0
ATTACK_KINDS = 3
ATTACKERS = 30
# Engines want a pause for so long.
PAUSE_SECONDS = (0.3, 2.5)
FAILURE_MODES = ("errors", "lost", "cut", "extra", "slow")


class Faults:
    """Injects faults into one fleet; each public coroutine is one kind of fault.

    Reports list the recorded faults by these names, except that ``kill_most`` is
    listed as ``kill_vm`` and ``cut_vm_from_store`` as ``cut_from_store``.
    """

    def __init__(self, fleet: SoakFleet, traffic: Traffic) -> None:
        self._fleet = fleet
        self._traffic = traffic
        self._random = fleet.random
        self._crash_fault_count = 0

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
            self.store_discards_history,
            self.kill_engine,
            self.restart_engine,
            self.spoil_engines,
            self.reset_engine,
            self.silence_engine,
            self.release_engine,
            self.leave_by_word,
            self.pause_engines,
            self.limit_engines,
            self.crash_engines,
            self.crash_engines_by_part,
            self.change_config,
            self.change_configs_quickly,
            self.surge,
            self.cut_vms_from_engines,
            self.restore_store,
            self.evacuate_domain,
            self.attack_vm,
        ]

    async def kill_vm(self, seconds: float) -> None:
        """Kill a gateway and start it again after ``seconds``."""
        vm = self._pick_vm()
        if vm is not None:
            await self._kill([vm], seconds)

    async def kill_most(self, seconds: float) -> None:
        """Kill two thirds of the running gateways at once."""
        vms = [vm for vm in self._fleet.vms if not vm.is_down]
        await self._kill(self._random.sample(vms, len(vms) * 2 // 3), 0.5)

    async def freeze_vm(self, seconds: float) -> None:
        """Suspend a gateway, as a pause of its VM does, and resume it."""
        vm = self._pick_vm()
        if vm is None:
            return
        vm.is_down = True
        span = self._fleet.history.begin_fault("freeze_vm", vm.name)
        vm.gateway.process.pause()
        await pause(seconds)
        vm.gateway.process.resume()
        vm.is_down = False
        span.ended = self._now()

    async def stop_vm(self, seconds: float) -> None:
        """Stop a gateway with SIGTERM, as planned maintenance does, and restart it."""
        vm = self._pick_vm()
        if vm is None:
            return
        vm.is_down = True
        span = self._fleet.history.begin_fault("stop_vm", vm.name, is_planned=True)
        was_serving = vm.is_serving()
        code = await vm.gateway.process.terminate(8.0)
        if was_serving or code != -signal.SIGTERM:
            self._fleet.history.exit_code_by_stop[f"{vm.name} at {span.began:.1f}"] = (
                code
            )
        await self._fleet.restart(vm)
        span.ended = self._now()

    async def reload_vm(self, seconds: float) -> None:
        """Change the settings file of a gateway, with or without SIGHUP."""
        vm = self._random.choice(self._fleet.vms)
        self._fleet.reload(vm, with_signal=self._random.random() < 0.5)

    async def cut_vm_from_peers(self, seconds: float) -> None:
        """Cut a gateway off from its peers in both directions."""
        vm = self._random.choice(self._fleet.vms)
        span = self._fleet.history.begin_fault("cut_vm_from_peers", PEERS)
        vm.peer_proxy.cut()
        for other in self._fleet.vms:
            other.peer_proxy.cut(vm.name)
        await pause(seconds)
        self._heal_peers()
        span.ended = self._now()

    async def cut_one_way(self, seconds: float) -> None:
        """Drop the bytes that peers send to a gateway, but not those that it sends."""
        vm = self._random.choice(self._fleet.vms)
        span = self._fleet.history.begin_fault("cut_one_way", PEERS)
        vm.peer_proxy.drop("*", Direction.FORWARD)
        await pause(seconds)
        self._heal_peers()
        span.ended = self._now()

    async def reset_peers(self, seconds: float) -> None:
        """Reset all connections between gateways."""
        span = self._fleet.history.begin_fault("reset_peers", PEERS)
        for vm in self._fleet.vms:
            vm.peer_proxy.reset()
        span.ended = self._now()

    async def delay_peers(self, seconds: float) -> None:
        """Delay all messages between gateways."""
        span = self._fleet.history.begin_fault("delay_peers", PEERS)
        for vm in self._fleet.vms:
            vm.peer_proxy.delay(self._random.uniform(0.05, 0.4))
        await pause(seconds)
        self._heal_peers()
        span.ended = self._now()

    async def cut_vm_from_store(self, seconds: float) -> None:
        """Cut two gateways off from the store."""
        vms = self._random.sample(self._fleet.vms, 2)
        spans = [self._fleet.history.begin_fault("cut_from_store", v.name) for v in vms]
        for vm in vms:
            vm.store_proxy.cut()
        await pause(seconds)
        for vm in vms:
            vm.store_proxy.heal()
        for span in spans:
            span.ended = self._now()

    async def cut_vms_from_engines(self, seconds: float) -> None:
        """Cut one to three gateways off from all engines, in one of three ways."""
        count = self._random.randint(1, min(3, len(self._fleet.vms) - 1))
        names = [vm.name for vm in self._random.sample(self._fleet.vms, count)]
        way = self._random.choice(("silent", "reset", "new ones reset"))
        span = self._fleet.history.begin_fault("cut_vms_from_engines", ENGINES)
        proxies = [engine.proxy for engine in self._fleet.engine_by_id.values()]
        for proxy in proxies:
            for name in names:
                if way == "silent":
                    proxy.drop(name)
                if way == "reset":
                    proxy.reset(name)
            if way != "silent":
                proxy.refused.update(names)
        await pause(seconds)
        for proxy in proxies:
            proxy.refused.difference_update(names)
            for name in names:
                proxy.heal(name)
        span.ended = self._now()

    async def restore_store(self, seconds: float) -> None:
        """Let the store come back from a copy; the engines register again."""
        copy = self._fleet.store.copy()
        await pause(seconds / 2)
        span = self._fleet.history.begin_fault("restore_store", STORE)
        self._fleet.store.status = 503
        await pause(min(1.0, seconds / 2))
        self._fleet.store.restore(copy)
        self._fleet.store.status = 200
        self._fleet.write_records_again()
        span.ended = self._now()

    async def evacuate_domain(self, seconds: float) -> None:
        """Have a failure domain evacuated for a while."""
        evacuated = {
            span.domain
            for span in self._fleet.history.evacuations
            if span.ended == float("inf")
        }
        if evacuated:
            return  # The others have to take what it had.
        span = self._fleet.evacuate(self._random.choice(DOMAINS))
        await pause(EVACUATION_SECONDS + seconds)
        self._fleet.take_back(span)

    async def attack_vm(self, seconds: float) -> None:
        """Let clients that don't behave attack a gateway."""
        vm = self._pick_vm()
        if vm is None:
            return
        kinds = self._random.sample(KINDS, ATTACK_KINDS)
        address = vm.gateway.caller_address
        await attack_from_a_process(address, kinds, "/no/route", ATTACKERS, seconds)

    async def store_refuses(self, seconds: float) -> None:
        """Make the store answer every request with 503."""
        span = self._fleet.history.begin_fault("store_refuses", STORE)
        self._fleet.store.status = 503
        await pause(seconds)
        self._fleet.store.status = 200
        span.ended = self._now()

    async def store_falls_silent(self, seconds: float) -> None:
        """Make the store leave every request unanswered."""
        span = self._fleet.history.begin_fault("store_falls_silent", STORE)
        self._fleet.store.is_silent = True
        await pause(seconds)
        self._fleet.store.is_silent = False
        span.ended = self._now()

    async def store_discards_history(self, seconds: float) -> None:
        """Make the store discard its change history."""
        self._fleet.store.discard_history()

    async def kill_engine(self, seconds: float) -> None:
        """Kill and replace an engine; its address may go to one of another service."""
        engine = self._pick_engine()
        if engine is None:
            return
        span = self._fleet.history.begin_fault("kill_engine", ENGINES)
        del self._fleet.engine_by_id[engine.id]
        await engine.stop()
        await pause(seconds)
        self._fleet.deregister_engine(engine)
        await self._replace(engine, may_swap_service=True)
        span.ended = self._now()

    async def restart_engine(self, seconds: float) -> None:
        """Restart an engine under its id, with a later start and any version."""
        engine = self._pick_engine()
        if engine is None:
            return
        span = self._fleet.history.begin_fault("restart_engine", ENGINES)
        engine.proxy.refuse()
        await pause(min(1.0, seconds))
        engine.started_ms += 1000
        engine.version = self._random.choice(VERSIONS)
        engine.proxy.accept_again()
        self._fleet.register_engine(engine)
        span.ended = self._now()

    async def spoil_engines(self, seconds: float) -> None:
        """Make half of the engines fail some requests, all in the same mode."""
        engines = list(self._fleet.engine_by_id.values())
        failing = self._random.sample(engines, len(engines) // 2)
        failure_mode = self._random.choice(FAILURE_MODES)
        span = self._fleet.history.begin_fault(f"spoil_engines {failure_mode}", ENGINES)
        for engine in failing:
            engine.failure_mode = failure_mode
        await pause(seconds)
        for engine in failing:
            engine.failure_mode = ""
        span.ended = self._now()

    async def reset_engine(self, seconds: float) -> None:
        """Reset all connections to an engine."""
        engine = self._random.choice(list(self._fleet.engine_by_id.values()))
        span = self._fleet.history.begin_fault("reset_engine", ENGINES)
        engine.proxy.reset()
        span.ended = self._now()

    async def silence_engine(self, seconds: float) -> None:
        """Hold all bytes to and from an engine."""
        engine = self._random.choice(list(self._fleet.engine_by_id.values()))
        span = self._fleet.history.begin_fault("silence_engine", ENGINES)
        engine.proxy.cut()
        await pause(seconds)
        engine.proxy.heal()
        span.ended = self._now()

    async def release_engine(self, seconds: float) -> None:
        """Replace an engine: start the new one, then drain and stop the old one."""
        engine = self._pick_engine()
        if engine is None:
            return
        await self._start_successor(engine)
        if self._random.random() < 0.5:
            self._fleet.register_engine(engine, "draining")
        else:
            self._fleet.deregister_engine(engine)
        self._fleet.history.removed_at_by_engine[engine.id] = self._now()
        await pause(DRAIN_SECONDS + EXTRA_DRAIN_SECONDS)
        await self._end(engine, "release_engine")

    async def leave_by_word(self, seconds: float) -> None:
        """Replace an engine that says that it leaves, but not to the store."""
        engine = self._pick_engine()
        if engine is None:
            return
        await self._start_successor(engine)
        engine.is_leaving = True
        await pause(seconds + DRAIN_SECONDS + EXTRA_DRAIN_SECONDS)
        await self._end(engine, "leave_by_word")

    async def pause_engines(self, seconds: float) -> None:
        """Let a third of the engines reject all requests for a time that they say."""
        engines = list(self._fleet.engine_by_id.values())
        for engine in self._random.sample(engines, len(engines) // 3):
            pause_s = self._random.uniform(*PAUSE_SECONDS)
            engine.paused_until = self._now() + pause_s
        await pause(PAUSE_SECONDS[1])

    async def limit_engines(self, seconds: float) -> None:
        """Let half of the engines without a rate limit name one, each its own."""
        engines = list(self._fleet.engine_by_id.values())
        unlimited = [engine for engine in engines if engine.rate_limit is None]
        limited = self._random.sample(unlimited, len(unlimited) // 2)
        spans = []
        for engine in limited:
            engine.rate_limit = round(self._random.uniform(0.5, 8.0), 2)
            spans.append(LimitSpan(engine.id, engine.rate_limit, self._now()))
        self._fleet.history.limits += spans
        await pause(LIMIT_SECONDS)
        for engine in limited:
            engine.rate_limit = None
        for span in spans:
            span.ended = self._now()

    async def crash_engines(self, seconds: float) -> None:
        """Send one content that crashes engines again and again, at any VM."""
        await self._keep_sending(self._traffic.send_crashing, "content")

    async def crash_engines_by_part(self, seconds: float) -> None:
        """Send prompts with one part that crashes engines, at any VM."""
        await self._keep_sending(self._traffic.send_crashing_prompt, PART_PREFIX)

    async def _keep_sending(
        self, send: Callable[[str], Awaitable[None]], kind: str
    ) -> None:
        """Send requests with a new fault of this kind for some seconds."""
        self._crash_fault_count += 1
        fault = f"{kind}{self._crash_fault_count}"
        until = self._now() + CRASH_SECONDS
        sent = set()
        while self._now() < until:
            sent.add(asyncio.create_task(send(fault)))
            await pause(CRASH_INTERVAL_SECONDS)
        await asyncio.gather(*sent)

    async def change_config(self, seconds: float) -> None:
        """Write a config version that adds or removes a route and a key."""
        self._change_routes_and_keys()
        self._fleet.write_config()

    async def change_configs_quickly(self, seconds: float) -> None:
        """Write config versions faster than they can be applied one by one."""
        for _ in range(8):
            self._change_routes_and_keys()
            self._fleet.write_config()
            await pause(0.06)

    async def surge(self, seconds: float) -> None:
        """Triple the traffic."""
        self._traffic.rate_factor = 3.0
        await pause(seconds)
        self._traffic.rate_factor = 1.0

    async def _start_successor(self, engine: SoakEngine) -> None:
        """Start the engine that takes the place of one that leaves."""
        await self._fleet.add_engine(engine.service, engine.domain)
        del self._fleet.engine_by_id[engine.id]

    async def _end(self, engine: SoakEngine, fault: str) -> None:
        """Stop an engine that has left."""
        span = self._fleet.history.begin_fault(fault, ENGINES)
        self._fleet.deregister_engine(engine)
        await engine.stop()
        span.ended = self._now()

    async def _kill(self, vms: list[SoakVm], seconds: float) -> None:
        spans = [self._fleet.history.begin_fault("kill_vm", vm.name) for vm in vms]
        for vm in vms:
            vm.is_down = True
        await asyncio.gather(*(vm.gateway.process.kill() for vm in vms))
        await pause(seconds)
        await asyncio.gather(*(self._fleet.restart(vm) for vm in vms))
        for span in spans:
            span.ended = self._now()

    async def _replace(self, engine: SoakEngine, may_swap_service: bool) -> None:
        service = engine.service
        proxy = engine.proxy
        counts = [e.service for e in self._fleet.engine_by_id.values()]
        other = "chats" if service == "calls" else "calls"
        if (
            may_swap_service
            and counts.count(service) >= 2
            and self._random.random() < 0.5
        ):
            await self._fleet.add_engine(other, engine.domain, proxy)
            await self._fleet.add_engine(service, engine.domain)
            return
        await self._fleet.add_engine(service, engine.domain, proxy)

    def _change_routes_and_keys(self) -> None:
        fleet = self._fleet
        name = f"safe{self._random.randint(2, 9)}"
        if fleet.routes.pop(name, None) is None:
            fleet.routes[name] = {"kind": "safe", "max_attempts": 2, "service": "calls"}
        key = f"key-{self._random.randint(2, 9)}"
        if key in fleet.keys:
            fleet.keys.remove(key)
        else:
            fleet.keys.append(key)

    def _pick_vm(self) -> SoakVm | None:
        """Return a random running VM, or None if only two or fewer run."""
        running = [vm for vm in self._fleet.vms if not vm.is_down]
        return self._random.choice(running) if len(running) > 2 else None

    def _pick_engine(self) -> SoakEngine | None:
        """Return a random engine whose service has more than two, or None."""
        engines = list(self._fleet.engine_by_id.values())
        services = [engine.service for engine in engines]
        spare = [e for e in engines if services.count(e.service) > 2]
        return self._random.choice(spare) if spare else None

    def _heal_peers(self) -> None:
        for vm in self._fleet.vms:
            vm.peer_proxy.heal()

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()
