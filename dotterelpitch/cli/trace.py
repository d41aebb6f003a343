"""The ``trace REQUEST-ID FILE`` command, which shows the log lines about a request.

It reads a saved log, so no running process is needed. Text before the first
brace of a line, such as a time or a VM name, is kept as the line's source.
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
    """One logged event; ``source`` is the text before it on its line.

    ``at`` is the time of the event in seconds since the epoch.
    """

    source: str
    at: float
    values: dict[str, Any]

    def may_affect(self, engines: set[str]) -> bool:
        """Return whether the event may have changed the state of one of ``engines``.

        This holds for events about one of them and for events that name no engine,
        but not for events of a request.
        """
        if "request" in self.values:
            return False
        engine = self.values.get("engine")
        return engine is None or engine in engines


def trace(settings: TraceSettings, request_id: str, file: str) -> int:
    """Print a request's events and the preceding events about its engines.

    Returns exit code 1 if the file can't be read or has no line of the request.
    """
    try:
        lines = list(parse_log_lines(Path(file).read_text().splitlines()))
    except OSError as error:
        print(f"{file}: {error.strerror}", file=sys.stderr)
        return EXIT_NOT_FOUND
    selected = select_lines(lines, request_id, settings.before_seconds)
    if not selected:
        print(f"{file}: no line of request {request_id}", file=sys.stderr)
        return EXIT_NOT_FOUND
    if settings.json:
        print(format_json([line.values for line in selected]))
        return 0
    for line in selected:
        print(_format_line(line))
    return 0


def parse_log_lines(text_lines: Iterable[str]) -> Iterable[LogLine]:
    """Yield the events among ``text_lines``, skipping other lines."""
    for text in text_lines:
        source, brace, rest = text.partition("{")
        try:
            values = json.loads(brace + rest)
            yield LogLine(source.strip(), float(values["at"]), values)
        except (ValueError, KeyError, TypeError):
            continue


def select_lines(
    lines: list[LogLine], request_id: str, before_seconds: float
) -> list[LogLine]:
    """Return the lines of a request and related lines of the same VMs, by time.

    Related lines are about the request's engines or about no particular engine.
    Their times range from ``before_seconds`` before the request's first line to its
    last line.
    """
    request_lines = [line for line in lines if line.values.get("request") == request_id]
    if not request_lines:
        return []
    vm_names = {_vm_name(line) for line in request_lines}
    engines = {line.values[key] for line in request_lines for key in _engine_keys(line)}
    first, last = request_lines[0].at - before_seconds, request_lines[-1].at
    related_lines = [
        line
        for line in lines
        if first <= line.at <= last
        and _vm_name(line) in vm_names
        and line.may_affect(engines)
    ]
    return sorted([*request_lines, *related_lines], key=lambda line: line.at)


def _engine_keys(line: LogLine) -> list[str]:
    """Return the keys of ``line`` whose values name an engine."""
    keys = ("engine", "cache_source")
    return [key for key in keys if line.values.get(key)]


def _vm_name(line: LogLine) -> str:
    """Return the last word before the event, where log collectors put the VM name."""
    words = line.source.split()
    return words[-1] if words else ""


def _format_line(line: LogLine) -> str:
    hidden = {"at", "level", "event", "name"}
    values = {k: v for k, v in line.values.items() if k not in hidden}
    pairs = " ".join(f"{k}={v}" for k, v in values.items() if v not in ("", None))
    event = f"{line.values['event']} {line.values['name']}"
    return f"{line.at:.3f} {_vm_name(line)} {event} {pairs}".replace("  ", " ")
