"""The protocol on one link between agents: heartbeats, gossip, and documents."""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Any

from dotterelpitch.agent.state import AgentState, DigestUpdate
from dotterelpitch.documents.startup_gate import OfferedRevision
from dotterelpitch.errors import ConnectionLostError
from dotterelpitch.membership.gossip import ByteBudget, Outbox
from dotterelpitch.membership.link_monitor import HEARTBEAT_SECONDS, SILENCE_SECONDS
from dotterelpitch.membership.vm_list_registry import VM_LIST_NAME
from dotterelpitch.protocol.codec import encode_frame
from dotterelpitch.protocol.frames import End
from dotterelpitch.protocol.messages import (
    DocumentState,
    GossipPush,
    GossipVersions,
    Heartbeat,
    RevisionOffer,
    RevisionRequest,
    VmListState,
)
from dotterelpitch.protocol.stream import Stream

REQUEST_RETRY_SECONDS = 1.0
MAX_PUSH_BYTES = 16 * 1024


class SentTraffic:
    """Counts the bytes and messages sent to peers, by message type."""

    def __init__(self) -> None:
        self.bytes_by_kind: Counter[str] = Counter()
        self.messages_by_kind: Counter[str] = Counter()

    def add(self, content: Any) -> int:
        """Count one message and return its encoded size in bytes."""
        size = len(encode_frame(1, content))
        self.bytes_by_kind[type(content).__name__] += size
        self.messages_by_kind[type(content).__name__] += 1
        return size


class PendingRequests:
    """Keeps an agent from requesting one document from several peers at once."""

    def __init__(self, state: AgentState) -> None:
        self._state = state
        self._requested_at_by_offer: dict[OfferedRevision, float] = {}

    def should_request(self, offer: OfferedRevision) -> bool:
        """Return whether to request ``offer`` now, and record the request if so.

        A request without an answer is repeated after ``REQUEST_RETRY_SECONDS``.
        """
        now = self._state.clock.monotonic()
        if not self._state.wants(offer):
            self._requested_at_by_offer.pop(offer, None)
            return False
        if (
            now - self._requested_at_by_offer.get(offer, -REQUEST_RETRY_SECONDS)
            < REQUEST_RETRY_SECONDS
        ):
            return False
        self._requested_at_by_offer[offer] = now
        return True


