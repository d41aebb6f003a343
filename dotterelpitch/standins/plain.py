"""Stand-in for a plain service that counts the calls it executes.

A call is executed on arrival; its response may be delayed or lost, like that of a
booking system that makes a booking although the reply never reaches the caller.
"""

import asyncio
import os
from collections import Counter
from typing import Any

import attrs
from aiohttp import web

from dotterelpitch.standins.serving import apply_fault_changes, log_run, new_application

KEY_HEADER = "Idempotency-Key"
FENCING_HEADER = "Dotterelpitch-Fencing"
FENCING_SCOPE_HEADER = "Dotterelpitch-Fencing-Scope"
CRASH_MARKER = b"crash-me"
CRASH_EXIT = 70


@attrs.frozen
class PlainFaults:
    """Faults that are currently injected into the service.

    With ``fail_every`` every n-th call is answered with 503 without being executed.
    ``delay_seconds`` is the delay between execution and response.
    """

    delay_seconds: float = 0.0
    fail_every: int = 0


@attrs.frozen
class Execution:
    """One executed call."""

    key: str
    method: str
    path: str
    fencing: int


class PlainStandIn:
    """HTTP server that executes calls and counts them by idempotency key.

    With ``checks_fencing``, a call is refused if its fencing number is below the
    highest one seen for its fencing scope.
    """

    def __init__(
        self, name: str, delay_seconds: float = 0.0, checks_fencing: bool = False
    ) -> None:
        self.name = name
        self.faults = PlainFaults(delay_seconds=delay_seconds)
        self._checks_fencing = checks_fencing
        self._executions: list[Execution] = []
        self._count_by_key: Counter[str] = Counter()
        self._highest_fencing_by_scope: dict[str, int] = {}
        self._calls = 0
        self._refused = 0
        self._in_flight = 0
        self._max_in_flight = 0

    def application(self) -> web.Application:
        """Return the web application that serves calls and control requests."""
        app = new_application()
        app.add_routes(
            [
                web.get("/control/executions", self._get_executions),
                web.put("/control/faults", self._put_faults),
                web.get("/v1/load", self._get_load),
                web.route("*", "/{path:.*}", self._handle_call),
            ]
        )
        return app

    async def _handle_call(self, request: web.Request) -> web.Response:
        self._calls += 1
        body = await request.read()
        if CRASH_MARKER in body:
            os._exit(CRASH_EXIT)
        if self.faults.fail_every and self._calls % self.faults.fail_every == 0:
            raise web.HTTPServiceUnavailable(text="failed on purpose")
        execution = self._execute(request)
        self._in_flight += 1
        self._max_in_flight = max(self._max_in_flight, self._in_flight)
        try:
            await asyncio.sleep(self.faults.delay_seconds)
        finally:
            self._in_flight -= 1
        return self._response(execution, body)

    def _execute(self, request: web.Request) -> Execution:
        fencing = self._check_fencing(request)
        key = request.headers.get(KEY_HEADER, "")
        execution = Execution(key, request.method, request.path_qs, fencing)
        self._executions.append(execution)
        self._count_by_key[key] += 1
        log_run(self.name, key)
        return execution

    def _check_fencing(self, request: web.Request) -> int:
        fencing = int(request.headers.get(FENCING_HEADER, "0"))
        scope = request.headers.get(FENCING_SCOPE_HEADER, "")
        highest = self._highest_fencing_by_scope.get(scope, 0)
        if self._checks_fencing and fencing < highest:
            self._refused += 1
            raise web.HTTPPreconditionFailed(text=f"fencing number below {highest}")
        self._highest_fencing_by_scope[scope] = max(fencing, highest)
        return fencing

    def _response(self, execution: Execution, body: bytes) -> web.Response:
        return web.json_response(
            {
                "endpoint": self.name,
                "method": execution.method,
                "path": execution.path,
                "key": execution.key,
                "execution": len(self._executions),
                "body": body.decode(errors="replace"),
            }
        )

    async def _get_executions(self, request: web.Request) -> web.Response:
        report: dict[str, Any] = {
            "name": self.name,
            "total": len(self._executions),
            "count_by_key": self._count_by_key,
            "executions": [attrs.asdict(e) for e in self._executions],
            "highest_fencing_by_scope": self._highest_fencing_by_scope,
            "refused": self._refused,
            "max_in_flight": self._max_in_flight,
        }
        return web.json_response(report)

    async def _put_faults(self, request: web.Request) -> web.Response:
        self.faults = apply_fault_changes(PlainFaults(), await request.json())
        return web.json_response(attrs.asdict(self.faults))

    async def _get_load(self, request: web.Request) -> web.Response:
        return web.json_response({"in_flight": self._in_flight, "queued": 0})
