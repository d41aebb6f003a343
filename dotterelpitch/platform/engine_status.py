"""Decodes what an engine says of itself in the headers of a response."""

import re
from collections.abc import Iterable

from attrs import frozen

from dotterelpitch.routing.reported_load import ReportedLoad

_SERVER_LOAD = "server-load"
_SERVER_LIMIT = "server-limit"
_SERVER_LEAVING = "server-leaving"
_RETRY_AFTER = "retry-after"
_COLD_MS = "cold-ms"

# The statuses with which an engine says that it wants no requests for a while.
_STATUSES_WITH_PAUSE = {429, 503}

_DECIMAL_NUMBER = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")


@frozen
class EngineStatus:
    """What an engine says of itself with a response; None is what it doesn't say.

    ``is_success`` is whether the response was one. ``rate_limit`` is how many requests
    per second it takes from all VMs, and ``is_leaving`` whether it is about to end.
    ``pause_s`` is for how many seconds it wants no request from this VM, and
    ``cold_left_s`` for how many it stays cold.
    """

    is_success: bool = False
    load: ReportedLoad | None = None
    rate_limit: float | None = None
    is_leaving: bool = False
    pause_s: float | None = None
    cold_left_s: float = 0.0


def decode_engine_status(
    status: int, headers: Iterable[tuple[str, str]]
) -> EngineStatus:
    """Return what an engine says of itself in the head of a response.

    A value that is invalid, such as a date for a number of seconds, or a number that is
    named twice counts as absent. An engine leaves if it says so and nothing else.

    >>> decode_engine_status(200, [("Server-Limit", "2.5")]).rate_limit
    2.5
    """
    values_by_name: dict[str, list[str]] = {}
    for name, value in headers:
        values_by_name.setdefault(name.lower(), []).append(value.strip())
    return EngineStatus(
        is_success=200 <= status < 300,
        load=_decode_load(values_by_name.get(_SERVER_LOAD, [])),
        rate_limit=_decode_number(values_by_name.get(_SERVER_LIMIT, [])),
        is_leaving=set(values_by_name.get(_SERVER_LEAVING, [])) == {"1"},
        pause_s=_decode_number(values_by_name.get(_RETRY_AFTER, []))
        if status in _STATUSES_WITH_PAUSE
        else None,
        cold_left_s=(_decode_number(values_by_name.get(_COLD_MS, [])) or 0.0) / 1000,
    )


def _decode_load(values: list[str]) -> ReportedLoad | None:
    """Return the last load named, or None if it isn't at least three whole numbers.

    Figures after the fourth are ignored, and a fourth one that isn't a number too.
    """
    figures = values[-1].split(",") if values else []
    try:
        running, waiting, slots = map(int, figures[:3])
    except ValueError:
        return None
    slowdown_percent = _decode_number([f.strip() for f in figures[3:4]])
    slowdown = slowdown_percent / 100.0 if slowdown_percent else None
    return ReportedLoad(running, waiting, slots, slowdown)


def _decode_number(values: list[str]) -> float | None:
    """Return the only value as a plain decimal number, or None."""
    if len(values) != 1 or not _DECIMAL_NUMBER.fullmatch(values[0]):
        return None
    return float(values[0])
