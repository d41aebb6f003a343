"""No client ends a gateway by heads over the limit or without end.

A gateway that is told little memory and few descriptors is attacked over loopback. What
is checked doesn't depend on the machine's speed: the process lives, its memory and its
open descriptors stay within what it was told, and it answers one request afterwards.
"""

import asyncio
import contextlib

import psutil
import pytest

from tests.harness.gateway_fleet import (
    GatewayFleet,
    make_config,
    request_bytes,
    send_raw,
)
from tests.harness.hostile_heads import (
    attack_from_a_process,
    empty_lines,
    fields_behind_a_request,
    frame_of_many_strings,
    frame_of_one_string,
    held_heads,
    narrow_fields,
    silence,
    wide_fields,
    wide_trailers,
)
from tests.harness.waiting import eventually

MEMORY_MB = 120
# The gateway stays within this share of its memory.
MEMORY_SHARE = 0.8
MANY_DESCRIPTORS = 4100
FEW_DESCRIPTORS = 600
ATTACK_SECONDS = 2.5
ANSWER_SECONDS = 15.0
BYTES_PER_KB = 1024
TARGET = "/safe/x"
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 100_000,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15_000,
}

CALLERS = "caller_address"
READY = "ready_address"
PEERS = "peer_address"

ATTACKS = [
    (CALLERS, empty_lines, 40, MANY_DESCRIPTORS),
    (CALLERS, wide_fields, 40, MANY_DESCRIPTORS),
    (CALLERS, wide_trailers, 40, MANY_DESCRIPTORS),
    (CALLERS, fields_behind_a_request, 40, MANY_DESCRIPTORS),
    (CALLERS, narrow_fields, 300, MANY_DESCRIPTORS),
    (CALLERS, held_heads, 300, MANY_DESCRIPTORS),
    (READY, wide_fields, 80, MANY_DESCRIPTORS),
    (PEERS, frame_of_many_strings, 10, MANY_DESCRIPTORS),
    (PEERS, frame_of_one_string, 60, MANY_DESCRIPTORS),
    (CALLERS, silence, 700, FEW_DESCRIPTORS),
    (READY, silence, 700, FEW_DESCRIPTORS),
    (PEERS, silence, 700, FEW_DESCRIPTORS),
]


IDS = [f"{kind.__name__}-{address}" for address, kind, *_ in ATTACKS]


@contextlib.asynccontextmanager
async def running_gateway(folder, descriptors):
    """Yield a gateway with little memory and a number of descriptors."""
    fleet = GatewayFleet(folder)
    try:
        gateway = await fleet.start(
            limits={"memory_mb": MEMORY_MB, "max_fds": descriptors}
        )
        fleet.store.put("op/config", make_config(2) | {"limits": LIMITS})
        await gateway.wait_config(2)
        yield gateway
    finally:
        await fleet.stop()


def peak_mb(pid):
    """Return the most memory that a process has held so far."""
    with open(f"/proc/{pid}/status") as status:
        [line] = [line for line in status if line.startswith("VmHWM:")]
    return int(line.split()[1]) / BYTES_PER_KB


async def most_descriptors(process, attack):
    """Return the most open descriptors seen until the attack has ended."""
    most = 0
    while not attack.done():
        most = max(most, process.num_fds())
        await asyncio.sleep(0.01)
    await attack
    return most


async def is_answered(gateway):
    """Return whether one ordinary request is served."""
    response = await send_raw(gateway.caller_address, request_bytes(TARGET))
    return response.startswith(b"HTTP/1.1 200")


# Guards against: heads without end, or many of them, that end a process for its memory
# or leave it without descriptors.
@pytest.mark.xdist_group("hostile heads")
@pytest.mark.parametrize(
    ("address", "kind", "clients", "descriptors"), ATTACKS, ids=IDS
)
async def test_process_survives_hostile_heads(
    tmp_path, address, kind, clients, descriptors
):
    async with running_gateway(tmp_path, descriptors) as gateway:
        attack = asyncio.create_task(
            attack_from_a_process(
                getattr(gateway, address), kind, TARGET, clients, ATTACK_SECONDS
            )
        )
        process = psutil.Process(gateway.process.pid)
        assert await most_descriptors(process, attack) <= descriptors
        await eventually(lambda: is_answered(gateway), ANSWER_SECONDS, "an answer")
        assert gateway.process.running
        assert peak_mb(gateway.process.pid) <= MEMORY_SHARE * MEMORY_MB
