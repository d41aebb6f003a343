"""Gateway processes with an in-memory store and scripted engines."""

import asyncio
import json
from pathlib import Path

import aiohttp

from tests.harness.platform_store import PlatformStore
from tests.harness.ports import free_address
from tests.harness.processes import Process
from tests.harness.scripted_engine import ScriptedEngine
from tests.harness.waiting import eventually

HOST = "calls.example"
KEY = "key-1"
ACCOUNT = "packers"
START_SECONDS = 15.0
CONFIG_SECONDS = 5.0
GRACE_SECONDS = 5

ROUTES = {
    "safe": {"kind": "safe", "max_attempts": 2},
    "unsafe": {"kind": "unsafe", "max_attempts": 1},
    "stream": {"kind": "streaming", "max_attempts": 1, "stream_resume": False},
    "resumable": {"kind": "streaming", "max_attempts": 2, "stream_resume": True},
    "quick": {"kind": "unsafe", "max_attempts": 1, "timeout_ms": 300},
    "open": {"kind": "safe", "max_attempts": 1, "public": True},
}


CHAT_ROUTES = {
    "chat": {
        "kind": "streaming",
        "max_attempts": 2,
        "stream_resume": True,
        "session_affinity": True,
    },
}
"""One route with resumable streams."""


def make_config(version: int, routes: dict = ROUTES, keys: tuple = (KEY,)) -> dict:
    """Return a config record with one route per kind of request."""
    return {
        "version": version,
        "routes": [
            {
                "name": name,
                "host": HOST,
                "path_prefix": f"/{name}/",
                "timeout_ms": 5000,
                "slo_ms": 500,
                "service": "calls",
                "public": False,
                **route,
            }
            for name, route in routes.items()
        ],
        "services": [{"name": "calls", "max_conns": 100}],
        "limits": {"max_body_bytes": 100_000},
        "tenants": [{"name": ACCOUNT, "api_keys": list(keys)}],
    }


class GatewayProcess:
    """One gateway process with its settings file.

    ``caller_address``, ``ready_address``, ``peer_address``, and
    ``metrics_address`` are the ``IP:port`` addresses of its listeners.
    """

    def __init__(
        self, name: str, folder: Path, store: str, seeds: list[str], **settings
    ) -> None:
        self.caller_address = free_address()
        self.ready_address = free_address()
        self.peer_address = free_address()
        self.metrics_address = free_address()
        self.settings_path = folder / f"{name}.json"
        self._name = name
        self.write_settings(store, seeds)
        self.process = Process(
            name,
            "dotterelpitch.gateway",
            {
                "settings": str(self.settings_path),
                "metrics_port": self.metrics_address.rpartition(":")[2],
                **settings,
            },
            logs_to_stdout=True,
        )

    def write_settings(self, store: str, seeds: list[str], **changes) -> None:
        """Write the settings file in the platform's format."""
        content = {
            "node_name": self._name,
            "zone": "a",
            "ip": self.metrics_address.rpartition(":")[0],
            "listen": {
                "front": self.caller_address,
                "ready": self.ready_address,
                "control": self.peer_address,
            },
            "seeds": seeds,
            "limits": {"memory_mb": 300},
            "bounds": {
                "grace_s": GRACE_SECONDS,
                "retry_budget": 0.2,
                "retry_slack": 6400,
                "budget_window_s": 10,
                "cap_x": 2,
            },
            "platform": {"address": store},
            **changes,
        }
        self.settings_path.write_text(json.dumps(content))

    async def ready_status(self) -> int:
        """Return the HTTP status of the readiness check."""
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://{self.ready_address}/v1/ready") as response,
        ):
            return response.status

    async def wait_ready(self, status: int = 200) -> None:
        """Return once the readiness check answers ``status``."""

        async def has_status() -> bool:
            return await self.ready_status() == status

        await eventually(has_status, START_SECONDS, f"{self._name} answers {status}")

    async def wait_config(self, version: int) -> None:
        """Return once a config of this version is in force."""

        def is_in_force() -> bool:
            return any(e["version"] == version for e in self.process.events(211))

        await eventually(is_in_force, CONFIG_SECONDS, f"config {version} is in force")


class GatewayFleet:
    """A store, two engines, and the gateways started by a test."""

    def __init__(self, folder: Path) -> None:
        self.store = PlatformStore()
        self.engines = [ScriptedEngine("e1"), ScriptedEngine("e2")]
        self.gateways: list[GatewayProcess] = []
        self._folder = folder

    async def start(
        self, gateways: int = 1, limits: dict | None = None, **settings
    ) -> GatewayProcess:
        """Start everything; return the first gateway once all are ready.

        ``limits`` are the resources that every VM is told, if not the usual ones.
        ``settings`` are GatewaySettings of every gateway, passed as flags.
        """
        await self.store.start(free_address())
        self.store.put("op/config", make_config(1))
        for engine in self.engines:
            await engine.start(free_address())
            self.register_engine(engine)
        for _ in range(gateways):
            self.add_gateway(self.store.address, **settings)
        for gateway in self.gateways:
            if limits:
                seeds = [] if gateway is self.gateways[0] else self._seeds()
                gateway.write_settings(self.store.address, seeds, limits=limits)
            await gateway.process.start()
        for gateway in self.gateways:
            await gateway.wait_ready()
        return self.gateways[0]

    def add_gateway(self, store: str, **settings) -> GatewayProcess:
        """Add a gateway, not started yet, with the first one as its seed."""
        name = f"vm{len(self.gateways) + 1}"
        gateway = GatewayProcess(name, self._folder, store, self._seeds(), **settings)
        self.gateways.append(gateway)
        return gateway

    def _seeds(self) -> list[str]:
        return [gateway.peer_address for gateway in self.gateways[:1]]

    def register_engine(
        self, engine: ScriptedEngine, state: str = "ready", version: str = ""
    ) -> None:
        """Write the store record of an engine, with its software version if any."""
        content = {
            "service": "calls",
            "address": engine.address,
            "zone": "a",
            "state": state,
            "capacity": 4,
        }
        if version:
            content["version"] = version
        self.store.put(f"servers/{engine.id}", content)

    def exchanges(self) -> list:
        """Return the requests received by all engines."""
        return [e for engine in self.engines for e in engine.exchanges]

    def request_errors(self) -> list:
        """Return the internal errors that the gateways have logged."""
        return [e for gateway in self.gateways for e in gateway.process.events(502)]

    async def stop(self) -> None:
        """Stop everything that was started."""
        for gateway in self.gateways:
            await gateway.process.kill()
        for engine in self.engines:
            await engine.stop()
        await self.store.stop()


async def send_raw(address: str, data: bytes, timeout: float = 8.0) -> bytes:
    """Send bytes on a new connection and return all that is received until EOF."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(data)
        async with asyncio.timeout(timeout):
            return await reader.read()
    finally:
        writer.close()


def request_bytes(
    path: str,
    method: str = "GET",
    body: bytes = b"",
    key: str = KEY,
    headers: tuple[str, ...] = (),
    close: bool = True,
) -> bytes:
    """Return the bytes of one request to ``HOST``."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", "Request-Id: r1"]
    if key:
        lines.append(f"Credential: {key}")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    if close:
        lines.append("Connection: close")
    return "\r\n".join([*lines, *headers, "", ""]).encode() + body
