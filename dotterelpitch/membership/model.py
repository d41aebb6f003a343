"""The platform's list of VMs, as attrs classes."""

from enum import StrEnum

from attrs import field, frozen


class VmState(StrEnum):
    """The state of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class VmRole(StrEnum):
    """Whether a VM runs this system or an endpoint."""

    ENTRY = "entry"
    ENDPOINT = "endpoint"


@frozen
class Vm:
    """One listed VM, with the addresses of its processes if it is an entry VM.

    Addresses are ``IP:port``. The agent and router serve the internal protocol at
    ``agent_address`` and ``router_address``; callers use ``http_address``.
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
    """The platform's list of VMs at one revision."""

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
        """Return all entry VMs, including those that are leaving."""
        return [vm for vm in self.vms if vm.role is VmRole.ENTRY]

    def leaving_endpoints(self) -> set[str]:
        """Return the names of the endpoint VMs that are leaving."""
        return {
            vm.name
            for vm in self.vms
            if vm.role is VmRole.ENDPOINT and vm.state is VmState.LEAVING
        }
