"""Tests of the ``trace`` command on saved log lines."""

import json

import pytest

from dotterelpitch.cli.settings import TraceSettings
from dotterelpitch.cli.trace import parse_log_lines, select_lines, trace


def line(at, vm, **values):
    """Return the text of a log line, ``at`` in seconds."""
    return f"{at:9.4f} {vm} " + json.dumps(
        {"at": at, "level": "INFO", "event": 1, "name": "n", **values}
    )


LINES = [
    line(1.0, "vm1", engine="e1", step="too early"),
    line(7.0, "vm1", engine="e1", step="engine listed"),
    line(7.1, "vm2", engine="e1", step="another vm"),
    line(7.2, "vm1", engine="e9", step="another engine"),
    line(7.3, "vm1", step="store unreachable"),
    line(8.0, "vm1", request="r1", engine="e1", cache_source="e2", step="chosen"),
    "a line { without an event",
    line(8.1, "vm1", request="r2", engine="e1", step="another request"),
    line(8.2, "vm1", engine="e2", step="source gone"),
    line(8.3, "vm1", request="r1", step="ended"),
    line(8.4, "vm1", engine="e1", step="later"),
]


def test_request_lines_include_preceding_engine_events():
    selected = select_lines(list(parse_log_lines(LINES)), "r1", before_seconds=5.0)
    assert [entry.values["step"] for entry in selected] == [
        "engine listed",
        "store unreachable",
        "chosen",
        "source gone",
        "ended",
    ]


@pytest.mark.parametrize(("request_id", "code"), [("r1", 0), ("r7", 1)])
def test_trace_reports_whether_the_request_was_found(
    tmp_path, capsys, request_id, code
):
    path = tmp_path / "log"
    path.write_text("\n".join(LINES))
    assert trace(TraceSettings(), request_id, str(path)) == code
    printed = capsys.readouterr()
    assert ("request=r1" in printed.out) is (code == 0)
    assert ("r7" in printed.err) is (code == 1)


def test_missing_file_prints_one_error_line(tmp_path, capsys):
    assert trace(TraceSettings(), "r1", str(tmp_path / "none")) == 1
    assert len(capsys.readouterr().err.splitlines()) == 1
