"""The router's operator interface: commands, status, and ``/metrics``."""

from collections.abc import Awaitable, Callable, Iterable

from aiohttp import web
from attrs import frozen

from dotterelpitch.protocol.operator_messages import (
    DocumentStatus,
    EngineStatus,
    StatusReport,
)
from dotterelpitch.protocol.server import HandlerTable
from dotterelpitch.router.http_api import HttpApi
from dotterelpitch.router.problems import final_outcome
from dotterelpitch.router.routing_hub import RoutingHub
from dotterelpitch.router.state import FleetState
from dotterelpitch.telemetry.metrics import METRICS_CONTENT_TYPE, get_metrics
from dotterelpitch.telemetry.operator_api import (
    OperatorApi,
    process_uptime,
    resident_memory,
)

CHAT_SERVICE = "chat"


@frozen
class OperatorContext:
    """The parts of a router that the operator interface reads or controls.

    ``request_stop`` starts the graceful shutdown.
    """

    vm_name: str
    state: FleetState
    hub: RoutingHub
    handlers: HandlerTable
    request_stop: Callable[[], None]


_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def operator_application(router: OperatorContext, api: HttpApi) -> web.Application:
    """Return the application of ``api`` with ``/metrics`` added.

    Also registers the operator commands and the metrics that read the router.
    """
    reporter = RouterReporter(router, api)
    operators = OperatorApi(router.vm_name, reporter.report, router.request_stop)
    operators.register(router.handlers)
    metrics = get_metrics()
    metrics.watch_engine_loads(reporter.engine_loads)
    metrics.watch_document_revisions(reporter.document_revisions)
    metrics.watch_queue_lengths(reporter.queue_lengths)
    application = api.application()
    application.middlewares.append(_outcome_counter(router.state))
    application.router.add_get("/metrics", _serve_metrics)
    return application


class RouterReporter:
    """Reads the state of one router for operator commands and metrics."""

    def __init__(self, router: OperatorContext, api: HttpApi) -> None:
        self._router = router
        self._api = api

    def report(self) -> StatusReport:
        """Return the report that ``dotterelpitch status`` shows."""
        view = self._router.state.view
        return StatusReport(
            vm=self._router.vm_name,
            role="router",
            state=self._state(),
            uptime_seconds=process_uptime(),
            memory_bytes=resident_memory(),
            open_requests=self._api.open_count,
            list_revision=view.vm_list.revision,
            documents=[DocumentStatus(s, r) for s, r in self.document_revisions()],
            engines=list(self._owned_engines()),
            vms=view.vm_list.vms,
        )

    def engine_loads(self) -> Iterable[tuple[str, str, float]]:
        """Yield (service, engine, load in tokens per slot) of each known engine."""
        for name, service in self._router.hub.services().items():
            for engine in service.table.engine_by_name:
                load = service.fleet.load_of(engine)
                if load is not None and load.slots:
                    yield name, engine, load.load / load.slots

    def document_revisions(self) -> list[tuple[str, int]]:
        """Return (service, document revision in use) of each service."""
        documents = self._router.state.view.document_by_service
        return [(name, documents[name].revision) for name in sorted(documents)]

    def queue_lengths(self) -> list[tuple[str, int]]:
        """Return (service, requests queued at this router) of each service."""
        return [
            (name, sum(load.queued for load in service.own_loads()))
            for name, service in self._router.hub.services().items()
        ]

    def _state(self) -> str:
        if self._api.stopping:
            return "stopping"
        return "ready" if self._router.state.complete.is_set() else "starting"

    def _owned_engines(self) -> Iterable[EngineStatus]:
        for name, service in self._router.hub.services().items():
            for load in service.own_loads():
                yield EngineStatus(
                    name,
                    load.engine,
                    self._router.vm_name,
                    round(load.load, 1),
                    load.running,
                    load.queued,
                    load.slots,
                )


def _outcome_counter(state: FleetState) -> Callable:
    """Return a middleware that counts responses by service and outcome.

    Services without a document share one label value, so that callers can't add
    label values.
    """

    @web.middleware
    async def count(request: web.Request, handler: _Handler) -> web.StreamResponse:
        response = await handler(request)
        if outcome := final_outcome(response):
            service = request.match_info.get("service", CHAT_SERVICE)
            is_known = service in state.view.document_by_service
            label = service if is_known or service == CHAT_SERVICE else "unknown"
            get_metrics().request_ended(label, outcome)
        return response

    return count


async def _serve_metrics(request: web.Request) -> web.Response:
    return web.Response(
        body=get_metrics().render(), headers={"Content-Type": METRICS_CONTENT_TYPE}
    )
