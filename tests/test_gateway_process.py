"""A gateway process with connections to callers, a store, and engines."""

import asyncio
import math
import signal
import socket
import struct
from pathlib import Path

import aiohttp
import pytest

from dotterelpitch.gateway.store_timing import StoreTiming
from tests.harness.gateway_fleet import (
    ACCOUNT,
    HOST,
    KEY,
    ROUTES,
    GatewayFleet,
    make_config,
    request_bytes,
    send_raw,
)
from tests.harness.ports import free_address
from tests.harness.scripted_engine import answer
from tests.harness.waiting import eventually, pause

# Time within which a gateway must apply a change of the store.
APPLY_SECONDS = 2.0
# For how long the calls of the store are counted.
READ_SECONDS = 3.0
# Time within which an engine must lose the connection of a disconnected caller.
DISCONNECT_SECONDS = 0.5


@pytest.fixture
async def fleet(tmp_path):
    """A fleet whose gateways must log no internal error and only JSON lines."""
    fleet = GatewayFleet(tmp_path)
    yield fleet
    request_errors = fleet.request_errors()
    lines = [line for g in fleet.gateways for line in g.process.lines]
    await fleet.stop()
    assert not request_errors
    assert not [line for line in lines if not line.startswith("{")]


# Behaviors of a scripted engine for one request.


async def reset(exchange):
    exchange.reset()


async def reset_in_body(exchange):
    exchange.write_head("200 OK", "Content-Length: 10")
    exchange.writer.write(b"half")
    await exchange.writer.drain()
    await pause(0.05)
    exchange.reset()


async def reset_without_length(exchange):
    exchange.write_head("200 OK")
    exchange.writer.write(b"half")
    await exchange.writer.drain()
    await pause(0.05)
    exchange.reset()


async def fail(exchange):
    exchange.write_head("500 Internal Server Error", "Content-Length: 4")
    exchange.writer.write(b"oops")


def answer_with(status, *lines):
    """Return a behavior that answers with a status and a body."""

    async def behavior(exchange):
        exchange.write_head(status, "Content-Length: 8", *lines)
        exchange.writer.write(b"oh dear!")

    return behavior


async def end_without_length(exchange):
    exchange.write_head("404 Not Found")
    exchange.writer.write(b"oh dear!")
    exchange.writer.close()


async def reject(exchange):
    exchange.write_head(
        "503 Service Unavailable", "Not-Executed: 1", "Content-Length: 0"
    )


async def misdirect(exchange):
    exchange.write_head("421 Misdirected Request", "Content-Length: 0")


async def hang(exchange):
    await exchange.caller_left.wait()


async def answer_unsealed(exchange):
    head = f"HTTP/1.1 200 OK\r\nRequest-Id: {exchange.header('Request-Id')}\r\n"
    exchange.writer.write(head.encode() + b"Content-Length: 2\r\n\r\nhi")


async def answer_stale_first(exchange):
    exchange.writer.write(
        b"HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nResponse-Seal: old\r\n"
        b"Content-Length: 3\r\n\r\nold"
    )
    await answer(exchange)


async def send_garbage(exchange):
    exchange.writer.write(b"\x01\x02 no answer at all\r\n\r\n")


def event(number):
    return b"id: %d\ndata: x\n\n" % number


def stream(last, cut_after=None, cut_inside=False):
    """Return a behavior that sends the events up to ``last``.

    After event ``cut_after`` the connection is reset; with ``cut_inside``, a part of
    the next event is sent before.
    """

    async def behavior(exchange):
        first = int(exchange.header("Last-Event-Id") or 0) + 1
        exchange.write_head(
            "200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"
        )
        for number in range(first, last + 1):
            exchange.write_chunk(event(number))
            await exchange.writer.drain()
            if number == cut_after:
                if cut_inside:
                    exchange.write_chunk(event(number + 1)[:7])
                    await exchange.writer.drain()
                await pause(0.05)
                exchange.reset()
                return
        exchange.write_chunk(b"")

    return behavior


