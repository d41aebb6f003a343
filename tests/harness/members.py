"""The members of a fleet: entry VMs and endpoints, each behind fault proxies."""

from tests.harness.ports import free_address
from tests.harness.processes import Process
from tests.harness.proxy import FaultProxy


class FleetVm:
    """An entry VM: an agent and a router, each behind a fault proxy.

    If ``proxied`` is False, the VM list names the processes' own addresses.
    """

    def __init__(self, name: str, domain: str, proxied: bool = True) -> None:
        self.name = name
        self.domain = domain
        self.state = "live"
        self.http_address = free_address()
        self.proxied = proxied
        self.agent_proxy = FaultProxy(free_address(), f"{name}-agent")
        self.router_proxy = FaultProxy(free_address(), f"{name}-router")
        self.agent: Process | None = None
        self.router: Process | None = None

    @property
    def proxies(self) -> tuple[FaultProxy, FaultProxy]:
        """The proxies in front of this VM's two processes."""
        return self.agent_proxy, self.router_proxy

    @property
    def processes(self) -> list[Process]:
        """The processes that have been started, agent first."""
        return [p for p in (self.agent, self.router) if p is not None]

    def vm_entry(self) -> dict[str, str]:
        """Return the VM's entry in the platform's VM list."""
        return {
            "name": self.name,
            "failure_domain": self.domain,
            "role": "entry",
            "state": self.state,
            "agent_address": self._published_address(self.agent_proxy),
            "router_address": self._published_address(self.router_proxy),
            "http_address": self.http_address,
        }

    def _published_address(self, proxy: FaultProxy) -> str:
        return proxy.address if self.proxied else proxy.target


class FleetEndpoint:
    """An endpoint behind a fault proxy; ``kind`` is ``engine`` or ``plain``."""

    def __init__(self, name: str, domain: str, kind: str, flags: dict) -> None:
        self.name = name
        self.domain = domain
        self.kind = kind
        self.state = "live"
        self.address = free_address()
        self.proxy = FaultProxy(self.address, name)
        flags = {"listen": self.address, "name": name, **flags}
        self.process = Process(name, "dotterelpitch.standins", flags, kind)

    def vm_entry(self) -> dict[str, str]:
        """Return the endpoint's entry in the platform's VM list."""
        return {
            "name": self.name,
            "failure_domain": self.domain,
            "role": "endpoint",
            "state": self.state,
        }
