"""Carries digests between routers by way of the agents' gossip."""

import asyncio
from collections.abc import Callable

from dotterelpitch.membership.gossip import GossipDigest
from dotterelpitch.membership.view import LINKS_TOPIC
from dotterelpitch.router.digest_publisher import DirectDigestPublisher
from dotterelpitch.router.router_client import RouterClient
from dotterelpitch.router.state import FleetState


class GossipDigestPublisher(DirectDigestPublisher):
    """Publishes by gossip, within the agent's byte budget.

    ``push`` still goes straight to every router: it is for what must be known
    at once and happens rarely, such as a request that has crashed an engine.
    """

    def __init__(
        self,
        vm: str,
        state: FleetState,
        exchanges: RouterClient,
        receive: Callable[[str, bytes], None],
    ) -> None:
        super().__init__(vm, state, exchanges)
        self._receive = receive
        state.digest_news.subscribe(self._take)

    def publish(self, topic: str, payload: bytes) -> None:
        task = asyncio.create_task(self._state.publish(topic, payload))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _take(self, digest: GossipDigest) -> None:
        if digest.topic != LINKS_TOPIC and digest.origin != self._vm:
            self._receive(digest.topic, digest.payload)
