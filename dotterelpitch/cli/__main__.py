"""Entry point of the ``dotterelpitch`` command."""

from dotterelpitch.cli.check import check
from dotterelpitch.cli.check_config import check_config
from dotterelpitch.cli.fleet_commands import drain, events, explain, status
from dotterelpitch.cli.program import Command, run_commands
from dotterelpitch.cli.settings import (
    CheckConfigSettings,
    CheckSettings,
    EventsSettings,
    OperatorSettings,
    TraceSettings,
)
from dotterelpitch.cli.trace import trace

COMMAND_BY_NAME = {
    "check": Command(
        "Check a service document (JSON or YAML).", CheckSettings, check, ("FILE",)
    ),
    "check-config": Command(
        "Check a platform's configuration before it is sent.",
        CheckConfigSettings,
        lambda settings, file: check_config(file, settings.in_force, settings.json),
        ("FILE",),
    ),
    "status": Command("Show all processes and engines.", OperatorSettings, status),
    "explain": Command(
        "Show why a request was routed to its engine.",
        OperatorSettings,
        explain,
        ("REQUEST-ID",),
    ),
    "trace": Command(
        "Show the log lines of a request from a saved log of gateways.",
        TraceSettings,
        trace,
        ("REQUEST-ID", "FILE"),
    ),
    "drain": Command(
        "Stop a VM's router gracefully.", OperatorSettings, drain, ("VM",)
    ),
    "events": Command("Show a process's latest events.", EventsSettings, events),
}


def main() -> None:
    """Run the command that the command line names."""
    run_commands(
        "dotterelpitch", "Inspect and operate a router fleet.", COMMAND_BY_NAME
    )


if __name__ == "__main__":
    main()
