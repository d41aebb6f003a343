"""Tests of the router's responses to invalid requests.

Each must get an error response that names the invalid field and has an outcome, and
the router must go on serving without logging the key of the client account.
"""

import asyncio
import json

import attrs
import pytest
import pytest_asyncio

from tests.harness.fleet import ACCOUNT_KEY, MODEL, SERVICE, Fleet, FleetShape

CHAT = "/v1/chat/completions"
SWAPS = f"/v1/services/{SERVICE}/swaps/7"
BOXES = f"/v1/services/{SERVICE}/boxes/7"
MESSAGES = [{"role": "user", "content": "hello"}]
VALID_CHAT = {"model": MODEL, "messages": MESSAGES, "max_tokens": 4}
MAX_BODY_BYTES = 200_000
ANSWER_TIMEOUT_SECONDS = 10.0
BEARER = {"Authorization": f"Bearer {ACCOUNT_KEY}"}


@attrs.frozen
class Case:
    """An invalid request and the expected response.

    ``detail`` must be part of the problem's title or detail, and is empty if the
    response isn't a problem document. With ``has_account_key`` the request carries
    the key of the client account, unless ``headers`` replaces it.
    """

    name: str
    status: int
    detail: str = ""
    body: bytes = json.dumps(VALID_CHAT).encode()
    path: str = CHAT
    method: str = "POST"
    headers: dict = attrs.field(factory=dict)
    has_account_key: bool = True


def chat(**changes):
    """Return the body of a valid chat request with some fields replaced."""
    return json.dumps({**VALID_CHAT, **changes}).encode()


def nested_messages(depth):
    nested = "[" * depth + "]" * depth
    return f'{{"model": "{MODEL}", "messages": [{nested}]}}'.encode()


CASES = [
    Case("no key", 401, "bearer", has_account_key=False),
    Case("wrong key", 401, "no client account", headers={"Authorization": "Bearer x"}),
    Case("other scheme", 401, "bearer", headers={"Authorization": "Basic eDp5"}),
    Case("key not UTF-8", 401, headers={"Authorization": "Bearer \udcff\udc80"}),
    Case("not JSON", 400, "body", body=b"{"),
    Case("not UTF-8", 400, "body", body=b'{"model": "\xff"}'),
    Case("nested deeply", 400, "body", body=b"[" * 100_000),
    Case("a list", 400, "object", body=b"[]"),
    Case("empty", 400, "body", body=b""),
    Case("model missing", 400, "model", body=b'{"messages": [{"a": 1}]}'),
    Case("model a number", 400, "model", body=chat(model=5)),
    Case("unknown model", 404, "no-such-model", body=chat(model="no-such-model")),
    Case("no messages", 400, "messages", body=chat(messages=[])),
    Case("messages a string", 400, "messages", body=chat(messages="hello")),
    Case("max_tokens negative", 400, "max_tokens", body=chat(max_tokens=-1)),
    Case("max_tokens a boolean", 400, "max_tokens", body=chat(max_tokens=True)),
    Case("bad deadline", 400, "Deadline", headers={"Dotterelpitch-Deadline": "soon"}),
    Case(
        "deadline without offset",
        400,
        "Deadline",
        headers={"Dotterelpitch-Deadline": "2030-01-01T00:00:00"},
    ),
    Case("messages nested", 400, "messages", body=nested_messages(900)),
    Case("message a list", 400, "messages", body=chat(messages=[[]])),
    Case(
        "deadline in the past",
        504,
        "deadline",
        headers={"Dotterelpitch-Deadline": "2020-01-01T00:00:00Z"},
    ),
    Case("timeout of zero", 504, "deadline", headers={"Request-Timeout": "0"}),
    Case("bad timeout", 400, "Timeout", headers={"Request-Timeout": "soon"}),
    Case("timeout not a number", 400, "Timeout", headers={"Request-Timeout": "nan"}),
    Case("bad event id", 400, "Last-Event-ID", headers={"Last-Event-ID": "x:y"}),
    Case("body too large", 413, "body", body=b" " * (MAX_BODY_BYTES + 1)),
    Case("header too large", 400, headers={"X-Large": "x" * 20_000}),
    Case("wrong method", 405, method="PUT"),
    Case("unknown path", 404, path="/v1/no-such-path"),
    Case("unknown service", 404, path="/v1/services/no-such/x", method="GET"),
    Case("no route", 404, "PATCH", path=BOXES, method="PATCH"),
    Case("no Idempotency-Key", 400, "Idempotency-Key", path=SWAPS),
    Case(
        "plain call without key", 401, path=BOXES, method="GET", has_account_key=False
    ),
    Case("plain body too large", 413, path=SWAPS, body=b"x" * (MAX_BODY_BYTES + 1)),
]


