"""The command ``trace REQUEST-ID FILE``: from a request's id to its cause.

It reads saved log lines, so no running process is needed. Anything before the
first brace of a line, such as a time or a VM's name, is kept with it.
"""

import json
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from attrs import frozen

from dotterelpitch.cli.settings import TraceSettings
from dotterelpitch.cli.tables import format_json

EXIT_NOT_FOUND = 1


@frozen
class LogLine:
    """One event as it was logged; ``source`` is what stood before it."""

    source: str
    at: float
    values: dict[str, Any]

    def concerns(self, engines: set[str]) -> bool:
        """Whether the event changes what was believed, of an engine or of all."""
        if "request" in self.values:
            return False
        engine = self.values.get("engine")
        return engine is None or engine in engines


def trace(settings: TraceSettings, request_id: str, file: str) -> int:
    """Print the lines of a request, and what its process had learnt before."""
    try:
        lines = list(read_lines(Path(file).read_text().splitlines()))
    except OSError as error:
        print(f"{file}: {error.strerror}", file=sys.stderr)
        return EXIT_NOT_FOUND
    found = select(lines, request_id, settings.before_seconds)
    if not found:
        print(f"{file}: no line of request {request_id}", file=sys.stderr)
        return EXIT_NOT_FOUND
    if settings.json:
        print(format_json([line.values for line in found]))
        return 0
    for line in found:
        print(_format(line))
    return 0


def read_lines(texts: Iterable[str]) -> Iterable[LogLine]:
    """Yield the events among ``texts``; other lines are passed over."""
    for text in texts:
        source, brace, rest = text.partition("{")
        try:
            values = json.loads(brace + rest)
            yield LogLine(source.strip(), float(values["at"]), values)
        except (ValueError, KeyError, TypeError):
            continue


def select(
    lines: list[LogLine], request_id: str, before_seconds: float
) -> list[LogLine]:
    """Return a request's lines and those of its engines shortly before."""
    own = [line for line in lines if line.values.get("request") == request_id]
    if not own:
        return []
    vms = {_vm(line) for line in own}
    engines = {line.values[name] for line in own for name in _engine_names(line)}
    first, last = own[0].at - before_seconds, own[-1].at
    background = [
        line
        for line in lines
        if first <= line.at <= last and _vm(line) in vms and line.concerns(engines)
    ]
    return sorted([*own, *background], key=lambda line: line.at)


def _engine_names(line: LogLine) -> list[str]:
    names = ("engine", "cache_source")
    return [name for name in names if line.values.get(name)]


def _vm(line: LogLine) -> str:
    """Return the last word before the event, which collectors put the VM in."""
    words = line.source.split()
    return words[-1] if words else ""


def _format(line: LogLine) -> str:
    hidden = {"at", "level", "event", "name"}
    values = {k: v for k, v in line.values.items() if k not in hidden}
    pairs = " ".join(f"{k}={v}" for k, v in values.items() if v not in ("", None))
    event = f"{line.values['event']} {line.values['name']}"
    return f"{line.at:.3f} {_vm(line)} {event} {pairs}".replace("  ", " ")