@pytest.mark.parametrize(
    ("route", "script", "status", "attempts"),
    [
        ("safe", [answer], 200, 1),
        ("safe", [reset, answer], 200, 2),
        ("safe", [reset_in_body, answer], 200, 2),
        ("safe", [reset_without_length, answer], 200, 2),
        ("safe", [send_garbage, answer], 200, 2),
        ("safe", [answer_unsealed, answer], 200, 2),
        ("safe", [fail, answer], 200, 2),
        ("safe", [hang, answer], 200, 2),
        ("safe", [reject, answer], 200, 2),
        ("safe", [misdirect, answer], 200, 2),
        ("safe", [fail, fail], 500, 2),
        ("safe", [reset, reset], 502, 2),
        ("safe", [reset, reject], 502, 2),
        ("safe", [reject, reject], 503, 2),
        ("safe", [answer_stale_first], 200, 1),
        ("unsafe", [answer], 200, 1),
        ("unsafe", [reset], 502, 1),
        ("unsafe", [reset_in_body], 502, 1),
        ("unsafe", [reset_without_length], 502, 1),
        ("unsafe", [send_garbage], 502, 1),
        ("unsafe", [answer_unsealed], 502, 1),
        ("unsafe", [fail], 500, 1),
        ("unsafe", [reject], 503, 1),
        ("unsafe", [misdirect], 503, 1),
        ("unsafe", [answer_stale_first], 200, 1),
        ("quick", [hang], 504, 1),
        ("stream", [fail], 500, 1),
        ("stream", [reset], 502, 1),
        ("resumable", [reset, stream(2)], 200, 2),
    ],
)
async def test_engine_behavior_determines_the_response(
    fleet, route, script, status, attempts
):
    gateway = await fleet.start()
    shared_script = list(script)
    for engine in fleet.engines:
        engine.script = shared_script
    response = await send_raw(gateway.caller_address, request_bytes(f"/{route}/1"))
    head, _, body = response.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 %d " % status), response
    assert len(fleet.exchanges()) == attempts
    if status == 503:
        assert b"Retry-After: " in head
        assert b'"not-run"' in body
    if status in (502, 504):
        assert b'"unknown"' in body
        assert b"Response-Seal" not in head
    if status in (200, 500):
        assert head.count(b"Response-Seal: s") == 1


# Guards against: a stream that was cut looks complete, or the error with which the next
# engine answers stands in the middle of it.
@pytest.mark.parametrize(
    ("route", "scripts", "events", "is_complete"),
    [
        ("stream", [stream(5)], 5, True),
        ("stream", [stream(5, cut_after=2)], 2, False),
        ("resumable", [stream(5, cut_after=2), stream(5)], 5, True),
        ("resumable", [stream(5, 2, cut_inside=True), stream(5)], 5, True),
        ("resumable", [stream(5, cut_after=2), stream(5, cut_after=4)], 4, False),
        ("resumable", [stream(5, cut_after=2), fail], 2, False),
        ("resumable", [stream(5, cut_after=2), reject], 2, False),
        ("resumable", [stream(5, cut_after=2), answer_with("404 Not Found")], 2, False),
        ("resumable", [stream(5, cut_after=2), answer_with("410 Gone")], 2, False),
        ("resumable", [stream(5, cut_after=2), answer_with("302 Found")], 2, False),
        ("resumable", [stream(5, cut_after=2), answer_with("206 Part")], 2, False),
        ("resumable", [stream(5, cut_after=2), end_without_length], 2, False),
    ],
)
async def test_stream_is_complete_or_visibly_truncated(
    fleet, route, scripts, events, is_complete
):
    gateway = await fleet.start()
    shared_script = list(scripts)
    for engine in fleet.engines:
        engine.script = shared_script
    received = b""
    url = f"http://{gateway.caller_address}/{route}/1"
    headers = {"Host": HOST, "Request-Id": "r1", "Credential": KEY}
    received_all = False
    async with (
        aiohttp.ClientSession() as session,
        session.get(url, headers=headers) as response,
    ):
        try:
            async for data in response.content.iter_any():
                received += data
            received_all = True
        except aiohttp.ClientError:
            pass
    assert received == b"".join(event(n) for n in range(1, events + 1))
    assert received_all is is_complete


