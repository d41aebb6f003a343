"""Parts that the scripts of the review share: processes, stand-ins, and a client.

The store is the project's own stand-in. Engines and clients are small new ones that
follow the users' pages: an engine checks Expect-Instance, echoes Request-Id, and adds a
seal to each answer.
"""

import asyncio
import contextlib
import json
import os
import shlex
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from tests.harness.platform_store import PlatformStore
from tests.harness.ports import free_port

REPOSITORY = Path(__file__).resolve().parents[1]
HOST = "calls.example"
START_SECONDS = 20.0
# The bounds of the small sites.
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "downgrade_ms": 250,
    "max_stretch_ms": 5000,
    "retry_budget": 0.2,
    "budget_window_s": 10,
    "retry_slack": 52,
    "recovery_s": 12,
    "pass_ms": 120,
    "cap_x": 2,
}
ROUTES = {
    "booking": {"kind": "unsafe", "timeout_ms": 800, "slo_ms": 100},
    "lookup": {
        "kind": "safe",
        "timeout_ms": 800,
        "slo_ms": 100,
        "max_attempts": 2,
    },
    "draft": {
        "kind": "streaming",
        "timeout_ms": 12000,
        "slo_ms": 600,
        "max_attempts": 2,
        "stream_resume": True,
        "session_affinity": True,
        "gap_target_ms": 300,
    },
}


class CannotRunError(Exception):
    """Raised when a case can't be played, which says nothing of the rule."""


