"""Clients that send heads without end, or hold as many as they can, on loopback.

Each kind writes to one connection after the other until the time is over. It sends at
once what costs a process most, and never ends what it has begun.
"""

import asyncio
import contextlib
import itertools
import sys
import time

from tests.harness.hostile_clients import head

WIDE_BYTES = 8000
# So many lines are few enough to be parsed at once.
LINES = 100
LINE_PAUSE_SECONDS = 0.002
FIELDS = 4000
# With so many a head is within the limit of its bytes.
ALLOWED_FIELDS = 1800
FRAME_BYTES = 4_000_000


def empty_lines(target):
    """Send empty lines in place of a request."""
    yield from itertools.repeat(b"\r\n" * 16_000)


def wide_fields(target):
    """Send fields just below the limit of one, without end."""
    yield head(target)[:-2]
    for number in itertools.count():
        yield b"f%d: %s\r\n" % (number, bytes([120]) * WIDE_BYTES)


def wide_trailers(target):
    """Send the fields after a body in chunks, without end."""
    yield head(target, "Transfer-Encoding: chunked") + b"1\r\nx\r\n0\r\n"
    for number in itertools.count():
        yield b"f%d: %s\r\n" % (number, bytes([120]) * WIDE_BYTES)


def fields_behind_a_request(target):
    """Send a head without end while a request is in progress."""
    yield head(target, "Content-Length: 1") + b"x"
    yield from wide_fields(target)


def narrow_fields(target):
    """Send short fields, a few at a time, without end."""
    yield head(target)[:-2]
    for _ in range(FIELDS // LINES):
        yield b"".join(b"a%d:b\r\n" % number for number in range(LINES))
    yield from itertools.repeat(b"")


def held_heads(target):
    """Send a whole head of short fields, and no body."""
    lines = [f"a{number}:b" for number in range(ALLOWED_FIELDS)]
    data = head(target, "Content-Length: 10", *lines).split(b"\r\n")
    for first in range(0, len(data) - 2, LINES):
        lines = data[first : min(first + LINES, len(data) - 2)]
        yield b"\r\n".join(lines) + b"\r\n"
    yield b"\r\n"
    yield from itertools.repeat(b"")


def frame_of_many_strings(target):
    """Send the first frame of a peer as an array of strings, without end."""
    yield b"\xdd\x00\x3f\xff\xff"
    yield from itertools.repeat((b"\xd9\xff" + bytes(255)) * 256)


def frame_of_one_string(target):
    """Send the first frame of a peer as one string, but for its end."""
    yield b"\xc6" + FRAME_BYTES.to_bytes(4, "big")
    yield bytes(FRAME_BYTES - 1)
    yield from itertools.repeat(b"")


def silence(target):
    """Send nothing."""
    yield from itertools.repeat(b"")


KINDS = [
    empty_lines,
    wide_fields,
    wide_trailers,
    fields_behind_a_request,
    narrow_fields,
    held_heads,
    frame_of_many_strings,
    frame_of_one_string,
    silence,
]
KIND_BY_NAME = {kind.__name__: kind for kind in KINDS}
PACED = {narrow_fields, held_heads}


async def attack_once(address, kind, target):
    """Write to a connection until it ends."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port), limit=1024)
    try:
        for data in kind(target):
            if not data:
                await reader.read()
                return
            writer.write(data)
            await writer.drain()
            if kind in PACED:
                await asyncio.sleep(LINE_PAUSE_SECONDS)
    finally:
        writer.transport.abort()


async def attack(address, kind, target, seconds):
    """Attack again at once, whenever the connection has ended."""
    until = time.monotonic() + seconds
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            while time.monotonic() < until:
                with contextlib.suppress(OSError):
                    await attack_once(address, kind, target)
                await asyncio.sleep(0.01)


async def attack_with(address, kind, target, clients, seconds):
    """Let many clients attack at once."""
    attacks = (attack(address, kind, target, seconds) for _ in range(clients))
    await asyncio.gather(*attacks)


async def attack_from_a_process(address, kind, target, clients, seconds):
    """Attack from a process of its own, so that the test goes on measuring."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tests.harness.hostile_heads",
        *(address, kind.__name__, target, str(clients), str(seconds)),
    )
    assert await process.wait() == 0


def main(address, name, target, clients, seconds):
    """Attack as ``attack_from_a_process`` asks."""
    kind = KIND_BY_NAME[name]
    asyncio.run(attack_with(address, kind, target, int(clients), float(seconds)))


if __name__ == "__main__":
    main(*sys.argv[1:])
