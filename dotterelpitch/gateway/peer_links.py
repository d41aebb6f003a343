"""Maintains links to other gateways: one task per dialed peer, one for digests."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Sequence
from functools import partial

from dotterelpitch.clock import Clock
from dotterelpitch.errors import PeerError, ProtocolError
from dotterelpitch.gateway.background import keep_running
from dotterelpitch.gateway.digest_exchange import DigestExchange
from dotterelpitch.gateway.link import Link, LinkTable
from dotterelpitch.gateway.link_topology import LinkTopology
from dotterelpitch.gateway.peer_directory import PeerDirectory
from dotterelpitch.gateway.peer_exchange import PeerExchange
from dotterelpitch.gateway.reader_selection import ReaderSelection
from dotterelpitch.gateway.record_exchange import RecordExchange
from dotterelpitch.gateway.state import GatewayState
from dotterelpitch.protocol.connection import Connection, dial
from dotterelpitch.protocol.gateway_messages import (
    FetchRecords,
    FetchRecordsOfEra,
    FleetList,
    GatewayDigest,
    LinkOpened,
    OpenLink,
)
from dotterelpitch.protocol.handshake import Identity
from dotterelpitch.protocol.server import HandlerTable
from dotterelpitch.protocol.stream import Stream
from dotterelpitch.routing.fleet_loads import FleetLoads
from dotterelpitch.routing.fleet_retry_budget import FleetRetryBudget
from dotterelpitch.telemetry.events import Event, log_event

# Delay before a failed dial is retried, and before a link that lasted less is dialed
# again.
REDIAL_DELAY_SECONDS = 1.0
# A link on which nothing arrives for this long is closed and dialed again.
PEER_TIMEOUT_SECONDS = 1.5
# An unchanged fleet list is sent again at this interval, before the peer's copy
# expires.
LIST_REFRESH_SECONDS = 5.0
# Changes within this time share one digest.
BATCH_DELAY_SECONDS = 0.03


class PeerLinks:
    """Opens links to peers, accepts theirs, and sends digests on all of them.

    ``exchanges`` are told in their order. ``update_contact_share`` is called before
    each round of digests. ``digest_period_s`` is the longest time between two rounds.
    """

    def __init__(
        self,
        identity: Identity,
        clock: Clock,
        state: GatewayState,
        fleet: PeerDirectory,
        links: LinkTable,
        topology: LinkTopology,
        digests: DigestExchange,
        records: RecordExchange,
        reader_selection: ReaderSelection,
        exchanges: Sequence[PeerExchange],
        update_contact_share: Callable[[], None],
        loads: FleetLoads,
        retry_budget: FleetRetryBudget,
        digest_period_s: float,
    ) -> None:
        self._identity = identity
        self._clock = clock
        self._state = state
        self._fleet = fleet
        self._links = links
        self._topology = topology
        self._digests = digests
        self._records = records
        self._reader_selection = reader_selection
        self._exchanges = exchanges
        self._exchange_by_type = {e.message_type: e for e in exchanges}
        self._update_contact_share = update_contact_share
        self._loads = loads
        self._retry_budget = retry_budget
        self.digest_period_s = digest_period_s
        self._handlers = HandlerTable()
        self._task_by_address: dict[str, asyncio.Task] = {}
        self._fetch_tasks: set[asyncio.Task] = set()
        self._max_vms_seen = 1

    def serve(self, handlers: HandlerTable) -> None:
        """Register handlers for peers' streams, on dialed and accepted connections."""
        self._handlers = handlers
        handlers.add(OpenLink, self._accept, background=True)
        handlers.add(FetchRecords, self._records.answer)
        handlers.add(FetchRecordsOfEra, self._records.answer)

    async def run(self) -> None:
        """Update the links and send digests periodically, until cancelled."""
        try:
            while True:
                self._state.continuity.record_running()
                changed = self._state.changed
                self._update_topology()
                self._reconcile_dials()
                for link in self._links.all():
                    self._send_digest(link)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(self.digest_period_s):
                        await changed.wait()
                        await asyncio.sleep(BATCH_DELAY_SECONDS)
        finally:
            for task in self._task_by_address.values():
                task.cancel()
            self._task_by_address.clear()

    def _update_topology(self) -> None:
        self._fleet.drop_old_marks()
        self._topology.update()
        self._reader_selection.is_relay = self._topology.is_relay
        # The count never shrinks: during a partition each part of the fleet leaves the
        # other part's share of the retry budget unused.
        self._max_vms_seen = max(self._max_vms_seen, len(self._fleet.known()))
        self._update_contact_share()
        if self._max_vms_seen > 1:
            self._retry_budget.set_vm_count(self._max_vms_seen)

    def _reconcile_dials(self) -> None:
        wanted = self._topology.wanted_addresses()
        for address in wanted:
            if address not in self._task_by_address and self._topology.should_dial(
                address
            ):
                maintain = partial(self._maintain_link, address)
                task = asyncio.create_task(keep_running(f"link {address}", maintain))
                self._task_by_address[address] = task
        for address in list(self._task_by_address):
            if not (address in wanted or self._topology.is_in_use(address)):
                self._task_by_address.pop(address).cancel()

    async def _maintain_link(self, address: str) -> None:
        """Keep a link to one address open until cancelled."""
        while True:
            opened_at = None
            try:
                connection = await dial(address, self._identity, self._handlers.handle)
                opened_at = self._clock.monotonic()
                await self._run_link(connection)
            except (PeerError, ProtocolError, TimeoutError) as error:
                self._mark_unreachable(address, error)
            if opened_at is None or self._has_just_opened(opened_at):
                await asyncio.sleep(REDIAL_DELAY_SECONDS * random.uniform(0.7, 1.3))

    def _has_just_opened(self, opened_at: float) -> bool:
        return self._clock.monotonic() - opened_at < REDIAL_DELAY_SECONDS

    async def _run_link(self, connection: Connection) -> None:
        """Open a link, and apply what comes on it until it ends or fails."""
        try:
            stream = connection.open_stream(OpenLink(self._fleet.own))
            async with asyncio.timeout(PEER_TIMEOUT_SECONDS):
                opened = await stream.receive()
            if not isinstance(opened, LinkOpened):
                raise ProtocolError(f"expected LinkOpened, got {type(opened).__name__}")
            await self._receive(Link(opened.sender, stream))
        finally:
            connection.close()

    def _mark_unreachable(self, address: str, error: Exception) -> None:
        self._fleet.mark_unreachable(address)
        log_event(Event.LINK_FAILED, peer=address, reason=repr(error))

    async def _accept(self, stream: Stream, first: OpenLink) -> None:
        """Handle a link that a peer has dialed, until it ends."""
        await stream.send(LinkOpened(self._fleet.own))
        with contextlib.suppress(TimeoutError):  # LINK_DOWN is logged.
            await self._receive(Link(first.sender, stream))

    async def _receive(self, link: Link) -> None:
        """Apply what a peer sends on a link.

        Return at the end of the stream; raise if the link fails or times out.
        """
        self._links.add(link)
        self._fleet.add_linked(link.peer)
        log_event(Event.LINK_UP, peer=link.peer.address, vm=link.peer.name)
        try:
            self._send_digest(link)
            while True:
                async with asyncio.timeout(PEER_TIMEOUT_SECONDS):
                    message = await link.stream.receive()
                if isinstance(message, FleetList):
                    self._fleet.record_list(link.peer.name, message.vms)
                elif isinstance(message, GatewayDigest):
                    self._apply_digest(link, message)
                elif type(message) in self._exchange_by_type:
                    self._exchange_by_type[type(message)].apply(link, message)
                else:
                    return
        finally:
            link.stream.reset("closed")
            self._remove_link(link)

    def _remove_link(self, link: Link) -> None:
        if self._links.remove(link):
            self._fleet.remove_linked(link.peer)
            self._loads.remove_source(link.peer.name)
        log_event(Event.LINK_DOWN, peer=link.peer.address, vm=link.peer.name)

    def _apply_digest(self, link: Link, digest: GatewayDigest) -> None:
        self._digests.apply(link, digest)
        peer = link.peer
        if self._records.should_fetch(digest, peer.link_version, peer.name):
            task = asyncio.create_task(self._records.fetch(link))
            self._fetch_tasks.add(task)
            task.add_done_callback(self._fetch_tasks.discard)

    def _send_digest(self, link: Link) -> None:
        """Queue a digest; a peer whose connection is congested gets a later one."""
        connection = link.stream.connection
        if connection.is_congested:
            return
        vms = self._topology.fleet_list_for(link)
        now = self._clock.monotonic()
        if vms != link.list_sent or now - link.list_sent_at > LIST_REFRESH_SECONDS:
            connection.write(link.stream.number, FleetList(list(vms)))
            link.list_sent = vms
            link.list_sent_at = now
        connection.write(link.stream.number, self._digests.make(link))
        for exchange in self._exchanges:
            if (digest := exchange.message_for(link)) is not None:
                connection.write(link.stream.number, digest)
