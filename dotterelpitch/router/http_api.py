"""HTTP/1.1 routes for callers, and the conversion of errors to responses."""

from collections.abc import Awaitable, Callable

from aiohttp import web

from dotterelpitch.clock import Clock
from dotterelpitch.protocol.work_tracker import WorkTracker
from dotterelpitch.router.chat_call import new_request_id, parse_chat_call
from dotterelpitch.router.chat_entry import ChatEntryHandler
from dotterelpitch.router.keyed_routing import KeyedRouting
from dotterelpitch.router.plain_call import parse_plain_call, with_provable_outcome
from dotterelpitch.router.plain_entry import PlainEntryHandler
from dotterelpitch.router.problems import CallerError, Outcome
from dotterelpitch.router.state import FleetState
from dotterelpitch.telemetry.events import Event, log_event

RESPONSE_STARTED = web.RequestKey("response started", bool)

Handler = Callable[[web.Request, str], Awaitable[web.StreamResponse]]


class HttpApi:
    """The aiohttp application of one router.

    ``work`` tracks the open requests. While ``stopping`` is set, the router isn't
    ready, and responses close their connections.
    """

    def __init__(
        self,
        state: FleetState,
        chat_handler: ChatEntryHandler,
        plain_handler: PlainEntryHandler,
        keyed: KeyedRouting,
        clock: Clock,
        max_body_bytes: int,
    ) -> None:
        self._state = state
        self._chat_handler = chat_handler
        self._plain_handler = plain_handler
        self._keyed = keyed
        self._clock = clock
        self._max_body_bytes = max_body_bytes
        self.stopping = False
        self.work = WorkTracker()

    @property
    def open_count(self) -> int:
        """The number of requests in progress."""
        return len(self.work.names())

    def application(self) -> web.Application:
        """Return the application with all routes."""
        application = web.Application(client_max_size=self._max_body_bytes)
        application.on_response_prepare.append(self._on_response_prepare)
        router = application.router
        router.add_post("/v1/chat/completions", self._wrap(self._chat))
        router.add_route(
            "*", "/v1/services/{service}/{path:.*}", self._wrap(self._plain)
        )
        router.add_post("/v1/idempotency-keys", self._issue_key)
        router.add_get("/healthz", self._healthz)
        router.add_get("/readyz", self._readyz)
        return application

    def _wrap(self, handler: Handler) -> Callable:
        """Return a handler that tracks the request and converts errors."""

        async def handle(request: web.Request) -> web.StreamResponse:
            request_id = new_request_id()
            with self.work.track(f"request {request_id}"):
                return await self._run_handler(handler, request, request_id)

        return handle

    async def _run_handler(
        self, handler: Handler, request: web.Request, request_id: str
    ) -> web.StreamResponse:
        try:
            return await handler(request, request_id)
        except CallerError as problem:
            return self._problem_response(problem, request_id)
        except web.HTTPRequestEntityTooLarge:
            detail = f"body: at most {self._max_body_bytes} bytes"
            problem = CallerError(413, "Request too large", detail)
            return self._problem_response(problem, request_id)
        except (web.HTTPException, ConnectionError):
            raise
        except Exception as error:
            log_event(Event.REQUEST_BROKE, request=request_id, reason=repr(error))
            if RESPONSE_STARTED in request:
                raise  # The caller sees the connection close before the body ends.
            detail = "an error of the router"
            problem = CallerError(500, "Internal error", detail, Outcome.UNKNOWN)
            return self._problem_response(problem, request_id)

    async def _on_response_prepare(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        """Record that the response starts; when stopping, close its connection.

        Closing it makes the caller connect to another router.
        """
        request[RESPONSE_STARTED] = True
        if self.stopping:
            response.force_close()
            response.headers["Connection"] = "close"

    def _problem_response(self, problem: CallerError, request_id: str) -> web.Response:
        log_event(
            Event.REQUEST_ENDED,
            request=request_id,
            status=problem.status,
            outcome=problem.outcome.value,
            reason=str(problem),
        )
        return problem.response(request_id)

    async def _chat(self, request: web.Request, request_id: str) -> web.StreamResponse:
        body = await request.read()
        call = parse_chat_call(
            request_id, request.headers, body, self._state.view, self._clock
        )
        return await self._chat_handler.serve(request, call)

    async def _plain(self, request: web.Request, request_id: str) -> web.StreamResponse:
        try:
            body = await request.read()
            call = parse_plain_call(request_id, request, body, self._state.view)
        except CallerError as problem:
            raise with_provable_outcome(request, problem) from None
        if not call.route.idempotent:
            return await self._keyed.entry_handler.serve(request, call)
        return await self._plain_handler.serve(request, call)

    async def _issue_key(self, request: web.Request) -> web.Response:
        return web.json_response({"key": self._keyed.issue_key()})

    async def _healthz(self, request: web.Request) -> web.Response:
        return web.Response(text="alive\n")

    async def _readyz(self, request: web.Request) -> web.Response:
        ready = self._state.complete.is_set() and not self.stopping
        ready = ready and self._keyed.settled
        text = "ready\n" if ready else "not ready\n"
        return web.Response(status=200 if ready else 503, text=text)
