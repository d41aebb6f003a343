"""Stand-ins for the scripts of the third review, on loopback and the real clock.

The store, the engines, and the platform that starts gateways do what the users' pages
say, in the smallest form that a gateway needs. A ``Site`` holds one of each test.
"""

import asyncio
import base64
import contextlib
import json
import os
import shlex
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[1]
HOST = "calls.example"
KEY = "key-1"
TENANT = "packers"
SEAL = "seal-1"
START_SECONDS = 20.0
MIB = 1024 * 1024

HELD, BROKEN, NOT_RUN = 0, 1, 2

BOUNDS = {
    "contact_ms": 3000,
    "ack_ms": 4000,
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
    "cap_x": 2,
}

APP, MODEL = "app", "model"

# As on the sheet of a small deployment: kind, service, attempts, times in ms.
ROUTES = [
    ("booking", "unsafe", APP, 1, 800, 100),
    ("lookup", "safe", APP, 2, 800, 100),
    ("draft", "streaming", MODEL, 2, 12000, 600),
]


class NotRunError(Exception):
    """The case couldn't be run."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w")
        self._began = time.monotonic()

    def __call__(self, text):
        self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
        self._file.flush()


def free_address(host="127.0.0.1"):
    """Return an unused ``IP:port``."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return "{}:{}".format(*sock.getsockname())


def make_config(version):
    """Return the content of ``op/config``."""
    return {
        "version": version,
        "routes": [
            {
                "name": name,
                "host": HOST,
                "path_prefix": f"/{name}/",
                "service": service,
                "kind": kind,
                "max_attempts": attempts,
                "timeout_ms": timeout_ms,
                "slo_ms": slo_ms,
                "priority": 0,
                "public": False,
                "stream_resume": kind == "streaming",
            }
            for name, kind, service, attempts, timeout_ms, slo_ms in ROUTES
        ],
        "services": [
            {"name": MODEL, "max_conns": 290, "health_path": "/health"},
            {"name": APP, "max_conns": 96, "health_path": "/health"},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4 * MIB,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY]}],
    }


async def read_head(reader):
    """Return the first line and the headers by lower-case name, or None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data.decode("latin-1").split("\r\n")[:-2]
    pairs = (line.partition(":") for line in lines)
    return first, {name.lower(): value.strip() for name, _, value in pairs}


async def read_body(reader, headers):
    """Return the body of a message with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).strip() or b"0", 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


def is_owner(pid, address):
    """Return whether a process has a socket with this local ``(IP, port)``."""
    packed = "".join(f"{int(part):02X}" for part in reversed(address[0].split(".")))
    local = f"{packed}:{address[1]:04X}"
    rows = Path("/proc/net/tcp").read_text().splitlines()[1:]
    fields = (row.split() for row in rows)
    inodes = {f"socket:[{row[9]}]" for row in fields if row[1] == local}
    for entry in Path(f"/proc/{pid}/fd").iterdir():
        with contextlib.suppress(OSError):
            if os.readlink(entry) in inodes:
                return True
    return False


class HttpServer:
    """Serves HTTP/1.1 on loopback; ``handle`` answers one request.

    While ``cut_off`` is a process id, that process' connections are reset.
    """

    def __init__(self):
        self.address = ""
        self.cut_off = None
        self._server = None
        self._writers = set()

    def cut(self, pid):
        """Reset the connections of a process, open and new ones; None ends that."""
        self.cut_off = pid
        for writer in list(self._writers):
            if self._is_cut(writer):
                writer.transport.abort()

    def _is_cut(self, writer):
        if self.cut_off is None:
            return False
        return is_owner(self.cut_off, writer.get_extra_info("peername"))

    async def start(self, address=""):
        self.address = address or free_address()
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self):
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        if self._is_cut(writer):
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                if not await self.handle(head, body, reader, writer):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def handle(self, head, body, reader, writer):
        """Answer one request; return whether the connection stays."""
        raise NotImplementedError


