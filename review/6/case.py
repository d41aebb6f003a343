"""The machine that reads the store for the others is cut off from it; an engine drains.

The other machines reach the store all the time. The rule DRAIN bounds for how long they
may send to the engine, and CONFIG for how long they may act by an older config.
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

MACHINES = 3
ENGINES = 3
# As the sheets of sites/ name them.
SHEET = {"contact_ms": 3000, "drain_ms": 2000, "config_apply_ms": 2000}
DRAIN_SECONDS = SHEET["drain_ms"] / 1000
CUT_SECONDS = 5.5
REQUESTS_PER_SECOND = 120.0
# From the last change before the cut to the cut, and from the cut to the next change.
CHANGE_BEFORE_CUT_SECONDS = 0.3
CHANGE_AFTER_CUT_SECONDS = 0.05


class StorePath:
    """The path of one machine to the store; a cut is silent."""

    def __init__(self, store):
        self._store = store
        self.watched_at = 0.0
        self.connects = asyncio.Event()
        self.connects.set()

    async def start(self, host, port):
        """Listen on an address."""
        self.address = f"{host}:{port}"
        self._server = await asyncio.start_server(self._serve, host, port)

    async def _serve(self, reader, writer):
        await self.connects.wait()
        host, _, port = self._store.address.rpartition(":")
        store_reader, store_writer = await asyncio.open_connection(host, int(port))
        await asyncio.gather(
            self._pass_on(reader, store_writer, True),
            self._pass_on(store_reader, writer, False),
            return_exceptions=True,
        )

    async def _pass_on(self, reader, writer, is_request):
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                await self.connects.wait()
                if is_request and b"/v1/kv-watch" in data:
                    self.watched_at = time.monotonic()
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
        store.put("op/config", config(9))
        record.write("config 9 is acknowledged")
        await asyncio.sleep(CHANGE_BEFORE_CUT_SECONDS)
        reader = max(range(MACHINES), key=lambda n: paths[n].watched_at)
        if with_trouble:
            paths[reader].connects.clear()
            record.write(f"{gateways[reader].name} is cut off from the store")
        cut_at = time.monotonic()
        await asyncio.sleep(CHANGE_AFTER_CUT_SECONDS)
        engine = engines[0]
        entry = {**engine.entry("huvo11a", "lj-vic"), "state": "draining"}
        store.put(f"servers/{engine.id}", entry)
        acknowledged_at = time.monotonic()
        record.write(f"{engine.id} drains: acknowledged")
        await asyncio.sleep(cut_at + CUT_SECONDS - time.monotonic())
        paths[reader].connects.set()
        record.write("the cut is over")
        await asyncio.sleep(2.0)
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
        is_in_touch = not with_trouble or gateway is not gateways[reader]
        late += is_in_touch
        record.write(
            f"{request_id} of {gateway.name} reaches the draining engine {seconds:.3f} "
            f"s after the ack; the machine is in touch: {is_in_touch}"
        )
    record.write(f"{late} requests of machines in touch reach it after drain_ms")
    return late > 0


if __name__ == "__main__":
    run_case(main, Path(__file__).parent)
