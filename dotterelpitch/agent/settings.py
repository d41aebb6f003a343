"""The settings of ``dotterelpitch-agent``."""

import attrs

from dotterelpitch.settings import (
    check_address,
    check_addresses,
    check_optional_address,
    check_positive,
    setting,
)
from dotterelpitch.vm_process_settings import VmProcessSettings


@attrs.frozen(kw_only=True)
class AgentSettings(VmProcessSettings):
    """The settings of one agent. All else comes from the platform and its peers."""

    listen: str = setting("IP:port for the inner protocol", check=check_address)
    platform: str = setting("IP:port of the platform's service", check=check_address)
    services: tuple[str, ...] = setting(
        "comma-separated services whose documents to read"
    )
    seeds: tuple[str, ...] = setting(
        "comma-separated agents (IP:port) to query at start if the platform is down",
        default=(),
        check=check_addresses,
    )
    watch_seconds: float = setting(
        "longest wait in seconds of one long poll of the platform",
        default=20.0,
        check=check_positive,
    )
    retry_seconds: float = setting(
        "seconds to wait after a failed platform read",
        default=0.5,
        check=check_positive,
    )
    gossip_bytes_per_second: float = setting(
        "limit on the traffic to other agents, except documents",
        default=2500.0,
        check=check_positive,
    )
    grace_seconds: float = setting(
        "seconds to wait for this VM's routers at a graceful shutdown",
        default=900.0,
        check=check_positive,
    )
    weight_loads_per_minute: float = setting(
        "limit on loads of models and adapters per minute in one failure domain",
        default=12.0,
        check=check_positive,
    )
    metrics_listen: str = setting(
        "IP:port for /metrics; not served when empty",
        default="",
        check=check_optional_address,
    )
