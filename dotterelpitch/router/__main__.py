"""The command ``dotterelpitch-router``."""

from dotterelpitch.cli.program import Command, run_program
from dotterelpitch.router.app import Router
from dotterelpitch.router.settings import RouterSettings
from dotterelpitch.telemetry.events import configure_logging


async def _run(settings: RouterSettings) -> None:
    configure_logging(settings.log_level)
    await Router(settings).run()


def main() -> None:
    """Run the router from the command line."""
    command = Command("Run the router of one VM.", RouterSettings, _run)
    run_program("dotterelpitch-router", command)


if __name__ == "__main__":
    main()
