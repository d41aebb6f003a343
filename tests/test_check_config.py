"""A configuration is checked before it is sent, with the gateway's own decoder."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dotterelpitch.cli.check_config import (
    EXIT_FINDINGS,
    EXIT_UNREADABLE,
    check_config,
    make_report,
)
from dotterelpitch.platform.config_record import ConfigDecoder, find_config_errors

ROUTE = {
    "name": "r1",
    "host": "calls.example",
    "path_prefix": "/a/",
    "kind": "safe",
    "service": "calls",
    "timeout_ms": 1000,
    "slo_ms": 100,
}
SERVICE = {"name": "calls", "max_conns": 100}
ACCOUNT = {"name": "packers", "api_keys": ["k1"]}


def make_config(version=1, **changes):
    content = {
        "version": version,
        "routes": [ROUTE],
        "services": [SERVICE],
        "tenants": [ACCOUNT],
        "limits": {},
    }
    return {**content, **changes}


def encode(content):
    return json.dumps(content).encode()


def report_of(content, in_force=None):
    value_in_force = encode(in_force) if in_force else None
    return make_report("file", encode(content), value_in_force)


def test_clean_configuration():
    report = report_of(make_config())
    assert (report.errors, report.findings, report.exit_code) == ([], [], 0)


# Guards against: an operator sends what the gateway rejects, entries without effect, or
# limits that contradict each other.
@pytest.mark.parametrize(
    ("changes", "kind"),
    [
        ({"routes": [ROUTE, {**ROUTE, "name": "r2"}]}, "hidden-route"),
        ({"routes": [ROUTE, {**ROUTE, "path_prefix": "/b"}]}, "unreachable-route"),
        ({"routes": [ROUTE, {**ROUTE, "path_prefix": "b/"}]}, "unreachable-route"),
        ({"routes": [ROUTE, {**ROUTE, "host": "x:80"}]}, "unreachable-route"),
        (
            {"routes": [ROUTE, {**ROUTE, "host": "x", "service": "no"}]},
            "unknown-service",
        ),
        ({"services": [SERVICE, {"name": "spare"}]}, "unused-service"),
        ({"tenants": []}, "no-keys"),
        ({"tenants": [{"name": "packers", "api_keys": []}]}, "no-keys"),
        (
            {"routes": [{**ROUTE, "backends": [{"service": "calls", "weight": 0}]}]},
            "no-weight",
        ),
        ({"routes": [{**ROUTE, "slo_ms": 2000}]}, "objective-over-timeout"),
        ({"routes": [{**ROUTE, "timeout_ms": 0}]}, "objective-over-timeout"),
        ({"routes": [{**ROUTE, "stream_resume": True}]}, "useless-resumption"),
        (
            {"routes": [{**ROUTE, "kind": "streaming", "stream_resume": True}]},
            "useless-resumption",
        ),
        ({"services": [{**SERVICE, "cold_s": 3.0}]}, "cold-without-rate"),
        ({"services": [{**SERVICE, "max_conns": 0}]}, "no-connections"),
        (
            {"limits": {"idle_timeout_ms": 1000, "header_timeout_ms": 3000}},
            "idle-under-head",
        ),
    ],
)
def test_findings(changes, kind):
    report = report_of(make_config(**changes))
    assert kind in {finding.kind for finding in report.findings}
    assert report.exit_code == EXIT_FINDINGS


# Guards against: an operator who is told that routes are open where all are refused.
@pytest.mark.parametrize(
    ("changes", "effect"),
    [({"tenants": []}, "refuse all callers"), ({}, "are public")],
)
def test_effect_of_a_configuration_without_keys(changes, effect):
    content = make_config()
    del content["tenants"]
    report = report_of(content | changes)
    assert [effect in finding.text for finding in report.findings] == [True]


@pytest.mark.parametrize(
    ("changes", "error"),
    [
        ({"version": "1"}, "version: '1' has the wrong type"),
        ({"routes": {}}, "routes: {} has the wrong type"),
        ({"routes": [{}, ROUTE, {**ROUTE, "timeout_ms": "x"}]}, "routes.2.timeout_ms:"),
        ({"services": [{"max_conns": 1}]}, "services.0.name: missing"),
        ({"tenants": [{"name": 7}]}, "tenants.0.name: 7 has the wrong type"),
    ],
)
def test_each_wrong_field_is_named_with_its_path(changes, error):
    report = report_of(make_config(**changes))
    assert any(found.startswith(error) for found in report.errors), report.errors
    assert report.exit_code == EXIT_FINDINGS


@pytest.mark.parametrize(
    ("changes", "where", "effect"),
    [
        ({"version": 1}, "version", "ignored"),
        ({"routes": []}, "route calls.example/a/", "404"),
        (
            {"routes": [{**ROUTE, "service": "other"}]},
            "route calls.example/a/",
            "those under way stay",
        ),
        (
            {"routes": [{**ROUTE, "timeout_ms": 500}]},
            "route calls.example/a/",
            "for new requests",
        ),
        ({"tenants": [{**ACCOUNT, "api_keys": []}]}, "account packers", "401"),
        (
            {"tenants": [{"name": "others", "api_keys": ["k1"]}]},
            "account packers",
            "counted as that account's",
        ),
        ({"services": []}, "service calls", "default limits"),
        ({"limits": {"max_body_bytes": 1}}, "limits", "for new requests"),
    ],
)
def test_changes_of_the_one_in_force(changes, where, effect):
    report = report_of({**make_config(2), **changes}, in_force=make_config(1))
    found = [change for change in report.changes if change.where == where]
    assert any(effect in change.effect for change in found), report.changes


# Guards against: keys that a report shows to whoever reads it.
def test_report_names_no_key():
    changes = {"tenants": [{"name": "packers", "api_keys": ["secret"]}]}
    report = report_of({**make_config(2), **changes}, in_force=make_config(1))
    assert "secret" not in repr(report)


def test_exit_codes(tmp_path, capsys):
    good, bad = tmp_path / "good.json", tmp_path / "bad.json"
    good.write_bytes(encode(make_config()))
    bad.write_bytes(b"{")
    assert check_config(str(good), "", as_json=False) == 0
    assert check_config(str(good), str(good), as_json=True) == 0
    assert check_config(str(bad), "", as_json=False) == EXIT_FINDINGS
    assert check_config(str(good), str(bad), as_json=False) == EXIT_UNREADABLE
    assert check_config("/no/such/file", "", as_json=False) == EXIT_UNREADABLE
    assert "nothing found" in capsys.readouterr().out


NAMES = [*ROUTE, *SERVICE, "tenants"]
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(st.sampled_from(NAMES), children, max_size=3)
    ),
    max_leaves=6,
)


# Guards against: a traceback in place of a report, and a report that differs from what
# the gateway takes.
@settings(deadline=None)
@given(st.dictionaries(st.sampled_from(list(make_config())), JSON, max_size=2))
def test_any_json_gives_a_report(changes):
    value = encode(make_config(**changes))
    report = make_report("file", value, encode(make_config()))
    if not report.errors:
        ConfigDecoder().decode(value)


@given(value=st.binary(max_size=40))
def test_any_bytes_give_a_report(value):
    assert find_config_errors(value) or json.loads(value)
