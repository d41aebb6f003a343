"""Wires the parts of one gateway and runs them until a planned stop."""

import asyncio
import signal

import aiohttp
from aiohttp import web

from dotterelpitch.clock import SystemClock
from dotterelpitch.gateway.attempt import Attempts
from dotterelpitch.gateway.forwarding import Forwarder
from dotterelpitch.gateway.ingress import Ingress
from dotterelpitch.gateway.settings import GatewaySettings
from dotterelpitch.gateway.state import GatewayState
from dotterelpitch.gateway.store_feed import StoreFeed
from dotterelpitch.platform.store import StoreClient
from dotterelpitch.platform.vm_settings import VmSettings
from dotterelpitch.routing.engine_choice import EngineChooser
from dotterelpitch.routing.fleet_loads import FleetLoads
from dotterelpitch.routing.health import EngineHealth
from dotterelpitch.routing.retry_window import RetryWindow
from dotterelpitch.telemetry.events import Event, log_event
from dotterelpitch.upstream.pool import SWEEP_SECONDS, ConnectionPool

# The balancer looks once a second and needs two misses: callers come until then.
LINGER_SECONDS = 3.2
# What is left of the grace time when the last requests are cut.
STOP_MARGIN_SECONDS = 0.6
# Callers' idle connections stay open for longer than any config has asked for.
IDLE_SECONDS = 90.0
MAX_LINE_BYTES = 32 * 1024
BACKLOG = 1024


class Gateway:
    """One gateway process."""

    def __init__(self, settings: GatewaySettings, vm: VmSettings) -> None:
        self._settings = settings
        self._vm = vm
        self._clock = SystemClock()
        self._stop = asyncio.Event()
        self.state = GatewayState(self._clock)
        self.loads = FleetLoads(self._clock)
        self.health = EngineHealth(self._clock)
        promises = vm.promises
        self.retries = RetryWindow(
            self._clock,
            promises.retry_share,
            promises.retry_slack,
            promises.retry_window_s,
        )
        self.pool = ConnectionPool(self._clock)
        chooser = EngineChooser(
            self.state.directory, self.loads, self.health, vm.failure_domain
        )
        forwarder = Forwarder(
            self._clock,
            self.state,
            chooser,
            self.loads,
            self.health,
            self.retries,
            Attempts(self._clock, self.pool),
        )
        self.ingress = Ingress(self._clock, self.state, forwarder)

    async def run(self) -> None:
        """Serve until SIGTERM, then finish what is open."""
        self._listen_to_signals()
        callers = web.Server(
            self.ingress.handle,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=IDLE_SECONDS,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
        )
        listeners = [
            await _listen(callers, self._vm.caller_listen),
            await _listen(web.Server(self._answer_ready), self._vm.ready_listen),
        ]
        async with aiohttp.ClientSession() as session:
            store = StoreClient(self._vm.store_address, session)
            feed = StoreFeed(self.state, store, self._settings.watch_seconds)
            tasks = [
                asyncio.create_task(feed.run()),
                asyncio.create_task(self._sweep()),
            ]
            log_event(Event.PROCESS_STARTED, vm=self._vm.vm_name, role="gateway")
            await self._stop.wait()
            await self._finish()
            for task in tasks:
                task.cancel()
        for listener in listeners:
            listener.close()
        self.pool.close()
        log_event(Event.PROCESS_STOPPED, vm=self._vm.vm_name, role="gateway")

    async def _finish(self) -> None:
        """Let callers notice, then let the requests end within the grace time."""
        log_event(
            Event.PROCESS_STOPPING,
            vm=self._vm.vm_name,
            open_requests=len(self.ingress.work.names()),
        )
        self.ingress.is_stopping = True
        grace_s = self._vm.promises.stop_grace_s - STOP_MARGIN_SECONDS
        await asyncio.sleep(min(LINGER_SECONDS, grace_s))
        try:
            async with asyncio.timeout(grace_s - LINGER_SECONDS):
                await self.ingress.work.wait_idle()
        except TimeoutError:
            log_event(Event.STOP_CUT, requests=self.ingress.work.names())

    async def _answer_ready(self, request: web.BaseRequest) -> web.Response:
        is_ready = self.state.config is not None and not self._stop.is_set()
        return web.Response(status=200 if is_ready else 503)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            self.pool.sweep()
            self.health.retain(set(self.state.directory.engine_by_id))

    def _listen_to_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)

    def _reload(self) -> None:
        log_event(Event.SETTINGS_RELOADED, vm=self._vm.vm_name, changed=[])


async def _listen(server: web.Server, address: str) -> asyncio.Server:
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    return await loop.create_server(server, host, int(port), backlog=BACKLOG)
