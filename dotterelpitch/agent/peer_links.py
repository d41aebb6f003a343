"""Opens and monitors the links to the peers that the link plan selects."""

import asyncio
import itertools
import random

from dotterelpitch.agent.peer_session import PeerSession, PendingRequests, SentTraffic
from dotterelpitch.agent.state import AgentState
from dotterelpitch.errors import PeerError, ProtocolError, StreamResetError
from dotterelpitch.membership.gossip import ByteBudget
from dotterelpitch.membership.link_monitor import LinkMonitor, LinkState, PauseDetector
from dotterelpitch.membership.model import Vm
from dotterelpitch.membership.sparse_links import plan_links, probe_target
from dotterelpitch.protocol.connection import dial
from dotterelpitch.protocol.handshake import Identity
from dotterelpitch.protocol.messages import OpenPeerLink
from dotterelpitch.protocol.server import HandlerTable
from dotterelpitch.protocol.stream import Stream
from dotterelpitch.telemetry.events import Event, log_event

TICK_INTERVAL_SECONDS = 0.25
MAX_REDIAL_PAUSE_SECONDS = 0.5
PROBE_INTERVAL_SECONDS = 2.0
PROBE_TIMEOUT_SECONDS = 10.0
ANTI_ENTROPY_INTERVAL_SECONDS = 10.0
UNPLANNED_LINK_LINGER_SECONDS = 10.0
NOT_WANTED = "not-wanted"
DUPLICATE = "duplicate"


