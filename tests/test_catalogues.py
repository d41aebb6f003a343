"""The documentation pages of events and settings match the code."""

import re
from pathlib import Path

import attrs
import pytest

from dotterelpitch.cli.program import SETTINGS_CLASSES
from dotterelpitch.settings import describe_default, flag_name, variable_name
from dotterelpitch.telemetry.events import Event

DOCS = Path(__file__).parent.parent / "docs"
EVENT_ROW = re.compile(r"\| (\d{3}) \| (\w+) \| (\w+) \| ([^|]+) \| ([^|]+) \|")
LEVEL_NAMES = {10: "DEBUG", 20: "INFO", 30: "WARNING", 40: "ERROR"}


def documented_events():
    text = (DOCS / "EVENTS.md").read_text()
    return {int(m[1]): m for m in EVENT_ROW.finditer(text)}


@pytest.mark.parametrize("event", Event, ids=lambda e: e.name)
def test_each_event_has_a_catalogue_row(event):
    level = LEVEL_NAMES[event.level]
    start = f"| {event.number} | {event.name.lower()} | {level} | {event.meaning} |"
    row = documented_events().get(event.number)
    assert row, f"docs/EVENTS.md lacks a row; add: {start} WHAT TO DO |"
    assert row[0].startswith(start), f"docs/EVENTS.md: expected {start!r}"


def test_catalogue_has_no_other_rows_and_numbers_are_unique():
    numbers = [event.number for event in Event]
    assert sorted(set(numbers)) == sorted(numbers), "duplicate number in Event"
    stale = sorted(set(documented_events()) - set(numbers))
    assert not stale, f"docs/EVENTS.md has rows without an event in code: {stale}"


SETTINGS_ROW = re.compile(r"\| `(--[\w-]+)` \| `(\w+)` \| ([^|]+) \| ([^|]+) \|")


def documented_settings():
    rows_by_program = {}
    for section in (DOCS / "SETTINGS.md").read_text().split("\n## ")[1:]:
        program = section.splitlines()[0].strip("` ")
        rows_by_program[program] = SETTINGS_ROW.findall(section)
    return rows_by_program


def settings_rows(cls):
    return [
        (
            flag_name(field.name),
            variable_name(field.name),
            describe_default(field),
            field.metadata["help"],
        )
        for field in attrs.fields(cls)
    ]


@pytest.mark.parametrize("entry", SETTINGS_CLASSES, ids=lambda e: e.program)
def test_each_setting_has_a_row(entry):
    documented = documented_settings().get(entry.program)
    assert documented is not None, f"docs/SETTINGS.md lacks '## {entry.program}'"
    expected = settings_rows(entry.load())
    lines = "\n".join(f"| `{f}` | `{v}` | {d} | {h} |" for f, v, d, h in expected)
    assert documented == expected, (
        f"run scripts/write-settings-page; expected:\n{lines}"
    )
