"""Clients that don't keep to the rules, on loopback, bounded in number and time.

Each kind writes to one connection after the other and stops by itself.
"""

import asyncio
import contextlib
import itertools
import sys
import time

from tests.harness.gateway_fleet import HOST, KEY

MIB = 1024 * 1024
BODY_BYTES = 4 * MIB
SHORT_BYTES = 16
PIECE_BYTES = 64 * 1024
AHEAD = 30
FIELDS = 3000
# Together with the other fields of a request, below the limit on headers.
SLASHES = 16_000


def head(target, *lines, key=KEY):
    """Return the head of a POST request."""
    fields = [f"POST {target} HTTP/1.1", f"Host: {HOST}", "Request-Id: h"]
    if key:
        fields.append(f"Credential: {key}")
    return "\r\n".join([*fields, *lines, "", ""]).encode()


def body_short_of_its_end(target):
    """Send a body of legal size in one piece, but for its last bytes."""
    yield head(target, f"Content-Length: {BODY_BYTES}")
    yield bytes(BODY_BYTES - SHORT_BYTES)


def body_in_pieces(target):
    """Send a body of legal size in small pieces, but for its last bytes."""
    yield head(target, f"Content-Length: {BODY_BYTES}")
    for _ in range(BODY_BYTES // PIECE_BYTES - 1):
        yield bytes(PIECE_BYTES)


def body_in_chunks(target):
    """Send a body of legal size in chunks, without the last one."""
    yield head(target, "Transfer-Encoding: chunked")
    chunk = b"%x\r\n%s\r\n" % (PIECE_BYTES, bytes(PIECE_BYTES))
    for _ in range(BODY_BYTES // PIECE_BYTES - 1):
        yield chunk


def body_in_tiny_chunks(target):
    """Send chunks of one byte."""
    yield head(target, "Transfer-Encoding: chunked")
    chunks = b"1\r\nx\r\n" * 4000
    for _ in range(50):
        yield chunks


def body_over_the_limit(target):
    """Send a body that is far over the limit, and named so."""
    yield head(target, f"Content-Length: {100 * MIB}")
    for _ in range(200):
        yield bytes(PIECE_BYTES)


def short_fields(target):
    """Send requests with very many short header fields."""
    fields = b"".join(b"a:b\r\n" for _ in range(FIELDS))
    request = head(target)[:-2] + fields + b"\r\n"
    for _ in range(20):
        yield request


def many_slashes(target):
    """Send requests without a key or a body, for paths of very many slashes."""
    request = head(target + "/" * SLASHES, "Content-Length: 0", key="")
    for _ in range(2000):
        yield request


def requests_ahead(target):
    """Send requests with bodies ahead, and read no response."""
    request = head(target, f"Content-Length: {MIB}") + bytes(MIB)
    for _ in range(AHEAD):
        yield request


def slow_head(target):
    """Send a head a byte at a time, and never end it."""
    for byte in head(target)[:-2]:
        yield bytes([byte])


KINDS = [
    body_short_of_its_end,
    body_in_pieces,
    body_in_chunks,
    body_in_tiny_chunks,
    body_over_the_limit,
    short_fields,
    many_slashes,
    requests_ahead,
    slow_head,
]
KIND_BY_NAME = {kind.__name__: kind for kind in KINDS}
SLOW = {slow_head}


async def attack(address, make_data, target, until):
    """Write to a connection until it ends or the time is over, reading nothing."""
    host, _, port = address.rpartition(":")
    writer = None
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout_at(until):
            _, writer = await asyncio.open_connection(host, int(port), limit=1024)
            for data in make_data(target):
                writer.write(data)
                await writer.drain()
                if make_data in SLOW:
                    await asyncio.sleep(0.05)
            await asyncio.sleep(until)
    if writer is not None:
        writer.transport.abort()


async def attack_with(address, kinds, target, clients, seconds):
    """Let many clients attack at once, of several kinds in turn."""
    until = asyncio.get_running_loop().time() + seconds
    kinds = itertools.islice(itertools.cycle(kinds), clients)
    await asyncio.gather(*(attack(address, kind, target, until) for kind in kinds))


async def attack_from_a_process(address, kinds, target, clients, seconds):
    """Attack from a process of its own, which leaves those who measure alone."""
    names = ",".join(kind.__name__ for kind in kinds)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tests.harness.hostile_clients",
        *(address, names, target, str(clients), str(seconds)),
    )
    assert await process.wait() == 0


async def measure(call, seconds, interval_s):
    """Call in turn for some seconds; return the durations, and None for failures."""
    results = []
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        began = time.monotonic()
        try:
            async with asyncio.timeout(2.0):
                is_served = await call()
        except (OSError, TimeoutError):
            is_served = False
        results.append(time.monotonic() - began if is_served else None)
        await asyncio.sleep(interval_s)
    return results


def main(address, names, target, clients, seconds):
    """Attack as ``attack_from_a_process`` asks."""
    kinds = [KIND_BY_NAME[name] for name in names.split(",")]
    asyncio.run(attack_with(address, kinds, target, int(clients), float(seconds)))


if __name__ == "__main__":
    main(*sys.argv[1:])
