"""No client ends a gateway or keeps it from ordinary callers.

A gateway with the memory of the smallest VM is attacked over loopback for a few
seconds, while ordinary callers and the platform's readiness checks go on.
"""

import asyncio
import re
import time

import aiohttp
import psutil
import pytest

from dotterelpitch.gateway.caller_connections import MAX_UNREAD_SECONDS
from tests.harness.gateway_fleet import (
    ROUTES,
    GatewayFleet,
    make_config,
    request_bytes,
    send_raw,
)
from tests.harness.hostile_clients import (
    BODY_BYTES,
    FIELDS,
    KINDS,
    MIB,
    attack_from_a_process,
    head,
    measure,
)

MEMORY_MB = 200
# The gateway stays within this share of the VM's memory.
MEMORY_SHARE = 0.8
SERVED_SHARE = 0.95
READY_SECONDS = 0.5
ATTACK_SECONDS = 4.0
# So long the attackers' process takes to start.
START_SECONDS = 0.5
FREED_SECONDS = 5.0
# The allocator keeps some memory after an attack, but no more after a second one.
LEAKED_MB = 10
CLIENTS = 100
CROWD = 400
TARGETS = ["/safe/x", "/nowhere/x"]


class Attack:
    """A gateway under attack, and what others see of it meanwhile."""

    def __init__(self, folder):
        self.fleet = GatewayFleet(folder)
        self.gateway = None
        self.peak_mb = 0.0

    async def __aenter__(self):
        self.gateway = await self.fleet.start()
        self.gateway.write_settings(
            self.fleet.store.address, [], limits={"memory_mb": MEMORY_MB}
        )
        await self.gateway.process.kill()
        await self.gateway.process.start()
        await self.gateway.wait_ready()
        config = make_config(2)
        config["limits"] = {
            "max_header_bytes": 16384,
            "max_body_bytes": BODY_BYTES,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        config["tenants"].append({"name": "ordinary", "api_keys": ["key-2"]})
        self.fleet.store.put("op/config", config)
        await asyncio.sleep(0.5)
        return self

    async def __aexit__(self, *error):
        await self.fleet.stop()

    @property
    def resident_mb(self):
        return psutil.Process(self.gateway.process.pid).memory_info().rss / MIB

    async def run(self, address, kinds, target, clients):
        """Attack; return the durations of ordinary calls and of readiness checks."""
        watch = asyncio.create_task(self._watch_memory())
        attackers = asyncio.create_task(
            attack_from_a_process(address, kinds, target, clients, ATTACK_SECONDS)
        )
        calls, checks = await asyncio.gather(
            measure(self.call, ATTACK_SECONDS + START_SECONDS, 0.05),
            measure(self._check_ready, ATTACK_SECONDS + START_SECONDS, 0.2),
        )
        await attackers
        watch.cancel()
        return calls, checks

    async def call(self):
        data = request_bytes("/safe/x", key="key-2")
        response = await send_raw(self.gateway.caller_address, data)
        return response.startswith(b"HTTP/1.1 200")

    async def read_metrics(self):
        """Return the values of the gauges without labels by name."""
        url = f"http://{self.gateway.metrics_address}/metrics"
        async with aiohttp.ClientSession() as session, session.get(url) as response:
            text = await response.text()
        pairs = re.findall(r"^dotterelpitch_gateway_(\w+) (\S+)$", text, re.MULTILINE)
        return {name: float(value) for name, value in pairs}

    async def _check_ready(self):
        return await self.gateway.ready_status() == 200

    async def _watch_memory(self):
        while True:
            self.peak_mb = max(self.peak_mb, self.resident_mb)
            await asyncio.sleep(0.02)


def check(attack, calls, checks):
    assert psutil.Process(attack.gateway.process.pid).is_running()
    assert attack.peak_mb <= MEMORY_SHARE * MEMORY_MB
    served = [seconds for seconds in calls if seconds is not None]
    assert len(served) >= SERVED_SHARE * len(calls), (len(served), len(calls))
    assert None not in checks
    assert max(checks) <= READY_SECONDS


# Guards against: a crowd of clients that fill the memory, or take all of the processor.
@pytest.mark.parametrize("target", TARGETS)
@pytest.mark.parametrize("kind", KINDS, ids=lambda kind: kind.__name__)
async def test_attack_of_one_kind(tmp_path, kind, target):
    async with Attack(tmp_path) as attack:
        address = attack.gateway.caller_address
        calls, checks = await attack.run(address, [kind], target, CLIENTS)
        check(attack, calls, checks)


# Guards against: the same at the address of the platform's readiness checks.
async def test_attack_at_the_ready_address(tmp_path):
    async with Attack(tmp_path) as attack:
        address = attack.gateway.ready_address
        calls, checks = await attack.run(address, KINDS, "/v1/ready", CLIENTS)
        check(attack, calls, checks)


# Guards against: bounds that hold for each kind, but not for all of them together; and
# memory or connections that stay held after the attack.
async def test_crowd_of_all_kinds(tmp_path):
    async with Attack(tmp_path) as attack:
        address = attack.gateway.caller_address
        kept_mb = []
        for _ in range(2):
            calls, checks = await attack.run(address, KINDS, "/safe/x", CROWD)
            check(attack, calls, checks)
            await asyncio.sleep(FREED_SECONDS)
            held = await attack.read_metrics()
            assert held["body_bytes"] == 0
            assert held["caller_connections"] <= 1
            kept_mb.append(attack.resident_mb)
        assert kept_mb[1] <= kept_mb[0] + LEAKED_MB
        began = time.monotonic()
        assert await attack.call()
        assert time.monotonic() - began < READY_SECONDS


def chunked(size):
    """Return a body of this size in chunks."""
    chunk = b"%x\r\n%s\r\n" % (size, bytes(size))
    return chunk + b"0\r\n\r\n"


def many_fields():
    fields = b"".join(b"a:b\r\n" for _ in range(FIELDS))
    return head("/safe/x", "Connection: close")[:-2] + fields + b"\r\n"


# Guards against: bounds that refuse, in calm, a single request within the limits.
@pytest.mark.parametrize(
    "data",
    [
        head("/safe/x", "Connection: close", f"Content-Length: {BODY_BYTES}")
        + bytes(BODY_BYTES),
        head("/safe/x", "Connection: close", "Transfer-Encoding: chunked")
        + chunked(BODY_BYTES),
        head("/safe/x", "Connection: close", "Transfer-Encoding: chunked")
        + b"1\r\nx\r\n" * 5000
        + b"0\r\n\r\n",
        many_fields(),
    ],
    ids=["one piece", "one chunk", "tiny chunks", "many fields"],
)
async def test_single_request_within_the_limits_is_served_in_calm(tmp_path, data):
    async with Attack(tmp_path) as attack:
        response = await send_raw(attack.gateway.caller_address, data)
        assert response.startswith(b"HTTP/1.1 200"), response[:300]


# Guards against: a refusal that the caller can't read since its body wasn't.
@pytest.mark.parametrize(
    ("data", "status"),
    [
        (head("/nowhere/x", f"Content-Length: {BODY_BYTES}") + bytes(MIB), b"404"),
        (head("/safe/x", f"Content-Length: {100 * MIB}") + bytes(MIB), b"413"),
        (head("/safe/x", "Content-Length: 1000", key="?") + bytes(10), b"401"),
    ],
)
async def test_refusal_before_the_body_was_read_is_readable(tmp_path, data, status):
    async with Attack(tmp_path) as attack:
        response = await send_raw(attack.gateway.caller_address, data)
        assert response.startswith(b"HTTP/1.1 " + status)


# Guards against: a caller that stops in the middle of its body holds its memory for as
# long as it likes.
async def test_body_that_stops_is_refused_as_not_run(tmp_path):
    async with Attack(tmp_path) as attack:
        data = head("/unsafe/x", "Content-Length: 1000") + bytes(10)
        began = time.monotonic()
        response = await send_raw(attack.gateway.caller_address, data)
        assert response.startswith(b"HTTP/1.1 408")
        assert b"not-run" in response
        assert 2.0 < time.monotonic() - began < 5.0
        assert attack.fleet.exchanges() == []
        assert ROUTES["unsafe"]["kind"] == "unsafe"


RESPONSE_BYTES = 8 * MIB


async def answer_at_length(exchange):
    """Answer with a body that is larger than what the connections hold."""
    exchange.write_head("200 OK", f"Content-Length: {RESPONSE_BYTES}")
    exchange.writer.write(bytes(RESPONSE_BYTES))


# Guards against: callers that read nothing of their response hold it, and its engine,
# for as long as they like.
async def test_response_that_is_not_read_is_given_up(tmp_path):
    async with Attack(tmp_path) as attack:
        for engine in attack.fleet.engines:
            engine.behavior = answer_at_length
        host, _, port = attack.gateway.caller_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port), limit=1024)
        writer.write(request_bytes("/safe/x"))
        await asyncio.sleep(1.0)
        assert (await attack.read_metrics())["caller_connections"] == 1
        await asyncio.sleep(MAX_UNREAD_SECONDS + 2.0)
        assert (await attack.read_metrics())["caller_connections"] == 0
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await reader.readexactly(RESPONSE_BYTES)
        writer.close()
