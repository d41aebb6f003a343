"""The faults of a soak, one class each.

The class names are part of the reports, and the prefixes ``Platform`` and ``Cut``
mark faults that exclude each other and that delay documents.
"""

import random
import time
from abc import ABC, abstractmethod

from tests.harness.fleet import Fleet
from tests.harness.proxy import Direction
from tests.harness.soak.history import FaultSpan, History
from tests.harness.soak.traffic import Traffic

READY_SECONDS = 30.0
STOP_SECONDS = 60.0
SURGE_FACTOR = 6


class Fault(ABC):
    """Base class of faults.

    ``target`` is chosen when the fault begins, and empty if no VM can be spared.
    """

    def __init__(self, fleet: Fleet, traffic: Traffic, history: History, seed) -> None:
        self.fleet = fleet
        self.traffic = traffic
        self.history = history
        self.random = random.Random(seed)
        self.target = ""

    @property
    def name(self) -> str:
        """The class name, which identifies the kind of fault in reports."""
        return type(self).__name__

    @abstractmethod
    async def begin(self) -> None:
        """Choose a target and inject the fault."""

    @abstractmethod
    async def end(self) -> None:
        """End the fault."""

    def pick_vm(self) -> str:
        """Take a VM out of the load balancer and return its name.

        Return an empty string if only two VMs or fewer are in the load balancer.
        """
        names = sorted(self.traffic.balanced_vms)
        if len(names) <= 2:
            return ""
        name = self.random.choice(names)
        self.traffic.balanced_vms.discard(name)
        return name

    def pick_engine(self) -> str:
        """Return the name of an engine that runs and is listed as live."""
        engines = [
            e.name
            for e in self.fleet.endpoint_by_name.values()
            if e.kind == "engine" and e.state == "live" and e.process.running
        ]
        return self.random.choice(sorted(engines))

    async def return_to_balancer(self) -> None:
        """Return the target to the load balancer once its router is ready.

        Records a target that isn't ready after ``READY_SECONDS``.
        """
        self.history.restart_count += 1
        try:
            await self.fleet.ready(self.target, timeout=READY_SECONDS)
        except AssertionError:
            self.history.not_ready.append(f"{self.name} {self.target}")
            return
        self.traffic.balanced_vms.add(self.target)


class KillVm(Fault):
    """Kills the agent and router of a VM; restarts them at the same addresses."""

    async def begin(self) -> None:
        self.target = self.pick_vm()
        if self.target:
            await self.fleet.kill_vm(self.target)

    async def end(self) -> None:
        if self.target:
            await self.fleet.start_vm(self.target)
            await self.return_to_balancer()


class FreezeVm(Fault):
    """Suspends a VM, after taking it out of the load balancer, and resumes it."""

    async def begin(self) -> None:
        self.target = self.pick_vm()
        if self.target:
            self.fleet.pause_vm(self.target)

    async def end(self) -> None:
        if self.target:
            self.fleet.resume_vm(self.target)
            await self.return_to_balancer()


class CutDomain(Fault):
    """Partitions one failure domain from the others."""

    async def begin(self) -> None:
        domains = sorted({vm.domain for vm in self.fleet.vm_by_name.values()})
        self.target = self.random.choice(domains)
        others = [domain for domain in domains if domain != self.target]
        self.fleet.partition([self.target], others)

    async def end(self) -> None:
        for vm in self.fleet.vm_by_name.values():
            for proxy in vm.proxies:
                proxy.heal()


class CutOneWay(Fault):
    """Holds the bytes that one VM sends to another, but not the reverse direction."""

    async def begin(self) -> None:
        source, target = self.random.sample(sorted(self.fleet.vm_by_name), 2)
        self.target = f"{source}>{target}"
        self.fleet.cut(source, target)

    async def end(self) -> None:
        source, _, target = self.target.partition(">")
        for proxy in self._proxies(target):
            proxy.heal(source, Direction.FORWARD)
        for proxy in self._proxies(source):
            proxy.heal(target, Direction.BACKWARD)

    def _proxies(self, name: str) -> tuple:
        vm = self.fleet.vm_by_name.get(name)
        return vm.proxies if vm else ()


