"""A fleet of gateways in several failure domains, with a fault proxy on each link."""

import asyncio
import contextlib
import random
import signal
import time
from pathlib import Path

import aiohttp
import attrs

from tests.harness.gateway_fleet import GatewayProcess, make_config
from tests.harness.gateway_soak.engine import SoakEngine
from tests.harness.gateway_soak.history import (
    BASE_KEY,
    ENGINES,
    ConfigVersion,
    EvacuationSpan,
    History,
)
from tests.harness.platform_store import PlatformStore
from tests.harness.ports import free_address
from tests.harness.proxy import FaultProxy
from tests.harness.source_proxy import SourceProxy
from tests.harness.waiting import pause

DOMAINS = "abc"
MESH_VMS = 3
BASE_ROUTES = {
    "safe": {"kind": "safe", "max_attempts": 2, "service": "calls"},
    "unsafe": {"kind": "unsafe", "max_attempts": 1, "service": "calls"},
    "stream": {
        "kind": "streaming",
        "max_attempts": 1,
        "service": "chats",
        "session_affinity": True,
    },
    "resumable": {
        "kind": "streaming",
        "max_attempts": 2,
        "service": "chats",
        "stream_resume": True,
        "session_affinity": True,
    },
}
RETRY_SHARE = 0.2
RETRY_SLACK = 40
DRAIN_SECONDS = 2.0
READY_CHECK_SECONDS = 0.5
# For so many of the starts the settings change meanwhile.
RELOAD_AT_START_SHARE = 0.5
# How long an engine is down that a request has crashed.
CRASH_SECONDS_RANGE = (0.5, 3.0)


@attrs.define
class SoakVm:
    """A VM with its gateway and the proxies to the store and to its peer port.

    ``is_down`` is set while the gateway is stopped or suspended, and
    ``failed_ready_checks`` counts the latest failed checks in a row.
    """

    name: str
    domain: str
    gateway: GatewayProcess
    store_proxy: FaultProxy
    peer_proxy: FaultProxy
    is_down: bool = False
    failed_ready_checks: int = 0

    def is_serving(self) -> bool:
        """Return whether the current process has logged its start.

        Before that the interpreter may still be importing modules, and a SIGTERM
        ends the process with exit code -15 instead of an orderly stop.
        """
        process = self.gateway.process
        starts = process.events(101)
        return bool(starts) and starts[-1]["logged_at"] >= process.started_at

    @property
    def in_rotation(self) -> bool:
        """Whether the load balancer sends new connections here."""
        return self.failed_ready_checks < 2


