"""The router process: its servers, its tasks, and its graceful shutdown."""

import asyncio

import aiohttp
from aiohttp import web

from dotterelpitch.clock import SystemClock
from dotterelpitch.process_signals import STOP_SIGNALS, ProcessSignals
from dotterelpitch.protocol.chat_move_messages import ChatMoved
from dotterelpitch.protocol.digest_messages import DigestPush
from dotterelpitch.protocol.explain_messages import ExplainRequest
from dotterelpitch.protocol.handshake import Identity
from dotterelpitch.protocol.messages import (
    DispatchChat,
    DispatchPlain,
)
from dotterelpitch.protocol.peer_pool import PeerPool
from dotterelpitch.protocol.server import HandlerTable, InnerServer
from dotterelpitch.router.chat_entry import ChatEntryHandler
from dotterelpitch.router.chat_owner import ChatOwnerHandler
from dotterelpitch.router.engine_monitor import EngineMonitor
from dotterelpitch.router.gossip_publisher import GossipDigestPublisher
from dotterelpitch.router.graceful_shutdown import GracefulShutdown
from dotterelpitch.router.http_api import HttpApi
from dotterelpitch.router.keyed_routing import KeyedRouting
from dotterelpitch.router.operator_api import OperatorContext, operator_application
from dotterelpitch.router.plain_entry import PlainEntryHandler
from dotterelpitch.router.plain_owner import PlainOwnerHandler
from dotterelpitch.router.router_client import RouterClient
from dotterelpitch.router.routing_hub import RoutingHub
from dotterelpitch.router.settings import RouterSettings
from dotterelpitch.router.state import FleetState
from dotterelpitch.telemetry.events import Event, log_event
from dotterelpitch.telemetry.metrics import get_metrics

HTTP_SHUTDOWN_TIMEOUT_SECONDS = 1.0


class Router:
    """One router process: creates its components and runs them."""

    def __init__(self, settings: RouterSettings) -> None:
        self.settings = settings
        self.clock = SystemClock()
        self.state = FleetState()
        self.handlers = HandlerTable()
        self._shutdown = GracefulShutdown(
            settings.vm_name, settings.linger_seconds, settings.grace_seconds
        )
        self.hub = RoutingHub(settings.vm_name, self.clock, self.state)
        self._background_tasks: list[asyncio.Task] = []

    async def run(self, signals: ProcessSignals) -> None:
        """Serve until SIGTERM or SIGINT, then let open requests finish."""
        signals.handle(dict.fromkeys(STOP_SIGNALS, self._shutdown.request))
        settings = self.settings
        identity = Identity.create(settings.vm_name, "router", settings.cluster_key)
        peers = PeerPool(identity, self.handlers.handle)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(
            connector=connector, auto_decompress=False
        ) as session:
            router_client = RouterClient(settings.vm_name, peers, self.handlers)
            keyed = KeyedRouting(
                settings,
                identity,
                self.state,
                self.handlers,
                peers,
                router_client,
                self.clock,
            )
            api = self._create_http_api(router_client, session, keyed)
            inner = InnerServer(identity, self.handlers)
            await inner.start(settings.inner_listen)
            runner = await self._start_http(api)
            follow_task = asyncio.create_task(
                self.state.follow_agent(settings.agent, peers)
            )
            keyed.start()
            log_event(Event.PROCESS_STARTED, vm=settings.vm_name, role="router")
            await self._shutdown.wait_requested()
            api.stopping = True
            handover = asyncio.create_task(self._hand_over_slots(keyed))
            await self._shutdown.finish(self.state, api.work, self.handlers.work)
            handover.cancel()
            await keyed.close()
            for task in (follow_task, *self._background_tasks):
                task.cancel()
            await runner.cleanup()
            await inner.close()
            peers.close()
        log_event(Event.PROCESS_STOPPED, vm=settings.vm_name, role="router")

    def request_stop(self) -> None:
        """Start the graceful shutdown, or end its wait if it has started already."""
        self._shutdown.request()

    def _create_http_api(
        self,
        router_client: RouterClient,
        session: aiohttp.ClientSession,
        keyed: KeyedRouting,
    ) -> HttpApi:
        self.state.serve_revisions(self.handlers)
        publisher = GossipDigestPublisher(
            self.settings.vm_name, self.state, router_client, self.hub.receive
        )
        monitor = EngineMonitor(self.hub, session, publisher)
        chat_owner = ChatOwnerHandler(self.hub, session, monitor)
        self.handlers.add(DispatchChat, chat_owner.handle)
        self.handlers.add(ChatMoved, chat_owner.handle_moved)
        self.handlers.add(DigestPush, self.hub.handle_push)
        self.handlers.add(ExplainRequest, self.hub.handle_explain)
        get_metrics().watch_leases(keyed.lease_seconds_left)
        self._background_tasks = [
            asyncio.create_task(self.hub.run(publisher)),
            asyncio.create_task(monitor.run()),
        ]
        self.handlers.add(DispatchPlain, PlainOwnerHandler(self.state, session).handle)
        return HttpApi(
            self.state,
            ChatEntryHandler(self.state, self.hub, router_client),
            PlainEntryHandler(self.state, router_client),
            keyed,
            self.clock,
            self.settings.max_body_bytes,
        )

    async def _start_http(self, api: HttpApi) -> web.AppRunner:
        context = OperatorContext(
            self.settings.vm_name,
            self.state,
            self.hub,
            self.handlers,
            self.request_stop,
        )
        runner = web.AppRunner(
            operator_application(context, api),
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=HTTP_SHUTDOWN_TIMEOUT_SECONDS,
        )
        await runner.setup()
        host, _, port = self.settings.http_listen.rpartition(":")
        await web.TCPSite(runner, host, int(port)).start()
        return runner

    async def _hand_over_slots(self, keyed: KeyedRouting) -> None:
        """Hand over all slots; the shutdown waits for it as for open work."""
        with self.handlers.work.track("handover of slots"):
            await keyed.stop(self.settings.grace_seconds)
