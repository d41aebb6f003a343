"""Stand-in for the platform, which serves documents and the VM list.

All resources share one revision counter. Each resource keeps its history, so that
a fault can serve an earlier snapshot to all readers or to one of them.
"""

import asyncio
import json
import random
from collections import Counter
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import attrs
from aiohttp import web

from dotterelpitch.standins.serving import apply_fault_changes, new_application

VMS = "vms"
MAX_WAIT_SECONDS = 60.0


@attrs.frozen
class PlatformFaults:
    """Faults that are currently injected into the platform.

    With ``down`` all requests and waiting watches are answered with 503.
    ``slow_seconds`` delays each response. ``stale_revision`` serves the state of
    that revision to all readers (-1 for the newest), and ``stale_by_reader`` to
    individual readers. ``shuffle`` serves the VM list in a different order to each
    reader.
    """

    down: bool = False
    slow_seconds: float = 0.0
    stale_revision: int = -1
    stale_by_reader: Mapping[str, int] = attrs.field(factory=dict)
    shuffle: bool = False

    def max_visible_revision(self, reader: str) -> int:
        """Return the highest revision visible to ``reader``, or -1 for no limit."""
        return self.stale_by_reader.get(reader, self.stale_revision)


@attrs.frozen
class Snapshot:
    """The content of a resource since ``revision``."""

    revision: int
    content: Any


