"""Stand-in for a model engine with the common chat completions API.

Every engine answers the same messages with the same tokens, so that a test can
check the complete answer: see ``engine_model.expected_text``. Stream events are
numbered from 1, and a stream can be resumed after any of them.
"""

import asyncio
import json
import os
import secrets
from typing import Any

import attrs
import cattrs
from aiohttp import web

from dotterelpitch.standins.engine_batch import Batch, Generation
from dotterelpitch.standins.engine_cache import PrefixCache, prefixes_of
from dotterelpitch.standins.engine_events import (
    chunk,
    chunk_head,
    finish_reason,
    last_chunk,
    usage,
)
from dotterelpitch.standins.engine_model import (
    DEFAULT_MAX_TOKENS,
    EngineFaults,
    EngineSettings,
    content_digest,
    token_text,
)
from dotterelpitch.standins.engine_orders import AbsoluteOrder, Order, OrderHandler
from dotterelpitch.standins.serving import apply_fault_changes, log_run, new_application

REQUEST_ID_HEADER = "Dotterelpitch-Request-Id"
CHAT_HEADER = "Dotterelpitch-Chat"
PRIORITY_HEADER = "Dotterelpitch-Priority"
CRASH_MARKER = b"crash-me"
CRASH_EXIT = 70
MAX_RETAINED_GENERATIONS = 10_000