class Store(HttpServer):
    """The platform's metadata store: pages, watches, one revision counter."""

    def __init__(self):
        super().__init__()
        self.revision = 1
        self._items = {}
        self._history = []
        self._changed = asyncio.Event()

    def put(self, key, content):
        value = base64.b64encode(json.dumps(content).encode()).decode()
        self._add(key, {"value": value})

    def delete(self, key):
        self._add(key, {"deleted": True})

    def _add(self, key, fields):
        self.revision += 1
        item = {"key": key, "revision": self.revision, **fields}
        self._history.append(item)
        self._items[key] = item
        if "deleted" in fields:
            del self._items[key]
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, head, body, reader, writer):
        target = head[0].split(" ")[1]
        path, _, text = target.partition("?")
        query = dict(pair.split("=", 1) for pair in text.split("&") if "=" in pair)
        if path == "/v1/kv-range":
            items = [self._items[key] for key in sorted(self._items)]
            content = {"items": items, "more_pages": False}
        elif path == "/v1/kv-watch":
            content = {"events": await self._wait(query)}
        else:
            writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return True
        content["store_revision"] = self.revision
        data = json.dumps(content).encode()
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            b"Content-Length: %d\r\n\r\n" % len(data) + data
        )
        return True

    async def _wait(self, query):
        after = int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            events = [item for item in self._history if item["revision"] > after]
            left = until - time.monotonic()
            if events or left <= 0:
                return events
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self._changed.wait()


class Engine(HttpServer):
    """An engine of a service; ``answer`` may be replaced.

    It works on ``slots`` requests at once and queues as many as ``queue``; the rest it
    rejects. ``runs`` holds the id of each request that it began to work on.
    """

    def __init__(self, record, engine_id, service, zone="a", slots=48, queue=144):
        super().__init__()
        self.id = engine_id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.record = record
        self.runs = []
        self.running = 0
        self.waiting = 0
        self.queue = queue
        self.answer = answer_plain
        self._free = asyncio.Semaphore(slots)
        self.born = int(time.time() * 1000)

    def entry(self, state="ready"):
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "capacity": self.slots,
            "state": state,
            "cold_left_ms": 0,
            "call_seq": 0,
            "born": self.born,
        }

    def load(self):
        return f"{self.running},{self.waiting},{self.slots}"

    async def handle(self, head, body, reader, writer):
        method, target, _ = head[0].split(" ")
        headers = head[1]
        if target == "/health":
            writer.write(
                f"HTTP/1.1 200 OK\r\nInstance-Id: {self.id}\r\n"
                f"Server-Load: {self.load()}\r\nContent-Length: 0\r\n\r\n".encode()
            )
            return True
        if target.startswith("/v1/"):
            writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return True
        request_id = headers.get("request-id", "")
        if headers.get("expect-instance", self.id) != self.id:
            self._reject("421 Misdirected Request", request_id, writer)
            return True
        if self._free.locked() and self.waiting >= self.queue:
            self._reject("503 Service Unavailable", request_id, writer)
            return True
        self.waiting += 1
        try:
            await self._free.acquire()
        finally:
            self.waiting -= 1
        if writer.is_closing():
            self._free.release()
            return False
        self.runs.append(request_id)
        self.running += 1
        self.record(f"{self.id} runs {request_id} {method} {target} {len(body)} B")
        try:
            return await self.answer(self, request_id, headers, writer)
        finally:
            self.running -= 1
            self._free.release()

    def _reject(self, status, request_id, writer):
        """Answer a request that isn't run."""
        writer.write(
            f"HTTP/1.1 {status}\r\nRequest-Id: {request_id}\r\n"
            f"Server-Load: {self.load()}\r\n"
            "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode()
        )

    def head(self, request_id, *lines, status="200 OK"):
        """Return a response head with the request's id and the engine's seal."""
        first = [
            f"HTTP/1.1 {status}",
            f"Request-Id: {request_id}",
            f"Response-Seal: {SEAL}",
            f"Server-Load: {self.load()}",
            "Keep-Alive: timeout=10",
        ]
        return "\r\n".join([*first, *lines, "", ""]).encode()


