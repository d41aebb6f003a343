"""Settings from flags, environment variables, and defaults.

A flag takes precedence over a variable, and a variable over a default.

Each program has one settings class, a frozen attrs class. The flag of the field
``vm_name`` is ``--vm-name`` and its variable is ``DOTTERELPITCH_VM_NAME``. Field
metadata holds ``help`` (a short phrase), ``check`` (a function that raises
ValueError, or None), and ``secret``. A class may have a ``validate`` method that
raises SettingsError when two settings conflict; ``conflict_error`` creates it.
"""

import difflib
import ipaddress
import math
import os
from collections.abc import Callable, Iterable, Mapping
from typing import Any, TypeVar

import attrs

from dotterelpitch.errors import SettingsError

ENVIRONMENT_PREFIX = "DOTTERELPITCH_"
EXIT_BAD_SETTINGS = 2
MAX_PORT = 65_535
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")

_TEST_PREFIX = ENVIRONMENT_PREFIX + "TEST_"

T = TypeVar("T")


def setting(
    help: str,
    default: Any = attrs.NOTHING,
    check: Callable | None = None,
    secret: bool = False,
) -> Any:
    """Return an attrs field for a settings class.

    A ``secret`` is left out of error texts and of the repr. ``check`` gets the
    converted value and raises ValueError if it is invalid.
    """
    metadata = {"help": help, "check": check, "secret": secret}
    return attrs.field(default=default, metadata=metadata, repr=not secret)


def check_address(value: str) -> None:
    """Raise ValueError unless ``value`` is ``IP:port`` with a numeric address."""
    host, separator, port = value.rpartition(":")
    is_number = port.isascii() and port.isdigit()
    if not separator or not is_number or int(port) > MAX_PORT:
        raise ValueError("must be IP:port")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise ValueError("must be IP:port with a numeric IP address") from None


def check_optional_address(value: str) -> None:
    """Raise ValueError unless ``value`` is empty or ``IP:port``."""
    if value:
        check_address(value)


def check_addresses(values: tuple[str, ...]) -> None:
    """Raise ValueError unless each of ``values`` is ``IP:port``."""
    for value in values:
        check_address(value)


def check_positive(value: float) -> None:
    """Raise ValueError unless ``value`` is above zero."""
    if value <= 0:
        raise ValueError("must be above 0")


def check_log_level(value: str) -> None:
    """Raise ValueError unless ``value`` is one of ``LOG_LEVELS``."""
    if value not in LOG_LEVELS:
        raise ValueError(f"must be one of {', '.join(LOG_LEVELS)}")


def flag_name(field_name: str) -> str:
    """Return the flag of a field, such as ``--vm-name``."""
    return "--" + field_name.replace("_", "-")


def variable_name(field_name: str) -> str:
    """Return the environment variable of a field."""
    return ENVIRONMENT_PREFIX + field_name.upper()


def conflict_error(first: str, second: str, reason: str) -> SettingsError:
    """Return the error for two settings whose values conflict.

    ``first`` and ``second`` are the names of their fields.
    """
    return SettingsError(
        f"{_flag_and_variable(first)} and {_flag_and_variable(second)}: {reason}"
    )


def load_settings(
    cls: type[T], flags: Mapping[str, Any], environ: Mapping[str, str] = os.environ
) -> T:
    """Return an instance of ``cls`` from ``flags``, ``environ``, and defaults.

    Raises SettingsError, which names the setting, for an unknown flag, a missing
    or invalid value, or settings that conflict.
    """
    for name in flags:
        check_flag(cls, name)
    values = {}
    for field in attrs.fields(cls):
        name = field.name
        raw = flags.get(name, environ.get(variable_name(name), attrs.NOTHING))
        if raw is attrs.NOTHING:
            if field.default is attrs.NOTHING:
                raise SettingsError(f"{_flag_and_variable(name)}: a value is needed")
            continue
        values[name] = _convert(field, raw)
    settings = cls(**values)
    if validate := getattr(settings, "validate", None):
        validate()
    return settings


def check_flag(cls: type, name: str) -> None:
    """Raise SettingsError unless ``name`` is a field of ``cls``."""
    names = [field.name for field in attrs.fields(cls)]
    if name not in names:
        suggestion = _suggest_match(flag_name(name), map(flag_name, names))
        raise SettingsError(f"{flag_name(name)}: unknown flag{suggestion}")


def check_variables(
    classes: Iterable[type], environ: Mapping[str, str] = os.environ
) -> None:
    """Raise SettingsError on a ``DOTTERELPITCH_`` variable of none of ``classes``.

    ``classes`` are the settings classes of all programs, because the programs of
    one VM often share an environment. Variables of the tests are ignored.
    """
    known = {variable_name(f.name) for cls in classes for f in attrs.fields(cls)}
    for name in sorted(environ):
        if not name.startswith(ENVIRONMENT_PREFIX) or name.startswith(_TEST_PREFIX):
            continue
        if name not in known:
            suggestion = _suggest_match(name, known)
            raise SettingsError(f"{name}: unknown environment variable{suggestion}")


def settings_help(cls: type) -> str:
    """Return two lines per setting: flag, variable, and default; then the help."""
    lines = []
    for field in attrs.fields(cls):
        lines.append(f"  {_flag_and_variable(field.name)}, {describe_default(field)}")
        lines.append(f"      {field.metadata['help']}")
    return "\n".join(lines)


def describe_default(field: attrs.Attribute) -> str:
    """Return the default of a setting as shown in help texts."""
    if field.default is attrs.NOTHING:
        return "required"
    if field.default in ("", ()):
        return "default none"
    return f"default {_to_text(field.default)}"


def _suggest_match(name: str, known: Iterable[str]) -> str:
    matches = difflib.get_close_matches(name, list(known), n=1, cutoff=0.7)
    return f"; did you mean {matches[0]}?" if matches else ""


def _to_text(value: Any) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, tuple):
        return ",".join(value)
    return str(value)


def _flag_and_variable(name: str) -> str:
    return f"{flag_name(name)} ({variable_name(name)})"


def _convert(field: attrs.Attribute, raw: Any) -> Any:
    try:
        value = _CONVERTERS[field.type](raw)
        if field.metadata["check"]:
            field.metadata["check"](value)
    except (ValueError, TypeError) as error:
        shown_value = "" if field.metadata["secret"] else f"{raw!r}: "
        raise SettingsError(
            f"{_flag_and_variable(field.name)}: {shown_value}{error}"
        ) from error
    return value


def _to_int(raw: Any) -> int:
    try:
        return int(str(raw))
    except ValueError:
        raise ValueError("must be a whole number") from None


def _to_float(raw: Any) -> float:
    try:
        value = float(raw)
    except ValueError:
        raise ValueError("must be a number") from None
    if not math.isfinite(value):
        raise ValueError("must be finite")
    return value


def _to_bool(raw: Any) -> bool:
    value_by_text = {"true": True, "1": True, "false": False, "0": False}
    try:
        return value_by_text[str(raw).lower()]
    except KeyError:
        raise ValueError("must be true or false") from None


def _to_tuple(raw: Any) -> tuple[str, ...]:
    if isinstance(raw, list | tuple):
        return tuple(str(part) for part in raw)
    return tuple(part.strip() for part in str(raw).split(",") if part.strip())


_CONVERTERS: dict[Any, Callable[[Any], Any]] = {
    str: str,
    int: _to_int,
    float: _to_float,
    bool: _to_bool,
    tuple[str, ...]: _to_tuple,
}
