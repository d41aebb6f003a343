"""Follows the other gateways, one task a peer, and lets them follow this one."""

import asyncio
import contextlib
import random

from dotterelpitch.clock import Clock
from dotterelpitch.errors import PeerError, ProtocolError
from dotterelpitch.gateway.digests import Digests
from dotterelpitch.gateway.peer_book import PeerBook
from dotterelpitch.gateway.reader_choice import ReaderChoice
from dotterelpitch.gateway.state import GatewayState
from dotterelpitch.protocol.connection import Connection, dial
from dotterelpitch.protocol.gateway_messages import (
    FetchRecords,
    FollowGateway,
    GatewayDigest,
)
from dotterelpitch.protocol.handshake import Identity
from dotterelpitch.protocol.server import HandlerTable
from dotterelpitch.protocol.stream import Stream
from dotterelpitch.telemetry.events import Event, log_event

# A peer that can't be reached is tried again after this long.
REDIAL_SECONDS = 1.0
# A peer that has sent nothing for this long is dialled anew.
SILENCE_SECONDS = 2.0
# With many peers each gets its digest more seldom, to bound the bytes.
SECONDS_PER_PEER = 0.012
# The store itself brings a change to all within this; then a peer is asked.
PATIENCE_SECONDS = 0.4
FETCH_SECONDS = 1.5


class Peers:
    """The links of one gateway to the others."""

    def __init__(
        self,
        identity: Identity,
        address: str,
        clock: Clock,
        state: GatewayState,
        book: PeerBook,
        digests: Digests,
        readers: ReaderChoice,
        period_s: float,
    ) -> None:
        self._identity = identity
        self._address = address
        self._clock = clock
        self._state = state
        self._book = book
        self._digests = digests
        self._readers = readers
        self._period_s = period_s
        self._task_by_address: dict[str, asyncio.Task] = {}
        self._behind_since: float | None = None
        self._is_fetching = False

    def serve(self, handlers: HandlerTable) -> None:
        """Answer the peers' streams."""
        handlers.add(FollowGateway, self._send_digests, background=True)
        handlers.add(FetchRecords, self._send_records)

    async def run(self) -> None:
        """Keep one task for each peer that should be followed."""
        try:
            while True:
                self._follow_wanted()
                await asyncio.sleep(self._period_s)
        finally:
            for task in self._task_by_address.values():
                task.cancel()

    def _follow_wanted(self) -> None:
        wanted = self._book.wanted()
        for address in wanted:
            if address not in self._task_by_address:
                task = asyncio.create_task(self._follow(address))
                self._task_by_address[address] = task
        for address in self._task_by_address.keys() - set(wanted):
            self._task_by_address.pop(address).cancel()

    async def _follow(self, address: str) -> None:
        """Follow one peer until it is forgotten."""
        is_up = False
        while True:
            try:
                connection = await dial(address, self._identity)
            except (PeerError, ProtocolError) as error:
                if is_up:
                    log_event(Event.LINK_DOWN, peer=address, reason=str(error))
                is_up = False
                await asyncio.sleep(REDIAL_SECONDS * random.uniform(0.7, 1.3))
                continue
            if not is_up:
                log_event(Event.LINK_UP, peer=address, vm=connection.peer.vm)
            is_up = True
            try:
                await self._read_digests(connection)
            except (PeerError, ProtocolError, TimeoutError):
                pass  # The next dial says whether the peer is there.
            finally:
                connection.close()

    async def _read_digests(self, connection: Connection) -> None:
        request = FollowGateway(self._identity.vm, self._address)
        stream = connection.open_stream(request)
        while True:
            async with asyncio.timeout(SILENCE_SECONDS):
                digest = await stream.receive()
            if not isinstance(digest, GatewayDigest):
                return
            self._digests.take(digest)
            if self._is_behind(digest):
                await self._fetch(connection)

    def _is_behind(self, digest: GatewayDigest) -> bool:
        """Whether the store has been slower than the peer for some time."""
        config = self._state.config
        version = config.version if config else 0
        is_newer = (
            digest.config_version > version
            or digest.store_revision > self._state.revision
        )
        if not is_newer:
            return False
        now = self._clock.monotonic()
        if config is None or not self._readers.reads_store():
            return not self._is_fetching
        if self._behind_since is None or now - self._behind_since > SILENCE_SECONDS:
            self._behind_since = now
            return False
        return not self._is_fetching and now - self._behind_since > PATIENCE_SECONDS

    async def _fetch(self, connection: Connection) -> None:
        config = self._state.config
        version = config.version if config else 0
        before = self._state.revision
        self._is_fetching = True
        try:
            request = FetchRecords(version, before)
            batch = await connection.call(request, FETCH_SECONDS)
        finally:
            self._is_fetching = False
            self._behind_since = None
        self._digests.take_batch(batch)
        log_event(
            Event.RECORDS_FROM_PEER,
            vm=connection.peer.vm,
            revision=batch.store_revision,
            before=before,
            age_ms=batch.age_ms,
        )

    async def _send_digests(self, stream: Stream, first: FollowGateway) -> None:
        self._book.reached(first.address)
        while True:
            changed = self._state.changed
            await stream.send(self._digests.make())
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._pause_s()):
                    await changed.wait()

    async def _send_records(self, stream: Stream, first: FetchRecords) -> None:
        await stream.send(self._digests.make_batch(first))

    def _pause_s(self) -> float:
        return max(self._period_s, SECONDS_PER_PEER * len(self._task_by_address))
