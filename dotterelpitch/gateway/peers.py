"""Links this gateway with others: one task for each dialled peer, one for digests."""

import asyncio
import contextlib
import random
from functools import partial

from dotterelpitch.clock import Clock
from dotterelpitch.errors import PeerError, ProtocolError
from dotterelpitch.gateway.background import keep_running
from dotterelpitch.gateway.digests import Digests
from dotterelpitch.gateway.fleet_map import FleetMap
from dotterelpitch.gateway.link import Link, LinkTable
from dotterelpitch.gateway.place import Place
from dotterelpitch.gateway.reader_choice import ReaderChoice
from dotterelpitch.gateway.record_exchange import RecordExchange
from dotterelpitch.gateway.state import GatewayState
from dotterelpitch.protocol.connection import dial
from dotterelpitch.protocol.gateway_messages import (
    FetchRecords,
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

# A peer that can't be reached is tried again after this long.
REDIAL_SECONDS = 1.0
# A peer that has sent nothing for this long is dialled anew.
SILENCE_SECONDS = 1.5
# A list that hasn't changed is sent again this often, before it runs out there.
RELIST_SECONDS = 5.0
# Changes that come within this time share one digest.
GATHER_SECONDS = 0.03


class Peers:
    """The links of one gateway to the others."""

    def __init__(
        self,
        identity: Identity,
        clock: Clock,
        state: GatewayState,
        fleet: FleetMap,
        links: LinkTable,
        place: Place,
        digests: Digests,
        records: RecordExchange,
        readers: ReaderChoice,
        loads: FleetLoads,
        retries: FleetRetryBudget,
        period_s: float,
    ) -> None:
        self._identity = identity
        self._clock = clock
        self._state = state
        self._fleet = fleet
        self._links = links
        self._place = place
        self._digests = digests
        self._records = records
        self._readers = readers
        self._loads = loads
        self._retries = retries
        self._period_s = period_s
        self._handlers = HandlerTable()
        self._task_by_address: dict[str, asyncio.Task] = {}
        self._fetching: asyncio.Task | None = None
        self._most_vms = 1

    def serve(self, handlers: HandlerTable) -> None:
        """Answer the peers' streams, on connections of either side."""
        self._handlers = handlers
        handlers.add(OpenLink, self._accept, background=True)
        handlers.add(FetchRecords, self._records.answer)

    async def run(self) -> None:
        """Choose whom to be linked with and send digests, until cancelled."""
        try:
            while True:
                changed = self._state.changed
                self._take_place()
                self._dial_wanted()
                for link in self._links.all():
                    self._send(link)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(self._period_s):
                        await changed.wait()
                        await asyncio.sleep(GATHER_SECONDS)
        finally:
            for task in self._task_by_address.values():
                task.cancel()
            self._task_by_address.clear()

    def _take_place(self) -> None:
        self._fleet.forget_old()
        self._place.update()
        self._readers.is_relay = self._place.is_relay
        # A cut-off part of the fleet keeps the others' part of the budget free.
        self._most_vms = max(self._most_vms, len(self._fleet.known()))
        if self._most_vms > 1:
            self._retries.set_vm_count(self._most_vms)

    def _dial_wanted(self) -> None:
        wanted = self._place.wanted()
        for address in wanted:
            if address not in self._task_by_address and self._place.should_dial(
                address
            ):
                follow = partial(self._follow, address)
                task = asyncio.create_task(keep_running(f"link {address}", follow))
                self._task_by_address[address] = task
        for address in list(self._task_by_address):
            if not (address in wanted or self._place.is_in_use(address)):
                self._task_by_address.pop(address).cancel()

    async def _follow(self, address: str) -> None:
        """Keep a link to one peer until it is no longer wanted."""
        while True:
            try:
                connection = await dial(address, self._identity, self._handlers.handle)
            except (PeerError, ProtocolError) as error:
                self._note_unreachable(address, error)
                await asyncio.sleep(REDIAL_SECONDS * random.uniform(0.7, 1.3))
                continue
            try:
                stream = connection.open_stream(OpenLink(self._fleet.own))
                async with asyncio.timeout(SILENCE_SECONDS):
                    opened = await stream.receive()
                if not isinstance(opened, LinkOpened):
                    raise ProtocolError("the peer doesn't open a link")
                await self._read(Link(opened.sender, stream))
            except (PeerError, ProtocolError, TimeoutError) as error:
                self._note_unreachable(address, error)
            finally:
                connection.close()

    def _note_unreachable(self, address: str, error: Exception) -> None:
        self._fleet.unreachable(address)
        log_event(Event.LINK_FAILED, peer=address, reason=repr(error))

    async def _accept(self, stream: Stream, first: OpenLink) -> None:
        """Answer a peer that has dialled, until it goes."""
        await stream.send(LinkOpened(self._fleet.own))
        with contextlib.suppress(TimeoutError):  # The end of the link is logged.
            await self._read(Link(first.sender, stream))

    async def _read(self, link: Link) -> None:
        """Take in what a peer sends on a link; raises when the link ends."""
        self._links.add(link)
        self._fleet.link_opened(link.peer)
        log_event(Event.LINK_UP, peer=link.peer.address, vm=link.peer.name)
        self._send(link)
        try:
            while True:
                async with asyncio.timeout(SILENCE_SECONDS):
                    content = await link.stream.receive()
                if isinstance(content, FleetList):
                    self._fleet.listed(link.peer.name, content.vms)
                elif isinstance(content, GatewayDigest):
                    self._take(link, content)
                else:
                    return
        finally:
            link.stream.reset("closed")
            self._forget(link)

    def _forget(self, link: Link) -> None:
        if self._links.remove(link):
            self._fleet.link_closed(link.peer)
            self._loads.remove_source(link.peer.name)
        log_event(Event.LINK_DOWN, peer=link.peer.address, vm=link.peer.name)

    def _take(self, link: Link, digest: GatewayDigest) -> None:
        self._digests.take(link, digest)
        if self._records.should_fetch(digest):
            self._fetching = asyncio.create_task(self._records.fetch(link))

    def _send(self, link: Link) -> None:
        """Queue a digest; a peer that reads too slowly gets a later one."""
        connection = link.stream.connection
        if connection.is_congested:
            return
        vms = self._place.list_for(link)
        now = self._clock.monotonic()
        if vms != link.list_sent or now - link.list_sent_at > RELIST_SECONDS:
            connection.write(link.stream.number, FleetList(list(vms)))
            link.list_sent = vms
            link.list_sent_at = now
        connection.write(link.stream.number, self._digests.make(link))
