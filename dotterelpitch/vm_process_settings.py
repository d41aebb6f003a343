"""The settings common to all processes of a VM."""

import attrs

from dotterelpitch.settings import check_log_level, setting


@attrs.frozen(kw_only=True)
class VmProcessSettings:
    """The VM of a process, its credential in the fleet, and its log level."""

    vm_name: str = setting("name of this VM in the platform's VM list")
    failure_domain: str = setting("failure domain of this VM")
    cluster_key: str = setting("shared key of all processes of the fleet", secret=True)
    log_level: str = setting(
        "minimum level of logged events: DEBUG, INFO, WARNING, or ERROR",
        default="INFO",
        check=check_log_level,
    )
