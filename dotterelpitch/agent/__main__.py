"""The command ``dotterelpitch-agent``."""

from dotterelpitch.process_signals import ProcessSignals

# Before the other imports: a signal without a handler would end the process.
signals = ProcessSignals.take()

from dotterelpitch.agent.app import Agent  # noqa: E402
from dotterelpitch.agent.settings import AgentSettings  # noqa: E402
from dotterelpitch.cli.program import Command, run_program  # noqa: E402
from dotterelpitch.telemetry.events import configure_logging  # noqa: E402


async def _run(settings: AgentSettings) -> None:
    configure_logging(settings.log_level)
    await Agent(settings).run(signals)
    signals.ignore()


def main() -> None:
    """Run the command line."""
    command = Command("Run the agent of one VM.", AgentSettings, _run)
    run_program("dotterelpitch-agent", command)


if __name__ == "__main__":
    main()
