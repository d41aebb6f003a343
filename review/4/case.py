"""A config drops a route; the next request on the same connection gets no answer."""

import asyncio
import time
from pathlib import Path

from review.harness import (
    BOUNDS,
    HOST,
    ROUTES,
    World,
    make_config,
    run_case,
)

CLIENTS = 8
# Long enough that the body comes in several reads.
NOTE_BYTES = 40_000
BOOKING_BYTES = 600
THINK_SECONDS = 0.1
CONFIG_AT_SECONDS = 3.0
PLAY_SECONDS = 9.0
SLACK_SECONDS = BOUNDS["loss_slack_ms"] / 1000
# For so long after its ack a config is planned work.
WINDOW_SECONDS = BOUNDS["config_apply_ms"] / 1000 + 1.0
ANSWER_SECONDS = 5.0


class Client:
    """A client that keeps its connection, and uses a route until it is told 404."""

    def __init__(self, name: str, world: World, address: str) -> None:
        self.name = name
        self.cut_at: list[float] = []
        self.answered = 0
        self._note = world.record.note
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._number = 0
        self._uses_notes = True

    async def run(self, until: float) -> None:
        """Send requests one after the other."""
        while time.monotonic() < until:
            if self._uses_notes:
                status = await self._call("/notes/x", NOTE_BYTES)
                self._uses_notes = status != 404
                await asyncio.sleep(THINK_SECONDS)
            await self._call("/booking/x", BOOKING_BYTES)
            await asyncio.sleep(THINK_SECONDS)
        self._drop()

    async def _call(self, path: str, size: int) -> int:
        """Send a request; return the status, or 0 if there was no answer."""
        self._number += 1
        request_id = f"{self.name}-{self._number}"
        if self._writer is None:
            host, _, port = self._address.rpartition(":")
            self._reader, self._writer = await asyncio.open_connection(host, int(port))
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
            f"Deadline-Ms: 1500\r\nCredential: key-a\r\nContent-Length: {size}\r\n\r\n"
        )
        self._note(f"client sends POST {path} id={request_id}")
        sent_at = time.monotonic()
        try:
            self._writer.write(head.encode() + b"x" * size)
            await self._writer.drain()
            sent_at = time.monotonic()
            async with asyncio.timeout(ANSWER_SECONDS):
                status, closes = await self._read()
        except (OSError, EOFError, TimeoutError) as error:
            waited_s = time.monotonic() - sent_at
            self._note(
                f"no answer for id={request_id} after {waited_s:.3f} s: {error!r}"
            )
            if waited_s > SLACK_SECONDS:
                self.cut_at.append(sent_at)
            self._drop()
            return 0
        self._note(f"client got {status} for id={request_id} close={closes}")
        self.answered += 1
        if closes:
            self._drop()
        return status

    async def _read(self) -> tuple[int, bool]:
        """Return the status of a complete answer, and whether it announces a close."""
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        length = int(head.split("content-length:")[1].split("\r\n")[0])
        await self._reader.readexactly(length)
        return int(head.split(" ")[1]), "connection: close" in head

    def _drop(self) -> None:
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


async def play(world: World, has_trouble: bool) -> bool:
    """Return whether all whole requests beside the config were answered."""
    tenants = [{"name": "tenant-a", "api_keys": ["key-a"]}]
    notes = {"kind": "unsafe", "timeout_ms": 800, "slo_ms": 100}
    with_notes = {**ROUTES, "notes": notes}
    (gateway,) = await world.start(make_config(11, tenants, with_notes))
    note = world.record.note
    began = time.monotonic()
    clients = [Client(f"c{n}", world, gateway.front) for n in range(CLIENTS)]
    until = began + PLAY_SECONDS
    tasks = [asyncio.create_task(client.run(until)) for client in clients]
    await asyncio.sleep(CONFIG_AT_SECONDS)
    config_at = time.monotonic()
    world.store.put(
        "op/config", make_config(14, tenants, ROUTES if has_trouble else with_notes)
    )
    note(f"the store acknowledged config 14; notes dropped: {has_trouble}")
    await asyncio.gather(*tasks)
    cuts = [at for client in clients for at in client.cut_at]
    beside = [at for at in cuts if 0 <= at - config_at <= WINDOW_SECONDS]
    others = len(cuts) - len(beside)
    beside_rate = len(beside) / WINDOW_SECONDS
    other_rate = others / (PLAY_SECONDS - WINDOW_SECONDS)
    answered = sum(client.answered for client in clients)
    note(
        f"{answered} requests answered; {len(beside)} whole requests without an answer"
        f" beside the config, {others} at other times"
    )
    return not beside or beside_rate <= 3 * other_rate


run_case(Path(__file__).parent, play)
