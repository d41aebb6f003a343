"""A stand-in for the platform's key-value store, with lists, watches, and outages."""

import asyncio
import base64
import contextlib
import json
from typing import Any

import attrs
from aiohttp import web

from dotterelpitch.standins.serving import new_application, serve


@attrs.define
class Change:
    """One write of a key; ``value`` is None for a deletion."""

    revision: int
    key: str
    value: bytes | None

    def as_item(self) -> dict[str, Any]:
        """Return the change as an item of a list or watch response."""
        if self.value is None:
            return {"key": self.key, "revision": self.revision, "deleted": True}
        value = base64.b64encode(self.value).decode()
        return {"key": self.key, "revision": self.revision, "value": value}


@attrs.frozen
class StoreCopy:
    """The records of the store at a revision."""

    revision: int
    change_by_key: dict[str, Change]


class PlatformStore:
    """Holds records in memory and serves lists and watches over HTTP.

    With a ``status`` other than 200 every request fails with 503; with
    ``is_silent`` requests are never answered. ``page_size`` is the maximum number of
    items per page, and ``calls`` counts requests. ``era`` is named in all responses,
    unless it is None, and rises whenever the store is restored from a copy.
    """

    def __init__(self, page_size: int = 3) -> None:
        self.status = 200
        self.is_silent = False
        self.page_size = page_size
        self.calls = 0
        self.address = ""
        self.era: int | None = None
        self._revision = 1
        self._oldest_revision = 0
        self._change_by_key: dict[str, Change] = {}
        self._history: list[Change] = []
        self._write_event = asyncio.Event()
        self._runner: web.AppRunner | None = None

    async def start(self, address: str) -> None:
        """Listen on ``address``."""
        app = new_application()
        app.on_response_prepare.append(self._name_era)
        app.router.add_get("/v1/kv-range", self._list)
        app.router.add_get("/v1/kv-watch", self._watch)
        self.address = address
        self._runner = await serve(app, address)

    async def stop(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()

    def put(self, key: str, content: Any) -> None:
        """Write a record; ``content`` other than bytes is encoded as JSON."""
        value = content if isinstance(content, bytes) else json.dumps(content).encode()
        self._write(key, value)

    def delete(self, key: str) -> None:
        """Delete a record."""
        self._write(key, None)

    def discard_history(self) -> None:
        """Discard the change history; watches from older revisions are answered 410."""
        self._history.clear()
        self._oldest_revision = self._revision
        self._notify_watches()

    def copy(self) -> StoreCopy:
        """Return a copy of the present records."""
        return StoreCopy(self._revision, dict(self._change_by_key))

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy: later writes are lost, and revisions are used again."""
        self.era = (self.era or 0) + 1
        self._revision = copy.revision
        self._change_by_key = dict(copy.change_by_key)
        self.discard_history()

    async def _name_era(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        if self.era is not None:
            response.headers["Store-Era"] = str(self.era)

    def _write(self, key: str, value: bytes | None) -> None:
        self._revision += 1
        change = Change(self._revision, key, value)
        self._history.append(change)
        if value is None:
            self._change_by_key.pop(key, None)
        else:
            self._change_by_key[key] = change
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._write_event.set()
        self._write_event = asyncio.Event()

    async def _list(self, request: web.Request) -> web.Response:
        await self._apply_outage()
        after = request.query.get("after", "")
        prefix = request.query["path_prefix"]
        keys = sorted(
            key for key in self._change_by_key if key.startswith(prefix) and key > after
        )
        items = [self._change_by_key[key].as_item() for key in keys[: self.page_size]]
        has_more = len(keys) > self.page_size
        return web.json_response(
            {
                "items": items,
                "more_pages": has_more,
                "store_revision": self._revision,
            }
        )

    async def _watch(self, request: web.Request) -> web.Response:
        await self._apply_outage()
        after = int(request.query["after"])
        wait_s = int(request.query["wait_ms"]) / 1000
        events: list[Change] = []
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while self._has_history_since(after):
                    if events := self._changes_after(after):
                        break
                    await self._write_event.wait()
        await self._apply_outage()
        if not self._has_history_since(after):
            return web.json_response({}, status=410)
        return web.json_response(
            {
                "events": [change.as_item() for change in events],
                "store_revision": self._revision,
            }
        )

    def _has_history_since(self, revision: int) -> bool:
        return self._oldest_revision <= revision <= self._revision

    def _changes_after(self, revision: int) -> list[Change]:
        return [change for change in self._history if change.revision > revision]

    async def _apply_outage(self) -> None:
        self.calls += 1
        if self.is_silent:
            await asyncio.Event().wait()
        if self.status != 200:
            raise web.HTTPServiceUnavailable