async def answer_plain(engine, request_id, headers, writer):
    """Answer after the usual work of 20 ms."""
    await asyncio.sleep(0.02)
    body = f"done {request_id}".encode().ljust(800, b".")
    writer.write(engine.head(request_id, f"Content-Length: {len(body)}") + body)
    return True


def answer_stream(events, pause_s, data="x" * 40):
    """Return an answer with a stream of events, also one that is resumed."""

    async def answer(engine, request_id, headers, writer):
        first = int(headers.get("last-event-id") or 0) + 1
        writer.write(
            engine.head(
                request_id,
                "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked",
                "Weight-Versions: 1",
            )
        )
        for number in range(first, events + 1):
            await asyncio.sleep(pause_s)
            event = f"id: {number}\ndata: {data}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True

    return answer


class Link:
    """A network link to a machine's own address, for other machines.

    It passes on ``bytes_per_s`` of what the others send. It is a process of its own, so
    that it doesn't slow the other stand-ins.
    """

    def __init__(self, target, bytes_per_s):
        self.address = ""
        self._target = target
        self._bytes_per_s = bytes_per_s
        self._process = None

    async def start(self):
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-B",
            __file__,
            self._target,
            str(self._bytes_per_s),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        self.address = (await self._process.stdout.readline()).decode().strip()

    async def stop(self):
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()


class LinkServer:
    """What a link's process does; a connection that ends at one end is reset there."""

    def __init__(self, target, bytes_per_s):
        self._target = target
        self._bytes_per_s = bytes_per_s

    async def run(self):
        """Serve until standard input ends."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32 * 1024)
        sock.bind(("127.0.0.1", 0))
        await asyncio.start_server(self._serve, sock=sock, limit=16 * 1024)
        print("{}:{}".format(*sock.getsockname()), flush=True)
        await asyncio.to_thread(sys.stdin.read)

    async def _serve(self, reader, writer):
        host, _, port = self._target.rpartition(":")
        try:
            there, back = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        await asyncio.wait(
            [
                asyncio.create_task(self._pass_on(reader, back, self._bytes_per_s)),
                asyncio.create_task(self._pass_on(there, writer, 0)),
            ],
            return_when=asyncio.FIRST_COMPLETED,
        )
        reset(writer)
        reset(back)

    async def _pass_on(self, reader, writer, bytes_per_s):
        with contextlib.suppress(OSError):
            while data := await reader.read(32 * 1024):
                writer.write(data)
                await writer.drain()
                if bytes_per_s:
                    await asyncio.sleep(len(data) / bytes_per_s)


def reset(writer):
    """Reset a connection."""
    linger = struct.pack("ii", 1, 0)
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Gateway:
    """A VM of the platform that runs the gateway with the deploy file's command."""

    def __init__(self, site, name, zone="a", memory_mb=300):
        self.name = name
        self.site = site
        self.zone = zone
        self.memory_mb = memory_mb
        self.front = free_address()
        self.ready = free_address()
        self.control = free_address()
        self.path = Path(site.folder) / f"{name}.json"
        self.log_path = Path(site.folder) / f"{name}.log"
        self.process = None
        self.started_at = 0.0

    def write_settings(self, **changes):
        seeds = [self.site.gateways[0].control]
        content = {
            "node_name": self.name,
            "role": "gateway",
            "machine_class": "front",
            "serves": ["front", "control"],
            "ip": "127.0.0.1",
            "zone": self.zone,
            "region": "r",
            "zones": {self.zone: "r"},
            "listen": {
                "front": self.front,
                "ready": self.ready,
                "control": self.control,
            },
            "internal_ports": [7340, 7355],
            "seeds": seeds,
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
            "heartbeat_ms": 1200,
            "bounds": BOUNDS,
            "platform": {
                "address": self.site.store.address,
                "form": "read",
                "reads_per_s": 2000,
                "history_s": 20,
            },
        }
        self.path.write_text(json.dumps({**content, **changes}))

    async def start(self, **extra_env):
        """Start the process; it may not be ready yet."""
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["gateway"]["run"])
        env = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        env |= {
            "DOTTERELPITCH_SETTINGS": str(self.path),
            "PYTHONPATH": str(REPOSITORY / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            **extra_env,
        }
        self.started_at = time.monotonic()
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=REPOSITORY,
                env=env,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=reset_signals,
            )
        self.site.record(f"platform starts {self.name}")

    @property
    def runs(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.runs:
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()

    def resident_mb(self):
        """Return the resident memory of the process in MiB, 0 if it has ended."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        lines = [line for line in text.splitlines() if line.startswith("VmRSS")]
        return int(lines[0].split()[1]) / 1024 if lines else 0.0

    async def is_ready(self):
        try:
            async with asyncio.timeout(1.0):
                response = await call(self.ready, "GET", "/v1/ready")
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            return False
        return response is not None and response.status == 200

    async def wait_ready(self, timeout_s=START_SECONDS):
        until = time.monotonic() + timeout_s
        while not await self.is_ready():
            if time.monotonic() > until:
                raise NotRunError(f"{self.name} isn't ready")
            await asyncio.sleep(0.1)

    def events(self, name):
        """Return the log lines that contain a text."""
        lines = self.log_path.read_text(errors="replace").splitlines()
        return [line for line in lines if name in line]


def reset_signals():
    """Give a process the signals' default actions, as a platform does."""
    signal.signal(signal.SIGHUP, signal.SIG_DFL)


class Response:
    """A response as a client has read it; ``is_complete`` is whether it ended well."""

    def __init__(self, status, headers, body=b"", is_complete=False):
        self.status = status
        self.headers = headers
        self.body = body
        self.is_complete = is_complete

    def __repr__(self):
        end = "complete" if self.is_complete else "cut"
        return f"{self.status} {len(self.body)} B {end}"


def request_bytes(method, path, request_id, body=b"", deadline_ms=12000, lines=()):
    """Return one request of a client."""
    fields = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Request-Id: {request_id}",
        f"Deadline-Ms: {deadline_ms}",
        f"Credential: {KEY}",
        *lines,
    ]
    if body or method == "POST":
        fields.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*fields, "", ""]).encode() + body


