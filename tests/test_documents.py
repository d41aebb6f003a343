"""Documents: every invalid field is reported with its path; route matching."""

import json
import time
from pathlib import Path

import attrs
import pytest

from dotterelpitch.documents.model import EndpointKind, Route, ServiceDocument
from dotterelpitch.documents.parsing import (
    MAX_DOCUMENT_BYTES,
    document_from_mapping,
    document_to_json,
    parse_document,
)
from dotterelpitch.documents.route_matching import match_route
from dotterelpitch.errors import DocumentError

EXAMPLES = Path(__file__).parent.parent / "examples"
ENGINE = {"name": "e1", "address": "127.0.0.1:9001", "failure_domain": "a"}
PLAIN = ENGINE | {"name": "p1", "address": "127.0.0.1:9002", "kind": "plain"}
ACCOUNT = {"name": "c", "key_sha256": "0" * 64}
ROUTE = {"method": "POST", "path": "/swaps", "idempotent": False}
MODEL = {"name": "m"}
VALID = {
    "service": "s",
    "endpoints": [ENGINE, PLAIN],
    "models": [MODEL],
    "client_accounts": [ACCOUNT],
    "routes": [ROUTE],
}
MAX_PARSE_SECONDS = 1.0


def problems_of(changes):
    """Return the problems of the valid document with ``changes`` applied."""
    with pytest.raises(DocumentError) as caught:
        parse_document(json.dumps(VALID | changes))
    return caught.value.problems


@pytest.mark.parametrize("path", sorted(EXAMPLES.iterdir()), ids=lambda p: p.name)
def test_examples_are_valid_and_round_trip(path):
    document = parse_document(path.read_bytes(), accept_yaml=True)
    assert parse_document(document_to_json(document)) == document
    assert document.plain_endpoints()[0].kind is EndpointKind.PLAIN


