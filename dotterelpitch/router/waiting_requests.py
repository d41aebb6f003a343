"""Futures for the requests that wait in an owner's queue."""

import asyncio

from dotterelpitch.routing.admission import QueueChanges
from dotterelpitch.routing.admission_request import Accepted, Rejected


class WaitingRequests:
    """Wakes the task that serves a queued request once its admission is decided."""

    def __init__(self) -> None:
        self._future_by_request: dict[str, asyncio.Future[Accepted | Rejected]] = {}

    def add(self, request_id: str) -> asyncio.Future[Accepted | Rejected]:
        """Return a future for the admission decision on a queued request."""
        future = asyncio.get_running_loop().create_future()
        self._future_by_request[request_id] = future
        return future

    def discard(self, request_id: str) -> None:
        """Remove a request that no longer waits."""
        self._future_by_request.pop(request_id, None)

    def resolve(self, changes: QueueChanges) -> None:
        """Set the results of the requests that ``changes`` accepts or rejects."""
        for answer in [*changes.accepted, *changes.rejected]:
            future = self._future_by_request.pop(answer.request_id, None)
            if future is not None and not future.done():
                future.set_result(answer)
