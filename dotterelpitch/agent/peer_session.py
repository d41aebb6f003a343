"""One link to another agent while it lasts: heartbeats, gossip, documents."""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Any

from dotterelpitch.agent.state import AgentState, DigestNews
from dotterelpitch.documents.startup import OfferedRevision
from dotterelpitch.errors import ConnectionLostError
from dotterelpitch.membership.gossip import ByteBudget, Outbox
from dotterelpitch.membership.suspicion import HEARTBEAT_SECONDS, SILENCE_SECONDS
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

REQUEST_SECONDS = 1.0
MAX_PUSH_BYTES = 16 * 1024


class SentBytes:
    """Counts what an agent sends to its peers, by kind of message."""

    def __init__(self) -> None:
        self.bytes_by_kind: Counter[str] = Counter()
        self.messages_by_kind: Counter[str] = Counter()

    def add(self, content: Any) -> int:
        """Count one message and return its size in bytes."""
        size = len(encode_frame(1, content))
        self.bytes_by_kind[type(content).__name__] += size
        self.messages_by_kind[type(content).__name__] += 1
        return size


class PendingRequests:
    """Keeps an agent from asking several peers for one document at once."""

    def __init__(self, state: AgentState) -> None:
        self._state = state
        self._asked_at_by_offer: dict[OfferedRevision, float] = {}

    def should_ask(self, offer: OfferedRevision) -> bool:
        """Tell whether to ask now, and note it."""
        now = self._state.clock.monotonic()
        if not self._state.wants(offer):
            self._asked_at_by_offer.pop(offer, None)
            return False
        if now - self._asked_at_by_offer.get(offer, -REQUEST_SECONDS) < REQUEST_SECONDS:
            return False
        self._asked_at_by_offer[offer] = now
        return True


