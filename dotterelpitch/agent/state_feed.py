"""Streams the agent's state to the routers of its VM, and receives theirs.

After connecting, a router first sends the documents and the VM list that it has,
so that an agent that was restarted alone recovers them.
"""

import asyncio
from collections.abc import Callable

from dotterelpitch.agent.state import AgentState, DigestUpdate
from dotterelpitch.errors import PeerError
from dotterelpitch.membership.gossip import MAX_PAYLOAD_BYTES, GossipDigest
from dotterelpitch.protocol.frames import End
from dotterelpitch.protocol.messages import (
    DigestState,
    DocumentState,
    MembershipState,
    PublishDigest,
    RouterStopping,
    StateComplete,
    VmListState,
    WatchState,
)
from dotterelpitch.protocol.stream import Stream
from dotterelpitch.telemetry.events import Event, log_event

ROUTER_SOURCE = "local router"
MAX_DIGESTS_PER_MESSAGE = 256


class StateFeed:
    """Handles WatchState streams, one task per watching router.

    ``watcher_count`` is the number of connected routers; ``no_watchers`` is set
    while it is 0. ``on_router_reported`` is called when a router has sent its
    complete state, ``on_router_stopping`` when it starts to stop.
    """

    def __init__(
        self,
        state: AgentState,
        on_router_reported: Callable[[], None],
        on_router_stopping: Callable[[], None],
    ) -> None:
        self._state = state
        self._on_router_reported = on_router_reported
        self._on_router_stopping = on_router_stopping
        self.watcher_count = 0
        self.no_watchers = asyncio.Event()
        self.no_watchers.set()

    async def handle(self, stream: Stream, _: WatchState) -> None:
        """Send the state, StateComplete, and then each change until the stream ends."""
        self.watcher_count += 1
        self.no_watchers.clear()
        receiver = asyncio.create_task(self._receive_reports(stream))
        try:
            await self._state.settled.wait()
            await RouterFeed(self._state, stream).run(receiver)
        finally:
            receiver.cancel()
            self.watcher_count -= 1
            if not self.watcher_count:
                self.no_watchers.set()

    async def _receive_reports(self, stream: Stream) -> None:
        """Apply what the router sends, until its stream ends."""
        handler_by_type = {
            DocumentState: self._handle_document,
            VmListState: self._handle_vm_list,
            StateComplete: lambda _: self._on_router_reported(),
            PublishDigest: self._handle_digest,
            RouterStopping: lambda _: self._on_router_stopping(),
        }
        try:
            while not isinstance(content := await stream.receive(), End):
                handler_by_type[type(content)](content)
        except PeerError:
            return

    def _handle_document(self, content: DocumentState) -> None:
        self._state.offer_document(
            content.service, content.revision, content.text, ROUTER_SOURCE
        )

    def _handle_digest(self, content: PublishDigest) -> None:
        if len(content.payload) > MAX_PAYLOAD_BYTES:
            log_event(
                Event.GOSSIP_CAPPED, topic=content.topic, bytes=len(content.payload)
            )
            return
        self._state.pacer.offer(content.topic, content.payload)
        self._state.publish_due()

    def _handle_vm_list(self, content: VmListState) -> None:
        self._state.offer_vm_list(content.vm_list, ROUTER_SOURCE)


class RouterFeed:
    """Sends one router the state that it hasn't received yet.

    Tracks what was sent, so that each change is sent once.
    """

    def __init__(self, state: AgentState, stream: Stream) -> None:
        self._state = state
        self._stream = stream
        self._changed = asyncio.Event()
        self._sent_rank_by_service: dict[str, tuple[int, int]] = {}
        self._sent_list_rank: tuple[int, int] | None = None
        self._sent_membership: MembershipState | None = None
        self._pending_digest_by_key: dict[tuple[str, str], GossipDigest] = {}

    async def run(self, receiver: asyncio.Task) -> None:
        """Send the complete state, then each change, until ``receiver`` is done."""
        receiver.add_done_callback(lambda _: self._changed.set())
        for digest in self._state.digests.all():
            self._pending_digest_by_key[digest.key] = digest
        subscriptions = [
            self._state.changes().subscribe(lambda _: self._changed.set()),
            self._state.digest_updates.subscribe(self._queue_digest),
        ]
        try:
            while not receiver.done():
                self._changed.clear()
                await self._send_changes()
                await self._changed.wait()
        finally:
            for subscription in subscriptions:
                subscription.dispose()

    async def _send_changes(self) -> None:
        sent = [
            await self._send_vm_list(),
            await self._send_membership(),
            await self._send_documents(),
        ]
        await self._send_digests()
        if any(sent):
            await self._stream.send(StateComplete())

    async def _send_vm_list(self) -> bool:
        rank = (self._state.vm_list.revision, self._state.vm_lists.checksum)
        if rank == self._sent_list_rank:
            return False
        self._sent_list_rank = rank
        await self._stream.send(VmListState(self._state.vm_list))
        return True

    async def _send_membership(self) -> bool:
        view = self._state.view.value
        membership = MembershipState(sorted(view.suspected), sorted(view.leaving))
        if membership == self._sent_membership:
            return False
        self._sent_membership = membership
        await self._stream.send(membership)
        return True

    async def _send_documents(self) -> bool:
        sent = False
        for service, version in self._state.documents.versions.items():
            if self._sent_rank_by_service.get(service) == version.rank:
                continue
            self._sent_rank_by_service[service] = version.rank
            await self._stream.send(
                DocumentState(service, version.revision, version.text)
            )
            sent = True
        return sent

    async def _send_digests(self) -> None:
        while self._pending_digest_by_key:
            keys = list(self._pending_digest_by_key)[:MAX_DIGESTS_PER_MESSAGE]
            batch = [self._pending_digest_by_key.pop(key) for key in keys]
            await self._stream.send(DigestState(batch))

    def _queue_digest(self, update: DigestUpdate) -> None:
        self._pending_digest_by_key[update.digest.key] = update.digest