@pytest_asyncio.fixture(loop_scope="module", scope="module")
async def fleet():
    shape = FleetShape(
        vms_per_domain=1, router_flags={"max_body_bytes": MAX_BODY_BYTES}
    )
    async with Fleet(shape) as started:
        yield started


def request_head(case):
    headers = {
        "Host": "router",
        "Content-Length": str(len(case.body)),
        "Connection": "close",
        **(BEARER if case.has_account_key else {}),
        **case.headers,
    }
    lines = [f"{case.method} {case.path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode(errors="surrogateescape")


async def send(fleet, head, body=b""):
    """Send raw bytes; return the status, headers, and body of the response."""
    host, _, port = fleet.vm_by_name["d1-v1"].http_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(head + body)
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
            raw = await reader.read()
    finally:
        writer.close()
    response_head, _, content = raw.partition(b"\r\n\r\n")
    status_line, *lines = response_head.decode().split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines)
    return int(status_line.split()[1]), headers, content


async def assert_router_alive(fleet):
    """Assert that the router answers a chat and its process hasn't ended."""
    answer = await fleet.caller("d1-v1").chat(MODEL, MESSAGES, max_tokens=4)
    assert answer.status == 200 and answer.is_complete
    assert fleet.vm_by_name["d1-v1"].router.running


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
@pytest.mark.asyncio(loop_scope="module")
async def test_bad_input_gets_clear_error(fleet, case):
    status, headers, content = await send(fleet, request_head(case), case.body)
    assert status == case.status, content
    if headers.get("content-type", "").startswith("application/problem+json"):
        problem = json.loads(content)
        assert problem["status"] == status
        assert problem["outcome"] == headers["dotterelpitch-outcome"] == "not-run"
        assert problem["request_id"] == headers["dotterelpitch-request-id"]
        assert case.detail in problem["title"] + problem["detail"]
    else:
        assert case.detail == "", headers
    assert ACCOUNT_KEY not in fleet.vm_by_name["d1-v1"].router.log()
    await assert_router_alive(fleet)


@pytest.mark.parametrize(
    "data",
    [
        b"\x00" * 1000,
        b"GET\r\n\r\n",
        b"POST /v1/chat/completions HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"POST /v1/chat/completions HTTP/9.9\r\n\r\n",
        b"GET /" + b"a" * 100_000 + b" HTTP/1.1\r\n\r\n",
    ],
    ids=[
        "zeros",
        "no target",
        "negative length",
        "invalid chunk size",
        "unknown version",
        "long target",
    ],
)
@pytest.mark.asyncio(loop_scope="module")
async def test_malformed_http_is_rejected(fleet, data):
    status, _, _ = await send(fleet, data)
    assert 400 <= status < 500
    await assert_router_alive(fleet)


@pytest.mark.asyncio(loop_scope="module")
async def test_disconnect_mid_body_leaves_router_running(fleet):
    host, _, port = fleet.vm_by_name["d1-v1"].http_address.rpartition(":")
    for _ in range(20):
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(request_head(CASES[0]) + b'{"model"')
        await writer.drain()
        writer.transport.abort()
    await assert_router_alive(fleet)
