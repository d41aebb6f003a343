"""Formats values as an aligned text table or as JSON."""

import json
from collections.abc import Iterable, Sequence
from enum import Enum
from typing import Any

import attrs


def format_table(header: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Return a table with left-aligned columns, each as wide as its widest cell.

    >>> print(format_table(["vm", "open"], [["vm-1", 3], ["vm-12", 40]]))
    vm     open
    vm-1   3
    vm-12  40
    """
    lines = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(line[i]) for line in lines) for i in range(len(header))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def format_json(value: Any) -> str:
    """Return ``value`` as indented JSON; attrs objects become JSON objects."""
    return json.dumps(value, indent=2, default=_to_json_value)


def _to_json_value(value: Any) -> Any:
    if attrs.has(type(value)):
        return attrs.asdict(value, recurse=False)
    if isinstance(value, Enum):
        return value.value
    return str(value)
