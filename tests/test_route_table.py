"""Lookup of routes by host and path prefix, and decoding of config records."""

import json

import pytest

from dotterelpitch.errors import PlatformError
from dotterelpitch.platform.config_record import ConfigDecoder
from dotterelpitch.routing.route_table import (
    CallerLimits,
    CallKind,
    Route,
    RoutingConfig,
    WeightedService,
)


def route(host, prefix, name):
    services = (WeightedService("s", 1.0),)
    return Route(name, host, prefix, CallKind.SAFE, services, 1.0, 0.1)


CONFIG = RoutingConfig(
    1,
    [
        route("a.example", "/", "root"),
        route("a.example", "/x/", "x"),
        route("a.example", "/x/y/", "xy"),
        route("b.example", "/x/", "bx"),
    ],
    {},
    {},
    CallerLimits(),
)


@pytest.mark.parametrize(
    ("host", "path", "expected"),
    [
        ("a.example", "/", "root"),
        ("a.example", "/x", "root"),
        ("a.example", "/x/", "x"),
        ("a.example", "/x/yy", "x"),
        ("a.example", "/x/y/z/1", "xy"),
        ("a.example", "/x//y/", "x"),
        ("a.example", "/x%2fy/", "root"),
        ("A.EXAMPLE:8080", "/x/1", "x"),
        ("b.example", "/x/1", "bx"),
        ("b.example", "/", None),
        ("c.example", "/x/", None),
        ("", "/x/", None),
        ("a.example", "*", None),
        ("a.example", "", None),
    ],
)
def test_route_with_longest_path_prefix_of_the_host_is_found(host, path, expected):
    found = CONFIG.find_route(host, path)
    assert (found.name if found else None) == expected


class CountingPath(str):
    """Counts the slices that are taken of it."""

    slices = 0

    def __getitem__(self, key):
        self.slices += 1
        return super().__getitem__(key)


# Guards against: a lookup that takes longer the more routes there are, or the more
# slashes a caller sends; paths of 16,000 kept a gateway from all other callers.
@pytest.mark.parametrize(
    ("path", "expected"),
    [
        ("/r77/a/b", "r77"),
        ("/" * 16_000, None),
        ("/r4999" + "/" * 16_000, "r4999"),
    ],
)
def test_lookup_cost_is_independent_of_routes_and_slashes(path, expected):
    many = [route("a.example", f"/r{n}/", f"r{n}") for n in range(5_000)]
    config = RoutingConfig(1, many, {}, {}, CallerLimits())
    counting = CountingPath(path)
    found = config.find_route("a.example", counting)
    assert (found.name if found else None) == expected
    prefix_lengths = 4
    assert counting.slices <= min(path.count("/"), prefix_lengths)


RECORD = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "host": "h",
            "path_prefix": "/p/",
            "kind": "streaming",
            "timeout_ms": 12000,
            "slo_ms": 600,
            "priority": 1,
            "backends": [
                {"service": "s1", "weight": 90},
                {"service": "s2", "weight": 10},
            ],
            "max_attempts": 2,
            "public": False,
            "session_affinity": True,
            "stream_resume": True,
            "gap_target_ms": 300,
        }
    ],
    "services": [{"name": "s1", "max_conns": 310, "engine": {"capacity": 48}}],
    "limits": {"max_body_bytes": 10, "idle_timeout_ms": 2000},
    "tenants": [{"name": "t", "api_keys": ["k1", "k2"], "priority": 1}],
    "a_new_field": {"of": ["a later version"]},
}


def changed_record(path, value):
    """Return RECORD as JSON with the value at ``path`` replaced."""
    content = json.loads(json.dumps(RECORD))
    table = content
    for step in path[:-1]:
        table = table[step]
    table[path[-1]] = value
    return json.dumps(content).encode()


def test_config_record_is_decoded():
    config = ConfigDecoder().decode(json.dumps(RECORD).encode())
    found = config.find_route("h", "/p/1")
    assert config.version == 7
    assert found.services == (WeightedService("s1", 90), WeightedService("s2", 10))
    assert (found.timeout_s, found.objective_s, found.pause_s) == (12.0, 0.6, 0.3)
    assert found.kind is CallKind.STREAM
    assert found.is_retryable
    assert config.account_by_key["k2"].name == "t"
    assert config.service_by_name["s1"].max_connections == 310
    assert config.limits.max_body_bytes == 10
    assert config.limits.idle_timeout_s == 2.0


@pytest.mark.parametrize(
    ("path", "value", "is_reused"),
    [
        (["version"], 8, True),
        (["routes", 0, "timeout_ms"], 9000, False),
        (["routes", 0, "backends", 0, "weight"], 50, False),
        (["routes", 0, "host"], "other", False),
    ],
)
def test_only_changed_routes_are_decoded_again(path, value, is_reused):
    decoder = ConfigDecoder()
    before = decoder.decode(json.dumps(RECORD).encode()).routes[0]
    after = decoder.decode(changed_record(path, value)).routes[0]
    fresh = ConfigDecoder().decode(changed_record(path, value)).routes[0]
    assert after == fresh
    assert (after is before) is is_reused


@pytest.mark.parametrize(
    ("path", "value", "field"),
    [
        (["version"], "7", "version"),
        (["version"], True, "version"),
        (["routes"], None, "routes"),
        (["routes", 0, "path_prefix"], 3, "path_prefix"),
        (["routes", 0, "timeout_ms"], "long", "timeout_ms"),
        (["routes", 0, "backends", 0], "s1", "service"),
        (["tenants", 0, "api_keys"], "k1", "api_keys"),
        (["limits"], [], "limits"),
    ],
)
def test_error_names_the_invalid_config_field(path, value, field):
    with pytest.raises(PlatformError, match=field):
        ConfigDecoder().decode(changed_record(path, value))


@pytest.mark.parametrize(
    ("kind", "resumable", "is_retryable"),
    [
        ("safe", False, True),
        ("unsafe", False, False),
        ("unsafe", True, True),
        ("streaming", False, False),
        ("streaming", True, True),
        ("a-new-kind", False, False),
    ],
)
def test_retryability_follows_from_kind_and_resumability(kind, resumable, is_retryable):
    content = json.loads(changed_record(["routes", 0, "kind"], kind))
    content["routes"][0]["stream_resume"] = resumable
    config = ConfigDecoder().decode(json.dumps(content).encode())
    assert config.find_route("h", "/p/").is_retryable is is_retryable
