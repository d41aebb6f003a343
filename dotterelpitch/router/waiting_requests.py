"""Requests that wait in an owner's queue, each with the task that serves it."""

import asyncio

from dotterelpitch.routing.admission import QueueChanges
from dotterelpitch.routing.admission_request import Accepted, Rejected


class WaitingRequests:
    """Tells the serving task of a queued request when its turn has come."""

    def __init__(self) -> None:
        self._future_by_request: dict[str, asyncio.Future[Accepted | Rejected]] = {}

    def add(self, request_id: str) -> asyncio.Future[Accepted | Rejected]:
        """Return a future for the answer to a queued request."""
        future = asyncio.get_running_loop().create_future()
        self._future_by_request[request_id] = future
        return future

    def discard(self, request_id: str) -> None:
        """Forget a request that no longer waits."""
        self._future_by_request.pop(request_id, None)

    def resolve(self, changes: QueueChanges) -> None:
        """Hand out the answers in ``changes``."""
        for answer in [*changes.accepted, *changes.rejected]:
            future = self._future_by_request.pop(answer.request_id, None)
            if future is not None and not future.done():
                future.set_result(answer)