async def test_unsafe_call_is_retried_after_a_refused_connection(fleet):
    gateway = await fleet.start()
    await fleet.engines[0].stop()
    for _ in range(6):
        response = await send_raw(gateway.caller_address, request_bytes("/unsafe/1"))
        assert response.startswith(b"HTTP/1.1 200 ")


@pytest.mark.parametrize(
    "target",
    [
        "/safe/%2e%2e/a//b/./c?x=%41&y=&&z=%zz",
        "/safe/ä".encode().decode("latin-1"),
        "/safe/a;b=c?",
        "/safe/a?#b",
        "/safe/%00%ff",
    ],
)
async def test_target_is_forwarded_unchanged(fleet, target):
    gateway = await fleet.start()
    data = request_bytes("/T").replace(b"/T", target.encode("latin-1"), 1)
    response = await send_raw(gateway.caller_address, data)
    if b" 400 " in response[:13]:
        assert not fleet.exchanges()
        return
    assert response.startswith(b"HTTP/1.1 200 ")
    (exchange,) = fleet.exchanges()
    assert exchange.target == target


async def test_callers_cannot_set_internal_headers(fleet):
    gateway = await fleet.start()
    forged = (
        "Tenant: others",
        "Expect-Instance: e9",
        "Kv-From: 1",
        "Kv-Fetch: 1",
        "Hold: 1",
        "Pin-Ms: 1",
        "Kv-Backup: 1",
        "Request-Priority: 0",
        "X-Own: kept",
        "X-Hop: dropped",
        "Connection: x-hop",
    )
    data = request_bytes("/unsafe/1", "POST", b"abc", headers=forged, close=False)
    host, _, port = gateway.caller_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    assert (await reader.readline()).startswith(b"HTTP/1.1 200 ")
    writer.close()
    (exchange,) = fleet.exchanges()
    names = {name.lower() for name, _ in exchange.headers}
    assert exchange.header("Tenant") == ACCOUNT
    assert exchange.header("Expect-Instance") in ("e1", "e2")
    assert exchange.header("X-Own") == "kept"
    assert exchange.header("Request-Id") == "r1"
    assert 0 < int(exchange.header("Deadline-Ms")) <= 5000
    assert exchange.body == b"abc"
    dropped = {"credential", "kv-from", "kv-fetch", "hold", "pin-ms", "kv-backup"}
    assert not names & (dropped | {"x-hop", "request-priority"})


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (request_bytes("/other/1"), 404),
        (request_bytes("/safe/1", key="wrong"), 401),
        (request_bytes("/safe/1", key=""), 401),
        (request_bytes("/open/1", key=""), 200),
        (request_bytes("/safe/1", "POST", b"x" * 100_001), 413),
        (request_bytes("/safe/1", headers=("X: " + "x" * 17_000,)), 431),
        (request_bytes("/safe/1", headers=("X: " + "x" * 15_000,)), 200),
        (
            request_bytes("/safe/1", "POST", b"3\r\nabc\r\n0\r\n\r\n").replace(
                b"Content-Length: 13", b"Transfer-Encoding: chunked"
            ),
            200,
        ),
        (
            request_bytes(
                "/safe/1", "POST", b"abc", headers=("Transfer-Encoding: chunked",)
            ),
            400,
        ),
        (request_bytes("/safe/1", "POST", b"abc", headers=("Content-Length: 4",)), 400),
        (request_bytes("/safe/1").replace(b"Host: ", b"Host : "), 400),
    ],
)
async def test_only_valid_requests_reach_an_engine(fleet, data, status):
    gateway = await fleet.start()
    response = await send_raw(gateway.caller_address, data)
    assert response[len(b"HTTP/1.1 ") :].startswith(b"%d " % status), response
    assert len(fleet.exchanges()) == (status == 200)


PARTIAL_HEAD = b"GET /safe/1 HTTP/1.1\r\nHost: "
COMPLETE_REQUEST = request_bytes("/safe/1", close=False)


