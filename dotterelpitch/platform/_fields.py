"""Reads fields of decoded JSON and checks their types."""

from collections.abc import Mapping
from typing import Any, TypeVar

from dotterelpitch.errors import PlatformError

T = TypeVar("T")

MILLISECONDS_PER_SECOND = 1000.0

_REQUIRED: Any = object()


def read_field(
    table: Any, name: str, expected: type[T] | tuple, default: Any = _REQUIRED
) -> T:
    """Return ``table[name]``, or ``default`` when the field is absent.

    A bool is not accepted as a number. Raises PlatformError when a required field is
    missing or a value has the wrong type.
    """
    if not isinstance(table, Mapping):
        raise PlatformError(
            f"{name}: expected an object with this field, got {type(table).__name__}"
        )
    value = table.get(name, default)
    if value is _REQUIRED:
        raise PlatformError(f"{name}: missing required field")
    if value is default:
        return value
    is_unexpected_bool = isinstance(value, bool) and expected is not bool
    if is_unexpected_bool or not isinstance(value, expected):
        raise PlatformError(f"{name}: {value!r} has the wrong type")
    return value


def read_seconds(table: Any, name: str, default_ms: Any = _REQUIRED) -> float:
    """Return the field ``name``, converted from milliseconds to seconds.

    ``default_ms`` is used when the field is absent. Raises PlatformError as
    ``read_field`` does.
    """
    return read_field(table, name, (int, float), default_ms) / MILLISECONDS_PER_SECOND
