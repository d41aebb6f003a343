"""The settings that all processes of a VM share."""

import attrs

from dotterelpitch.settings import check_log_level, setting


@attrs.frozen(kw_only=True)
class VmProcessSettings:
    """Which VM a process runs on, how it proves itself, and what it logs."""

    vm_name: str = setting("name of this VM in the platform's list")
    failure_domain: str = setting("failure domain of this VM")
    cluster_key: str = setting("shared key of all processes of the fleet", secret=True)
    log_level: str = setting(
        "lowest level of logged events", default="INFO", check=check_log_level
    )
