"""The settings of ``dotterelpitch-router``."""

import attrs

from dotterelpitch.settings import (
    check_address,
    check_positive,
    contradiction,
    setting,
)
from dotterelpitch.vm_process_settings import VmProcessSettings


@attrs.frozen(kw_only=True)
class RouterSettings(VmProcessSettings):
    """Settings of a router process.

    Everything else, such as documents and the VM list, comes from the VM's agent.
    """

    inner_listen: str = setting("IP:port for the inner protocol", check=check_address)
    http_listen: str = setting("IP:port for callers", check=check_address)
    agent: str = setting("IP:port of this VM's agent", check=check_address)
    max_body_bytes: int = setting(
        "largest request body", default=2 * 1024 * 1024, check=check_positive
    )
    grace_seconds: float = setting(
        "longest wait for open requests at a graceful shutdown",
        default=900.0,
        check=check_positive,
    )
    lease_seconds: float = setting(
        "duration of a lease on a slot of idempotency keys",
        default=4.0,
        check=check_positive,
    )
    caller_skew_seconds: float = setting(
        "largest time by which a key may be dated ahead of this VM's clock",
        default=2.0,
        check=check_positive,
    )
    fleet_skew_seconds: float = setting(
        "largest difference between the clocks of two VMs",
        default=1.0,
        check=check_positive,
    )
    owner_wait_seconds: float = setting(
        "longest search for the owner of a key before its call is refused",
        default=10.0,
        check=check_positive,
    )
    ledger_entries: int = setting(
        "largest number of keys in the ledger", default=20_000, check=check_positive
    )
    linger_seconds: float = setting(
        "time at a graceful shutdown in which new requests are still accepted",
        default=3.0,
        check=check_positive,
    )

    def validate(self) -> None:
        """Raise SettingsError when both listeners would use the same address."""
        is_fixed = not self.http_listen.endswith(":0")
        if is_fixed and self.http_listen == self.inner_listen:
            raise contradiction(
                "http_listen", "inner_listen", f"both are {self.http_listen}"
            )
