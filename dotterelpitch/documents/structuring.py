"""Strict conversion of plain JSON values into the document's attrs classes.

Nothing is coerced: ``"5"`` isn't a number and ``1`` isn't a boolean. Errors are
reported with the path of their field.
"""

from collections.abc import Callable, Iterator
from enum import StrEnum
from typing import Any, get_origin

import attrs
import cattrs
from cattrs.cols import list_structure_factory
from cattrs.errors import (
    ClassValidationError,
    ForbiddenExtraKeysError,
    IterableValidationError,
    IterableValidationNote,
)
from cattrs.gen import make_dict_structure_fn

_NAME_BY_TYPE = {str: "a string", int: "a whole number", bool: "true or false"}


def make_converter() -> cattrs.Converter:
    """Return a converter that rejects unknown fields and wrong types."""
    converter = cattrs.Converter(detailed_validation=True)
    for expected in _NAME_BY_TYPE:
        converter.register_structure_hook(expected, _exact_type_hook(expected))
    converter.register_structure_hook(float, _structure_number)
    converter.register_structure_hook(StrEnum, _structure_enum)
    converter.register_structure_hook_factory(_is_list, _list_hook_factory)
    converter.register_structure_hook_factory(attrs.has, _object_hook_factory)
    return converter


def describe_errors(error: BaseException, path: str = "$") -> list[str]:
    """Return one line per problem in ``error``, as ``path: what is wrong``."""
    return list(_error_lines(error, path))


def _error_lines(error: BaseException, path: str) -> Iterator[str]:
    if isinstance(error, ClassValidationError | IterableValidationError):
        with_notes, without_notes = error.group_exceptions()
        for inner, note in with_notes:
            yield from _error_lines(inner, path + _path_step(note))
        for inner in without_notes:
            yield from _error_lines(inner, path)
    elif isinstance(error, ForbiddenExtraKeysError):
        for name in sorted(error.extra_fields, key=str):
            yield f"{path}.{name}: unknown field"
    elif isinstance(error, KeyError):
        yield f"{path}: missing required field"
    else:
        yield f"{path}: {error}"


def _path_step(note: Any) -> str:
    if isinstance(note, IterableValidationNote):
        return f"[{note.index}]"
    return f".{note.name}"


def _exact_type_hook(expected: type) -> Callable[[Any, Any], Any]:
    def structure(value: Any, _: Any) -> Any:
        if type(value) is not expected:
            raise TypeError(f"must be {_NAME_BY_TYPE[expected]}")
        return value

    return structure


def _structure_number(value: Any, _: Any) -> float:
    if type(value) not in (int, float):
        raise TypeError("must be a number")
    try:
        return float(value)
    except OverflowError:
        raise ValueError("is too large a number") from None


def _structure_enum(value: Any, cls: type[StrEnum]) -> StrEnum:
    try:
        return cls(value)
    except ValueError:
        allowed = ", ".join(str(member.value) for member in cls)
        raise ValueError(f"must be one of {allowed}") from None


def _is_list(cls: Any) -> bool:
    return get_origin(cls) is list


def _list_hook_factory(cls: Any, converter: cattrs.Converter) -> Callable:
    structure_items = list_structure_factory(cls, converter)

    def structure(value: Any, _: Any) -> list:
        if not isinstance(value, list):
            raise TypeError("must be a list")
        return structure_items(value, cls)

    return structure


def _object_hook_factory(cls: type, converter: cattrs.Converter) -> Callable:
    structure_fields = make_dict_structure_fn(
        cls, converter, _cattrs_forbid_extra_keys=True
    )

    def structure(value: Any, _: Any) -> Any:
        if not isinstance(value, dict):
            raise TypeError("must be an object")
        return structure_fields(value, cls)

    return structure
