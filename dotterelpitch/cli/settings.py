"""Settings of the operator commands."""

import logging

from attrs import frozen

from dotterelpitch.settings import (
    check_address,
    check_log_level,
    check_positive,
    setting,
)

DEFAULT_COMMAND_SECONDS = 5.0
DEFAULT_EVENTS = 50
DEFAULT_TRACE_SECONDS = 5.0


@frozen
class CheckSettings:
    """Settings of ``check``."""

    json: bool = setting("print JSON instead of text", False)


@frozen
class CheckConfigSettings:
    """Settings of ``check-config``."""

    in_force: str = setting("file with the configuration that is in force", "")
    json: bool = setting("print JSON instead of text", False)


@frozen
class TraceSettings:
    """Settings of ``trace``."""

    before_seconds: float = setting(
        "also show related events of this many seconds before the request",
        DEFAULT_TRACE_SECONDS,
        check_positive,
    )
    json: bool = setting("print JSON instead of text", False)


@frozen
class OperatorSettings:
    """Settings of the commands that connect to the fleet."""

    cluster_key: str = setting("shared key of all processes of the fleet", secret=True)
    connect: str = setting(
        "IP:port on which any agent or router serves the inner protocol",
        "127.0.0.1:7400",
        check_address,
    )
    timeout: float = setting(
        "maximum seconds to wait for each answer",
        DEFAULT_COMMAND_SECONDS,
        check_positive,
    )
    json: bool = setting("print JSON instead of text", False)


@frozen
class EventsSettings(OperatorSettings):
    """Settings of ``events``."""

    count: int = setting(
        "maximum number of events to print", DEFAULT_EVENTS, check_positive
    )
    level: str = setting(
        "minimum level of printed events: DEBUG, INFO, WARNING, or ERROR",
        "INFO",
        check_log_level,
    )

    @property
    def level_number(self) -> int:
        """The numeric log level of ``logging``."""
        return logging.getLevelNamesMapping()[self.level]
