"""Tests of the operator commands on a running fleet, and of ``check`` on files."""

import json

import pytest

from dotterelpitch.cli.check import check
from dotterelpitch.cli.fleet_commands import drain, events, explain, status
from dotterelpitch.cli.settings import CheckSettings, EventsSettings, OperatorSettings
from tests.harness.fleet import CLUSTER_KEY, MODEL, SERVICE, Fleet, FleetShape
from tests.harness.ports import free_address
from tests.harness.waiting import eventually

TIMEOUT_SECONDS = 20.0
MESSAGES = [{"role": "user", "content": "describe the scent of rain"}]


def settings_for(fleet, cls=OperatorSettings, **changes):
    agent = fleet.vm_by_name["d1-v1"].agent_proxy.address
    values = {"cluster_key": CLUSTER_KEY, "connect": agent, **changes}
    return cls(**values)


async def read_metrics(fleet, vm):
    url = f"http://{fleet.vm_by_name[vm].http_address}/metrics"
    async with fleet.session.get(url) as response:
        assert response.status == 200
        return (await response.text()).splitlines()


async def test_agent_metrics_include_age_of_documents():
    address = free_address()
    shape = FleetShape(
        vms_per_domain=1, plains_per_domain=0, agent_flags={"metrics_listen": address}
    )
    async with Fleet(shape) as fleet:

        async def has_age():
            async with fleet.session.get(f"http://{address}/metrics") as response:
                text = await response.text()
            return f'document_age_seconds{{service="{SERVICE}"}}' in text

        await eventually(has_age, TIMEOUT_SECONDS, "the age of the document")


async def test_commands_and_metrics_show_the_state_of_the_fleet(capsys):
    shape = FleetShape(
        engines_per_domain=2, plains_per_domain=0, router_flags={"grace_seconds": 5}
    )
    async with Fleet(shape) as fleet:
        settings = settings_for(fleet)
        as_json = settings_for(fleet, json=True)
        answer = await fleet.caller("d1-v1").chat(MODEL, MESSAGES)
        assert answer.status == 200

        assert await status(settings) == 0
        text = capsys.readouterr().out
        assert text.count(" ready ") == 4
        assert f"{SERVICE}@" in text
        assert {"d1-e1", "d1-e2"} <= set(text.split())

        assert await status(as_json) == 0
        report = json.loads(capsys.readouterr().out)
        assert report["unreachable"] == {}
        assert {p["role"] for p in report["processes"]} == {"agent", "router"}

        assert await explain(as_json, answer.request_id) == 0
        (decision,) = json.loads(capsys.readouterr().out)
        assert decision["chosen"] == answer.engine
        assert decision["alternatives"][-1]["answer"] == "admitted"
        assert await explain(settings, answer.request_id) == 0
        assert answer.engine in capsys.readouterr().out

        router = fleet.vm_by_name["d1-v1"].router_proxy.address
        at_router = settings_for(fleet, EventsSettings, connect=router, json=True)
        assert await events(at_router) == 0
        names = {line["name"] for line in json.loads(capsys.readouterr().out)}
        assert {"process_started", "route_chosen"} <= names

        lines = await read_metrics(fleet, "d1-v1")
        values = dict(line.rsplit(" ", 1) for line in lines if line[0] != "#")
        labels = 'outcome="completed",service="chat"'
        assert values[f"dotterelpitch_requests_total{{{labels}}}"] == "1.0"
        assert f'dotterelpitch_document_revision{{service="{SERVICE}"}}' in values
        assert any(name.startswith("dotterelpitch_control_bytes") for name in values)
        assert any(name.startswith("dotterelpitch_queue_time") for name in values)
        assert "dotterelpitch_leases_held" in values

        assert await drain(settings, "d1-v2") == 0
        assert "d1-v2: stopping" in capsys.readouterr().out
        code = await fleet.vm_by_name["d1-v2"].router.wait_or_kill(TIMEOUT_SECONDS)
        assert code == 0
        assert await status(settings) == 1
        assert "unreachable" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("run", "changes", "expected"),
    [
        (
            lambda s: explain(s, "no-such-id"),
            {},
            "no router has a decision for no-such-id",
        ),
        (lambda s: drain(s, "no-such-vm"), {}, "not a listed entry VM"),
        (status, {"cluster_key": "wrong"}, "error: "),
        (status, {"connect": "127.0.0.1:9"}, "error: 127.0.0.1:9"),
    ],
    ids=["unknown request", "unknown VM", "wrong key", "connection refused"],
)
async def test_failed_command_prints_one_error_line_and_returns_1(
    run, changes, expected, capsys
):
    shape = FleetShape(vms_per_domain=1, plains_per_domain=0)
    async with Fleet(shape) as fleet:
        assert await run(settings_for(fleet, **changes)) == 1
    error = capsys.readouterr().err
    assert expected in error
    assert error.count("\n") == 1


@pytest.mark.parametrize(
    ("text", "code", "expected"),
    [
        ('{"service": "s"}', 0, "valid"),
        ("service: s", 0, "valid"),
        (
            '{"service": 5, "x": 1}',
            1,
            "$.service: must be a string\n$.x: unknown field",
        ),
        (": [", 1, "$: neither JSON nor YAML"),
    ],
)
def test_check_prints_every_problem_of_a_file(text, code, expected, tmp_path, capsys):
    file = tmp_path / "document"
    file.write_text(text)
    assert check(CheckSettings(), str(file)) == code
    output = capsys.readouterr()
    assert expected in output.out + output.err
    assert check(CheckSettings(json=True), str(file)) == code
    assert bool(json.loads(capsys.readouterr().out)["problems"]) == bool(code)


def test_check_reports_missing_file(capsys):
    assert check(CheckSettings(), "/no/such/file") == 1
    assert "No such file" in capsys.readouterr().err
