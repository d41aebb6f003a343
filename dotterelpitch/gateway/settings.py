"""The settings of the gateway that are the product's own."""

from attrs import frozen

from dotterelpitch.settings import check_log_level, check_positive, setting


@frozen
class GatewaySettings:
    """Flags and variables of ``dotterelpitch-gateway``."""

    settings: str = setting("Path of the settings file that the platform writes.")
    log_level: str = setting(
        "Least level of the events logged.", "INFO", check_log_level
    )
    cluster_key: str = setting(
        "Shared key of the processes of one fleet; empty trusts the network.",
        "",
        secret=True,
    )
    watch_seconds: float = setting(
        "Longest wait of one watch on the store.", 1.5, check_positive
    )
    digest_seconds: float = setting(
        "Time between two digests to a peer.", 0.25, check_positive
    )
    log_lines_per_second: int = setting(
        "Lines logged per second before lines of requests are left out.",
        400,
        check_positive,
    )
