"""What a gateway loads when it starts, since callers wait for it after a mass kill."""

import subprocess
import sys

import pytest

PRINT_MODULES = (
    "import sys, dotterelpitch.gateway.__main__ as _;"
    "print(*(name for name, module in sys.modules.items() if module))"
)


def loaded_modules():
    run = [sys.executable, "-c", PRINT_MODULES]
    return set(
        subprocess.run(run, capture_output=True, check=True, text=True).stdout.split()
    )


# Guards against: a start that takes longer and more memory for what isn't used.
@pytest.mark.parametrize(
    "name", ["ssl", "_ssl", "_hashlib", "fire", "opentelemetry", "numpy", "yaml"]
)
def test_a_gateway_starts_without_what_it_does_not_use(name):
    assert name not in loaded_modules()
