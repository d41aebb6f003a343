"""Settings of the gateway process, apart from the platform's settings file."""

from attrs import frozen

from dotterelpitch.gateway.relay_selection import MAX_MESH_VMS
from dotterelpitch.settings import check_log_level, check_positive, setting


@frozen
class GatewaySettings:
    """Flags and environment variables of ``dotterelpitch-gateway``."""

    settings: str = setting("path of the settings file written by the platform")
    log_level: str = setting(
        "minimum level of logged events: DEBUG, INFO, WARNING, or ERROR",
        "INFO",
        check_log_level,
    )
    cluster_key: str = setting(
        "shared key of all gateways of the fleet; if empty, the network is trusted",
        "",
        secret=True,
    )
    peer_address: str = setting(
        "IP:port to which peers connect; the listen address if empty", ""
    )
    watch_seconds: float = setting(
        "maximum seconds that one watch on the store waits for a change; less where "
        "the deployment's bounds need it",
        1.5,
        check_positive,
    )
    digest_seconds: float = setting(
        "maximum seconds between two digests to a peer, likewise", 0.25, check_positive
    )
    mesh_vms: int = setting(
        "largest number of VMs at which all gateways form a full mesh",
        MAX_MESH_VMS,
        check_positive,
    )
    learn_engine_speeds: bool = setting(
        "send engines that take longer than others less, as all VMs see them", True
    )
    metrics_port: int = setting(
        "port on which to serve /metrics at the VM's own address", 9464, check_positive
    )
    log_lines_per_second: int = setting(
        "log lines per second above which lines about single requests are dropped",
        400,
        check_positive,
    )
