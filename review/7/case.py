"""A zone is cut off from the store and back; an engine in it leaves meanwhile.

The records of the engines in the zone run out during the cut. Those that live write
theirs again within two seconds of its end, and the one that leaves doesn't. The rule
DRAIN bounds for how long the machines may send to it.
"""

import asyncio
import contextlib
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from parts2 import (
    BOUNDS,
    HOST,
    Gateway,
    PlainEngine,
    Store,
    call,
    free_ports,
    get_request,
    make_config,
    run_case,
)

MACHINES = 2
ENGINES = 3
# As the sheets of sites/ name them.
SHEET = {"contact_ms": 3000, "drain_ms": 2000, "config_apply_ms": 2000}
DRAIN_SECONDS = SHEET["drain_ms"] / 1000
CONTACT_SECONDS = SHEET["contact_ms"] / 1000
CUT_SECONDS = 6.3
# Three missed heartbeats of 1.2 s.
RECORD_SECONDS = 3.6
REQUESTS_PER_SECOND = 120.0
# After the end of the cut: when the leaving engine has its record removed, and when the
# others write theirs again. The pages say "within about two seconds".
LEAVES_AFTER_SECONDS = 0.3
RETURN_AFTER_SECONDS = (0.6, 1.8)


class StorePath:
    """The path of one machine to the store; while it is cut, it resets connections."""

    def __init__(self, store):
        self._store = store
        self._is_cut = False
        self._writers = set()

    async def start(self, host, port):
        """Listen on an address."""
        self.address = f"{host}:{port}"
        self._server = await asyncio.start_server(self._serve, host, port)

    def cut(self):
        """Reset all connections, and those that come."""
        self._is_cut = True
        for writer in list(self._writers):
            writer.transport.abort()

    def heal(self):
        """Let connections through again."""
        self._is_cut = False

    async def _serve(self, reader, writer):
        if self._is_cut:
            writer.transport.abort()
            return
        host, _, port = self._store.address.rpartition(":")
        store_reader, store_writer = await asyncio.open_connection(host, int(port))
        self._writers |= {writer, store_writer}
        await asyncio.gather(
            self._pass_on(reader, store_writer),
            self._pass_on(store_reader, writer),
            return_exceptions=True,
        )
        self._writers -= {writer, store_writer}

    async def _pass_on(self, reader, writer):
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        writer.close()


class DrainingEngine(PlainEngine):
    """An engine that notes when requests reach it."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.arrivals = []

    async def answer(self, line, fields, body, writer):
        if line.split(" ")[1] != "/health":
            self.arrivals.append((time.monotonic(), fields.get("request-id", "")))
        await super().answer(line, fields, body, writer)


async def send(record, gateways, sent):
    """Send requests to the machines, as long as this isn't cancelled."""
    tasks = set()
    while True:
        await asyncio.sleep(random.expovariate(REQUESTS_PER_SECOND))
        gateway = random.choice(gateways)
        request_id = f"{len(sent):016x}"
        sent[request_id] = gateway
        task = asyncio.create_task(send_one(record, gateway, request_id))
        tasks.add(task)
        task.add_done_callback(tasks.discard)


async def send_one(record, gateway, request_id):
    request = get_request("/cufi504/x", request_id, 1.5)
    status, _, _ = await call(gateway.front, request, 1.6)
    record.write(f"{request_id} sent to {gateway.name}: {status}")


def config(version):
    """Return the config, which differs only in an idle route."""
    route = {
        "host": HOST,
        "kind": "safe",
        "timeout_ms": 800,
        "slo_ms": 125,
        "max_attempts": 2,
        "service": "huvo11a",
    }
    routes = [
        {**route, "name": "r-1", "path_prefix": "/cufi504/"},
        {**route, "name": "r-2", "path_prefix": f"/idle{version}/"},
    ]
    service = {"name": "huvo11a", "health_path": "/health", "max_conns": 110}
    return make_config(version, routes, [service])


async def cut_off(record, store, paths, engines):
    """Cut the zone off from the store until the cut is over."""
    record.write("the zone is cut off from the store")
    began = time.monotonic()
    for path in paths:
        path.cut()
    await asyncio.sleep(RECORD_SECONDS)
    for engine in engines:
        store.delete(f"servers/{engine.id}")
    record.write("the records of its engines have run out")
    await asyncio.sleep(began + CUT_SECONDS - time.monotonic())
    for path in paths:
        path.heal()
    record.write("the cut is over")


async def main(record, folder, with_trouble):
    subnet = f"127.0.{random.randint(20, 250)}"
    hosts = [f"{subnet}.{n}" for n in range(1, MACHINES + 1)]
    front, ready, control, first, store_port, *engine_ports = free_ports(
        5 + ENGINES, [*hosts, "127.0.0.1"]
    )
    store = Store()
    await store.start(f"127.0.0.1:{store_port}")
    engines = [
        DrainingEngine(record, f"i-{n:08x}", f"127.0.0.1:{port}")
        for n, port in enumerate(engine_ports)
    ]
    for engine in engines:
        await engine.start()
        store.put(f"servers/{engine.id}", engine.entry("huvo11a", "lj-vic"))
    store.put("op/config", config(7))
    seeds = [f"{host}:{control}" for host in hosts]
    ports = front, ready, control, first
    paths, gateways = [], []
    for host in hosts:
        path = StorePath(store)
        await path.start(host, store_port)
        paths.append(path)
        gateways.append(
            Gateway(
                folder,
                host,
                "lj-vic",
                ports,
                seeds,
                path.address,
                bounds={**BOUNDS, **SHEET},
            )
        )
    sent, tasks = {}, []
    try:
        for gateway in gateways:
            await gateway.start()
        for gateway in gateways:
            if not await gateway.wait_ready():
                raise RuntimeError(f"{gateway.name} isn't ready")
        tasks.append(asyncio.create_task(send(record, gateways, sent)))
        await asyncio.sleep(8.0)
        engine, *others = engines
        if with_trouble:
            await cut_off(record, store, paths, engines)
        healed_at = time.monotonic()
        await asyncio.sleep(LEAVES_AFTER_SECONDS)
        store.delete(f"servers/{engine.id}")
        acknowledged_at = time.monotonic()
        record.write(f"{engine.id} leaves: acknowledged")
        for other, after_s in zip(others, RETURN_AFTER_SECONDS, strict=True):
            await asyncio.sleep(healed_at + after_s - time.monotonic())
            entry = {**other.entry("huvo11a", "lj-vic"), "call_seq": 2}
            store.put(f"servers/{other.id}", entry)
            record.write(f"{other.id} writes its record")
        await asyncio.sleep(healed_at + 6.0 - time.monotonic())
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*(gateway.kill() for gateway in gateways))
    late = 0
    for at, request_id in engine.arrivals:
        gateway = sent.get(request_id)
        seconds = at - acknowledged_at
        if seconds <= DRAIN_SECONDS or gateway is None:
            continue
        is_in_touch = not with_trouble or at - healed_at > CONTACT_SECONDS
        late += is_in_touch
        record.write(
            f"{request_id} of {gateway.name} reaches the leaving engine "
            f"{seconds:.3f} s after the ack; the machine is in touch: {is_in_touch}"
        )
    record.write(f"{late} requests of machines in touch reach it after drain_ms")
    return late > 0


if __name__ == "__main__":
    run_case(main, Path(__file__).parent)
