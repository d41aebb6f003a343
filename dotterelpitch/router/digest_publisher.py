"""Publishes this router's digests to the other routers."""

import asyncio
from abc import ABC, abstractmethod

from dotterelpitch.errors import PeerError, ProtocolError
from dotterelpitch.membership.model import Vm
from dotterelpitch.protocol.digest_messages import DigestPush
from dotterelpitch.protocol.frames import End
from dotterelpitch.router.router_client import RouterClient
from dotterelpitch.router.state import FleetState

PUSH_TIMEOUT_SECONDS = 1.0


class DigestPublisher(ABC):
    """Publishes this router's digests to all other routers."""

    @abstractmethod
    def publish(self, topic: str, payload: bytes) -> None:
        """Send a payload in the background."""

    @abstractmethod
    async def push(self, topic: str, payload: bytes) -> None:
        """Send a payload, and return once the reachable routers have received it."""


class DirectDigestPublisher(DigestPublisher):
    """Sends each digest directly to every listed router."""

    def __init__(self, vm: str, state: FleetState, router_client: RouterClient) -> None:
        self._vm = vm
        self._state = state
        self._router_client = router_client
        self._tasks: set[asyncio.Task] = set()

    def publish(self, topic: str, payload: bytes) -> None:
        task = asyncio.create_task(self.push(topic, payload))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def push(self, topic: str, payload: bytes) -> None:
        message = DigestPush(topic, self._vm, payload)
        others = [
            vm
            for vm in self._state.view.vm_list.live_entry_vms()
            if vm.name != self._vm and vm.router_address
        ]
        await asyncio.gather(*(self._send(vm, message) for vm in others))

    async def _send(self, vm: Vm, message: DigestPush) -> None:
        try:
            async with asyncio.timeout(PUSH_TIMEOUT_SECONDS):
                stream = await self._router_client.open_stream(vm, message)
                await stream.finish()
                while not isinstance(await stream.receive(), End):
                    pass
        except (PeerError, ProtocolError, TimeoutError):
            pass  # An unreachable router gets a later digest, or none.
