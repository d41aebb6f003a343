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
    """What an agent must be told; everything else it learns."""

    listen: str = setting("IP:port for the inner protocol", check=check_address)
    platform: str = setting("IP:port of the platform's service", check=check_address)
    services: tuple[str, ...] = setting("services whose documents to read, by comma")
    seeds: tuple[str, ...] = setting(
        "agents (IP:port, by comma) to ask at the start when the platform is down",
        default=(),
        check=check_addresses,
    )
    watch_seconds: float = setting(
        "longest wait of one platform watch", default=20.0, check=check_positive
    )
    retry_seconds: float = setting(
        "pause after a failed platform read", default=0.5, check=check_positive
    )
    gossip_bytes_per_second: float = setting(
        "limit on what the agent sends to its peers, documents apart",
        default=2500.0,
        check=check_positive,
    )
    grace_seconds: float = setting(
        "longest wait for this VM's routers at a planned stop",
        default=900.0,
        check=check_positive,
    )
    weight_loads_per_minute: float = setting(
        "loads of models and adapters a minute in one failure domain",
        default=12.0,
        check=check_positive,
    )
    metrics_listen: str = setting(
        "IP:port for /metrics; none = not served",
        default="",
        check=check_optional_address,
    )
