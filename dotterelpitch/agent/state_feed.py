"""Serves the agent's state to the routers of its VM, and takes in theirs.

A router that (re)connects first sends the documents and the list that it
remembers, so that an agent that was restarted alone learns them back.
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
    """Answers WatchState; one task per watching router."""

    def __init__(
        self,
        state: AgentState,
        router_has_reported: Callable[[], None],
        router_is_stopping: Callable[[], None],
    ) -> None:
        self._state = state
        self._router_has_reported = router_has_reported
        self._router_is_stopping = router_is_stopping
        self.watchers = 0
        self.without_watchers = asyncio.Event()
        self.without_watchers.set()

    async def handle(self, stream: Stream, _: WatchState) -> None:
        """Send what is known, StateComplete, and changes until the end."""
        self.watchers += 1
        self.without_watchers.clear()
        reports = asyncio.create_task(self._take_reports(stream))
        try:
            await self._state.settled.wait()
            await RouterFeed(self._state, stream).run(reports)
        finally:
            reports.cancel()
            self.watchers -= 1
            if not self.watchers:
                self.without_watchers.set()

    async def _take_reports(self, stream: Stream) -> None:
        """Take in what the router sends, until its stream ends."""
        take_by_type = {
            DocumentState: self._take_document,
            VmListState: self._take_vm_list,
            StateComplete: lambda _: self._router_has_reported(),
            PublishDigest: self._take_digest,
            RouterStopping: lambda _: self._router_is_stopping(),
        }
        try:
            while not isinstance(content := await stream.receive(), End):
                take_by_type[type(content)](content)
        except PeerError:
            return

    def _take_document(self, content: DocumentState) -> None:
        self._state.take_document(
            content.service, content.revision, content.text, ROUTER_SOURCE
        )

    def _take_digest(self, content: PublishDigest) -> None:
        if len(content.payload) > MAX_PAYLOAD_BYTES:
            log_event(
                Event.GOSSIP_CAPPED, topic=content.topic, bytes=len(content.payload)
            )
            return
        self._state.pacer.offer(content.topic, content.payload)
        self._state.publish_due()

    def _take_vm_list(self, content: VmListState) -> None:
        self._state.take_vm_list(content.vm_list, ROUTER_SOURCE)


class RouterFeed:
    """What one router has been sent, and the sending of the rest."""

    def __init__(self, state: AgentState, stream: Stream) -> None:
        self._state = state
        self._stream = stream
        self._changed = asyncio.Event()
        self._rank_by_service: dict[str, tuple[int, int]] = {}
        self._list_rank: tuple[int, int] | None = None
        self._membership: MembershipState | None = None
        self._digest_by_key: dict[tuple[str, str], GossipDigest] = {}

    async def run(self, reports: asyncio.Task) -> None:
        """Send everything, then each change, until ``reports`` ends."""
        reports.add_done_callback(lambda _: self._changed.set())
        for digest in self._state.digests.all():
            self._digest_by_key[digest.key] = digest
        subscriptions = [
            self._state.changes().subscribe(lambda _: self._changed.set()),
            self._state.digest_updates.subscribe(self._queue_digest),
        ]
        try:
            while not reports.done():
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
        if rank == self._list_rank:
            return False
        self._list_rank = rank
        await self._stream.send(VmListState(self._state.vm_list))
        return True

    async def _send_membership(self) -> bool:
        view = self._state.view.value
        membership = MembershipState(sorted(view.suspected), sorted(view.leaving))
        if membership == self._membership:
            return False
        self._membership = membership
        await self._stream.send(membership)
        return True

    async def _send_documents(self) -> bool:
        sent = False
        for service, version in self._state.documents.versions.items():
            if self._rank_by_service.get(service) == version.rank:
                continue
            self._rank_by_service[service] = version.rank
            await self._stream.send(
                DocumentState(service, version.revision, version.text)
            )
            sent = True
        return sent

    async def _send_digests(self) -> None:
        while self._digest_by_key:
            keys = list(self._digest_by_key)[:MAX_DIGESTS_PER_MESSAGE]
            batch = [self._digest_by_key.pop(key) for key in keys]
            await self._stream.send(DigestState(batch))

    def _queue_digest(self, news: DigestUpdate) -> None:
        self._digest_by_key[news.digest.key] = news.digest
