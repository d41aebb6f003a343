"""Keeps the links to the peers that the link plan names, and watches them."""

import asyncio
import itertools
import random

from dotterelpitch.agent.peer_session import PeerSession, PendingRequests, SentBytes
from dotterelpitch.agent.state import AgentState
from dotterelpitch.errors import PeerError, ProtocolError, StreamResetError
from dotterelpitch.membership.gossip import ByteBudget
from dotterelpitch.membership.model import Vm
from dotterelpitch.membership.sparse_links import plan_links, probe_target
from dotterelpitch.membership.suspicion import LinkMonitor, LinkState, PauseDetector
from dotterelpitch.protocol.connection import dial
from dotterelpitch.protocol.handshake import Identity
from dotterelpitch.protocol.messages import OpenPeerLink
from dotterelpitch.protocol.server import HandlerTable
from dotterelpitch.protocol.stream import Stream
from dotterelpitch.telemetry.events import Event, log_event

TICK_SECONDS = 0.25
REDIAL_SECONDS = 0.5
PROBE_SECONDS = 2.0
PROBE_LINK_SECONDS = 10.0
ANTI_ENTROPY_SECONDS = 10.0
LINGER_SECONDS = 10.0
NOT_WANTED = "not-wanted"
DUPLICATE = "duplicate"


class PeerLinks:
    """All links of one agent: one task per planned peer, and those accepted."""

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
        self._requests = PendingRequests(state)
        self._monitor_by_peer: dict[str, LinkMonitor] = {}
        self._session_by_peer: dict[str, PeerSession] = {}
        self._ended_by_peer: dict[str, asyncio.Event] = {}
        self._task_by_peer: dict[str, asyncio.Task] = {}
        self._unwanted_since_by_peer: dict[str, float] = {}
        self._probes: set[asyncio.Task] = set()
        self._planned_from: tuple | None = None
        self._bucket_turns = itertools.count()
        self.sent = SentBytes()
        handlers.add(OpenPeerLink, self._accept)

    @property
    def peers(self) -> list[str]:
        """The peers with an open link."""
        return sorted(self._session_by_peer)

    def control_bytes_sent(self) -> int:
        """Return the control bytes sent on the open links, pings included."""
        return sum(
            session.stream.connection.traffic.control_sent
            for session in self._session_by_peer.values()
        )

    async def run(self) -> None:
        """Keep the links until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._tick_for_ever())
                group.create_task(self._probe_for_ever())
                group.create_task(self._compare_for_ever())
        finally:
            for task in [*self._task_by_peer.values(), *self._probes]:
                task.cancel()

    def dial_seed(self, address: str) -> asyncio.Task:
        """Open a link to an address whose VM isn't known yet."""
        return asyncio.create_task(self._link_once(address))

    async def _tick_for_ever(self) -> None:
        pauses = PauseDetector(self._state.clock)
        while True:
            if pause := pauses.tick():
                log_event(Event.PROCESS_PAUSED, seconds=round(pause, 3))
                for monitor in self._monitor_by_peer.values():
                    monitor.reset_silence()
            self._update_report()
            self._state.publish_due()
            self._state.refresh_view()
            self._update_plan()
            self._end_unwanted()
            await asyncio.sleep(TICK_SECONDS)

    async def _probe_for_ever(self) -> None:
        """Dial one suspected VM after the other, so that healed cuts are found."""
        for turn in itertools.count():
            await asyncio.sleep(PROBE_SECONDS * random.uniform(0.75, 1.25))
            suspected = self._state.view.value.suspected - set(self._session_by_peer)
            name = probe_target(self._state.vm, suspected, turn)
            vm = self._listed(name) if name else None
            if vm is not None and vm.agent_address:
                task = asyncio.create_task(self._probe(vm))
                self._probes.add(task)
                task.add_done_callback(self._probes.discard)

    async def _compare_for_ever(self) -> None:
        """Compare one bucket of the gossip with one peer at a time."""
        while True:
            await asyncio.sleep(ANTI_ENTROPY_SECONDS * random.uniform(0.75, 1.25))
            self._forget_unlisted()
            if not self._session_by_peer:
                continue
            session = random.choice(list(self._session_by_peer.values()))
            buckets = self._state.digests.bucket_count()
            try:
                await session.compare_versions(
                    next(self._bucket_turns) % buckets, buckets
                )
            except PeerError:
                continue

    def _update_report(self) -> None:
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
        self._state.report(peers=up)

    def _update_plan(self) -> None:
        view = self._state.view.value
        basis = (self._state.vm_list.revision, view.suspected)
        if basis == self._planned_from:
            return
        self._planned_from = basis
        plan = plan_links(
            self._state.vm,
            self._state.failure_domain,
            self._state.entries,
            view.suspected,
        )
        now = self._state.clock.monotonic()
        wanted = plan.peers()
        for peer in wanted:
            self._unwanted_since_by_peer.pop(peer, None)
            if peer not in self._task_by_peer:
                self._task_by_peer[peer] = asyncio.create_task(self._follow(peer))
        for peer in set(self._task_by_peer) - wanted:
            self._unwanted_since_by_peer.setdefault(peer, now)

    def _end_unwanted(self) -> None:
        """End links that left the plan a while ago; new ones are open by then."""
        now = self._state.clock.monotonic()
        for peer, since in list(self._unwanted_since_by_peer.items()):
            if now - since >= LINGER_SECONDS:
                del self._unwanted_since_by_peer[peer]
                self._task_by_peer.pop(peer).cancel()

    async def _follow(self, peer: str) -> None:
        """Keep a link to ``peer`` open, whichever side has dialed it."""
        while True:
            vm = self._listed(peer)
            if peer in self._session_by_peer:
                await self._ended_by_peer[peer].wait()
            elif vm is not None and vm.agent_address:
                await self._link_once(vm.agent_address)
            await asyncio.sleep(REDIAL_SECONDS * random.uniform(0.5, 1.0))

    async def _probe(self, vm: Vm) -> None:
        try:
            async with asyncio.timeout(PROBE_LINK_SECONDS):
                await self._link_once(vm.agent_address)
        except TimeoutError:
            return

    async def _link_once(self, address: str) -> None:
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
        if peer == self._state.vm or not self._keep_new_link(peer, stream, dialed):
            stream.reset(DUPLICATE)
            return
        monitor = self._monitor_by_peer.setdefault(peer, LinkMonitor(self._state.clock))
        session = PeerSession(
            peer,
            stream,
            self._state,
            self._budget,
            self.sent,
            self._requests,
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

    def _keep_new_link(self, peer: str, stream: Stream, dialed: bool) -> bool:
        """Settle which of two links stays when both sides have dialed.

        The one that the lower name dialed stays, unless the older link leads
        to an earlier incarnation of the peer.
        """
        old = self._session_by_peer.get(peer)
        if old is None:
            return True
        is_same = (
            old.stream.connection.peer.incarnation == stream.connection.peer.incarnation
        )
        dialer = self._state.vm if dialed else peer
        if is_same and dialer == max(peer, self._state.vm):
            return False
        old.stream.reset(DUPLICATE)
        return True

    def _listed(self, name: str) -> Vm | None:
        return self._state.vm_list.by_name().get(name)

    def _forget_unlisted(self) -> None:
        """Drop what is known of VMs that are neither listed nor linked."""
        known = {vm.name for vm in self._state.vm_list.vms}
        if not known:
            return
        known.update(self._session_by_peer)
        self._state.digests.retain(known)
        for peer in set(self._monitor_by_peer) - known:
            del self._monitor_by_peer[peer]
