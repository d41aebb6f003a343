"""Runs a program or one of its commands: settings, help, and exit codes."""

import asyncio
import importlib
import inspect
import os
import sys
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from attrs import frozen

from dotterelpitch.cli.arguments import parse_arguments
from dotterelpitch.errors import SettingsError
from dotterelpitch.settings import (
    EXIT_BAD_SETTINGS,
    check_variables,
    load_settings,
    settings_help,
)

HELP_FLAGS = ("--help", "-h", "help")


@frozen
class Command:
    """A command with its settings, positional arguments, and implementation.

    ``run`` is called with the settings, followed by the positional arguments as
    text. It may be a coroutine function, and may return an exit code.
    """

    summary: str
    settings_class: type
    run: Callable[..., Any]
    arguments: tuple[str, ...] = ()


@frozen
class SettingsClass:
    """Location of a program's settings class, which is imported on demand."""

    program: str
    module: str
    name: str

    def load(self) -> type:
        """Import the module and return the class."""
        return getattr(importlib.import_module(self.module), self.name)


SETTINGS_CLASSES: tuple[SettingsClass, ...] = (
    SettingsClass(
        "dotterelpitch-router", "dotterelpitch.router.settings", "RouterSettings"
    ),
    SettingsClass(
        "dotterelpitch-agent", "dotterelpitch.agent.settings", "AgentSettings"
    ),
    SettingsClass(
        "dotterelpitch-gateway", "dotterelpitch.gateway.settings", "GatewaySettings"
    ),
    SettingsClass("dotterelpitch check", "dotterelpitch.cli.settings", "CheckSettings"),
    SettingsClass(
        "dotterelpitch check-config",
        "dotterelpitch.cli.settings",
        "CheckConfigSettings",
    ),
    SettingsClass("dotterelpitch trace", "dotterelpitch.cli.settings", "TraceSettings"),
    SettingsClass(
        "dotterelpitch status, explain, drain",
        "dotterelpitch.cli.settings",
        "OperatorSettings",
    ),
    SettingsClass(
        "dotterelpitch events", "dotterelpitch.cli.settings", "EventsSettings"
    ),
    SettingsClass(
        "dotterelpitch-load run", "dotterelpitch.load.settings", "RunSettings"
    ),
    SettingsClass(
        "dotterelpitch-load experiment",
        "dotterelpitch.load.settings",
        "ExperimentSettings",
    ),
    SettingsClass(
        "dotterelpitch-standin platform",
        "dotterelpitch.standins.__main__",
        "PlatformSettings",
    ),
    SettingsClass(
        "dotterelpitch-standin engine",
        "dotterelpitch.standins.engine_model",
        "EngineSettings",
    ),
    SettingsClass(
        "dotterelpitch-standin plain",
        "dotterelpitch.standins.__main__",
        "PlainSettings",
    ),
)


def run_program(
    name: str, command: Command, arguments: Sequence[str] | None = None
) -> None:
    """Run ``command`` with the settings of the arguments and the environment.

    Exits with code 0 after printing help. Exits with code 2 after one line on
    standard error if an argument, a flag, or an environment variable is invalid.
    """
    arguments = sys.argv[1:] if arguments is None else list(arguments)
    if any(argument in HELP_FLAGS for argument in arguments):
        print(command_help(name, command))
        raise SystemExit(0)
    try:
        parsed = parse_arguments(command.settings_class, arguments, command.arguments)
        check_environment(command.settings_class)
        settings = load_settings(command.settings_class, parsed.flags)
    except SettingsError as error:
        _exit_bad_settings(error)
    try:
        result = command.run(settings, *parsed.positional)
        if inspect.iscoroutine(result):
            result = asyncio.run(result)
    except SettingsError as error:  # A file named in the settings is invalid.
        _exit_bad_settings(error)
    if isinstance(result, int) and result:
        raise SystemExit(result)


def run_commands(
    name: str,
    summary: str,
    command_by_name: Mapping[str, Command],
    arguments: Sequence[str] | None = None,
) -> None:
    """Run the command named by the first argument.

    Exits with code 0 after printing the list of commands, and with code 2 if no
    command or an unknown one is given.
    """
    arguments = sys.argv[1:] if arguments is None else list(arguments)
    if not arguments or arguments[0] in HELP_FLAGS:
        print(commands_help(name, summary, command_by_name))
        raise SystemExit(0 if arguments else EXIT_BAD_SETTINGS)
    command = command_by_name.get(arguments[0])
    if command is None:
        known = ", ".join(command_by_name)
        _exit_bad_settings(SettingsError(f"{arguments[0]}: not one of {known}"))
    run_program(f"{name} {arguments[0]}", command, arguments[1:])


def command_help(name: str, command: Command) -> str:
    """Return the help text of one command."""
    usage = " ".join((name, *command.arguments, "[--FLAG VALUE ...]"))
    return (
        f"{command.summary}\n\nUsage: {usage}\n\n"
        "Settings, as flag (environment variable); a flag wins over its variable:\n"
        f"{settings_help(command.settings_class)}"
    )


def commands_help(
    name: str, summary: str, command_by_name: Mapping[str, Command]
) -> str:
    """Return the help text that lists all commands of a program."""
    lines = [summary, "", f"Usage: {name} COMMAND [ARGUMENT] [--FLAG VALUE ...]", ""]
    for command_name, command in command_by_name.items():
        usage = " ".join((command_name, *command.arguments))
        lines.append(f"  {usage:<22} {command.summary}")
    lines += ["", f"{name} COMMAND --help lists the settings of a command."]
    return "\n".join(lines)


def check_environment(
    settings_class: type, environ: Mapping[str, str] = os.environ
) -> None:
    """Raise SettingsError if a variable isn't a setting of any program.

    Variables of the other programs are accepted, since one environment may serve
    all programs of a VM.
    """
    try:
        check_variables([settings_class], environ)
    except SettingsError:
        classes = [entry.load() for entry in SETTINGS_CLASSES]
        check_variables([settings_class, *classes], environ)


def _exit_bad_settings(error: SettingsError) -> None:
    print(f"error: {error}", file=sys.stderr)
    raise SystemExit(EXIT_BAD_SETTINGS) from None