@pytest.mark.parametrize(
    ("limits", "sent", "is_closed"),
    [
        ({"idle_timeout_ms": 500}, COMPLETE_REQUEST, True),
        ({"idle_timeout_ms": 500}, COMPLETE_REQUEST + PARTIAL_HEAD, True),
        ({"header_timeout_ms": 500}, b"", True),
        ({"header_timeout_ms": 500}, PARTIAL_HEAD, True),
        ({"header_timeout_ms": 500}, COMPLETE_REQUEST, False),
        ({"idle_timeout_ms": 500, "header_timeout_ms": 9000}, PARTIAL_HEAD, False),
    ],
)
async def test_connection_without_a_complete_request_is_closed_in_time(
    fleet, limits, sent, is_closed
):
    gateway = await fleet.start()
    config = make_config(2)
    config["limits"] |= limits
    fleet.store.put("op/config", config)
    await gateway.wait_config(2)
    host, _, port = gateway.caller_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(sent)
    try:
        async with asyncio.timeout(3.5):
            await reader.read(-1)
    except TimeoutError:
        assert not is_closed
    else:
        assert is_closed
    writer.close()


@pytest.mark.parametrize("deadline_ms", ["0", "-5", "10", "45"])
async def test_request_with_too_little_time_is_refused_and_never_sent(
    fleet, deadline_ms
):
    gateway = await fleet.start()
    data = request_bytes("/unsafe/1", headers=(f"Deadline-Ms: {deadline_ms}",))
    response = await send_raw(gateway.caller_address, data)
    assert response.startswith(b"HTTP/1.1 503 ")
    assert b'"not-run"' in response
    assert not fleet.exchanges()


@pytest.mark.parametrize("route", ["unsafe", "safe", "stream"])
async def test_caller_disconnect_cancels_the_engine_request(fleet, route):
    gateway = await fleet.start()
    for engine in fleet.engines:
        engine.script = [hang]
    host, _, port = gateway.caller_address.rpartition(":")
    _, writer = await asyncio.open_connection(host, int(port))
    writer.write(request_bytes(f"/{route}/1"))
    await eventually(fleet.exchanges, 5.0)
    writer.close()
    async with asyncio.timeout(DISCONNECT_SECONDS):
        await fleet.exchanges()[0].caller_left.wait()


async def test_immediate_resets_by_callers_cause_no_error(fleet):
    gateway = await fleet.start()
    host, _, port = gateway.caller_address.rpartition(":")
    for path in ["/nowhere/1", "/safe/1", "/unsafe/1"] * 20:
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(request_bytes(path, "POST", b"x" * 50_000))
        await writer.drain()
        linger = struct.pack("ii", 1, 0)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()
    response = await send_raw(gateway.caller_address, request_bytes("/safe/1"))
    assert response.startswith(b"HTTP/1.1 200 ")


async def test_config_is_applied_soon_and_never_reverted(fleet):
    gateway = await fleet.start()
    routes = {**ROUTES, "new": {"kind": "safe", "max_attempts": 1}}
    fleet.store.put("op/config", make_config(5, routes, keys=("key-2",)))

    async def is_served():
        response = await send_raw(
            gateway.caller_address, request_bytes("/new/1", key="key-2")
        )
        return response.startswith(b"HTTP/1.1 200 ")

    await eventually(is_served, APPLY_SECONDS)
    fleet.store.put("op/config", make_config(3))
    fleet.store.put("op/config", b"not a config")
    fleet.store.delete("servers/e1")

    def deletion_is_logged():
        events = gateway.process.events(215)
        return [e for e in events if e["engine"] == "e1"]

    await eventually(deletion_is_logged, APPLY_SECONDS)
    assert await is_served()
    old_key = await send_raw(gateway.caller_address, request_bytes("/safe/1"))
    assert old_key.startswith(b"HTTP/1.1 401 ")


