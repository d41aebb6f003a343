"""Entry point of the ``dotterelpitch-standin platform|engine|plain`` command."""

import attrs

from dotterelpitch.cli.program import Command, run_commands
from dotterelpitch.settings import check_address, setting
from dotterelpitch.standins.engine import EngineStandIn
from dotterelpitch.standins.engine_model import EngineSettings
from dotterelpitch.standins.plain import PlainStandIn
from dotterelpitch.standins.platform import from_state_file
from dotterelpitch.standins.serving import run_until_stopped


@attrs.frozen
class PlatformSettings:
    """Settings of the platform stand-in."""

    listen: str = setting("IP:port on which to serve HTTP", check=check_address)
    state_file: str = setting(
        "path of a JSON file with the keys documents and vms; no state if empty",
        default="",
    )


@attrs.frozen
class PlainSettings:
    """Settings of the plain service stand-in."""

    listen: str = setting("IP:port on which to serve HTTP", check=check_address)
    name: str = setting("name that the service reports in its answers", default="plain")
    delay: float = setting(
        "seconds between the execution of a call and its answer", default=0.0
    )
    checks_fencing: bool = setting(
        "refuse calls with an outdated fencing number", default=False
    )


def _run_platform(settings: PlatformSettings) -> None:
    app = from_state_file(settings.state_file).application()
    run_until_stopped(app, settings.listen, "platform")


def _run_plain(settings: PlainSettings) -> None:
    stand_in = PlainStandIn(settings.name, settings.delay, settings.checks_fencing)
    run_until_stopped(stand_in.application(), settings.listen, "plain")


def _run_engine(settings: EngineSettings) -> None:
    stand_in = EngineStandIn(settings)
    run_until_stopped(stand_in.application(), settings.listen, "engine")


COMMAND_BY_NAME = {
    "platform": Command("Serve documents and VMs.", PlatformSettings, _run_platform),
    "engine": Command("Serve a model engine.", EngineSettings, _run_engine),
    "plain": Command("Serve a plain service.", PlainSettings, _run_plain),
}


def main() -> None:
    """Run the stand-in named on the command line."""
    summary = "Run a stand-in for tests and experiments."
    run_commands("dotterelpitch-standin", summary, COMMAND_BY_NAME)


if __name__ == "__main__":
    main()
