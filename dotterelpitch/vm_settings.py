"""What the platform tells a process of its VM and of the deployment's bounds."""

from attrs import frozen

from dotterelpitch.routing.cold_engines import ColdTolerance


@frozen
class FleetBounds:
    """The bounds that this deployment must keep; times are in seconds.

    In each window of ``retry_window_s``, all VMs together may retry a share of
    ``retry_share`` of the requests to a service, plus ``retry_slack`` requests.
    ``stop_grace_s`` bounds the planned stop of a process, and ``drain_s`` is the
    drain time of leaving engines, within which no VM sends to one any more. Within
    ``config_apply_s`` a config is in force at all VMs, and within ``evacuate_s`` the
    evacuation of a failure domain. So long after the store's return, ``contact_s``, all
    these hold again. ``cold_tolerance`` is what cold engines may get over
    their limit.
    """

    retry_share: float
    retry_slack: float
    retry_window_s: float
    stop_grace_s: float
    drain_s: float
    config_apply_s: float
    evacuate_s: float
    contact_s: float
    load_multiple: float
    cold_tolerance: ColdTolerance

    @property
    def store_change_s(self) -> float:
        """The seconds within which all VMs must act by any change of the store."""
        return min(self.drain_s, self.config_apply_s, self.evacuate_s)


@frozen
class VmSettings:
    """The identity of this process, its addresses, and its resources.

    Addresses are ``IP:port``. ``peer_listen`` is where the other VMs reach this
    process; ``seeds`` are such addresses of up to three VMs, any of which may no
    longer exist. ``descriptors`` is how many files and sockets the process may open,
    0 if that isn't known. The names of changed fields are logged when the file is
    reloaded.
    """

    vm_name: str
    failure_domain: str
    caller_listen: str
    ready_listen: str
    peer_listen: str
    seeds: tuple[str, ...]
    store_address: str
    ip: str
    memory_mb: int
    descriptors: int
    link_mbps: int
    promises: FleetBounds
