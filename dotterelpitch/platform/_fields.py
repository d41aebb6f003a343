"""Reads single fields of decoded JSON with their type checked."""

from collections.abc import Mapping
from typing import Any, TypeVar

from dotterelpitch.errors import PlatformError

T = TypeVar("T")

MILLISECONDS = 1000.0

_REQUIRED: Any = object()


def read_field(
    table: Any, name: str, expected: type[T] | tuple, default: Any = _REQUIRED
) -> T:
    """Return ``table[name]``; raises PlatformError when its type is another."""
    if not isinstance(table, Mapping):
        raise PlatformError(f"expected a table with {name}")
    value = table.get(name, default)
    if value is _REQUIRED:
        raise PlatformError(f"{name}: missing")
    if value is default:
        return value
    is_flag = isinstance(value, bool) and expected is not bool
    if is_flag or not isinstance(value, expected):
        raise PlatformError(f"{name}: {value!r} has the wrong type")
    return value


def read_seconds(table: Any, name: str, default_ms: Any = _REQUIRED) -> float:
    """Return a time that the platform gives in milliseconds."""
    return read_field(table, name, (int, float), default_ms) / MILLISECONDS
