"""Parses a command line into positional arguments and unconverted flag values."""

from collections.abc import Sequence

import attrs
from attrs import field, frozen

from dotterelpitch.errors import SettingsError
from dotterelpitch.settings import check_flag, flag_name

_BOOLEAN_TEXTS = ("true", "false", "0", "1")


@frozen
class ParsedArguments:
    """Positional arguments and flag values of a command line.

    ``flags`` maps settings field names to text values.
    """

    positional: list[str] = field(factory=list)
    flags: dict[str, str] = field(factory=dict)


def parse_arguments(
    settings_class: type, arguments: Sequence[str], names: Sequence[str] = ()
) -> ParsedArguments:
    """Parse flags of ``settings_class`` and the positional arguments ``names``.

    Values remain text, so that a VM named 007 keeps its leading zeros. Raises
    SettingsError if a flag is unknown, repeated, or has no value, and if there
    are too few or too many positional arguments.
    """
    parsed = ParsedArguments()
    _check_positional_count(_split_arguments(settings_class, arguments, parsed), names)
    if parsed.flags:
        _parse_flags_with_fire(parsed)
    return parsed


def _parse_flags_with_fire(parsed: ParsedArguments) -> None:
    """Parse the flags with fire, which is imported only if there are flags."""
    import fire
    from fire.decorators import SetParseFn

    @SetParseFn(str)
    def receive(*positional: str, **flags: str) -> None:
        parsed.flags.update(flags)

    flags = [f"--{name}={value}" for name, value in parsed.flags.items()]
    parsed.flags.clear()
    fire.Fire(receive, command=flags)


def _split_arguments(
    settings_class: type, arguments: Sequence[str], parsed: ParsedArguments
) -> list[str]:
    type_by_flag = {flag_name(f.name): f.type for f in attrs.fields(settings_class)}
    remaining = list(arguments)
    while remaining:
        argument = remaining.pop(0)
        if argument == "--" or (argument.startswith("-") and argument[:2] != "--"):
            raise SettingsError(f"{argument}: unexpected argument")
        if not argument.startswith("--"):
            parsed.positional.append(argument)
            continue
        flag, separator, value = argument.partition("=")
        name = flag[2:].replace("-", "_")
        check_flag(settings_class, name)
        flag = flag_name(name)
        if not separator:
            value = _pop_value(flag, type_by_flag[flag], remaining)
        if name in parsed.flags:
            raise SettingsError(f"{flag}: given twice")
        parsed.flags[name] = value
    return parsed.positional


def _pop_value(flag: str, value_type: type, remaining: list[str]) -> str:
    following = remaining[0] if remaining else None
    if value_type is bool:
        is_value = following is not None and following.lower() in _BOOLEAN_TEXTS
        return remaining.pop(0) if is_value else "true"
    if following is None or following.startswith("--"):
        raise SettingsError(f"{flag}: a value is needed")
    return remaining.pop(0)


def _check_positional_count(positional: list[str], names: Sequence[str]) -> None:
    if len(positional) < len(names):
        raise SettingsError(f"{names[len(positional)]}: a value is needed")
    if len(positional) > len(names):
        raise SettingsError(f"{positional[len(names)]}: unexpected argument")
