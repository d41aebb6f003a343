"""The command ``dotterelpitch-gateway``."""

import sys

from dotterelpitch.process_signals import ProcessSignals

# Before the other imports: a signal without a handler would end the process.
signals = ProcessSignals.take()
# No connection of the gateway uses TLS. Without the module, aiohttp doesn't load
# certificates when it is imported, which takes a third of the startup time. Without
# OpenSSL's hash functions, hashlib uses its own, and a process is over 3 MB smaller.
sys.modules.setdefault("ssl", None)
sys.modules.setdefault("_hashlib", None)

from dotterelpitch.cli.program import Command, run_program  # noqa: E402
from dotterelpitch.gateway.app import Gateway  # noqa: E402
from dotterelpitch.gateway.settings import GatewaySettings  # noqa: E402
from dotterelpitch.gateway.settings_reload import SettingsFile  # noqa: E402
from dotterelpitch.telemetry.events import configure_line_logging  # noqa: E402


async def _run(settings: GatewaySettings) -> None:
    configure_line_logging(settings.log_level, settings.log_lines_per_second)
    settings_file = SettingsFile(settings.settings)
    vm = await settings_file.read_at_start()
    await Gateway(settings, vm, settings_file).run(signals)
    signals.ignore()


def main() -> None:
    """Run the command line."""
    command = Command("Run the gateway of one VM.", GatewaySettings, _run)
    run_program("dotterelpitch-gateway", command)


if __name__ == "__main__":
    main()
