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
    """What a router must be told; everything else its agent tells it."""

    inner_listen: str = setting("IP:port for the inner protocol", check=check_address)
    http_listen: str = setting("IP:port for callers", check=check_address)
    agent: str = setting("IP:port of this VM's agent", check=check_address)
    max_body_bytes: int = setting(
        "largest request body", default=2 * 1024 * 1024, check=check_positive
    )
    grace_seconds: float = setting(
        "longest wait for open requests at a planned stop",
        default=900.0,
        check=check_positive,
    )
    lease_seconds: float = setting(
        "time for which other VMs promise a slot of keys to its owner",
        default=4.0,
        check=check_positive,
    )
    caller_skew_seconds: float = setting(
        "how far a key may be dated ahead of this VM's clock",
        default=2.0,
        check=check_positive,
    )
    fleet_skew_seconds: float = setting(
        "how far the clocks of two VMs may differ",
        default=1.0,
        check=check_positive,
    )
    owner_wait_seconds: float = setting(
        "longest search for the owner of a key before a call is refused",
        default=10.0,
        check=check_positive,
    )
    ledger_entries: int = setting(
        "most keys that this VM records", default=20_000, check=check_positive
    )
    linger_seconds: float = setting(
        "time at a planned stop in which new requests are still taken",
        default=3.0,
        check=check_positive,
    )

    def validate(self) -> None:
        """Raise SettingsError when two listeners would take one address."""
        is_fixed = not self.http_listen.endswith(":0")
        if is_fixed and self.http_listen == self.inner_listen:
            raise conflict_error(
                "http_listen", "inner_listen", f"both are {self.http_listen}"
            )
