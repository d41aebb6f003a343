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

    listen: str = setting(
        "IP:port on which to serve the inner protocol", check=check_address
    )
    platform: str = setting("IP:port of the platform's service", check=check_address)
    services: tuple[str, ...] = setting(
        "comma-separated services whose documents are read from the platform"
    )
    seeds: tuple[str, ...] = setting(
        "comma-separated agents (IP:port) to query at startup if the platform is down",
        default=(),
        check=check_addresses,
    )
    watch_seconds: float = setting(
        "maximum seconds that one long poll of the platform waits for a change",
        default=20.0,
        check=check_positive,
    )
    retry_seconds: float = setting(
        "seconds to wait after a failed read from the platform",
        default=0.5,
        check=check_positive,
    )
    gossip_bytes_per_second: float = setting(
        "maximum bytes per second of traffic to other agents, except documents",
        default=2500.0,
        check=check_positive,
    )
    grace_seconds: float = setting(
        "maximum seconds to wait for this VM's routers at a graceful shutdown",
        default=900.0,
        check=check_positive,
    )
    weight_loads_per_minute: float = setting(
        "maximum loads of models and adapters per minute in one failure domain",
        default=12.0,
        check=check_positive,
    )
    metrics_listen: str = setting(
        "IP:port on which to serve /metrics; not served if empty",
        default="",
        check=check_optional_address,
    )
