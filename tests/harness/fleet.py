"""A small fleet of real processes: failure domains, VMs, endpoints, platform.

Every connection between VMs and to an endpoint goes through a fault proxy, so that
each can be cut, delayed, dropped, or reset.

>>> async with Fleet(FleetShape(domains=3, vms_per_domain=2)) as fleet:
...     answer = await fleet.caller("d1-v1").chat("m", messages)
...     fleet.partition(["d1"], ["d2", "d3"])
"""

import asyncio
import json
from collections.abc import Iterable
from typing import Any

import aiohttp
import attrs

from dotterelpitch.documents.parsing import document_to_json
from dotterelpitch.load.caller import Caller
from tests.harness.members import FleetEndpoint, FleetVm
from tests.harness.ports import free_address
from tests.harness.processes import Process
from tests.harness.proxy import Direction, FaultProxy
from tests.harness.shape import (
    ACCOUNT_KEY,
    MODEL,
    SERVICE,
    FleetShape,
    first_document,
)
from tests.harness.waiting import eventually

__all__ = ["ACCOUNT_KEY", "MODEL", "SERVICE", "Fleet", "FleetShape"]

CLUSTER_KEY = "cluster-key"
READY_SECONDS = 30.0


class Fleet:
    """Starts, controls, and stops the processes and proxies of a fleet.

    An asynchronous context manager, which is entered once all routers are ready.
    """

    def __init__(self, shape: FleetShape | None = None) -> None:
        self.shape = shape or FleetShape()
        self.platform_address = free_address()
        self.platform = self._platform_process()
        self.vm_by_name: dict[str, FleetVm] = {}
        self.endpoint_by_name: dict[str, FleetEndpoint] = {}
        self.agents_by_vm: dict[str, list[Process]] = {}
        self.session: aiohttp.ClientSession | None = None
        for number in range(1, self.shape.domains + 1):
            extra = self.shape.extra_engines if number == 1 else 0
            self._create_domain(f"d{number}", extra)
        self.document = first_document(self.shape, self.endpoint_by_name.values())

    async def __aenter__(self) -> "Fleet":
        connector = aiohttp.TCPConnector(limit=0)
        self.session = aiohttp.ClientSession(connector=connector)
        try:
            await self._start()
        except BaseException as error:
            error.add_note(self.logs())
            await self.stop()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.stop()

    async def stop(self) -> None:
        """Kill all processes of this fleet and close its proxies and session."""
        processes = [self.platform]
        processes += [e.process for e in self.endpoint_by_name.values()]
        processes += [p for vm in self.vm_by_name.values() for p in vm.processes]
        await asyncio.gather(*(p.kill() for p in processes if p.running))
        for proxy in self.proxies():
            await proxy.stop()
        await self.session.close()

    def proxies(self) -> list[FaultProxy]:
        """Return the proxies of all VMs and endpoints."""
        vm_proxies = [proxy for vm in self.vm_by_name.values() for proxy in vm.proxies]
        return vm_proxies + [e.proxy for e in self.endpoint_by_name.values()]

    def caller(self, vm: str, key: str = ACCOUNT_KEY, timeout: float = 60.0) -> Caller:
        """Return a caller that uses the router of ``vm``; ``timeout`` is in seconds."""
        address = self.vm_by_name[vm].http_address
        return Caller(self.session, address, key, timeout)

    # Documents and the VM list.

    async def publish_document(self, **changes: Any) -> int:
        """Change the document, publish it, and return its revision."""
        self.document = attrs.evolve(self.document, **changes)
        body = json.loads(document_to_json(self.document))
        return await self._put(f"documents/{self.document.service}", body)

    async def publish_raw_document(self, service: str, body: Any) -> int:
        """Publish any JSON value as a document, valid or not; return its revision."""
        return await self._put(f"documents/{service}", body)

    async def publish_vms(self) -> int:
        """Publish the current VM list and return its revision."""
        entries = [vm.vm_entry() for vm in self.vm_by_name.values()]
        entries += [e.vm_entry() for e in self.endpoint_by_name.values()]
        return await self._put("vms", {"vms": entries})

    async def set_platform_faults(self, **faults: Any) -> None:
        """Replace the platform's faults; no arguments clear them."""
        await self.control(self.platform_address, "faults", faults)

    # Faults of VMs and connections.

    async def start_vm(self, name: str) -> None:
        """Start the agent and router of ``name`` without waiting for readiness."""
        vm = self.vm_by_name[name]
        vm.agent = Process(
            f"{name}-agent", "dotterelpitch.agent", self._agent_flags(vm)
        )
        vm.router = Process(
            f"{name}-router", "dotterelpitch.router", self._router_flags(vm)
        )
        self.agents_by_vm.setdefault(name, []).append(vm.agent)
        await vm.agent.start()
        await vm.router.start()

    async def kill_vm(self, name: str) -> None:
        """Kill the agent and router of ``name``."""
        await asyncio.gather(*(p.kill() for p in self.vm_by_name[name].processes))

    def pause_vm(self, name: str) -> None:
        """Suspend the agent and router of ``name``."""
        for process in self.vm_by_name[name].processes:
            process.pause()

    def resume_vm(self, name: str) -> None:
        """Resume the agent and router of ``name``."""
        for process in self.vm_by_name[name].processes:
            process.resume()

    async def add_vm(self, name: str, domain: str) -> FleetVm:
        """Add and start a VM; the VM list isn't published."""
        vm = self.vm_by_name[name] = FleetVm(name, domain)
        for proxy in vm.proxies:
            await proxy.start()
        await self.start_vm(name)
        return vm

    async def remove_vm(self, name: str) -> None:
        """Kill and remove VM ``name``; the VM list isn't published."""
        await self.kill_vm(name)
        vm = self.vm_by_name.pop(name)
        for proxy in vm.proxies:
            await proxy.stop()

    async def ready(self, *names: str, timeout: float = READY_SECONDS) -> None:
        """Wait until the routers of ``names``, or of all VMs, are ready.

        Raises AssertionError after ``timeout`` seconds.
        """
        waits = [self._wait_for_router(n, timeout) for n in names or self.vm_by_name]
        await asyncio.gather(*waits)

    def partition(self, *groups: Iterable[str]) -> None:
        """Cut all connections between VMs whose domains are in different groups."""
        group_by_domain = {
            domain: number for number, group in enumerate(groups) for domain in group
        }
        for source in self.vm_by_name.values():
            for target in self.vm_by_name.values():
                if group_by_domain[source.domain] != group_by_domain[target.domain]:
                    self.cut(source.name, target.name)

    def cut(self, source: str, target: str) -> None:
        """Hold all bytes from ``source`` to ``target``, but not the other way."""
        for proxy in self.vm_by_name[target].proxies:
            proxy.cut(source, Direction.FORWARD)
        for proxy in self.vm_by_name[source].proxies:
            proxy.cut(target, Direction.BACKWARD)

    def heal(self) -> None:
        """End the faults of all proxies."""
        for proxy in self.proxies():
            proxy.accept_again()
            proxy.heal()

    # Control interface of the stand-ins.

    async def control(self, address: str, path: str, body: Any = None) -> Any:
        """Return the JSON of ``/control/path`` of a stand-in; PUT ``body`` if given."""
        method = "GET" if body is None else "PUT"
        url = f"http://{address}/control/{path}"
        async with self.session.request(method, url, json=body) as response:
            response.raise_for_status()
            return await response.json()

    async def start_endpoint(self, name: str) -> None:
        """Restart a killed endpoint and wait until it answers."""
        endpoint = self.endpoint_by_name[name]
        await endpoint.process.start()
        await self._wait_for_endpoint(endpoint)

    async def engine_stats(self) -> dict[str, dict[str, Any]]:
        """Return the statistics of each running engine, by name."""
        return await self._reports("engine", "stats")

    async def executions(self) -> dict[str, dict[str, Any]]:
        """Return the execution report of each running plain service, by name."""
        return await self._reports("plain", "executions")

    async def executions_by_key(self) -> dict[str, int]:
        """Return the number of executions by idempotency key, over all services."""
        total: dict[str, int] = {}
        for report in (await self.executions()).values():
            for key, count in report["count_by_key"].items():
                total[key] = total.get(key, 0) + count
        return total

    def logs(self) -> str:
        """Return the log lines of all processes, for failure messages."""
        processes = [p for vm in self.vm_by_name.values() for p in vm.processes]
        processes += [e.process for e in self.endpoint_by_name.values()]
        processes.append(self.platform)
        return "\n".join(f"== {p.name}\n{p.log()}" for p in processes)

    async def _reports(self, kind: str, path: str) -> dict[str, dict[str, Any]]:
        endpoints = [
            e
            for e in self.endpoint_by_name.values()
            if e.kind == kind and e.process.running
        ]
        reports = await asyncio.gather(
            *(self.control(e.address, path) for e in endpoints)
        )
        return {e.name: r for e, r in zip(endpoints, reports, strict=True)}

    async def _put(self, path: str, body: Any) -> int:
        return (await self.control(self.platform_address, path, body))["revision"]

    async def _start(self) -> None:
        await asyncio.gather(*(proxy.start() for proxy in self.proxies()))
        endpoints = list(self.endpoint_by_name.values())
        processes = [self.platform, *(e.process for e in endpoints)]
        await asyncio.gather(*(p.start() for p in processes))
        await eventually(self._read_platform_stats, READY_SECONDS, "platform up")
        self.document = first_document(self.shape, self.endpoint_by_name.values())
        await self.publish_vms()
        await self.publish_document()
        await asyncio.gather(*(self.start_vm(name) for name in self.vm_by_name))
        await asyncio.gather(*(self._wait_for_endpoint(e) for e in endpoints))
        await self.ready()

    async def _read_platform_stats(self) -> Any:
        return await self.control(self.platform_address, "stats")

    async def _wait_for_endpoint(self, endpoint: FleetEndpoint) -> None:
        path = {"engine": "stats", "plain": "executions"}[endpoint.kind]
        await eventually(
            lambda: self.control(endpoint.address, path),
            READY_SECONDS,
            f"{endpoint.name} up",
        )

    async def _wait_for_router(self, name: str, timeout: float) -> None:
        url = f"http://{self.vm_by_name[name].http_address}/readyz"

        async def ready() -> bool:
            async with self.session.get(url) as response:
                return response.status == 200

        await eventually(ready, timeout, f"{name} ready")

    def _create_domain(self, domain: str, extra_engines: int) -> None:
        shape = self.shape
        for number in range(1, shape.vms_per_domain + 1):
            name = f"{domain}-v{number}"
            self.vm_by_name[name] = FleetVm(name, domain, shape.proxied)
        endpoint_plan = [
            ("engine", shape.engines_per_domain + extra_engines, shape.engine_flags),
            ("plain", shape.plains_per_domain, shape.plain_flags),
        ]
        for kind, count, flags in endpoint_plan:
            for number in range(1, count + 1):
                name = f"{domain}-{kind[0]}{number}"
                endpoint = FleetEndpoint(name, domain, kind, flags)
                self.endpoint_by_name[name] = endpoint

    def _platform_process(self) -> Process:
        flags = {"listen": self.platform_address}
        return Process("platform", "dotterelpitch.standins", flags, "platform")

    def _agent_flags(self, vm: FleetVm) -> dict[str, Any]:
        return {
            "vm_name": vm.name,
            "failure_domain": vm.domain,
            "listen": vm.agent_proxy.target,
            "platform": self.platform_address,
            "services": self.document.service,
            "cluster_key": CLUSTER_KEY,
            **self.shape.agent_flags,
        }

    def _router_flags(self, vm: FleetVm) -> dict[str, Any]:
        return {
            "vm_name": vm.name,
            "failure_domain": vm.domain,
            "inner_listen": vm.router_proxy.target,
            "http_listen": vm.http_address,
            "agent": vm.agent_proxy.target,
            "cluster_key": CLUSTER_KEY,
            **self.shape.router_flags,
        }
