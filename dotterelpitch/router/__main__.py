"""The command ``dotterelpitch-router``."""

from dotterelpitch.process_signals import ProcessSignals

# Before the other imports: a signal without a handler would end the process.
signals = ProcessSignals.take()

from dotterelpitch.cli.program import Command, run_program  # noqa: E402
from dotterelpitch.router.app import Router  # noqa: E402
from dotterelpitch.router.settings import RouterSettings  # noqa: E402
from dotterelpitch.telemetry.events import configure_logging  # noqa: E402


async def _run(settings: RouterSettings) -> None:
    configure_logging(settings.log_level)
    await Router(settings).run(signals)
    signals.ignore()


def main() -> None:
    """Run the router from the command line."""
    command = Command("Run the router of one VM.", RouterSettings, _run)
    run_program("dotterelpitch-router", command)


if __name__ == "__main__":
    main()
