"""A stand-in for the users' store: lists, watches, lost history, and outages."""

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
    """One write; ``value`` is None for a deletion."""

    revision: int
    key: str
    value: bytes | None

    def as_item(self) -> dict[str, Any]:
        """Return the change as the store shows it."""
        if self.value is None:
            return {"key": self.key, "revision": self.revision, "deleted": True}
        value = base64.b64encode(self.value).decode()
        return {"key": self.key, "revision": self.revision, "value": value}


class PlatformStore:
    """Holds records and answers lists and watches.

    ``status`` other than 200 answers everything with it; ``is_silent`` answers
    nothing; ``page`` bounds the items of one page.
    """

    def __init__(self, page: int = 3) -> None:
        self.status = 200
        self.is_silent = False
        self.page = page
        self.calls = 0
        self.address = ""
        self._revision = 1
        self._oldest = 0
        self._change_by_key: dict[str, Change] = {}
        self._history: list[Change] = []
        self._written = asyncio.Event()
        self._runner: web.AppRunner | None = None

    async def start(self, address: str) -> None:
        """Listen on ``address``."""
        app = new_application()
        app.router.add_get("/v1/kv-range", self._list)
        app.router.add_get("/v1/kv-watch", self._watch)
        self.address = address
        self._runner = await serve(app, address)

    async def stop(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()

    def put(self, key: str, content: Any) -> None:
        """Write a record; ``content`` is bytes or is written as JSON."""
        value = content if isinstance(content, bytes) else json.dumps(content).encode()
        self._write(key, value)

    def delete(self, key: str) -> None:
        """Delete a record."""
        self._write(key, None)

    def forget_history(self) -> None:
        """Drop the changes, so that watches have to start from a list."""
        self._history.clear()
        self._oldest = self._revision
        self._wake_watches()

    def _write(self, key: str, value: bytes | None) -> None:
        self._revision += 1
        change = Change(self._revision, key, value)
        self._history.append(change)
        if value is None:
            self._change_by_key.pop(key, None)
        else:
            self._change_by_key[key] = change
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._written.set()
        self._written = asyncio.Event()

    async def _list(self, request: web.Request) -> web.Response:
        await self._fail()
        after = request.query.get("after", "")
        prefix = request.query["path_prefix"]
        keys = sorted(
            key for key in self._change_by_key if key.startswith(prefix) and key > after
        )
        items = [self._change_by_key[key].as_item() for key in keys[: self.page]]
        has_more = len(keys) > self.page
        return web.json_response(
            {
                "items": items,
                "more_pages": has_more,
                "store_revision": self._revision,
            }
        )

    async def _watch(self, request: web.Request) -> web.Response:
        await self._fail()
        after = int(request.query["after"])
        wait_s = int(request.query["wait_ms"]) / 1000
        events: list[Change] = []
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while after >= self._oldest:
                    if events := self._changes_after(after):
                        break
                    await self._written.wait()
        await self._fail()
        if after < self._oldest:
            return web.json_response({}, status=410)
        return web.json_response(
            {
                "events": [change.as_item() for change in events],
                "store_revision": self._revision,
            }
        )

    def _changes_after(self, revision: int) -> list[Change]:
        return [change for change in self._history if change.revision > revision]

    async def _fail(self) -> None:
        self.calls += 1
        if self.is_silent:
            await asyncio.Event().wait()
        if self.status != 200:
            raise web.HTTPServiceUnavailable
