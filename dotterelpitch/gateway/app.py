"""The gateway process: its components, its tasks, and its graceful shutdown."""

import asyncio
import signal
from functools import partial

import aiohttp
from aiohttp import web

from dotterelpitch.clock import SteadyClock
from dotterelpitch.gateway.attempt import AttemptRunner
from dotterelpitch.gateway.attempt_observer import log_limit_change
from dotterelpitch.gateway.attempt_recorder import AttemptRecorder
from dotterelpitch.gateway.background import keep_running
from dotterelpitch.gateway.body_memory import BodyMemory
from dotterelpitch.gateway.cached_prompt_finder import CachedPromptFinder
from dotterelpitch.gateway.call_rules import CallRules
from dotterelpitch.gateway.crash_watcher import CrashWatcher
from dotterelpitch.gateway.digest_exchange import DigestExchange
from dotterelpitch.gateway.dismissal_exchange import DismissalExchange
from dotterelpitch.gateway.engine_contact_exchange import EngineContactExchange
from dotterelpitch.gateway.engine_contact_watcher import EngineContactWatcher
from dotterelpitch.gateway.engine_selection import EngineSelection
from dotterelpitch.gateway.engine_speed_exchange import EngineSpeedExchange
from dotterelpitch.gateway.engine_status_recorder import EngineStatusRecorder
from dotterelpitch.gateway.engine_tracker import EngineTracker
from dotterelpitch.gateway.expiry_timer import ExpiryTimer
from dotterelpitch.gateway.forwarding import Forwarder
from dotterelpitch.gateway.ingress import Ingress
from dotterelpitch.gateway.leaving_engine_checker import LeavingEngineChecker
from dotterelpitch.gateway.leaving_engine_exchange import LeavingEngineExchange
from dotterelpitch.gateway.link import LinkTable
from dotterelpitch.gateway.link_topology import LinkTopology
from dotterelpitch.gateway.listeners import Listeners
from dotterelpitch.gateway.metrics import GatewayMetrics
from dotterelpitch.gateway.peer_call_server import PeerCallServer
from dotterelpitch.gateway.peer_directory import PeerDirectory
from dotterelpitch.gateway.peer_forwarder import PeerForwarder
from dotterelpitch.gateway.peer_links import PeerLinks
from dotterelpitch.gateway.planned_stop import PlannedStop
from dotterelpitch.gateway.rate_limit_exchange import RateLimitExchange
from dotterelpitch.gateway.reader_selection import ReaderSelection
from dotterelpitch.gateway.record_exchange import RecordExchange
from dotterelpitch.gateway.settings import GatewaySettings
from dotterelpitch.gateway.settings_reload import SettingsFile, SettingsReloader
from dotterelpitch.gateway.shared_checks import SharedChecks
from dotterelpitch.gateway.state import GatewayState
from dotterelpitch.gateway.store_timing import OutageTiming, StoreTiming
from dotterelpitch.gateway.store_watcher import StoreWatcher
from dotterelpitch.gateway.stream_handover import StreamHandover
from dotterelpitch.gateway.stream_origin_exchange import StreamOriginExchange
from dotterelpitch.gateway.stream_resumption import StreamResumption
from dotterelpitch.gateway.successor_finder import SuccessorFinder
from dotterelpitch.gateway.version_history_exchange import VersionHistoryExchange
from dotterelpitch.platform.store import StoreClient
from dotterelpitch.process_signals import STOP_SIGNALS, ProcessSignals
from dotterelpitch.protocol.forwarded_call_messages import ForwardCall
from dotterelpitch.protocol.gateway_messages import LINK_VERSION, FleetVm
from dotterelpitch.protocol.handshake import Identity
from dotterelpitch.protocol.peer_pool import PeerPool
from dotterelpitch.protocol.server import HandlerTable, InnerServer
from dotterelpitch.routing.cache_sources import CacheSources
from dotterelpitch.routing.concurrency_limiter import AdaptiveConcurrencyLimiter
from dotterelpitch.routing.engine_choice import EngineChooser
from dotterelpitch.routing.engine_contact import EngineContact
from dotterelpitch.routing.engine_pauses import EnginePauses
from dotterelpitch.routing.engine_speeds import EngineSpeeds
from dotterelpitch.routing.engines import Engine
from dotterelpitch.routing.fleet_loads import FleetLoads
from dotterelpitch.routing.fleet_rate_limits import FleetRateLimits
from dotterelpitch.routing.fleet_retry_budget import FleetRetryBudget
from dotterelpitch.routing.route_table import CallerLimits
from dotterelpitch.routing.share_holders import ShareHolders
from dotterelpitch.routing.stream_origins import StreamOrigins
from dotterelpitch.telemetry.events import Event, log_event
from dotterelpitch.upstream.engine_check import RunCheck
from dotterelpitch.upstream.pool import SWEEP_INTERVAL_SECONDS, ConnectionPool
from dotterelpitch.vm_settings import FleetBounds, VmSettings


