"""The platform's settings file: an invalid one ends the start with a one-line error."""

import json
import subprocess
import sys

import pytest

from dotterelpitch.errors import SettingsError
from dotterelpitch.platform.vm_settings import read_vm_settings
from tests.harness.processes import REPOSITORY

VALID_SETTINGS = {
    "node_name": "vm1",
    "zone": "a",
    "ip": "127.0.0.1",
    "listen": {
        "front": "127.0.0.1:8001",
        "ready": "127.0.0.1:8002",
        "control": "127.0.0.1:8003",
    },
    "seeds": ["127.0.0.1:8003"],
    "limits": {"memory_mb": 300},
    "bounds": {"grace_s": 8, "retry_budget": 0.2},
    "platform": {"address": "127.0.0.1:9000"},
    "a_new_field": [1, 2],
}


def write_settings(tmp_path, path=(), value=None):
    """Write VALID_SETTINGS with one value replaced; return the name of the file."""
    content = json.loads(json.dumps(VALID_SETTINGS))
    table = content
    for step in path[:-1]:
        table = table[step]
    if path:
        table[path[-1]] = value
    file = tmp_path / "settings.json"
    file.write_text(json.dumps(content))
    return str(file)


def test_valid_file_is_decoded_and_unknown_fields_are_ignored(tmp_path):
    settings = read_vm_settings(write_settings(tmp_path))
    assert settings.vm_name == "vm1"
    assert settings.peer_listen == "127.0.0.1:8003"
    assert settings.promises.retry_share == 0.2
    assert settings.promises.stop_grace_s == 8


@pytest.mark.parametrize(
    ("path", "value", "field"),
    [
        (["node_name"], 5, "node_name"),
        (["listen"], None, "listen"),
        (["listen", "front"], "no address", "front"),
        (["listen", "control"], "host.example:80", "control"),
        (["seeds"], ["127.0.0.1"], "seeds"),
        (["platform", "address"], 7, "address"),
        (["bounds", "grace_s"], "long", "grace_s"),
        (["bounds"], [], "bounds"),
    ],
)
def test_error_names_the_invalid_field(tmp_path, path, value, field):
    with pytest.raises(SettingsError, match=field):
        read_vm_settings(write_settings(tmp_path, path, value))


@pytest.mark.parametrize("text", ["", "{", "[]", '{"node_name": 5}'])
def test_invalid_file_exits_with_one_line_and_code_2(tmp_path, text):
    file = tmp_path / "settings.json"
    file.write_text(text)
    command = [sys.executable, "-m", "dotterelpitch.gateway", f"--settings={file}"]
    process = subprocess.run(command, cwd=REPOSITORY, capture_output=True, text=True)
    assert process.returncode == 2
    assert len(process.stderr.splitlines()) == 1
    assert str(file) in process.stderr
