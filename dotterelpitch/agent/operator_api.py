"""The agent's operator interface: commands and an optional ``/metrics``."""

from collections.abc import Callable

from aiohttp import web

from dotterelpitch.agent.settings import AgentSettings
from dotterelpitch.membership.model import VmList
from dotterelpitch.placement.view import PlacementView
from dotterelpitch.protocol.operator_messages import DocumentStatus, StatusReport
from dotterelpitch.protocol.server import HandlerTable
from dotterelpitch.telemetry.metrics import METRICS_CONTENT_TYPE, get_metrics
from dotterelpitch.telemetry.operator_api import (
    OperatorApi,
    process_uptime,
    resident_memory,
)


class AgentOperatorApi:
    """Serves operator commands and metrics from the agent's state.

    ``view`` returns the documents and the usable VMs. ``vm_list`` returns the
    platform's complete list, so that a status report also shows suspected and
    leaving VMs.
    """

    def __init__(
        self,
        settings: AgentSettings,
        view: Callable[[], PlacementView],
        vm_list: Callable[[], VmList],
        request_stop: Callable[[], None],
        is_stopping: Callable[[], bool],
    ) -> None:
        self._settings = settings
        self._view = view
        self._vm_list = vm_list
        self._is_stopping = is_stopping
        self._commands = OperatorApi(settings.vm_name, self._report, request_stop)
        self._runner: web.AppRunner | None = None
        get_metrics().watch_document_revisions(self._document_revisions)

    def register(self, handlers: HandlerTable) -> None:
        """Register the command streams with ``handlers``."""
        self._commands.register(handlers)

    async def start(self) -> None:
        """Serve ``/metrics`` if the settings give an address for it."""
        if not self._settings.metrics_listen:
            return
        application = web.Application()
        application.router.add_get("/metrics", _serve_metrics)
        self._runner = web.AppRunner(application, access_log=None)
        await self._runner.setup()
        host, _, port = self._settings.metrics_listen.rpartition(":")
        await web.TCPSite(self._runner, host, int(port)).start()

    async def close(self) -> None:
        """Stop serving ``/metrics``."""
        if self._runner is not None:
            await self._runner.cleanup()

    def _report(self) -> StatusReport:
        view = self._view()
        return StatusReport(
            vm=self._settings.vm_name,
            role="agent",
            state=self._state(view),
            uptime_seconds=process_uptime(),
            memory_bytes=resident_memory(),
            open_requests=0,
            list_revision=self._vm_list().revision,
            documents=[DocumentStatus(s, r) for s, r in self._document_revisions()],
            vms=self._vm_list().vms,
        )

    def _state(self, view: PlacementView) -> str:
        if self._is_stopping():
            return "stopping"
        is_complete = view.document_by_service and view.vm_list.vms
        return "ready" if is_complete else "starting"

    def _document_revisions(self) -> list[tuple[str, int]]:
        documents = self._view().document_by_service
        return [(name, documents[name].revision) for name in sorted(documents)]


async def _serve_metrics(request: web.Request) -> web.Response:
    return web.Response(
        body=get_metrics().render(), headers={"Content-Type": METRICS_CONTENT_TYPE}
    )