async def read_response(reader):
    """Return the response that comes next, or None if the connection ends before it."""
    head = await read_head(reader)
    if head is None:
        return None
    response = Response(int(head[0].split(" ")[1]), head[1])
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, ValueError):
        response.body = await read_body(reader, head[1])
        response.is_complete = True
    return response


async def call(address, method, path, request_id="r", body=b"", lines=(), **options):
    """Send one request on a connection of its own and return the response."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        data = request_bytes(method, path, request_id, body, lines=lines, **options)
        writer.write(data)
        return await read_response(reader)
    finally:
        writer.close()


async def look_up(record, gateway, name, counts):
    """Look up one thing after the other on one kept connection, until cancelled."""
    host, _, port = gateway.front.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        for number in range(1_000_000):
            data = request_bytes("GET", "/lookup/x", f"{name}-{number}")
            writer.write(data)
            response = await read_response(reader)
            if response is None:
                record(f"{name} loses its connection")
                return
            counts[response.status] = counts.get(response.status, 0) + 1
    finally:
        writer.close()


class Site:
    """A store, engines, and gateways; everything ends with it."""

    def __init__(self, record, folder):
        self.record = record
        self.folder = folder
        self.store = Store()
        self.engines = []
        self.gateways = []
        self.links = []

    async def start(self, gateways=2, models=9, apps=4, memory_mb=300):
        await self.store.start()
        self.store.put("op/config", make_config(1))
        for number in range(models + apps):
            kind = (MODEL, "a", 48, 144) if number < models else (APP, "a", 6, 24)
            engine = Engine(self.record, f"i-{number + 1}", *kind)
            await engine.start()
            self.engines.append(engine)
            self.store.put(f"servers/{engine.id}", engine.entry())
        for number in range(gateways):
            gateway = Gateway(self, f"front-{number + 1}", memory_mb=memory_mb)
            self.gateways.append(gateway)
        for gateway in self.gateways:
            gateway.write_settings()
            await gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()

    def runs(self, request_id):
        """Return the engines that have run a request, one entry a run."""
        return [e.id for e in self.engines for r in e.runs if r == request_id]

    async def stop(self):
        for gateway in self.gateways:
            if gateway.runs:
                gateway.signal(signal.SIGCONT)
                await gateway.kill()
        for server in (*self.links, *self.engines, self.store):
            await server.stop()


async def watch_memory(gateway, record, state):
    """Kill a gateway over its machine's memory, as the platform does; start it again.

    ``state`` counts its ends and holds its highest memory in MiB.
    """
    while True:
        await asyncio.sleep(0.02)
        if not gateway.runs:
            continue
        used = gateway.resident_mb()
        state["peak"] = max(state["peak"], round(used))
        if used > gateway.memory_mb:
            record(f"{gateway.name} takes {used:.0f} MiB: the platform kills it")
            state["ends"] += 1
            await gateway.kill()
            await asyncio.sleep(0.5)
            await gateway.start()


class Caller:
    """An ordinary client that books one thing after the other on new connections."""

    def __init__(self, record, gateway, name, period_s=0.1, deadline_ms=1500):
        self._record = record
        self._gateway = gateway
        self._name = name
        self._period_s = period_s
        self._deadline_ms = deadline_ms
        self.sent = []
        self.status_by_id = {}
        self.began_by_id = {}
        self.seconds_by_id = {}

    async def run(self, method="POST", path="/booking/x", body=b"{}"):
        """Book until cancelled."""
        tasks = set()
        try:
            for number in range(1_000_000):
                request_id = f"{self._name}-{number}"
                task = asyncio.create_task(self._book(request_id, method, path, body))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                await asyncio.sleep(self._period_s)
        finally:
            for task in tasks:
                task.cancel()

    async def _book(self, request_id, method, path, body):
        began = self.began_by_id[request_id] = time.monotonic()
        self._record(f"client sends {request_id} to {self._gateway.name}")
        result = "no answer in its time"
        try:
            async with asyncio.timeout(self._deadline_ms / 1000):
                host, _, port = self._gateway.front.rpartition(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                self.sent.append(request_id)
                try:
                    writer.write(
                        request_bytes(method, path, request_id, body, self._deadline_ms)
                    )
                    response = await read_response(reader)
                finally:
                    writer.close()
            result = "cut, no answer"
            if response is not None:
                result = response.status if response.is_complete else "cut"
        except TimeoutError:
            pass
        except ConnectionRefusedError:
            result = "no connection"
        except OSError:
            result = "cut, no answer"
        self.status_by_id[request_id] = result
        self.seconds_by_id[request_id] = time.monotonic() - began
        self._record(f"client of {request_id} gets {result}")

    def count(self):
        """Return how often each result came."""
        results = list(self.status_by_id.values())
        return {str(r): results.count(r) for r in dict.fromkeys(results)}


def run_case(file, play):
    """Run ``play(site, record, trouble)`` and exit with what it returns."""
    folder = Path(file).resolve().parent
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        with tempfile.TemporaryDirectory() as temporary:
            site = Site(record, temporary)
            try:
                async with asyncio.timeout(110):
                    return await play(site, record, trouble)
            except (NotRunError, TimeoutError) as error:
                record(f"not run: {error!r}")
                for gateway in site.gateways:
                    if gateway.log_path.exists():
                        text = gateway.log_path.read_text()[-3000:]
                        record(f"{gateway.name} log: {text}")
                return NOT_RUN
            finally:
                await site.stop()

    code = asyncio.run(main())
    record(f"exit {code}")
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[code])
    sys.exit(code)


if __name__ == "__main__":
    asyncio.run(LinkServer(sys.argv[1], int(sys.argv[2])).run())