class EngineStandIn:
    """HTTP server of one engine: chats, streams, KV cache, orders, and faults."""

    def __init__(self, settings: EngineSettings) -> None:
        self.settings = settings
        self.faults = EngineFaults(fail_every=settings.fail_every)
        self._cache = PrefixCache(settings)
        self._batch = Batch(settings, self._cache)
        self._orders = OrderHandler(settings)
        self._generation_by_id: dict[str, Generation] = {}
        self._runs_by_id: dict[str, int] = {}
        self._requests = 0
        self._aborted_streams = 0

    def application(self) -> web.Application:
        """Return the web application that serves the engine's API."""
        app = new_application()
        app.add_routes(
            [
                web.post("/v1/chat/completions", self._post_chat),
                web.get("/v1/streams/{id}", self._get_stream),
                web.post("/v1/cancel/{id}", self._post_cancel),
                web.get("/v1/kv/{chat}", self._get_kv),
                web.put("/v1/kv/{chat}", self._put_kv),
                web.get("/v1/load", self._get_load),
                web.get("/v1/cache-events", self._get_cache_events),
                web.get("/v1/orders", self._get_orders),
                web.post("/v1/orders", self._post_order),
                web.get("/control/stats", self._get_stats),
                web.put("/control/faults", self._put_faults),
            ]
        )
        app.cleanup_ctx.append(self._run_batch)
        return app

    async def _run_batch(self, app: web.Application):
        task = asyncio.create_task(self._batch.run())
        yield
        task.cancel()

    async def _post_chat(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        if CRASH_MARKER in body:
            os._exit(CRASH_EXIT)
        self._requests += 1
        self._inject_faults()
        chat_request = _parse_chat_request(body)
        model = chat_request.get("model", "")
        if not self._orders.serves(model):
            return _error_response(404, f"model {model!r} is not loaded")
        generation = self._start_generation(request, chat_request)
        first = generation.produced
        if chat_request.get("stream"):
            return await self._stream(request, generation, first, model)
        return await self._send_completion(generation, model)

    def _inject_faults(self) -> None:
        if self.faults.refuse:
            raise web.HTTPServiceUnavailable(text="refused on purpose")
        every = self.faults.fail_every
        if every and self._requests % every == 0:
            raise web.HTTPInternalServerError(text="failed on purpose")

    def _start_generation(
        self, request: web.Request, chat_request: dict[str, Any]
    ) -> Generation:
        headers = request.headers
        request_id = headers.get(REQUEST_ID_HEADER) or secrets.token_hex(8)
        model, messages = chat_request.get("model", ""), chat_request["messages"]
        generation = Generation(
            request_id,
            content_digest(model, messages),
            prefixes_of(model, headers.get(CHAT_HEADER, ""), messages),
            int(chat_request.get("max_tokens") or DEFAULT_MAX_TOKENS),
            int(headers.get("Last-Event-ID", "0")),
            int(chat_request.get("priority", headers.get(PRIORITY_HEADER, "1"))),
        )
        self._record_generation(generation)
        self._batch.submit(generation)
        return generation

    def _record_generation(self, generation: Generation) -> None:
        request_id = generation.request_id
        self._runs_by_id[request_id] = self._runs_by_id.get(request_id, 0) + 1
        self._generation_by_id[request_id] = generation
        log_run(self.settings.name, request_id)
        if len(self._generation_by_id) > MAX_RETAINED_GENERATIONS:
            oldest = next(iter(self._generation_by_id))
            del self._generation_by_id[oldest]

    async def _send_completion(
        self, generation: Generation, model: str
    ) -> web.Response:
        generation.readers += 1
        try:
            await generation.wait_beyond(generation.max_tokens - 1)
        finally:
            self._release_reader(generation)
        indices = range(generation.produced)
        text = "".join(token_text(generation.digest, index) for index in indices)
        choice = {
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": finish_reason(generation),
        }
        return web.json_response(
            {
                "id": generation.request_id,
                "object": "chat.completion",
                "model": model,
                "engine": self.settings.name,
                "choices": [choice],
                "usage": usage(generation),
            }
        )

    async def _get_stream(self, request: web.Request) -> web.StreamResponse:
        generation = self._generation_by_id.get(request.match_info["id"])
        if generation is None:
            return _error_response(404, "no such stream")
        if generation.cancelled:
            return _error_response(410, "the stream was cancelled")
        after = int(request.query.get("after", "0"))
        return await self._stream(request, generation, after, "")

    async def _stream(
        self, request: web.Request, generation: Generation, after: int, model: str
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                REQUEST_ID_HEADER: generation.request_id,
            }
        )
        generation.readers += 1
        try:
            await response.prepare(request)
            await self._write_tokens(request, response, generation, after, model)
        except ConnectionError:
            self._aborted_streams += 1
            raise
        finally:
            self._release_reader(generation)
        return response

    async def _write_tokens(
        self,
        request: web.Request,
        response: web.StreamResponse,
        generation: Generation,
        after: int,
        model: str,
    ) -> None:
        head = chunk_head(generation.request_id, model)
        index = after
        while True:
            await generation.wait_beyond(index)
            available = generation.produced
            cut_after = self.faults.cut_after_tokens
            if cut_after and available >= cut_after and request.transport is not None:
                request.transport.abort()
                return
            parts = [
                chunk(head, i + 1, token_text(generation.digest, i))
                for i in range(index, available)
            ]
            index = available
            if generation.done and index >= generation.produced:
                parts.append(last_chunk(head, index + 1, generation))
                await response.write(b"".join(parts))
                return
            await response.write(b"".join(parts))

    def _release_reader(self, generation: Generation) -> None:
        generation.readers -= 1
        if not generation.done and generation.readers == 0:
            asyncio.get_running_loop().call_later(
                self.settings.resume_linger, self._cancel_unread, generation
            )

    def _cancel_unread(self, generation: Generation) -> None:
        if generation.readers == 0:
            self._batch.cancel(generation)

    async def _post_cancel(self, request: web.Request) -> web.Response:
        generation = self._generation_by_id.get(request.match_info["id"])
        if generation is None:
            return _error_response(404, "no such stream")
        return web.json_response({"cancelled": self._batch.cancel(generation)})

    async def _get_kv(self, request: web.Request) -> web.Response:
        prefixes = self._cache.export(request.match_info["chat"])
        if not prefixes:
            return _error_response(404, "nothing is cached for this chat")
        return web.json_response({"prefixes": prefixes})

    async def _put_kv(self, request: web.Request) -> web.Response:
        self._cache.import_chat((await request.json())["prefixes"])
        return web.json_response({})

    async def _get_load(self, request: web.Request) -> web.Response:
        report = attrs.asdict(self._batch.lagging_load())
        report["concurrency"] = self.settings.concurrency
        return web.json_response(report)

    async def _get_cache_events(self, request: web.Request) -> web.Response:
        events = self._cache.events_after(int(request.query.get("after", "0")))
        return web.json_response({"events": [attrs.asdict(event) for event in events]})

    async def _get_orders(self, request: web.Request) -> web.Response:
        return web.json_response(self._order_report())

    async def _post_order(self, request: web.Request) -> web.Response:
        try:
            accepted = await self._apply_order(await request.json())
        except (TypeError, ValueError, KeyError) as error:
            return _error_response(400, f"bad order: {error}")
        report = {"accepted": accepted, **self._order_report()}
        return web.json_response(report, status=200 if accepted else 409)

    async def _apply_order(self, content: dict[str, Any]) -> bool:
        if "models" not in content:
            return await self._orders.apply(Order(**content))
        order = cattrs.structure(content, AbsoluteOrder)
        return await self._orders.apply_absolute(order)

    def _order_report(self) -> dict[str, Any]:
        orders = self._orders
        checks_fencing = self.settings.checks_fencing
        return {
            "fencing": orders.highest_fencing if checks_fencing else 0,
            "models": orders.loaded_models(),
            "highest_fencing": orders.highest_fencing,
            "loaded": orders.loaded_parts(),
            "role": orders.role,
            "orders": [attrs.asdict(order) for order in orders.accepted],
            "absolute": [attrs.asdict(order) for order in orders.absolute],
            "refused": orders.refused,
        }

    async def _get_stats(self, request: web.Request) -> web.Response:
        load = self._batch.current_load()
        return web.json_response(
            {
                "name": self.settings.name,
                "requests": self._requests,
                "runs_by_id": self._runs_by_id,
                "in_flight": load.in_flight,
                "queued": load.queued,
                "cut": self._aborted_streams,
                **attrs.asdict(self._batch.stats),
            }
        )

    async def _put_faults(self, request: web.Request) -> web.Response:
        self.faults = apply_fault_changes(EngineFaults(), await request.json())
        return web.json_response(attrs.asdict(self.faults))


def _parse_chat_request(body: bytes) -> dict[str, Any]:
    try:
        chat_request = json.loads(body)
        messages = chat_request["messages"]
        if not isinstance(messages, list) or not messages:
            raise ValueError("messages must be a list that isn't empty")
    except (ValueError, KeyError, TypeError) as error:
        raise web.HTTPBadRequest(text=f"bad chat completion: {error}") from None
    return chat_request


def _error_response(status: int, text: str) -> web.Response:
    return web.json_response({"error": {"message": text}}, status=status)
