"""Checks a configuration of the platform before it is sent."""

import sys
from pathlib import Path

from attrs import field, frozen

from dotterelpitch.cli.tables import format_json, format_table
from dotterelpitch.platform.config_record import ConfigDecoder, find_config_errors
from dotterelpitch.routing.config_findings import (
    ConfigChange,
    Finding,
    compare,
    find_all,
)

EXIT_FINDINGS = 1
EXIT_UNREADABLE = 2


@frozen
class ConfigReport:
    """What was found: errors by path, findings, and changes of the one in force."""

    file: str
    errors: list[str] = field(factory=list)
    findings: list[Finding] = field(factory=list)
    changes: list[ConfigChange] = field(factory=list)

    @property
    def exit_code(self) -> int:
        """0 if the configuration is clean, 1 if something was found."""
        return EXIT_FINDINGS if self.errors or self.findings else 0


def check_config(file: str, in_force: str, as_json: bool) -> int:
    """Check the configuration in ``file``, and compare it with that in ``in_force``.

    Prints a report, and returns 0 if it is clean, 1 if something was found, and 2 if a
    file can't be read, or the one in force is no configuration.
    """
    try:
        value = Path(file).read_bytes()
        value_in_force = Path(in_force).read_bytes() if in_force else None
    except OSError as error:
        print(f"{error.filename}: {error.strerror}", file=sys.stderr)
        return EXIT_UNREADABLE
    if value_in_force is not None and find_config_errors(value_in_force):
        print(f"{in_force}: no configuration", file=sys.stderr)
        return EXIT_UNREADABLE
    report = make_report(file, value, value_in_force)
    print(format_json(report) if as_json else _format(report))
    return report.exit_code


def make_report(file: str, value: bytes, value_in_force: bytes | None) -> ConfigReport:
    """Return what is found in the value of a record."""
    errors = find_config_errors(value)
    if errors:
        return ConfigReport(file, errors)
    config = ConfigDecoder().decode(value)
    changes = []
    if value_in_force is not None:
        changes = compare(ConfigDecoder().decode(value_in_force), config)
    return ConfigReport(file, [], find_all(config), changes)


def _format(report: ConfigReport) -> str:
    parts = [f"error: {error}" for error in report.errors]
    if report.findings:
        rows = [(f.kind, f.where, f.text) for f in report.findings]
        parts.append(format_table(("finding", "where", "what"), rows))
    if report.changes:
        rows = [(c.where, c.text, c.effect) for c in report.changes]
        parts.append(format_table(("change", "what", "effect"), rows))
    return "\n\n".join(parts) or f"{report.file}: nothing found"