class PeerSession:
    """The exchange with one peer over one stream."""

    def __init__(
        self,
        peer: str,
        stream: Stream,
        state: AgentState,
        budget: ByteBudget,
        sent: SentBytes,
        requests: PendingRequests,
        heard: Callable[[], None],
    ) -> None:
        self.peer = peer
        self.stream = stream
        self._state = state
        self._budget = budget
        self._sent = sent
        self._requests = requests
        self._heard = heard
        self._outbox = Outbox()
        self._outgoing_offers: dict[str, OfferedRevision] = {}
        self._offer_by_service: dict[str, OfferedRevision] = {}
        self._wake = asyncio.Event()
        self._sequence = 0
        self._handler_by_type = {
            Heartbeat: self._take_heartbeat,
            GossipPush: self._take_push,
            GossipVersions: self._take_versions,
            RevisionOffer: self._take_offers,
            RevisionRequest: self._take_request,
            DocumentState: self._take_document,
            VmListState: self._take_vm_list,
        }

    async def run(self) -> None:
        """Exchange until the link ends.

        Raises TimeoutError when the peer is silent, and PeerError when it
        gives up the stream or the connection breaks.
        """
        subscriptions = [
            self._state.revisions.subscribe(self._queue_offer),
            self._state.digest_news.subscribe(self._queue_digest),
        ]
        for offer in self._state.offers():
            self._queue_offer(offer)
        sender = asyncio.create_task(self._send_for_ever())
        try:
            await self._receive_for_ever()
        finally:
            sender.cancel()
            await asyncio.gather(sender, return_exceptions=True)
            for subscription in subscriptions:
                subscription.dispose()

    async def compare_versions(self, bucket: int, buckets: int) -> None:
        """Start the anti-entropy exchange of one bucket of keys."""
        versions = self._state.digests.versions(bucket, buckets)
        await self._send(_version_message(versions, bucket, buckets, answer=True))

    async def compare_all_versions(self) -> None:
        """Compare every bucket, as at the start of a link."""
        buckets = self._state.digests.bucket_count()
        for bucket in range(buckets):
            await self.compare_versions(bucket, buckets)

    async def _send_for_ever(self) -> None:
        loop = asyncio.get_running_loop()
        beat_at = loop.time()
        while True:
            now = loop.time()
            beat_due = now >= beat_at
            if beat_due:
                beat_at = max(beat_at + HEARTBEAT_SECONDS, now)
                self._sequence += 1
                await self._send(Heartbeat(self._sequence))
                await self._request_wanted()
            await self._send_offers()
            await self._send_digests(urgent_only=not beat_due)
            self._wake.clear()
            try:
                async with asyncio.timeout(beat_at - loop.time()):
                    await self._wake.wait()
            except TimeoutError:
                continue

    async def _receive_for_ever(self) -> None:
        while True:
            async with asyncio.timeout(SILENCE_SECONDS):
                content = await self.stream.receive()
            if isinstance(content, End):
                raise ConnectionLostError("the peer ended the link")
            self._heard()
            await self._handler_by_type[type(content)](content)

    async def _send(self, content: Any) -> None:
        size = self._sent.add(content)
        if not isinstance(content, DocumentState | VmListState):
            self._budget.spend(size)
        await self.stream.send(content)

    async def _send_offers(self) -> None:
        if not self._outgoing_offers:
            return
        offers = list(self._outgoing_offers.values())
        self._outgoing_offers.clear()
        await self._send(RevisionOffer(offers))

    async def _send_digests(self, urgent_only: bool) -> None:
        """Push what waits; urgent digests may overdraw the byte budget."""
        while batch := self._outbox.take(MAX_PUSH_BYTES, urgent_only=True):
            await self._send(GossipPush(batch))
        if urgent_only:
            return
        if batch := self._outbox.take(min(self._budget.available(), MAX_PUSH_BYTES)):
            await self._send(GossipPush(batch))

    async def _request_wanted(self) -> None:
        for service, offer in list(self._offer_by_service.items()):
            if self._requests.should_ask(offer):
                await self._send(RevisionRequest(service))
            elif not self._state.wants(offer):
                del self._offer_by_service[service]

    async def _take_heartbeat(self, _: Heartbeat) -> None:
        """A heartbeat says no more than that the peer runs."""

    async def _take_push(self, content: GossipPush) -> None:
        for digest in content.digests:
            self._outbox.acknowledge(digest)
        self._state.merge(content.digests, self.peer)

    async def _take_versions(self, content: GossipVersions) -> None:
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
                    own, content.bucket, content.bucket_count, answer=False
                )
            )

    async def _take_offers(self, content: RevisionOffer) -> None:
        for offer in content.offers:
            self._offer_by_service[offer.service] = offer
        await self._request_wanted()

    async def _take_request(self, content: RevisionRequest) -> None:
        if content.service == VM_LIST_NAME:
            await self._send(VmListState(self._state.vm_list))
            return
        version = self._state.documents.get(content.service)
        if version is not None:
            await self._send(
                DocumentState(content.service, version.revision, version.text)
            )

    async def _take_document(self, content: DocumentState) -> None:
        self._state.take_document(
            content.service, content.revision, content.text, self.peer
        )

    async def _take_vm_list(self, content: VmListState) -> None:
        self._state.take_vm_list(content.vm_list, self.peer)

    def _queue_offer(self, offer: OfferedRevision) -> None:
        if self._offer_by_service.get(offer.service) == offer:
            return  # The peer has offered this very version itself.
        self._outgoing_offers[offer.service] = offer
        self._wake.set()

    def _queue_digest(self, news: DigestNews) -> None:
        if news.peer == self.peer:
            return
        self._outbox.add(news.digest)
        if self._outbox.has_urgent():
            self._wake.set()


def _version_message(
    versions: dict[tuple[str, str], int], bucket: int, buckets: int, answer: bool
) -> GossipVersions:
    rows = [(topic, origin, version) for (topic, origin), version in versions.items()]
    return GossipVersions(bucket, buckets, answer, rows)
