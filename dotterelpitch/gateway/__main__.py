"""The command ``dotterelpitch-gateway``."""

from dotterelpitch.cli.program import Command, run_program
from dotterelpitch.gateway.app import Gateway
from dotterelpitch.gateway.settings import GatewaySettings
from dotterelpitch.platform.vm_settings import read_vm_settings
from dotterelpitch.telemetry.events import configure_line_logging


async def _run(settings: GatewaySettings) -> None:
    configure_line_logging(settings.log_level, settings.log_lines_per_second)
    vm = read_vm_settings(settings.settings)
    await Gateway(settings, vm).run()


def main() -> None:
    """Run the command line."""
    command = Command("Run the gateway of one VM.", GatewaySettings, _run)
    run_program("dotterelpitch-gateway", command)


if __name__ == "__main__":
    main()
