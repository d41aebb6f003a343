"""The platform's list of VMs, as attrs classes."""

from enum import StrEnum

from attrs import field, frozen


class VmState(StrEnum):
    """What the platform says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


class VmRole(StrEnum):
    """Whether a VM runs this system or an endpoint."""

    ENTRY = "entry"
    ENDPOINT = "endpoint"


@frozen
class Vm:
    """One listed VM; an entry VM carries its agent's and router's addresses.

    Addresses are ``IP:port``. ``agent_address`` and ``router_address`` speak
    the inner protocol; ``http_address`` is the router's side for callers.
    """

    name: str
    failure_domain: str
    role: VmRole = VmRole.ENTRY
    state: VmState = VmState.LIVE
    agent_address: str = ""
    router_address: str = ""
    http_address: str = ""


@frozen
class VmList:
    """The list at one revision of the platform."""

    revision: int = 0
    vms: list[Vm] = field(factory=list)

    def by_name(self) -> dict[str, Vm]:
        """Return the listed VMs by name."""
        return {vm.name: vm for vm in self.vms}

    def live_entry_vms(self, failure_domain: str | None = None) -> list[Vm]:
        """Return the live entry VMs, of one failure domain or of all."""
        return [
            vm
            for vm in self.vms
            if vm.role is VmRole.ENTRY
            and vm.state is VmState.LIVE
            and failure_domain in (None, vm.failure_domain)
        ]

    def entry_vms(self) -> list[Vm]:
        """Return all entry VMs, those that are leaving too."""
        return [vm for vm in self.vms if vm.role is VmRole.ENTRY]

    def leaving_endpoints(self) -> set[str]:
        """Return the names of the endpoint VMs that are leaving."""
        return {
            vm.name
            for vm in self.vms
            if vm.role is VmRole.ENDPOINT and vm.state is VmState.LEAVING
        }
