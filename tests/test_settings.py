"""Settings: precedence of flags, variables, and defaults; one line per error."""

import contextlib

import pytest
from attrs import frozen

from dotterelpitch.cli.arguments import parse_arguments
from dotterelpitch.cli.program import Command, run_commands, run_program
from dotterelpitch.errors import SettingsError
from dotterelpitch.settings import (
    check_address,
    check_positive,
    check_variables,
    conflict_error,
    load_settings,
    setting,
)


@frozen
class Sample:
    """Settings with a field of each type and a check of two fields together."""

    vm_name: str = setting("The VM's name.")
    listen: str = setting("Where to listen.", "127.0.0.1:0", check_address)
    grace: float = setting("Seconds to finish.", 30.0, check_positive)
    limit: int = setting("Open streams.", 100)
    verbose: bool = setting("Log more.", False)
    domains: tuple[str, ...] = setting("Failure domains.", ())
    cluster_key: str = setting("The shared key.", "", secret=True)

    def validate(self) -> None:
        if self.grace < 1 and self.limit > 1000:
            raise conflict_error("grace", "limit", "too many streams for the grace")


def load(arguments, environ=()):
    flags = parse_arguments(Sample, arguments).flags
    return load_settings(Sample, flags, dict(environ))


@pytest.mark.parametrize(
    ("arguments", "environ", "field", "expected"),
    [
        (["--vm-name", "007"], {}, "vm_name", "007"),
        (["--vm-name=1e5"], {}, "vm_name", "1e5"),
        (["--vm_name=a"], {}, "vm_name", "a"),
        (["--vm-name=a"], {"DOTTERELPITCH_VM_NAME": "b"}, "vm_name", "a"),
        ([], {"DOTTERELPITCH_VM_NAME": "b"}, "vm_name", "b"),
        (["--vm-name=a"], {}, "grace", 30.0),
        (["--vm-name=a", "--grace", "2"], {}, "grace", 2.0),
        (["--vm-name=a", "--verbose"], {}, "verbose", True),
        (["--verbose", "--vm-name=a"], {}, "verbose", True),
        (["--vm-name=a", "--domains=x,y"], {}, "domains", ("x", "y")),
        (["--vm-name=a", "--listen=[::1]:80"], {}, "listen", "[::1]:80"),
    ],
)
def test_flags_override_variables_and_defaults(arguments, environ, field, expected):
    assert getattr(load(arguments, environ), field) == expected


@pytest.mark.parametrize(
    ("arguments", "environ", "parts"),
    [
        ([], {}, ["--vm-name", "DOTTERELPITCH_VM_NAME", "needed"]),
        (["--vm-name"], {}, ["--vm-name", "needed"]),
        (["--vm-nam=a"], {}, ["--vm-nam", "did you mean --vm-name"]),
        (["--vm-nam", "a"], {}, ["--vm-nam", "did you mean --vm-name"]),
        (["--nonsense"], {}, ["--nonsense", "unknown flag"]),
        (["--vm-name=a", "--vm-name=b"], {}, ["--vm-name", "twice"]),
        (["stray"], {}, ["stray", "unexpected"]),
        (["--vm-name=a", "--listen=localhost:1"], {}, ["--listen", "IP:port"]),
        (["--vm-name=a", "--listen=127.0.0.1:99999"], {}, ["--listen", "IP:port"]),
        (["--vm-name=a", "--grace=-1"], {}, ["DOTTERELPITCH_GRACE", "above 0"]),
        (["--vm-name=a", "--grace=nan"], {}, ["--grace", "finite"]),
        (["--vm-name=a"], {"DOTTERELPITCH_LIMIT": "x"}, ["--limit", "whole number"]),
        (["--vm-name=a", "--verbose=maybe"], {}, ["--verbose", "true or false"]),
        (
            ["--vm-name=a", "--grace=0.5", "--limit=2000"],
            {},
            ["--grace", "--limit", "DOTTERELPITCH_LIMIT", "too many"],
        ),
    ],
)
def test_invalid_setting_is_reported_in_one_line(arguments, environ, parts):
    with pytest.raises(SettingsError) as caught:
        load(arguments, environ)
    line = str(caught.value)
    assert "\n" not in line
    assert [part for part in parts if part not in line] == []


def test_unknown_variables_are_reported_except_those_of_tests():
    check_variables([Sample], {"DOTTERELPITCH_TEST_PYTHON": "x", "PATH": "y"})
    with pytest.raises(SettingsError, match="did you mean DOTTERELPITCH_GRACE"):
        check_variables([Sample], {"DOTTERELPITCH_GRACES": "1"})


def test_secret_is_absent_from_repr():
    settings = load(["--vm-name=a", "--cluster-key=hush"])
    assert settings.cluster_key == "hush"
    assert "hush" not in repr(settings)


@pytest.mark.parametrize(
    ("arguments", "code"), [(["--help"], 0), (["-h"], 0), (["--bad=1"], 2)]
)
def test_exit_codes(arguments, code, capsys):
    with pytest.raises(SystemExit) as caught:
        run_program("sample", Command("Shows settings.", Sample, print), arguments)
    assert caught.value.code == code
    output = capsys.readouterr()
    assert ("--vm-name" in output.out) == (code == 0)
    assert output.err.count("\n") == (code == 2)


@pytest.mark.parametrize(
    ("arguments", "expected"),
    [
        (["show", "f", "--vm-name=a"], "f"),
        (["show", "--vm-name=a", "--verbose", "f"], "f"),
        (["show", "--verbose", "true", "f", "--vm-name", "a"], "f"),
        (["show", "--vm-name=a"], "FILE: a value is needed"),
        (["show", "f", "g", "--vm-name=a"], "g: unexpected"),
        (["sho", "f"], "not one of show"),
    ],
)
def test_positional_arguments_mix_with_flags(arguments, expected, capsys):
    commands = {"show": Command("Shows.", Sample, lambda _, f: print(f), ("FILE",))}
    with contextlib.suppress(SystemExit):
        run_commands("sample", "Shows settings.", commands, arguments)
    output = capsys.readouterr()
    assert expected in output.out + output.err