def make_config(version: int, tenants: list[dict], routes: dict = ROUTES) -> dict:
    """Return a config with one route for each entry of ``routes``."""
    defaults = {"host": HOST, "service": "calls", "public": False, "max_attempts": 1}
    return {
        "version": version,
        "routes": [
            {**defaults, "name": name, "path_prefix": f"/{name}/", **route}
            for name, route in routes.items()
        ],
        "services": [{"name": "calls", "max_conns": 96, "health_path": "/health"}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": tenants,
    }


class Record:
    """Writes ``record.txt``: what was sent, answered, and run, with times."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began = time.monotonic()

    def note(self, text: str) -> None:
        """Write one line."""
        seconds = time.monotonic() - self._began
        self._file.write(f"{seconds:8.3f} {text}\n")
        self._file.flush()


@dataclass
class Exchange:
    """A request at an engine, and the connection to answer on."""

    engine: "Engine"
    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    writer: asyncio.StreamWriter

    def header(self, name: str) -> str:
        """Return the value of a header, or an empty string."""
        values = [v for n, v in self.headers if n.lower() == name.lower()]
        return values[-1] if values else ""

    def write(self, status: str, *lines: str, body: bytes = b"") -> None:
        """Write a complete answer with seal and length."""
        head = [
            f"HTTP/1.1 {status}",
            f"Request-Id: {self.header('Request-Id')}",
            "Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1",
            f"Content-Length: {len(body)}",
            *lines,
        ]
        self.writer.write("\r\n".join([*head, "", ""]).encode() + body)


Behaviour = Callable[[Exchange], Awaitable[None]]


async def answer(exchange: Exchange) -> None:
    """Answer at once with success."""
    exchange.write("200 OK", body=b"done " + exchange.target.encode())


@dataclass
class Engine:
    """An engine stand-in; ``runs`` are the requests that it began to work on."""

    id: str
    record: Record
    service: str = "calls"
    behaviour: Behaviour = answer
    runs: list[Exchange] = field(default_factory=list)
    address: str = ""
    born: int = 0
    _server: asyncio.Server | None = None
    _writers: set = field(default_factory=set)

    async def start(self) -> None:
        """Listen, at the address of before if there was one."""
        if not self.address:
            self.address = f"127.0.0.1:{free_port()}"
        host, _, port = self.address.rpartition(":")
        self.born = time.time_ns() // 1_000_000
        self._server = await asyncio.start_server(
            self._serve, host, int(port), limit=1 << 20
        )

    def crash(self) -> None:
        """Reset all connections and stop listening."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def entry(self, state: str = "ready") -> dict:
        """Return the entry of the engine in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "version": "v1",
            "capacity": 8,
            "state": state,
            "call_seq": 0,
            "born": self.born,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, ValueError
        ):
            while (exchange := await self._read(reader, writer)) is not None:
                await self._handle(exchange)
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _handle(self, exchange: Exchange) -> None:
        if exchange.target == "/health":
            exchange.write("200 OK", f"Instance-Id: {self.id}")
            return
        if exchange.header("Expect-Instance") not in ("", self.id):
            exchange.write("421 Misdirected Request")
            return
        self.runs.append(exchange)
        self.record.note(
            f"engine {self.id} runs {exchange.method} {exchange.target}"
            f" id={exchange.header('Request-Id')}"
            f" tenant={exchange.header('Tenant') or '-'}"
        )
        await self.behaviour(exchange)

    async def _read(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> Exchange | None:
        line = (await reader.readline()).decode("latin-1").strip()
        if not line:
            return None
        method, target, _ = line.split(" ")
        headers = []
        while line := (await reader.readline()).decode("latin-1").strip():
            name, _, value = line.partition(":")
            headers.append((name, value.strip()))
        exchange = Exchange(self, method, target, headers, b"", writer)
        length = int(exchange.header("Content-Length") or 0)
        exchange.body = await reader.readexactly(length)
        return exchange


class Gateway:
    """A gateway process, started with the command of the deploy file."""

    def __init__(self, name: str, folder: Path, store: str, seeds: list[str]) -> None:
        self.name = name
        self.store = store
        self.seeds = seeds
        number = int("".join(filter(str.isdigit, name)))
        self.ip = f"127.0.0.{10 + number}"
        self.front = f"{self.ip}:{free_port(self.ip)}"
        self.ready = f"{self.ip}:{free_port(self.ip)}"
        self.control = f"{self.ip}:{free_port(self.ip)}"
        self.settings_path = folder / f"{name}.json"
        self._log_path = folder / f"{name}.log"
        self.child: subprocess.Popen | None = None
        self.environment: dict[str, str] = {}
        self.zone = "a"
        self.memory_mb = 300

    def write_settings(self) -> None:
        """Write the settings file."""
        content = {
            "node_name": self.name,
            "role": "gateway",
            "machine_class": "front",
            "serves": ["front", "control"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "r",
            "zones": {self.zone: "r"},
            "listen": {
                "front": self.front,
                "ready": self.ready,
                "control": self.control,
            },
            "internal_ports": [7340, 7355],
            "seeds": self.seeds,
            "bootstrap": True,
            "limits": {
                "cpu_share": 0.537,
                "cores": 2,
                "memory_mb": self.memory_mb,
                "max_fds": 4200,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "bounds": BOUNDS,
            "platform": {"address": self.store, "form": "read"},
        }
        new = self.settings_path.with_suffix(".new")
        new.write_text(json.dumps(content))
        new.replace(self.settings_path)

    def start(self) -> None:
        """Start the process; it isn't ready yet."""
        self.write_settings()
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        program, *arguments = shlex.split(deploy["roles"]["gateway"]["run"])
        environment = {n: os.environ[n] for n in ("PATH", "HOME") if n in os.environ}
        environment["PYTHONPATH"] = str(REPOSITORY / "target/deps")
        environment["DOTTERELPITCH_SETTINGS"] = str(self.settings_path)
        with self._log_path.open("ab") as log:
            self.child = subprocess.Popen(
                [program, *arguments],
                cwd=REPOSITORY,
                env={**environment, **self.environment},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def is_ready(self) -> bool:
        """Return whether the gateway says that it is ready."""
        with contextlib.suppress(OSError):
            host, _, port = self.ready.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
            )
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            return b" 200 " in line
        return False

    async def wait_ready(self) -> None:
        """Return when the gateway is ready."""
        until = time.monotonic() + START_SECONDS
        while not await self.is_ready():
            if time.monotonic() > until:
                raise CannotRunError(f"{self.name} isn't ready: {self.log()[-500:]}")
            await asyncio.sleep(0.1)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.child.send_signal(number)

    def log(self) -> str:
        """Return all that the process has logged."""
        return self._log_path.read_text(errors="replace")

    def end(self) -> None:
        """End the process."""
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
            self.child.wait()


@dataclass
class Answer:
    """An answer as a client has read it; status 0 is a connection without one."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


def request_bytes(
    path: str,
    request_id: str,
    key: str,
    method: str = "POST",
    body: bytes = b"",
    headers: tuple[bytes, ...] = (),
    deadline_ms: int = 1500,
) -> bytes:
    """Return the bytes of one request on a connection of its own."""
    lines = [
        f"{method} {path} HTTP/1.1".encode(),
        f"Host: {HOST}".encode(),
        f"Request-Id: {request_id}".encode(),
        f"Deadline-Ms: {deadline_ms}".encode(),
        f"Content-Length: {len(body)}".encode(),
        b"Connection: close",
        *headers,
    ]
    if key:
        lines.append(f"Credential: {key}".encode())
    return b"\r\n".join([*lines, b"", b""]) + body


async def call(address: str, data: bytes, timeout_s: float = 15.0) -> Answer:
    """Send a request on a new connection and return the answer."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(data)
                received = await reader.read()
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return Answer(0)
    head, _, body = received.partition(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    if not first.startswith("HTTP/1.1 "):
        return Answer(0)
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return Answer(int(first.split(" ")[1]), headers, body)


class World:
    """A store, engines, and gateways in a temporary folder."""

    def __init__(self, case: Path) -> None:
        self.record = Record(case)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = PlatformStore(page_size=50)
        self.engines: list[Engine] = []
        self.gateways: list[Gateway] = []

    async def start(
        self,
        config: dict,
        engines: int = 2,
        gateways: int = 1,
        memory_mb: int = 300,
    ) -> list[Gateway]:
        """Start everything; return the gateways once all are ready."""
        await self.store.start(f"127.0.0.1:{free_port()}")
        self.store.put("op/config", config)
        for number in range(engines):
            engine = Engine(f"i-{number}", self.record)
            await engine.start()
            self.engines.append(engine)
            self.register(engine)
        for _ in range(gateways):
            self.add_gateway().memory_mb = memory_mb
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()
        return self.gateways

    def add_gateway(self) -> Gateway:
        """Add a gateway that isn't started yet."""
        seeds = [g.control for g in self.gateways[:3]]
        name = f"front-{len(self.gateways) + 1}"
        gateway = Gateway(name, self.folder, self.store.address, seeds)
        self.gateways.append(gateway)
        return gateway

    def register(self, engine: Engine, state: str = "ready") -> None:
        """Write an engine's entry to the store."""
        self.store.put(f"servers/{engine.id}", engine.entry(state))

    async def close(self) -> None:
        """End all processes and remove the folder."""
        for gateway in self.gateways:
            gateway.end()
        for engine in self.engines:
            engine.crash()
        await asyncio.sleep(0.05)
        with contextlib.suppress(Exception, asyncio.CancelledError):
            await self.store.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder: Path, play: Callable[[World, bool], Awaitable[bool]]) -> None:
    """Run a case and exit with 1 if the rule was broken, 0 if not, 2 if it can't run.

    ``play`` gets whether the disruption comes, and returns whether the rule held.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        world = World(folder)
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(110):
                holds = await play(world, has_trouble)
            world.record.note("the rule held" if holds else "the rule was broken")
            return 0 if holds else 1
        except (Exception, asyncio.CancelledError) as error:
            world.record.note(f"the case couldn't run: {error!r}")
            if "KEEP_LOGS" in os.environ:
                for gateway in world.gateways:
                    print(gateway.log()[-3000:])
            return 2
        finally:
            if "SHOW_LOGS" in os.environ:
                for gateway in world.gateways:
                    print(f"== {gateway.name}\n{gateway.log()}")
            await world.close()

    sys.exit(asyncio.run(run()))
