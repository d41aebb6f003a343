"""The agent process: wires its components, runs its tasks, and shuts down."""

import asyncio
from collections.abc import Coroutine

import aiohttp

from dotterelpitch.agent.operator_api import AgentOperatorApi
from dotterelpitch.agent.peer_links import PeerLinks
from dotterelpitch.agent.placer import run_placer
from dotterelpitch.agent.platform_client import PlatformClient
from dotterelpitch.agent.platform_watcher import PlatformWatcher
from dotterelpitch.agent.settings import AgentSettings
from dotterelpitch.agent.startup import Startup
from dotterelpitch.agent.state import AgentState
from dotterelpitch.agent.state_feed import StateFeed
from dotterelpitch.clock import Clock, SystemClock
from dotterelpitch.placement.view import PlacementView
from dotterelpitch.process_signals import STOP_SIGNALS, ProcessSignals
from dotterelpitch.protocol.handshake import Identity
from dotterelpitch.protocol.messages import WatchState
from dotterelpitch.protocol.server import HandlerTable, InnerServer
from dotterelpitch.telemetry.events import Event, log_event
from dotterelpitch.telemetry.metrics import get_metrics

# Minimum duration of a drain, so that the leaving report reaches the fleet by gossip.
LEAVING_PROPAGATION_SECONDS = 1.5


class Agent:
    """The agent of one VM, with its components and tasks.

    The first stop request drains the VM: the agent waits for the routers to
    finish. A second request ends the agent at once.
    """

    def __init__(self, settings: AgentSettings, clock: Clock | None = None) -> None:
        self.settings = settings
        identity = Identity.create(settings.vm_name, "agent", settings.cluster_key)
        self.state = AgentState(
            settings.vm_name,
            settings.failure_domain,
            identity.incarnation,
            clock or SystemClock(),
            settings.gossip_bytes_per_second,
        )
        self.handlers = HandlerTable()
        self.links = PeerLinks(
            self.state, identity, self.handlers, settings.gossip_bytes_per_second
        )
        self.startup = Startup(self.state, identity, self.handlers, settings)
        self.feed = StateFeed(
            self.state, self.startup.stop_waiting_for_router, self._on_router_stopping
        )
        self.handlers.add(WatchState, self.feed.handle)
        self.platform: PlatformClient | None = None
        self._server = InnerServer(identity, self.handlers)
        self._stop_requested = asyncio.Event()
        self._force_stop = asyncio.Event()
        self.operator_api = AgentOperatorApi(
            settings,
            self._placement_view,
            lambda: self.state.vm_list,
            self.request_stop,
            self._stop_requested.is_set,
        )
        self.operator_api.register(self.handlers)

    async def run(self, signals: ProcessSignals) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully."""
        signals.handle(dict.fromkeys(STOP_SIGNALS, self.request_stop))
        await self.serve()

    def request_stop(self) -> None:
        """Start a graceful shutdown; a second call ends the process at once."""
        if self._stop_requested.is_set():
            self._force_stop.set()
        self._stop_requested.set()

    async def serve(self) -> None:
        """Serve until a stop is requested, then shut down and close the listeners."""
        await self._server.start(self.settings.listen)
        await self.operator_api.start()
        async with aiohttp.ClientSession() as session:
            self.platform = PlatformClient(
                self.settings.platform, session, self.settings.vm_name
            )
            get_metrics().watch_document_ages(self.platform.document_ages)
            watcher = PlatformWatcher(self.state, self.platform, self.settings)
            async with asyncio.TaskGroup() as group:
                placer = run_placer(
                    self.settings, session, self._placement_view, self.state.clock
                )
                tasks = [
                    group.create_task(self.links.run()),
                    group.create_task(self._start(watcher, placer)),
                ]
                await self._stop_requested.wait()
                await self._drain()
                for task in tasks:
                    task.cancel()
        await self._server.close()
        await self.operator_api.close()
        log_event(Event.PROCESS_STOPPED, vm=self.settings.vm_name, role="agent")

    async def _start(self, watcher: PlatformWatcher, placer: Coroutine) -> None:
        try:
            await self.startup.run(self.links, watcher)
        except asyncio.CancelledError:
            placer.close()
            raise
        log_event(Event.PROCESS_STARTED, vm=self.settings.vm_name, role="agent")
        async with asyncio.TaskGroup() as group:
            group.create_task(watcher.run())
            group.create_task(placer)

    def _placement_view(self) -> PlacementView:
        document_by_service = {
            service: version.document
            for service, version in self.state.documents.versions.items()
        }
        return PlacementView(document_by_service, self.state.usable_vm_list())

    def _on_router_stopping(self) -> None:
        """Report this VM as leaving as soon as its router starts to stop."""
        self.state.update_own_report(leaving=True)

    async def _drain(self) -> None:
        """Report this VM as leaving, then wait until its routers have disconnected.

        Stops waiting after ``grace_seconds`` or on a second stop request.
        """
        log_event(Event.PROCESS_STOPPING, vm=self.settings.vm_name, role="agent")
        self.state.update_own_report(leaving=True)
        force_stop = asyncio.create_task(self._force_stop.wait())
        routers_disconnected = asyncio.create_task(self._wait_for_routers())
        done, _ = await asyncio.wait(
            {force_stop, routers_disconnected},
            timeout=self.settings.grace_seconds,
            return_when=asyncio.FIRST_COMPLETED,
        )
        if routers_disconnected not in done:
            log_event(
                Event.STOP_CUT,
                vm=self.settings.vm_name,
                role="agent",
                routers=self.feed.watcher_count,
            )
        for task in (force_stop, routers_disconnected):
            task.cancel()

    async def _wait_for_routers(self) -> None:
        await asyncio.sleep(LEAVING_PROPAGATION_SECONDS)
        await self.feed.no_watchers.wait()
