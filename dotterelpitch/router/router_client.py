"""Opens streams to the routers of other VMs and to this router itself."""

import asyncio
from typing import Any

from dotterelpitch.errors import PeerError, ProtocolError
from dotterelpitch.membership.model import Vm
from dotterelpitch.protocol.local_stream import LocalStream, local_stream_pair
from dotterelpitch.protocol.peer_pool import PeerPool
from dotterelpitch.protocol.server import HandlerTable
from dotterelpitch.protocol.stream import Stream
from dotterelpitch.telemetry.events import Event, log_event


class RouterClient:
    """Opens streams to the routers of given VMs.

    A stream to this router's own VM runs its handlers within the process.
    """

    def __init__(self, vm_name: str, peers: PeerPool, handlers: HandlerTable) -> None:
        self._vm_name = vm_name
        self._peers = peers
        self._handlers = handlers
        self._tasks: set[asyncio.Task] = set()

    async def open_stream(self, vm: Vm, request: Any) -> Stream | LocalStream:
        """Return a stream whose first message is ``request``.

        Raises PeerUnreachableError when no connection could be opened, so that
        nothing can have been sent.
        """
        if vm.name == self._vm_name:
            return self._open_local(request)
        connection = await self._peers.connection(vm.router_address)
        return connection.open_stream(request)

    def notify(self, vm: Vm, message: Any) -> None:
        """Send ``message`` to a router in the background; delivery isn't guaranteed."""
        task = asyncio.create_task(self._send_notification(vm, message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_notification(self, vm: Vm, message: Any) -> None:
        try:
            stream = await self.open_stream(vm, message)
            await stream.finish()
        except (PeerError, ProtocolError) as error:
            log_event(Event.PEER_LOST, peer=vm.name, reason=str(error))

    def _open_local(self, request: Any) -> LocalStream:
        caller_end, handler_end = local_stream_pair()
        task = asyncio.create_task(self._run_local(handler_end, request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return caller_end

    async def _run_local(self, stream: LocalStream, request: Any) -> None:
        try:
            await self._handlers.handle(stream, request)
            await stream.finish()
        except PeerError as error:
            stream.reset("lost", str(error))
        except Exception as error:
            log_event(Event.STREAM_FAILED, peer=self._vm_name, reason=repr(error))
            stream.reset("internal", type(error).__name__)