class PeerLinks:
    """All links of one agent to its peers.

    One task per planned peer dials it and redials after a failure; accepted
    links are served by their handler. ``sent`` counts the traffic of all links.
    """

    def __init__(
        self,
        state: AgentState,
        identity: Identity,
        handlers: HandlerTable,
        bytes_per_second: float,
    ) -> None:
        self._state = state
        self._identity = identity
        self._handlers = handlers
        self._budget = ByteBudget(state.clock, bytes_per_second)
        self._pending_requests = PendingRequests(state)
        self._monitor_by_peer: dict[str, LinkMonitor] = {}
        self._session_by_peer: dict[str, PeerSession] = {}
        self._ended_by_peer: dict[str, asyncio.Event] = {}
        self._task_by_peer: dict[str, asyncio.Task] = {}
        self._unplanned_since_by_peer: dict[str, float] = {}
        self._probes: set[asyncio.Task] = set()
        self._plan_inputs: tuple | None = None
        self._bucket_counter = itertools.count()
        self.sent = SentTraffic()
        handlers.add(OpenPeerLink, self._accept)

    @property
    def peers(self) -> list[str]:
        """The names of the peers with an open link, sorted."""
        return sorted(self._session_by_peer)

    def control_bytes_sent(self) -> int:
        """Return the control bytes sent on the open links, including pings."""
        return sum(
            session.stream.connection.traffic.control_sent
            for session in self._session_by_peer.values()
        )

    async def run(self) -> None:
        """Maintain the links until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._tick_loop())
                group.create_task(self._probe_loop())
                group.create_task(self._anti_entropy_loop())
        finally:
            for task in [*self._task_by_peer.values(), *self._probes]:
                task.cancel()

    def dial_seed(self, address: str) -> asyncio.Task:
        """Return a task that runs a link to an address whose VM isn't known yet."""
        return asyncio.create_task(self._dial_and_run(address))

    async def _tick_loop(self) -> None:
        pause_detector = PauseDetector(self._state.clock)
        while True:
            if pause := pause_detector.tick():
                log_event(Event.PROCESS_PAUSED, seconds=round(pause, 3))
                for monitor in self._monitor_by_peer.values():
                    monitor.reset_silence()
            self._update_own_report()
            self._state.publish_due()
            self._state.refresh_view()
            self._update_plan()
            self._close_unplanned()
            await asyncio.sleep(TICK_INTERVAL_SECONDS)

    async def _probe_loop(self) -> None:
        """Dial the suspected VMs in turn, to detect the end of a network partition."""
        for turn in itertools.count():
            await asyncio.sleep(PROBE_INTERVAL_SECONDS * random.uniform(0.75, 1.25))
            suspected = self._state.view.value.suspected - set(self._session_by_peer)
            name = probe_target(self._state.vm, suspected, turn)
            vm = self._find_vm(name) if name else None
            if vm is not None and vm.agent_address:
                task = asyncio.create_task(self._probe(vm))
                self._probes.add(task)
                task.add_done_callback(self._probes.discard)

    async def _anti_entropy_loop(self) -> None:
        """Compare one bucket of the gossip with one random peer per interval."""
        while True:
            await asyncio.sleep(
                ANTI_ENTROPY_INTERVAL_SECONDS * random.uniform(0.75, 1.25)
            )
            self._drop_unlisted()
            if not self._session_by_peer:
                continue
            session = random.choice(list(self._session_by_peer.values()))
            bucket_count = self._state.digests.bucket_count()
            try:
                await session.compare_versions(
                    next(self._bucket_counter) % bucket_count, bucket_count
                )
            except PeerError:
                continue

    def _update_own_report(self) -> None:
        up = set()
        for peer, monitor in self._monitor_by_peer.items():
            if monitor.state is LinkState.UP:
                up.add(peer)
        before = set(self._state.own_report.peers)
        for event, names in (
            (Event.LINK_UP, up - before),
            (Event.LINK_DOWN, before - up),
        ):
            for name in sorted(names):
                log_event(event, peer=name)
        self._state.update_own_report(peers=up)

    def _update_plan(self) -> None:
        view = self._state.view.value
        inputs = (self._state.vm_list.revision, view.suspected)
        if inputs == self._plan_inputs:
            return
        self._plan_inputs = inputs
        plan = plan_links(
            self._state.vm,
            self._state.failure_domain,
            self._state.entry_vms,
            view.suspected,
        )
        now = self._state.clock.monotonic()
        planned = plan.peers()
        for peer in planned:
            self._unplanned_since_by_peer.pop(peer, None)
            if peer not in self._task_by_peer:
                self._task_by_peer[peer] = asyncio.create_task(
                    self._maintain_link(peer)
                )
        for peer in set(self._task_by_peer) - planned:
            self._unplanned_since_by_peer.setdefault(peer, now)

    def _close_unplanned(self) -> None:
        """Close links that left the plan ``UNPLANNED_LINK_LINGER_SECONDS`` ago.

        By then their replacements are open.
        """
        now = self._state.clock.monotonic()
        for peer, since in list(self._unplanned_since_by_peer.items()):
            if now - since >= UNPLANNED_LINK_LINGER_SECONDS:
                del self._unplanned_since_by_peer[peer]
                self._task_by_peer.pop(peer).cancel()

    async def _maintain_link(self, peer: str) -> None:
        """Keep a link to ``peer`` open, whichever side dialed it."""
        while True:
            vm = self._find_vm(peer)
            if peer in self._session_by_peer:
                await self._ended_by_peer[peer].wait()
            elif vm is not None and vm.agent_address:
                await self._dial_and_run(vm.agent_address)
            await asyncio.sleep(MAX_REDIAL_PAUSE_SECONDS * random.uniform(0.5, 1.0))

    async def _probe(self, vm: Vm) -> None:
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
                await self._dial_and_run(vm.agent_address)
        except TimeoutError:
            return

    async def _dial_and_run(self, address: str) -> None:
        try:
            connection = await dial(address, self._identity, self._handlers.handle)
        except (PeerError, ProtocolError):
            return
        try:
            stream = connection.open_stream(OpenPeerLink(self._state.failure_domain))
            await self._run_session(connection.peer.vm, stream, dialed=True)
        except PeerError:
            return
        finally:
            connection.close("link ended")

    async def _accept(self, stream: Stream, _: OpenPeerLink) -> None:
        await self._run_session(stream.connection.peer.vm, stream, dialed=False)

    async def _run_session(self, peer: str, stream: Stream, dialed: bool) -> None:
        if peer == self._state.vm or not self._resolve_duplicate(peer, stream, dialed):
            stream.reset(DUPLICATE)
            return
        monitor = self._monitor_by_peer.setdefault(peer, LinkMonitor(self._state.clock))
        session = PeerSession(
            peer,
            stream,
            self._state,
            self._budget,
            self.sent,
            self._pending_requests,
            monitor.record_received,
        )
        self._session_by_peer[peer] = session
        ended = self._ended_by_peer[peer] = asyncio.Event()
        try:
            if dialed:
                await session.compare_all_versions()
            await session.run()
        except asyncio.CancelledError:
            stream.reset(NOT_WANTED)
            self._monitor_by_peer.pop(peer, None)
            raise
        except StreamResetError as error:
            if error.code == NOT_WANTED:
                self._monitor_by_peer.pop(peer, None)
        except (PeerError, TimeoutError):
            stream.reset("silent")
        finally:
            ended.set()
            if self._session_by_peer.get(peer) is session:
                del self._session_by_peer[peer]
                monitor.record_disconnect()

    def _resolve_duplicate(self, peer: str, stream: Stream, dialed: bool) -> bool:
        """Return whether to keep a new link, and reset the one that it replaces.

        When both sides have dialed, the link dialed by the VM with the lower
        name is kept. A link to an earlier incarnation of the peer is always
        replaced.
        """
        old = self._session_by_peer.get(peer)
        if old is None:
            return True
        is_same_incarnation = (
            old.stream.connection.peer.incarnation == stream.connection.peer.incarnation
        )
        dialer = self._state.vm if dialed else peer
        if is_same_incarnation and dialer == max(peer, self._state.vm):
            return False
        old.stream.reset(DUPLICATE)
        return True

    def _find_vm(self, name: str) -> Vm | None:
        return self._state.vm_list.by_name().get(name)

    def _drop_unlisted(self) -> None:
        """Drop the digests and monitors of VMs that are neither listed nor linked."""
        known = {vm.name for vm in self._state.vm_list.vms}
        if not known:
            return
        known.update(self._session_by_peer)
        self._state.digests.retain(known)
        for peer in set(self._monitor_by_peer) - known:
            del self._monitor_by_peer[peer]