class PlatformDown(Fault):
    """Makes the platform answer every request with 503."""

    async def begin(self) -> None:
        self.target = "platform"
        await self.fleet.set_platform_faults(down=True)

    async def end(self) -> None:
        await self.fleet.set_platform_faults()


class PlatformStale(Fault):
    """Makes the platform serve an earlier revision."""

    async def begin(self) -> None:
        self.target = "platform"
        stats = await self.fleet.control(self.fleet.platform_address, "stats")
        earlier = max(2, stats["revision"] - self.random.randint(0, 2))
        await self.fleet.set_platform_faults(stale_revision=earlier)

    async def end(self) -> None:
        await self.fleet.set_platform_faults()


class FlapEngine(Fault):
    """Refuses all connections to an engine, then accepts and resets them once."""

    async def begin(self) -> None:
        self.target = self.pick_engine()
        self.fleet.endpoint_by_name[self.target].proxy.refuse()

    async def end(self) -> None:
        proxy = self.fleet.endpoint_by_name[self.target].proxy
        proxy.accept_again()
        proxy.reset()


class KillEngine(Fault):
    """Kills and restarts an engine's process, which loses its streams and cache."""

    async def begin(self) -> None:
        self.target = self.pick_engine()
        await self.fleet.endpoint_by_name[self.target].process.kill()

    async def end(self) -> None:
        await self.fleet.start_endpoint(self.target)


class ChangeDocument(Fault):
    """Publishes the document with another load bound."""

    async def begin(self) -> None:
        self.target = "document"
        bound = self.random.choice([1.25, 1.3, 1.5])
        revision = await self.fleet.publish_document(load_bound=bound)
        self.history.published.append((time.time(), revision))

    async def end(self) -> None:
        pass


class LeavingEngine(Fault):
    """Lists an engine as leaving, and later as live again."""

    def __init__(self, *arguments) -> None:
        super().__init__(*arguments)
        self._span: FaultSpan | None = None

    async def begin(self) -> None:
        self.target = self.pick_engine()
        self.fleet.endpoint_by_name[self.target].state = "leaving"
        await self.fleet.publish_vms()
        self._span = FaultSpan(self.name, self.target, time.time())
        self.history.leaving.append(self._span)

    async def end(self) -> None:
        self._span.ended = time.time()
        self.fleet.endpoint_by_name[self.target].state = "live"
        await self.fleet.publish_vms()


class ReplaceVm(Fault):
    """Lists a VM as leaving, stops it, and replaces it with a new one."""

    async def begin(self) -> None:
        self.target = self.pick_vm()
        if not self.target:
            return
        vm = self.fleet.vm_by_name[self.target]
        vm.state = "leaving"
        await self.fleet.publish_vms()
        span = FaultSpan(self.name, self.target, time.time())
        self.history.planned_stops.append(span)
        code = await vm.router.terminate(STOP_SECONDS)
        span.ended = time.time()
        self.history.stop_exit_codes.append(code)
        await vm.agent.terminate(STOP_SECONDS)

    async def end(self) -> None:
        if not self.target:
            return
        domain = self.fleet.vm_by_name[self.target].domain
        await self.fleet.remove_vm(self.target)
        base, _, generation = self.target.partition("x")
        self.target = f"{base}x{int(generation or 0) + 1}"
        await self.fleet.add_vm(self.target, domain)
        await self.fleet.publish_vms()
        await self.return_to_balancer()


class Surge(Fault):
    """Multiplies the load of one client account."""

    async def begin(self) -> None:
        self.target = "surge account"
        self.traffic.surge_factor = SURGE_FACTOR

    async def end(self) -> None:
        self.traffic.surge_factor = 0


FAULTS: tuple[type[Fault], ...] = (
    KillVm,
    FreezeVm,
    CutDomain,
    CutOneWay,
    PlatformDown,
    PlatformStale,
    FlapEngine,
    KillEngine,
    ChangeDocument,
    LeavingEngine,
    ReplaceVm,
    Surge,
)
