"""Entry point of the ``dotterelpitch-load run|experiment`` command."""

from dotterelpitch.cli.program import Command, run_commands
from dotterelpitch.load.experiment import experiment
from dotterelpitch.load.runner import run_load
from dotterelpitch.load.settings import ExperimentSettings, RunSettings


async def run(settings: RunSettings) -> None:
    """Run the load and print its report."""
    for line in await run_load(settings):
        print(line)


COMMAND_BY_NAME = {
    "run": Command("Send chats with follow-up turns to routers.", RunSettings, run),
    "experiment": Command(
        "Compare routing decisions on model engines.", ExperimentSettings, experiment
    ),
}


def main() -> None:
    """Run the command named on the command line."""
    summary = "Send load, or compare routing decisions."
    run_commands("dotterelpitch-load", summary, COMMAND_BY_NAME)


if __name__ == "__main__":
    main()
