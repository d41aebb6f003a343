"""A pool of connections to other processes, opened on demand and shared."""

import asyncio

from dotterelpitch.protocol.connection import Connection, Handler, dial
from dotterelpitch.protocol.handshake import Identity


class PeerPool:
    """Holds one open connection per address; concurrent callers share one dial."""

    def __init__(self, identity: Identity, handler: Handler | None = None) -> None:
        self._identity = identity
        self._handler = handler
        self._dial_by_address: dict[str, asyncio.Task[Connection]] = {}

    async def connection(self, address: str) -> Connection:
        """Return an open connection to ``address`` (``IP:port``).

        Raises PeerUnreachableError when none can be opened within the connect and
        handshake timeouts, and AuthenticationError when the shared keys or the
        protocol versions differ.
        """
        task = self._dial_by_address.get(address)
        if task is None or _is_unusable(task):
            task = asyncio.ensure_future(dial(address, self._identity, self._handler))
            task.add_done_callback(_retrieve_exception)
            self._dial_by_address[address] = task
        return await asyncio.shield(task)

    def close(self) -> None:
        """Close all connections."""
        for task in self._dial_by_address.values():
            if not task.done():
                task.cancel()
            elif not _is_unusable(task):
                task.result().close()


def _is_unusable(task: asyncio.Task[Connection]) -> bool:
    if not task.done():
        return False
    if task.cancelled() or task.exception() is not None:
        return True
    return task.result().closed.is_set()


def _retrieve_exception(task: asyncio.Task[Connection]) -> None:
    """Retrieve the exception of a failed dial, so that asyncio doesn't log it."""
    if not task.cancelled():
        task.exception()
