"""The settings of ``dotterelpitch-router``."""

import attrs

from dotterelpitch.settings import (
    check_address,
    check_positive,
    conflict_error,
    setting,
)
from dotterelpitch.vm_process_settings import VmProcessSettings


@attrs.frozen(kw_only=True)
class RouterSettings(VmProcessSettings):
    """Settings of a router process.

    Everything else, such as documents and the VM list, comes from the VM's agent.
    """

    inner_listen: str = setting(
        "IP:port on which to serve the inner protocol", check=check_address
    )
    http_listen: str = setting(
        "IP:port on which to serve callers over HTTP", check=check_address
    )
    agent: str = setting("IP:port of this VM's agent", check=check_address)
    max_body_bytes: int = setting(
        "maximum size of a request body in bytes",
        default=2 * 1024 * 1024,
        check=check_positive,
    )
    grace_seconds: float = setting(
        "maximum seconds to wait for open requests at a graceful shutdown",
        default=900.0,
        check=check_positive,
    )
    lease_seconds: float = setting(
        "duration in seconds of a lease on a slot of idempotency keys",
        default=4.0,
        check=check_positive,
    )
    caller_skew_seconds: float = setting(
        "maximum seconds by which a key may be dated ahead of this VM's clock",
        default=2.0,
        check=check_positive,
    )
    fleet_skew_seconds: float = setting(
        "maximum assumed difference in seconds between the clocks of two VMs",
        default=1.0,
        check=check_positive,
    )
    owner_wait_seconds: float = setting(
        "maximum seconds to look for the owner of a key before its call is refused",
        default=10.0,
        check=check_positive,
    )
    ledger_entries: int = setting(
        "maximum number of idempotency keys in the ledger",
        default=20_000,
        check=check_positive,
    )
    linger_seconds: float = setting(
        "seconds for which new requests are still accepted at a graceful shutdown",
        default=3.0,
        check=check_positive,
    )

    def validate(self) -> None:
        """Raise SettingsError when both listeners would use the same address."""
        is_fixed = not self.http_listen.endswith(":0")
        if is_fixed and self.http_listen == self.inner_listen:
            raise conflict_error(
                "http_listen", "inner_listen", f"both are {self.http_listen}"
            )
