"""The glossary names every field that the platform adapter reads."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
READ = re.compile(r'read_(?:field|seconds|address)\(\s*\w+,\s*"(\w+)"')


def fields_read():
    found = set()
    for path in (ROOT / "dotterelpitch" / "platform").glob("*.py"):
        found |= set(READ.findall(path.read_text()))
    return sorted(found)


def test_the_adapter_stays_small():
    paths = (ROOT / "dotterelpitch" / "platform").glob("*.py")
    assert sum(len(path.read_text().splitlines()) for path in paths) < 900


@pytest.mark.parametrize("name", fields_read())
def test_a_field_of_the_wire_has_its_row(name):
    text = (ROOT / "docs" / "GLOSSARY.md").read_text()
    table = text.partition("The platform's names")[2]
    assert f"`{name}`" in table, f"docs/GLOSSARY.md lacks the platform's {name}"