# Guards against: a forged key, a revoked one, or none opens all routes, once no account
# has a key; at the first config and at a later one.
@pytest.mark.parametrize(
    "tenants",
    [
        [{"name": ACCOUNT, "api_keys": []}],
        [{"name": ACCOUNT, "api_keys": [""]}],
        [{"name": ACCOUNT}],
        [],
    ],
)
@pytest.mark.parametrize("is_first", [True, False])
async def test_no_key_is_valid_while_no_account_has_one(fleet, tenants, is_first):
    gateway = await fleet.start()
    fleet.store.put("op/config", make_config(2) | {"tenants": tenants})
    await gateway.wait_config(2)
    if is_first:
        gateway = fleet.add_gateway(fleet.store.address)
        await gateway.process.start()
        await gateway.wait_ready()
    for key in (KEY, "forged", ""):
        data = request_bytes("/safe/1", key=key)
        response = await send_raw(gateway.caller_address, data)
        assert response.startswith(b"HTTP/1.1 401 ")
    assert not fleet.exchanges()
    public = await send_raw(gateway.caller_address, request_bytes("/open/1", key=""))
    assert public.startswith(b"HTTP/1.1 200 ")


async def test_without_accounts_no_key_is_needed(fleet):
    gateway = await fleet.start()
    config = make_config(2)
    del config["tenants"]
    fleet.store.put("op/config", config)
    await gateway.wait_config(2)
    response = await send_raw(gateway.caller_address, request_bytes("/safe/1", key=""))
    assert response.startswith(b"HTTP/1.1 200 ")


async def test_full_list_is_read_after_history_is_lost(fleet):
    gateway = await fleet.start()
    await pause(0.2)
    fleet.store.put("servers/e3", b"{}")
    fleet.store.delete("servers/e1")
    fleet.store.discard_history()
    fleet.store.put("op/config", make_config(9))

    def has_newest_config():
        events = gateway.process.events(211)
        return [e for e in events if e["version"] == 9]

    await eventually(has_newest_config, 5.0)
    for _ in range(4):
        await send_raw(gateway.caller_address, request_bytes("/safe/1"))
    assert not fleet.engines[0].exchanges


@pytest.mark.parametrize("is_silent", [False, True])
async def test_last_list_is_used_while_the_store_is_unreachable(fleet, is_silent):
    gateway = await fleet.start()
    fleet.store.status = 503
    fleet.store.is_silent = is_silent
    await eventually(lambda: gateway.process.events(204), 8.0)
    response = await send_raw(gateway.caller_address, request_bytes("/safe/1"))
    assert response.startswith(b"HTTP/1.1 200 ")
    fleet.store.status = 200
    fleet.store.is_silent = False
    await eventually(lambda: gateway.process.events(205), 8.0)


async def test_gateway_without_the_store_gets_all_records_from_a_peer(fleet):
    await fleet.start()
    without_store = fleet.add_gateway(store=free_address())
    await without_store.process.start()
    await without_store.wait_ready()
    response = await send_raw(without_store.caller_address, request_bytes("/safe/1"))
    assert response.startswith(b"HTTP/1.1 200 ")
    fleet.store.put("op/config", make_config(7, keys=("key-2",)))

    async def old_key_is_refused():
        response = await send_raw(
            without_store.caller_address, request_bytes("/safe/1")
        )
        return response.startswith(b"HTTP/1.1 401 ")

    await eventually(old_key_is_refused, APPLY_SECONDS)


async def test_members_of_a_large_fleet_get_records_through_relays(fleet):
    await fleet.start(gateways=5, mesh_vms=2)

    def relay_of(gateway):
        chosen = gateway.process.events(312)
        return chosen[-1]["relay"] if chosen else gateway.process.name

    def find_two_relays():
        relays = {relay_of(gateway) for gateway in fleet.gateways}
        return len(relays) == 2 and relays

    relays = await eventually(find_two_relays, 8.0)
    await pause(2.0)
    calls = fleet.store.calls
    await pause(READ_SECONDS)
    # The stand-in store counts the start and the end of each watch of the only reader.
    watch_s = StoreTiming.for_bound(APPLY_SECONDS, 1.5, 0.25).watch_s
    assert fleet.store.calls - calls <= 2 * math.ceil(READ_SECONDS / watch_s)
    killed = next(g for g in fleet.gateways if g.process.name in relays)
    await killed.process.kill()
    fleet.store.put("op/config", make_config(7, keys=("key-2",)))
    survivors = [gateway for gateway in fleet.gateways if gateway is not killed]

    def survivors_have_newest_config():
        return all(
            any(e["version"] == 7 for e in gateway.process.events(211))
            for gateway in survivors
        )

    await eventually(survivors_have_newest_config, 2 * APPLY_SECONDS)