class PlatformStandIn:
    """HTTP server that holds all resources and serves readers and control calls."""

    def __init__(self) -> None:
        self.revision = 0
        self.faults = PlatformFaults()
        self._history_by_resource: dict[str, list[Snapshot]] = {}
        self._change_event = asyncio.Event()
        self._calls_by_kind: Counter[str] = Counter()
        self._calls_by_reader: Counter[str] = Counter()
        self._waiting = 0
        self._max_waiting = 0

    @property
    def waiting(self) -> int:
        """Number of watches that are waiting for a change."""
        return self._waiting

    def load_state(self, text: str) -> None:
        """Publish the documents and VMs of a state file's JSON text."""
        state = json.loads(text)
        for service, document in state.get("documents", {}).items():
            self.put(_document_resource(service), document)
        if VMS in state:
            self.put(VMS, state[VMS])

    def put(self, resource: str, content: Any) -> int:
        """Publish ``content`` at the next revision and return that revision."""
        self.revision += 1
        history = self._history_by_resource.setdefault(resource, [])
        history.append(Snapshot(self.revision, content))
        self._notify_watches()
        return self.revision

    def restore(self, revision: int) -> None:
        """Return to ``revision``, like a platform restored from a backup.

        Snapshots with a higher revision are removed.
        """
        self.revision = revision
        for history in self._history_by_resource.values():
            history[:] = [s for s in history if s.revision <= revision]
        self._notify_watches()

    def visible_snapshot(self, resource: str, reader: str) -> Snapshot | None:
        """Return the newest snapshot that ``reader`` may see, or None without any."""
        limit = self.faults.max_visible_revision(reader)
        for snapshot in reversed(self._history_by_resource.get(resource, [])):
            if limit < 0 or snapshot.revision <= limit:
                return snapshot
        return None

    def application(self) -> web.Application:
        """Return the web application that serves readers and control calls."""
        app = new_application()
        app.add_routes(
            [
                web.get("/v1/documents/{service}", self._get_document),
                web.get("/v1/vms", self._get_vms),
                web.put("/control/documents/{service}", self._put_document),
                web.put("/control/vms", self._put_vms),
                web.put("/control/faults", self._put_faults),
                web.post("/control/restore/{revision}", self._post_restore),
                web.get("/control/stats", self._get_stats),
            ]
        )
        return app

    async def _get_document(self, request: web.Request) -> web.Response:
        resource = _document_resource(request.match_info["service"])
        snapshot = await self._read(request, resource)
        return _response_with_revision(snapshot.revision, document=snapshot.content)

    async def _get_vms(self, request: web.Request) -> web.Response:
        snapshot = await self._read(request, VMS)
        vms = list(snapshot.content)
        if self.faults.shuffle:
            random.Random(request.query.get("reader", "")).shuffle(vms)
        return _response_with_revision(snapshot.revision, vms=vms)

    async def _read(self, request: web.Request, resource: str) -> Snapshot:
        reader = request.query.get("reader", "")
        kind = "watch" if "wait" in request.query else "read"
        self._calls_by_kind[kind] += 1
        self._calls_by_reader[reader] += 1
        await asyncio.sleep(self.faults.slow_seconds)
        after = _query_number(request, "after", -1.0)
        wait = min(_query_number(request, "wait", 0.0), MAX_WAIT_SECONDS)
        self._waiting += 1
        self._max_waiting = max(self._max_waiting, self._waiting)
        try:
            return await self._await_newer(request, resource, reader, after, wait)
        finally:
            self._waiting -= 1

    async def _await_newer(
        self,
        request: web.Request,
        resource: str,
        reader: str,
        after: float,
        wait: float,
    ) -> Snapshot:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait
        while True:
            if self.faults.down:
                raise web.HTTPServiceUnavailable(text="down")
            snapshot = self.visible_snapshot(resource, reader)
            if snapshot is not None and _is_newer(request, snapshot, after):
                return snapshot
            remaining = deadline - loop.time()
            if remaining <= 0:
                raise web.HTTPNotFound if snapshot is None else web.HTTPNotModified
            await self._wait_for_change(remaining)

    async def _wait_for_change(self, seconds: float) -> None:
        change_event = self._change_event
        try:
            await asyncio.wait_for(change_event.wait(), seconds)
        except TimeoutError:
            return

    def _notify_watches(self) -> None:
        self._change_event.set()
        self._change_event = asyncio.Event()

    async def _put_document(self, request: web.Request) -> web.Response:
        resource = _document_resource(request.match_info["service"])
        return web.json_response(
            {"revision": self.put(resource, await _read_json(request))}
        )

    async def _put_vms(self, request: web.Request) -> web.Response:
        body = await _read_json(request)
        return web.json_response({"revision": self.put(VMS, body[VMS])})

    async def _put_faults(self, request: web.Request) -> web.Response:
        self.faults = apply_fault_changes(PlatformFaults(), await _read_json(request))
        self._notify_watches()
        return web.json_response(attrs.asdict(self.faults))

    async def _post_restore(self, request: web.Request) -> web.Response:
        self.restore(int(request.match_info["revision"]))
        return web.json_response({"revision": self.revision})

    async def _get_stats(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "revision": self.revision,
                "calls_by_kind": self._calls_by_kind,
                "calls_by_reader": self._calls_by_reader,
                "waiting": self._waiting,
                "most_waiting": self._max_waiting,
            }
        )


def from_state_file(path: str) -> PlatformStandIn:
    """Return a stand-in with the state of the file at ``path``.

    With an empty ``path`` the stand-in has no documents and no VM list.
    """
    stand_in = PlatformStandIn()
    if path:
        stand_in.load_state(Path(path).read_text(encoding="utf-8"))
    return stand_in


def _document_resource(service: str) -> str:
    return f"documents/{service}"


def _is_newer(request: web.Request, snapshot: Snapshot, after: float) -> bool:
    if request.headers.get("If-None-Match") == _etag(snapshot.revision):
        return False
    return "after" not in request.query or snapshot.revision > after


def _etag(revision: int) -> str:
    return f'"{revision}"'


def _response_with_revision(revision: int, **content: Any) -> web.Response:
    return web.json_response(
        {"revision": revision, **content}, headers={"ETag": _etag(revision)}
    )


def _query_number(request: web.Request, name: str, default: float) -> float:
    try:
        return float(request.query.get(name, default))
    except ValueError:
        raise web.HTTPBadRequest(text=f"{name}: not a number") from None


async def _read_json(request: web.Request) -> Any:
    try:
        return await request.json()
    except ValueError:
        raise web.HTTPBadRequest(text="not JSON") from None
