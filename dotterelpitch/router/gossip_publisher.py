"""Publishes digests through the agents' gossip."""

import asyncio
from collections.abc import Callable

from dotterelpitch.membership.gossip import GossipDigest
from dotterelpitch.membership.view import LINKS_TOPIC
from dotterelpitch.router.digest_publisher import DirectDigestPublisher
from dotterelpitch.router.router_client import RouterClient
from dotterelpitch.router.state import FleetState


class GossipDigestPublisher(DirectDigestPublisher):
    """Publishes digests by gossip, within the agent's byte budget.

    ``push`` still sends directly to every router. It is meant for rare digests that
    can't wait for gossip, such as that of a request that crashed an engine. Digests
    that arrive by gossip from other VMs are passed to ``receive``.
    """

    def __init__(
        self,
        vm: str,
        state: FleetState,
        router_client: RouterClient,
        receive: Callable[[str, bytes], None],
    ) -> None:
        super().__init__(vm, state, router_client)
        self._receive = receive
        state.digest_updates.subscribe(self._on_digest)

    def publish(self, topic: str, payload: bytes) -> None:
        task = asyncio.create_task(self._state.publish(topic, payload))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _on_digest(self, digest: GossipDigest) -> None:
        if digest.topic != LINKS_TOPIC and digest.origin != self._vm:
            self._receive(digest.topic, digest.payload)