async def test_unknown_route_is_not_reported_before_the_first_config(fleet):
    await fleet.start()
    isolated = fleet.add_gateway(store=free_address())
    isolated.write_settings(store=free_address(), seeds=[])
    await isolated.process.start()
    await isolated.wait_ready(503)
    response = await send_raw(isolated.caller_address, request_bytes("/nowhere/1"))
    assert response.startswith(b"HTTP/1.1 503 ")
    assert b"Retry-After: " in response


async def test_graceful_shutdown_completes_open_requests(fleet):
    gateway = await fleet.start()
    release = asyncio.Event()

    async def answer_later(exchange):
        await release.wait()
        await answer(exchange)

    for engine in fleet.engines:
        engine.script = [answer_later]
    data = request_bytes("/unsafe/1", close=False)
    host, _, port = gateway.caller_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    idle_reader, idle_writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    await eventually(fleet.exchanges, 5.0)
    gateway.process.send_signal(signal.SIGTERM)
    await gateway.wait_ready(503)
    late = await send_raw(gateway.caller_address, request_bytes("/safe/1"))
    assert late.startswith(b"HTTP/1.1 200 ")
    assert b"connection: close" in late.lower()
    release.set()
    answered = await reader.read()
    assert answered.startswith(b"HTTP/1.1 200 ")
    assert b"connection: close" in answered.lower()
    assert await idle_reader.read() == b""
    writer.close()
    idle_writer.close()
    assert await gateway.process.wait_or_kill() == 0


async def test_sigterm_during_startup_exits_cleanly(fleet):
    await fleet.start()
    starting = fleet.add_gateway(fleet.store.address)
    await starting.process.start()
    # aiohttp is mapped while the process imports its modules.
    memory_maps = Path(f"/proc/{starting.process.pid}/maps")
    await eventually(lambda: "aiohttp" in memory_maps.read_text(), 5.0)
    assert await starting.process.terminate() == 0


async def test_gateway_keeps_serving_after_settings_reloads(fleet):
    gateway = await fleet.start()
    gateway.settings_path.write_text("{ not json")
    gateway.process.send_signal(signal.SIGHUP)
    await eventually(lambda: gateway.process.events(105), 3.0)
    gateway.write_settings(fleet.store.address, [], zone="b")
    gateway.process.send_signal(signal.SIGHUP)
    await eventually(lambda: gateway.process.events(104), 3.0)
    response = await send_raw(gateway.caller_address, request_bytes("/safe/1"))
    assert response.startswith(b"HTTP/1.1 200 ")


async def test_metrics_count_outcomes_and_show_engine_health(fleet):
    gateway = await fleet.start()
    fleet.engines[0].script = fleet.engines[1].script = [answer, fail]
    await send_raw(gateway.caller_address, request_bytes("/unsafe/1"))
    await send_raw(gateway.caller_address, request_bytes("/unsafe/1"))
    await send_raw(gateway.caller_address, request_bytes("/nowhere/1"))
    response = await send_raw(
        gateway.metrics_address,
        b"GET /metrics HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n",
    )
    text = response.decode()
    prefix = "dotterelpitch_gateway_"
    for line in (
        'requests_total{route="unsafe",outcome="completed",status="200"} 1',
        'requests_total{route="unsafe",outcome="failed",status="500"} 1',
        'refusals_total{status="404",outcome="not-run"} 1',
        'failed_attempts_total{end="failed"} 1',
        'first_byte_seconds_count{route="unsafe"} 1',
        'connect_seconds_bucket{route="unsafe",le="+Inf"} 2',
        'engines{belief="healthy"} 2',
        "config_version 1",
    ):
        assert prefix + line in text, text
    assert KEY not in text
