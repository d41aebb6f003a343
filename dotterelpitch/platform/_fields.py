"""Reads fields of decoded JSON and checks their types."""

import json
import reprlib
from typing import Any, TypeVar

from dotterelpitch.errors import PlatformError

T = TypeVar("T")

MILLISECONDS_PER_SECOND = 1000.0

MAX_WHOLE_NUMBER = 2**63 - 1

_REQUIRED: Any = object()


def decode_json(value: bytes) -> Any:
    """Return the content of a record.

    Raises PlatformError when it isn't JSON, or is nested too deeply to be read.
    """
    try:
        return json.loads(value)
    except (ValueError, RecursionError) as error:
        raise PlatformError(f"not valid JSON: {error}") from error


def check_text(name: str, text: str) -> None:
    """Raise PlatformError unless ``text`` can be sent to other processes."""
    try:
        text.encode()
    except UnicodeEncodeError as error:
        raise PlatformError(f"{name}: not valid text") from error


def read_whole_number(table: Any, name: str, default: int) -> int:
    """Return a field that holds a number of at most 63 bits, from 0.

    Raises PlatformError as ``read_field`` does, and for any other number.
    """
    value = read_field(table, name, int, default)
    if not 0 <= value <= MAX_WHOLE_NUMBER:
        raise PlatformError(f"{name}: out of range")
    return value


def read_amount(table: Any, name: str, default: float = 0.0) -> float:
    """Return a field that holds a number from 0, of at most 63 bits, as a float.

    Raises PlatformError as ``read_field`` does, and for any other number.
    """
    value = read_field(table, name, (int, float), default)
    if not 0 <= value <= MAX_WHOLE_NUMBER:
        raise PlatformError(f"{name}: out of range")
    return float(value)


def read_field(
    table: Any, name: str, expected: type[T] | tuple, default: Any = _REQUIRED
) -> T:
    """Return ``table[name]``, or ``default`` when the field is absent.

    A bool is not accepted as a number. Raises PlatformError when a required field is
    missing or a value has the wrong type.
    """
    if not isinstance(table, dict):
        raise PlatformError(
            f"{name}: expected an object with this field, got {type(table).__name__}"
        )
    value = table.get(name, default)
    if value is _REQUIRED:
        raise PlatformError(f"{name}: missing required field")
    if type(value) is expected or value is default:  # Nearly all fields.
        return value
    is_unexpected_bool = isinstance(value, bool) and expected is not bool
    if is_unexpected_bool or not isinstance(value, expected):
        shown = reprlib.repr(value)
        raise PlatformError(f"{name}: {shown} has the wrong type")
    return value


def read_seconds(table: Any, name: str, default_ms: Any = _REQUIRED) -> float:
    """Return the field ``name``, converted from milliseconds to seconds.

    ``default_ms`` is used when the field is absent. Raises PlatformError as
    ``read_field`` does.
    """
    return read_field(table, name, (int, float), default_ms) / MILLISECONDS_PER_SECOND