@pytest.mark.parametrize(
    ("changes", "paths"),
    [
        ({"service": 5}, ["$.service"]),
        ({"service": ""}, ["$.service"]),
        ({"service": "a/b"}, ["$.service"]),
        ({"colour": 1}, ["$.colour"]),
        ({"revision": "7"}, ["$.revision"]),
        ({"revision": True}, ["$.revision"]),
        ({"revision": -1}, ["$.revision"]),
        ({"load_bound": 1}, ["$.load_bound"]),
        ({"load_bound": "2"}, ["$.load_bound"]),
        ({"load_bound": 10**400}, ["$.load_bound"]),
        ({"repeat_window": 0}, ["$.repeat_window"]),
        ({"timeouts": {"total": 0, "connect": -1}}, ["$.timeouts.connect"]),
        ({"timeouts": {"totl": 1}}, ["$.timeouts.totl"]),
        ({"timeouts": []}, ["$.timeouts"]),
        ({"endpoints": {}}, ["$.endpoints"]),
        ({"endpoints": [PLAIN, 3]}, ["$.endpoints[1]"]),
        ({"endpoints": [{"name": "e"}]}, ["$.endpoints[0].address"]),
        ({"endpoints": [ENGINE, PLAIN | {"x": 1}]}, ["$.endpoints[1].x"]),
        ({"endpoints": [PLAIN, ENGINE | {"kind": "gpu"}]}, ["$.endpoints[1].kind"]),
        ({"endpoints": [PLAIN, ENGINE | {"role": "x"}]}, ["$.endpoints[1].role"]),
        ({"endpoints": [PLAIN, ENGINE | {"address": "h:1"}]}, ["$.endpoints[1].add"]),
        (
            {"endpoints": [PLAIN, ENGINE | {"address": "127.0.0.1:0"}]},
            ["$.endpoints[1].address"],
        ),
        ({"endpoints": [PLAIN, ENGINE | {"failure_domain": ""}]}, ["$.endpoints[1].f"]),
        ({"endpoints": [PLAIN, ENGINE | {"concurrency": 0}]}, ["$.endpoints[1].con"]),
        ({"endpoints": [ENGINE, PLAIN, ENGINE]}, ["$.endpoints[2].name"]),
        (
            {"endpoints": [ENGINE, PLAIN, ENGINE | {"name": "e2"}]},
            ["$.endpoints[2].address"],
        ),
        ({"models": [{"name": "m", "replicas": 2}]}, ["$.models[0].replicas"]),
        ({"models": [{"name": "m", "replicas": -1}]}, ["$.models[0].replicas"]),
        ({"models": [MODEL, MODEL]}, ["$.models[1].name"]),
        ({"models": [{"name": "m", "adapters": ["x", "x"]}]}, ["$.models[0].adapters"]),
        ({"models": [{"name": "m", "adapters": "x"}]}, ["$.models[0].adapters"]),
        (
            {"client_accounts": [ACCOUNT | {"key_sha256": "F" * 64}]},
            ["$.client_accounts[0].key_sha256"],
        ),
        (
            {"client_accounts": [ACCOUNT, ACCOUNT | {"name": "d"}]},
            ["$.client_accounts[1].key_sha256"],
        ),
        (
            {"client_accounts": [ACCOUNT | {"concurrency": -1}]},
            ["$.client_accounts[0].concurrency"],
        ),
        ({"routes": [ROUTE | {"method": "post"}]}, ["$.routes[0].method"]),
        ({"routes": [ROUTE | {"path": "swaps"}]}, ["$.routes[0].path"]),
        ({"routes": [ROUTE | {"path": "/a*"}]}, ["$.routes[0].path"]),
        ({"routes": [ROUTE | {"path": "/a?b=1"}]}, ["$.routes[0].path"]),
        ({"routes": [ROUTE | {"path": "/a//b"}]}, ["$.routes[0].path"]),
        ({"routes": [ROUTE, ROUTE]}, ["$.routes[1]"]),
        ({"endpoints": [ENGINE]}, ["$.routes[0]"]),
        (
            {
                "load_bound": 0.5,
                "routes": [ROUTE | {"path": ""}],
                "models": [MODEL] * 2,
            },
            ["$.load_bound", "$.models[1].name", "$.routes[0].path"],
        ),
    ],
)
def test_each_invalid_field_is_reported_with_its_path(changes, paths):
    problems = problems_of(changes)
    for path in paths:
        assert any(problem.startswith(path) for problem in problems), problems
    assert all(problem.startswith("$") and ": " in problem for problem in problems)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("", "not JSON"),
        ("{", "not JSON"),
        (b"\xff\xfe", "not JSON"),
        ("[]", "$: must be an object"),
        ("null", "$: must be an object"),
        ('{"service": "a", "service": "b"}', "duplicate key 'service'"),
        ('{"service": "a", "load_bound": NaN}', "NaN"),
        ("[" * 200_000, "nested too deeply"),
        (" " * (MAX_DOCUMENT_BYTES + 1), "larger than"),
        ("service: s", "not JSON"),
    ],
)
def test_malformed_text_is_rejected(text, message):
    with pytest.raises(DocumentError) as caught:
        parse_document(text)
    assert message in str(caught.value)


def test_one_megabyte_document_parses_in_time():
    endpoints = [
        ENGINE | {"name": f"e{n}", "address": f"10.0.{n // 250}.{n % 250}:80"}
        for n in range(13_500)
    ]
    text = json.dumps({"service": "s", "endpoints": endpoints})
    assert 0.9 * MAX_DOCUMENT_BYTES < len(text) <= MAX_DOCUMENT_BYTES
    start = time.process_time()
    assert len(parse_document(text).endpoints) == len(endpoints)
    assert time.process_time() - start < MAX_PARSE_SECONDS


@pytest.mark.parametrize(
    ("method", "path", "expected"),
    [
        ("POST", "/swaps", 0),
        ("post", "/swaps", None),
        ("POST", "/swaps/", None),
        ("POST", "/swaps/7", None),
        ("DELETE", "/swaps/7/now", 1),
        ("DELETE", "/swaps", None),
        ("GET", "/swaps/7/box", 2),
        ("PUT", "/swaps/7/box", 2),
        ("GET", "/a.b", 3),
        ("GET", "/aXb", None),
        ("GET", "/", None),
    ],
)
def test_first_matching_route_applies(method, path, expected):
    routes = [
        Route("POST", "/swaps", idempotent=False),
        Route("DELETE", "/swaps/*"),
        Route("*", "/swaps/*/box"),
        Route("GET", "/a.b"),
    ]
    found = match_route(ServiceDocument("s", routes=routes), method, path)
    assert found == (None if expected is None else routes[expected])


def test_document_json_has_all_fields():
    document = document_from_mapping(VALID)
    assert (
        json.loads(document_to_json(document)).keys() == attrs.asdict(document).keys()
    )