class Gateway:
    """The components of one gateway process."""

    def __init__(
        self, settings: GatewaySettings, vm: VmSettings, settings_file: SettingsFile
    ) -> None:
        self._settings = settings
        self._vm = vm
        self._clock = SteadyClock()
        self._stop = asyncio.Event()
        self.state = GatewayState(self._clock)
        self._store: StoreClient | None = None
        self._store_watcher: StoreWatcher | None = None
        self._apply_state_bounds(vm.promises)
        self.loads = FleetLoads(self._clock)
        self.engine_tracker = EngineTracker(self._clock, vm.vm_name, vm.failure_domain)
        promises = vm.promises
        self.retry_budget = FleetRetryBudget(
            self._clock,
            promises.retry_share,
            promises.retry_slack,
            promises.retry_window_s,
        )
        self.concurrency_limiter = AdaptiveConcurrencyLimiter(
            self._clock, log_limit_change
        )
        self.rate_limits = FleetRateLimits(
            self._clock, cold_engines=self.state.cold_engines
        )
        self.stream_origins = StreamOrigins(self._clock)
        self.engine_speeds = EngineSpeeds(
            self._clock, is_learning=settings.learn_engine_speeds
        )
        self.pool = ConnectionPool(self._clock)
        engine_tracker = self.engine_tracker
        self.state.directory.on_restart = self._record_restart
        engine_tracker.on_return = self._record_return
        self.engine_pauses = EnginePauses(self._clock)
        status_recorder = EngineStatusRecorder(
            self.state,
            self.rate_limits.registry,
            self.engine_pauses,
            self.state.cold_engines,
        )
        checks = SharedChecks(self._clock)
        self.crash_watcher = CrashWatcher(
            self._clock,
            self.state,
            engine_tracker,
            run_check=checks.run,
            record_status=status_recorder.record_check,
            is_paused=self.engine_pauses.is_paused,
        )
        self.leaving_engine_checker = LeavingEngineChecker(
            self._clock, self.state, status_recorder.record_check, checks.run
        )
        directory = self.state.directory
        self.contact = EngineContact(
            self._clock,
            directory.usable_count,
            partial(directory.usable_ids_in, vm.failure_domain),
        )
        self.contact_watcher = EngineContactWatcher(
            self._clock,
            self.state,
            self.contact,
            engine_tracker.crash_detector,
            self.state.notify_peers,
            vm.failure_domain,
            checks.run,
        )
        self._identity = Identity.create(vm.vm_name, "gateway", settings.cluster_key)
        self._fleet = PeerDirectory(self._clock, self._own_fleet_vm())
        holders = ShareHolders(self._clock, vm.vm_name, self._fleet.known)
        self.rate_limits.limiter.share_held = holders.share
        self._peer_pool = PeerPool(self._identity)
        self.links = LinkTable()
        body_memory = BodyMemory.for_vm(vm.memory_mb)
        self.metrics = GatewayMetrics(
            self.state,
            self.loads,
            engine_tracker.health,
            self.pool,
            self.links,
            self.concurrency_limiter,
            self.rate_limits.registry,
            self.contact,
            self.engine_speeds,
            body_memory,
        )
        forwarder = self._create_forwarder(status_recorder, checks.run)
        self.ingress = Ingress(self._clock, self.state, forwarder, body_memory)
        self.peer_calls = PeerCallServer(
            self._clock,
            self.state,
            self.contact,
            forwarder,
            body_memory,
            self.ingress.work,
        )
        self._planned_stop = PlannedStop(
            vm.vm_name, self.ingress, self.peer_calls, promises.stop_grace_s
        )
        self.handlers = HandlerTable()
        self.handlers.add(ForwardCall, self.peer_calls.handle)
        self._reader_selection = ReaderSelection(
            self._clock,
            vm.vm_name,
            vm.failure_domain,
            timing=self._store_timing(promises),
        )
        self._peer_links = self._create_peer_links()
        self._settings_reloader = SettingsReloader(
            settings_file, vm, self._apply_settings
        )

    async def run(self, signals: ProcessSignals) -> None:
        """Serve until SIGTERM or SIGINT, then drain the open requests."""
        async with aiohttp.ClientSession() as session:
            self._create_store_watcher(session)
            # From here on, all that reloaded settings apply to is there.
            self._handle_signals(signals)
            self._settings_reloader.check()
            await self._serve()
        self.pool.close()
        self._peer_pool.close()
        log_event(Event.PROCESS_STOPPED, vm=self._vm.vm_name, role="gateway")

    def _create_store_watcher(self, session: aiohttp.ClientSession) -> None:
        outage_timing = OutageTiming.for_contact(self._vm.promises.contact_s)
        self._store = StoreClient(self._vm.store_address, session)
        self._store.connect_timeout_s = outage_timing.connect_timeout_s
        self._store_watcher = StoreWatcher(
            self.state, self._store, self._reader_selection, outage_timing
        )

    async def _serve(self) -> None:
        """Open the listeners and run all tasks until a stop has been drained."""
        self.metrics.start()
        listeners = Listeners.create(
            self._clock,
            self._vm.memory_mb,
            self._vm.descriptors,
            self.ingress.handle,
            self._is_ready,
            self.metrics.render,
        )
        self.metrics.count_connections = lambda: len(listeners.callers.connections)
        metrics_address = f"{self._vm.ip}:{self._settings.metrics_port}"
        await listeners.open(
            self._vm.caller_listen, self._vm.ready_listen, metrics_address
        )
        inner = InnerServer(self._identity, self.handlers)
        await inner.start(self._vm.peer_listen)
        run_by_name = {
            "store": self._store_watcher.run,
            "expiry": ExpiryTimer(self._clock, self.state).run,
            "peers": self._peer_links.run,
            "crashes": self.crash_watcher.run,
            "contact": self.contact_watcher.run,
            "leaving": self.leaving_engine_checker.run,
            "intake": listeners.pace,
            "sweep": partial(self._sweep, listeners.callers),
        }
        tasks = [
            asyncio.create_task(keep_running(name, run))
            for name, run in run_by_name.items()
        ]
        log_event(Event.PROCESS_STARTED, vm=self._vm.vm_name, role="gateway")
        await self._stop.wait()
        await self._planned_stop.drain(listeners)
        for task in tasks:
            task.cancel()
        listeners.close()
        await inner.close()

    def _create_forwarder(
        self, status_recorder: EngineStatusRecorder, run_check: RunCheck
    ) -> Forwarder:
        stream_resumption = StreamResumption(
            self.state,
            self.stream_origins,
            CachedPromptFinder(self._clock, self.state.directory),
        )
        rules = CallRules.create(
            self._clock,
            self.state.directory,
            self.engine_tracker,
            self.retry_budget,
            self.concurrency_limiter,
            self.rate_limits,
            self.engine_pauses,
        )
        attempt_runner = AttemptRunner(
            self._clock,
            self.pool,
            self.concurrency_limiter,
            self.crash_watcher,
            status_recorder,
            stream_resumption,
            self.contact,
            self.state.directory,
            self.engine_speeds,
        )
        selection = EngineSelection(self._create_chooser())
        peer_forwarder = PeerForwarder(
            self._clock, self.contact, self._fleet, self.links, self._peer_pool
        )
        successor_finder = SuccessorFinder(
            self._clock,
            self.state,
            selection,
            rules,
            self.engine_tracker,
            self.loads,
            self.rate_limits,
            peer_forwarder,
            run_check,
        )
        recorder = AttemptRecorder(self.engine_tracker, self.rate_limits)
        return Forwarder(
            self._clock,
            self.state,
            selection,
            self.loads,
            recorder,
            self.retry_budget,
            rules,
            self.engine_pauses,
            attempt_runner,
            stream_resumption,
            peer_forwarder,
            successor_finder,
            StreamHandover(attempt_runner, recorder, self.loads),
        )

    def _create_chooser(self) -> EngineChooser:
        tracker = self.engine_tracker
        return EngineChooser(
            self.state.directory,
            self.loads,
            tracker.health,
            tracker.error_rates,
            tracker.domain_reachability,
            CacheSources(self.state.directory, tracker.prompt_cache),
            self.rate_limits.limiter,
            self.engine_pauses,
            self.engine_speeds,
        )

    def _create_peer_links(self) -> PeerLinks:
        fleet = self._fleet
        self._topology = LinkTopology(
            self._clock, fleet, self.links, self._vm.seeds, self._settings.mesh_vms
        )
        digests = DigestExchange(
            self._clock,
            self.state,
            self._topology,
            self.loads,
            self.engine_tracker,
            self._reader_selection,
        )
        rate_limits = RateLimitExchange(
            self._clock, self.state, self._topology, fleet, self.rate_limits
        )
        exchanges = [
            EngineContactExchange(self._clock, self.contact),
            LeavingEngineExchange(self.state),
            DismissalExchange(self._clock, self.engine_tracker),
            rate_limits,
            EngineSpeedExchange(
                self._clock, self._topology, self.engine_speeds, self.links.count
            ),
            StreamOriginExchange(self._topology, self.stream_origins),
            # Last: whoever believes this history has been told of the streams.
            VersionHistoryExchange(self._clock, self.state),
        ]
        peer_links = PeerLinks(
            self._identity,
            self._clock,
            self.state,
            fleet,
            self.links,
            self._topology,
            digests,
            RecordExchange(self._clock, self.state, self._reader_selection),
            self._reader_selection,
            exchanges,
            rate_limits.update_contact_share,
            self.loads,
            self.retry_budget,
            self._reader_selection.timing.digest_s,
        )
        peer_links.serve(self.handlers)
        return peer_links

    def _store_timing(self, promises: FleetBounds) -> StoreTiming:
        """Return how to read the store so that the deployment's bounds are kept."""
        settings = self._settings
        return StoreTiming.for_bound(
            promises.store_change_s, settings.watch_seconds, settings.digest_seconds
        )

    def _own_fleet_vm(self) -> FleetVm:
        """Return the description of this VM for its peers."""
        vm = self._vm
        address = self._settings.peer_address or vm.peer_listen
        return FleetVm(
            vm.vm_name, vm.failure_domain, address, vm.link_mbps, LINK_VERSION
        )

    def _record_restart(self, previous: Engine) -> None:
        """Record that another run has replaced ``previous``, as the registry says."""
        self.engine_tracker.record_engine_restart(previous)
        self.engine_speeds.forget(previous.id)

    def _record_return(self, engine: Engine) -> None:
        """Take an engine that has restarted for cold; it may have no record yet."""
        listed = self.state.directory.engine_by_id.get(engine.id, engine)
        self.state.cold_engines.assume_cold([listed], "it has restarted")

    def _is_ready(self) -> bool:
        return self.state.config is not None and not self._stop.is_set()

    async def _sweep(self, callers: web.Server) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            limits = self.state.config.limits if self.state.config else CallerLimits()
            self.ingress.connections.close_idle(callers.connections, limits)
            self.ingress.connections.reset_unread(callers.connections)
            self.pool.sweep()
            self._settings_reloader.check()
            self.state.expire()
            remembered_ids = self.state.directory.remembered_ids()
            self.engine_tracker.retain(remembered_ids)
            self.rate_limits.retain(remembered_ids)
            self.engine_pauses.retain(remembered_ids)
            self.engine_speeds.retain(remembered_ids)

    def _handle_signals(self, signals: ProcessSignals) -> None:
        callback_by_signal = {
            **dict.fromkeys(STOP_SIGNALS, self._stop.set),
            signal.SIGHUP: self._settings_reloader.reload,
        }
        signals.handle(callback_by_signal)

    def _apply_state_bounds(self, promises: FleetBounds) -> None:
        """Let the state of the store keep the deployment's bounds."""
        outage_timing = OutageTiming.for_contact(promises.contact_s)
        self.state.directory.drain_s = promises.drain_s
        self.state.directory.reregistration_s = outage_timing.reregistration_s
        self.state.cold_engines.tolerance = promises.cold_tolerance
        if self._store is not None:
            self._store.connect_timeout_s = outage_timing.connect_timeout_s
        if self._store_watcher is not None:
            self._store_watcher.outage_timing = outage_timing

    def _apply_settings(self, vm: VmSettings) -> None:
        """Apply the settings that don't need a restart."""
        self._planned_stop.grace_s = vm.promises.stop_grace_s
        self._topology.seeds = tuple(vm.seeds)
        self._apply_state_bounds(vm.promises)
        timing = self._store_timing(vm.promises)
        self._reader_selection.timing = timing
        self._peer_links.digest_period_s = timing.digest_s
        self.retry_budget.set_bounds(
            vm.promises.retry_share,
            vm.promises.retry_slack,
            vm.promises.retry_window_s,
        )
        if self._store is not None:
            self._store.set_address(vm.store_address)