class PeerSession:
    """Exchanges heartbeats, gossip, and documents with one peer over one stream.

    ``on_message`` is called for each received message.
    """

    def __init__(
        self,
        peer: str,
        stream: Stream,
        state: AgentState,
        budget: ByteBudget,
        sent: SentTraffic,
        pending_requests: PendingRequests,
        on_message: Callable[[], None],
    ) -> None:
        self.peer = peer
        self.stream = stream
        self._state = state
        self._budget = budget
        self._sent = sent
        self._pending_requests = pending_requests
        self._on_message = on_message
        self._outbox = Outbox()
        self._pending_offer_by_service: dict[str, OfferedRevision] = {}
        self._peer_offer_by_service: dict[str, OfferedRevision] = {}
        self._wake = asyncio.Event()
        self._sequence = 0
        self._handler_by_type = {
            Heartbeat: self._handle_heartbeat,
            GossipPush: self._handle_push,
            GossipVersions: self._handle_versions,
            RevisionOffer: self._handle_offers,
            RevisionRequest: self._handle_request,
            DocumentState: self._handle_document,
            VmListState: self._handle_vm_list,
        }

    async def run(self) -> None:
        """Send and receive until the link ends.

        Raises TimeoutError when nothing is received for ``SILENCE_SECONDS``,
        and PeerError when the peer ends or resets the stream or the connection
        breaks.
        """
        subscriptions = [
            self._state.revisions.subscribe(self._queue_offer),
            self._state.digest_updates.subscribe(self._queue_digest),
        ]
        for offer in self._state.offers():
            self._queue_offer(offer)
        sender = asyncio.create_task(self._send_loop())
        try:
            await self._receive_loop()
        finally:
            sender.cancel()
            await asyncio.gather(sender, return_exceptions=True)
            for subscription in subscriptions:
                subscription.dispose()

    async def compare_versions(self, bucket: int, bucket_count: int) -> None:
        """Start the anti-entropy exchange of one bucket of digest keys."""
        versions = self._state.digests.versions(bucket, bucket_count)
        await self._send(
            _version_message(versions, bucket, bucket_count, reply_requested=True)
        )

    async def compare_all_versions(self) -> None:
        """Start the exchange of every bucket; called when a link opens."""
        bucket_count = self._state.digests.bucket_count()
        for bucket in range(bucket_count):
            await self.compare_versions(bucket, bucket_count)

    async def _send_loop(self) -> None:
        loop = asyncio.get_running_loop()
        heartbeat_at = loop.time()
        while True:
            now = loop.time()
            heartbeat_due = now >= heartbeat_at
            if heartbeat_due:
                heartbeat_at = max(heartbeat_at + HEARTBEAT_SECONDS, now)
                self._sequence += 1
                await self._send(Heartbeat(self._sequence))
                await self._request_offered()
            await self._send_offers()
            await self._send_digests(urgent_only=not heartbeat_due)
            self._wake.clear()
            try:
                async with asyncio.timeout(heartbeat_at - loop.time()):
                    await self._wake.wait()
            except TimeoutError:
                continue

    async def _receive_loop(self) -> None:
        while True:
            async with asyncio.timeout(SILENCE_SECONDS):
                content = await self.stream.receive()
            if isinstance(content, End):
                raise ConnectionLostError("the peer closed the link")
            self._on_message()
            await self._handler_by_type[type(content)](content)

    async def _send(self, content: Any) -> None:
        size = self._sent.add(content)
        if not isinstance(content, DocumentState | VmListState):
            self._budget.spend(size)
        await self.stream.send(content)

    async def _send_offers(self) -> None:
        if not self._pending_offer_by_service:
            return
        offers = list(self._pending_offer_by_service.values())
        self._pending_offer_by_service.clear()
        await self._send(RevisionOffer(offers))

    async def _send_digests(self, urgent_only: bool) -> None:
        """Send queued digests; urgent ones may exceed the byte budget."""
        while batch := self._outbox.take(MAX_PUSH_BYTES, urgent_only=True):
            await self._send(GossipPush(batch))
        if urgent_only:
            return
        if batch := self._outbox.take(min(self._budget.available(), MAX_PUSH_BYTES)):
            await self._send(GossipPush(batch))

    async def _request_offered(self) -> None:
        for service, offer in list(self._peer_offer_by_service.items()):
            if self._pending_requests.should_request(offer):
                await self._send(RevisionRequest(service))
            elif not self._state.wants(offer):
                del self._peer_offer_by_service[service]

    async def _handle_heartbeat(self, _: Heartbeat) -> None:
        """Do nothing; ``on_message`` has already been called, as for any message."""

    async def _handle_push(self, content: GossipPush) -> None:
        for digest in content.digests:
            self._outbox.acknowledge(digest)
        self._state.merge(content.digests, self.peer)

    async def _handle_versions(self, content: GossipVersions) -> None:
        versions = {
            (topic, origin): version for topic, origin, version in content.versions
        }
        store = self._state.digests
        for digest in store.newer_than(versions, content.bucket, content.bucket_count):
            self._outbox.add(digest)
        self._wake.set()
        if content.reply_requested:
            own = store.versions(content.bucket, content.bucket_count)
            await self._send(
                _version_message(
                    own, content.bucket, content.bucket_count, reply_requested=False
                )
            )

    async def _handle_offers(self, content: RevisionOffer) -> None:
        for offer in content.offers:
            self._peer_offer_by_service[offer.service] = offer
        await self._request_offered()

    async def _handle_request(self, content: RevisionRequest) -> None:
        if content.service == VM_LIST_NAME:
            await self._send(VmListState(self._state.vm_list))
            return
        version = self._state.documents.get(content.service)
        if version is not None:
            await self._send(
                DocumentState(content.service, version.revision, version.text)
            )

    async def _handle_document(self, content: DocumentState) -> None:
        self._state.offer_document(
            content.service, content.revision, content.text, self.peer
        )

    async def _handle_vm_list(self, content: VmListState) -> None:
        self._state.offer_vm_list(content.vm_list, self.peer)

    def _queue_offer(self, offer: OfferedRevision) -> None:
        if self._peer_offer_by_service.get(offer.service) == offer:
            return  # The peer has offered this version itself.
        self._pending_offer_by_service[offer.service] = offer
        self._wake.set()

    def _queue_digest(self, update: DigestUpdate) -> None:
        if update.peer == self.peer:
            return
        self._outbox.add(update.digest)
        if self._outbox.has_urgent():
            self._wake.set()


def _version_message(
    versions: dict[tuple[str, str], int],
    bucket: int,
    bucket_count: int,
    reply_requested: bool,
) -> GossipVersions:
    rows = [(topic, origin, version) for (topic, origin), version in versions.items()]
    return GossipVersions(bucket, bucket_count, reply_requested, rows)
