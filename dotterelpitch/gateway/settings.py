"""The settings of the gateway that are the product's own."""

from attrs import frozen

from dotterelpitch.gateway.relay_selection import MAX_MESH_VMS
from dotterelpitch.settings import check_log_level, check_positive, setting


@frozen
class GatewaySettings:
    """Flags and variables of ``dotterelpitch-gateway``."""

    settings: str = setting("path of the settings file that the platform writes")
    log_level: str = setting("lowest level of logged events", "INFO", check_log_level)
    cluster_key: str = setting(
        "shared key of the gateways of one fleet; without one the network is trusted",
        "",
        secret=True,
    )
    peer_address: str = setting(
        "address that peers dial, if it isn't the one listened on", ""
    )
    watch_seconds: float = setting(
        "longest wait of one watch on the store", 1.5, check_positive
    )
    digest_seconds: float = setting(
        "time between two digests to a peer", 0.25, check_positive
    )
    mesh_vms: int = setting(
        "largest fleet in which every gateway is linked with every other",
        MAX_MESH_VMS,
        check_positive,
    )
    metrics_port: int = setting(
        "port on this VM's own address that serves /metrics", 9464, check_positive
    )
    log_lines_per_second: int = setting(
        "lines logged in a second before those of single requests are left out",
        400,
        check_positive,
    )