class SoakFleet:
    """A gateway fleet, its engines and store, and a simulated load balancer."""

    def __init__(self, folder: Path, vm_count: int, seed: int) -> None:
        self.history = History()
        self.random = random.Random(seed)
        self.store = PlatformStore(page_size=50)
        self.vms: list[SoakVm] = []
        self.engine_by_id: dict[str, SoakEngine] = {}
        self.routes = dict(BASE_ROUTES)
        self.keys = [BASE_KEY]
        self._vm_count = vm_count
        self._folder = folder
        self._version = 0
        self._engine_count = 0
        self._config: dict = {}
        self._state_by_engine: dict[str, str] = {}
        self._balancer: asyncio.Task | None = None
        self._crash_tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Start all processes and wait until all gateways are ready."""
        await self.store.start(free_address())
        self.write_config()
        for service, count in (("calls", 3), ("chats", 3)):
            for number in range(count):
                await self.add_engine(service, DOMAINS[number % len(DOMAINS)])
        for number in range(self._vm_count):
            await self._add_vm(f"vm{number + 1}", DOMAINS[number % len(DOMAINS)])
        for vm in self.vms:
            await vm.gateway.process.start()
        for vm in self.vms:
            await vm.gateway.wait_ready()
        self._balancer = asyncio.create_task(self._poll_readiness())

    async def stop(self) -> None:
        """Stop everything that this fleet started."""
        if self._balancer is not None:
            self._balancer.cancel()
        for task in self._crash_tasks:
            task.cancel()
        for vm in self.vms:
            await vm.gateway.process.kill()
            await vm.store_proxy.stop()
            await vm.peer_proxy.stop()
        for engine in self.engine_by_id.values():
            await engine.stop()
            await engine.proxy.stop()
        await self.store.stop()

    def vm(self, name: str) -> SoakVm:
        """Return the VM called ``name``."""
        return next(vm for vm in self.vms if vm.name == name)

    def write_config(self) -> None:
        """Write a new config version with the current routes and keys."""
        self._version += self.random.randint(1, 5)
        content = make_config(self._version, self.routes, tuple(self.keys))
        content["services"] = [
            {"name": name, "max_conns": 200} for name in ("calls", "chats")
        ]
        self._config = content
        self.store.put("op/config", content)
        self.history.configs.append(
            ConfigVersion(
                self._version,
                time.monotonic(),
                frozenset(self.routes),
                frozenset(self.keys),
            )
        )

    async def add_engine(
        self, service: str, domain: str, proxy: FaultProxy | None = None
    ) -> SoakEngine:
        """Start and register a new engine, at the address of ``proxy`` if given."""
        self._engine_count += 1
        engine = SoakEngine(
            f"e{self._engine_count}", service, domain, self.history, self._crash_engine
        )
        address = free_address()
        new_proxy = proxy or SourceProxy(address, self._name_by_pid, engine.id)
        await engine.start(address, new_proxy)
        if proxy is not None:
            proxy.accept_again()
        self.engine_by_id[engine.id] = engine
        self.register_engine(engine)
        return engine

    def _name_by_pid(self) -> dict[int, str]:
        """Return the names of the VMs by the process ids of their gateways."""
        processes = (vm.gateway.process for vm in self.vms)
        return {p.pid: p.name for p in processes if p.running}

    def register_engine(self, engine: SoakEngine, state: str = "ready") -> None:
        """Write an engine's record to the store."""
        self._state_by_engine[engine.id] = state
        self.store.put(f"servers/{engine.id}", engine.store_record(state))

    def evacuate(self, domain: str) -> EvacuationSpan:
        """Ask that the engines of a failure domain get nothing."""
        span = EvacuationSpan(domain, time.monotonic())
        self.history.evacuations.append(span)
        self.store.put(f"op/evacuate/{domain}", {})
        return span

    def take_back(self, span: EvacuationSpan) -> None:
        """Take an evacuation back."""
        span.ended = time.monotonic()
        self.store.delete(f"op/evacuate/{span.domain}")

    def write_records_again(self) -> None:
        """Write what the store has lost again: config, engines, and evacuations."""
        self.store.put("op/config", self._config)
        for span in self.history.evacuations:
            if span.ended < float("inf"):
                self.store.delete(f"op/evacuate/{span.domain}")
        for span in self.history.evacuations:
            if span.ended == float("inf"):
                self.store.put(f"op/evacuate/{span.domain}", {})
        for engine_id, state in list(self._state_by_engine.items()):
            self.register_engine(self.engine_by_id[engine_id], state)

    def deregister_engine(self, engine: SoakEngine) -> None:
        """Delete an engine's record from the store."""
        self._state_by_engine.pop(engine.id, None)
        self.store.delete(f"servers/{engine.id}")

    async def restart(self, vm: SoakVm) -> None:
        """Start the process of a VM again and wait until it is ready or a timeout.

        For half of the starts the settings change while the process starts.
        """
        await vm.gateway.process.start()
        vm.is_down = False
        if self.random.random() < RELOAD_AT_START_SHARE:
            await vm.gateway.process.wait_takes_stops()
            self.reload(vm, with_signal=True)
        with contextlib.suppress(AssertionError):
            await vm.gateway.wait_ready()

    def reload(self, vm: SoakVm, with_signal: bool) -> None:
        """Write other seeds to the settings file of a VM and optionally send SIGHUP."""
        seeds = self.random.sample([v.peer_proxy.address for v in self.vms], 2)
        self._write_settings(vm, seeds)
        if with_signal:
            vm.gateway.process.send_signal(signal.SIGHUP)

    def _crash_engine(self, engine: SoakEngine) -> None:
        """End the run of an engine, visibly or in silence, and start it again later."""
        if self.random.random() < 0.5:
            engine.proxy.refuse()
        else:
            engine.proxy.cut()
        task = asyncio.create_task(self._return_engine(engine))
        self._crash_tasks.add(task)
        task.add_done_callback(self._crash_tasks.discard)

    async def _return_engine(self, engine: SoakEngine) -> None:
        span = self.history.begin_fault("crash_engine", ENGINES)
        await pause(self.random.uniform(*CRASH_SECONDS_RANGE))
        if self.engine_by_id.get(engine.id) is engine:
            engine.started_ms = int(time.time() * 1000)
            engine.proxy.reset()
            engine.proxy.heal()
            engine.proxy.accept_again()
            self.register_engine(engine)
        span.ended = time.monotonic()

    async def _add_vm(self, name: str, domain: str) -> None:
        gateway = GatewayProcess(
            name, self._folder, free_address(), [], mesh_vms=MESH_VMS
        )
        store_proxy = FaultProxy(self.store.address)
        peer_proxy = FaultProxy(gateway.peer_address)
        await store_proxy.start()
        await peer_proxy.start()
        gateway.process.add_flag("peer_address", peer_proxy.address)
        vm = SoakVm(name, domain, gateway, store_proxy, peer_proxy)
        self.vms.append(vm)
        self._write_settings(vm, [v.peer_proxy.address for v in self.vms[:3]])

    def _write_settings(self, vm: SoakVm, seeds: list[str]) -> None:
        vm.gateway.write_settings(
            vm.store_proxy.address,
            seeds,
            zone=vm.domain,
            bounds={
                "grace_s": 5,
                "retry_budget": RETRY_SHARE,
                "retry_slack": RETRY_SLACK,
                "budget_window_s": 10,
                "drain_ms": DRAIN_SECONDS * 1000,
            },
        )

    async def _poll_readiness(self) -> None:
        """Poll the readiness of each gateway, as the load balancer does."""
        while True:
            await asyncio.gather(*(self._check_ready(vm) for vm in self.vms))
            await pause(READY_CHECK_SECONDS)

    async def _check_ready(self, vm: SoakVm) -> None:
        try:
            async with asyncio.timeout(READY_CHECK_SECONDS):
                status = await vm.gateway.ready_status()
        except (aiohttp.ClientError, TimeoutError, OSError):
            status = 0
        vm.failed_ready_checks = 0 if status == 200 else vm.failed_ready_checks + 1
        process = vm.gateway.process
        if not vm.is_down and not process.running:
            self.history.unexpected_exits.append(vm.name)
            vm.is_down = True
