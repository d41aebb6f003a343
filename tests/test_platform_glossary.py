"""The platform adapter stays small, and the glossary documents the fields it reads."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
READ_CALL = re.compile(r'read_(?:field|seconds|address)\(\s*\w+,\s*"(\w+)"')


def fields_read():
    names = set()
    for path in (ROOT / "dotterelpitch" / "platform").glob("*.py"):
        names |= set(READ_CALL.findall(path.read_text()))
    return sorted(names)


def test_platform_adapter_stays_under_900_lines():
    paths = (ROOT / "dotterelpitch" / "platform").glob("*.py")
    assert sum(len(path.read_text().splitlines()) for path in paths) < 900


@pytest.mark.parametrize("name", fields_read())
def test_each_wire_field_has_a_glossary_row(name):
    text = (ROOT / "docs" / "GLOSSARY.md").read_text()
    table = text.partition("The platform's names")[2]
    assert f"`{name}`" in table, f"docs/GLOSSARY.md lacks the platform's {name}"
