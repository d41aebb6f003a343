"""The queue of one engine, by priority and deadline, fair between accounts."""

import heapq
import itertools
from collections.abc import Callable

from attrs import define, field

from dotterelpitch.routing.admission_request import NO_DEADLINE, AdmissionRequest

# An account that has been served this much more than the least served one has
# to wait for the others.
FAIRNESS_QUANTUM_TOKENS = 500.0


@define(order=True)
class _QueuedRequest:
    deadline: float
    sequence_number: int
    request: AdmissionRequest = field(order=False)
    removed: bool = field(default=False, order=False)


@define
class _PriorityLevel:
    """The requests of one priority, in one heap per class.

    A class is an account and whether its requests are short.
    """

    heap_by_class: dict[tuple[str, bool], list[_QueuedRequest]] = field(factory=dict)
    served_by_account: dict[str, float] = field(factory=dict)


class AdmissionQueue:
    """A priority queue of requests that is fair between accounts.

    A lower priority number always goes first. Within a priority, the earliest
    deadline goes first, but accounts that have been served ``quantum`` tokens
    more than the least served one come after the others. What an account has
    been served is counted from the time when it joined the queue. Short and
    long requests of an account are queued separately, so that a long one that
    doesn't fit yet doesn't block the short ones behind it.

    ``weight`` is the sum of the weights of all queued requests, in tokens.
    """

    def __init__(self, quantum: float = FAIRNESS_QUANTUM_TOKENS) -> None:
        self._quantum = quantum
        self._sequence_numbers = itertools.count()
        self._level_by_priority: dict[int, _PriorityLevel] = {}
        self._queued_by_request: dict[str, _QueuedRequest] = {}
        self.weight = 0.0

    def __len__(self) -> int:
        return len(self._queued_by_request)

    def push(self, request: AdmissionRequest) -> None:
        """Add a request.

        An account that joins the queue counts as served at least as much as the
        least served waiting one, so time without requests gives it no advantage.
        """
        level = self._level_by_priority.setdefault(request.priority, _PriorityLevel())
        if request.account not in _waiting_accounts(level):
            served = level.served_by_account
            floor = min(
                (served.get(a, 0.0) for a in _waiting_accounts(level)), default=0.0
            )
            served[request.account] = max(served.get(request.account, 0.0), floor)
        deadline = float("inf") if request.deadline == NO_DEADLINE else request.deadline
        queued = _QueuedRequest(deadline, next(self._sequence_numbers), request)
        heap = level.heap_by_class.setdefault((request.account, request.short), [])
        heapq.heappush(heap, queued)
        self._queued_by_request[request.request_id] = queued
        self.weight += request.weight

    def remove(self, request_id: str) -> AdmissionRequest | None:
        """Remove a request and return it, or None if it isn't queued."""
        queued = self._queued_by_request.pop(request_id, None)
        if queued is None:
            return None
        queued.removed = True
        self.weight -= queued.request.weight
        self._drop_removed(queued.request)
        return queued.request

    def pop(self, fits: Callable[[AdmissionRequest], bool]) -> AdmissionRequest | None:
        """Remove and return the first request that ``fits``, or None."""
        for priority in sorted(self._level_by_priority):
            level = self._level_by_priority[priority]
            for queued in self._heads(level):
                if fits(queued.request):
                    self.remove(queued.request.request_id)
                    served = level.served_by_account
                    account = queued.request.account
                    served[account] = served.get(account, 0.0) + queued.request.weight
                    return queued.request
        return None

    def pop_expired(self, now: float) -> list[AdmissionRequest]:
        """Remove and return the requests whose deadline is before ``now``."""
        expired = [
            queued.request
            for queued in self._queued_by_request.values()
            if queued.deadline < now
        ]
        for request in expired:
            self.remove(request.request_id)
        return expired

    def ahead_of(self, request: AdmissionRequest) -> tuple[int, float]:
        """Return the number and total weight of the requests before ``request``."""
        deadline = request.deadline or float("inf")
        ahead = [
            queued.request.weight
            for queued in self._queued_by_request.values()
            if (queued.request.priority, queued.deadline)
            <= (request.priority, deadline)
        ]
        return len(ahead), sum(ahead)

    def requests(self) -> list[AdmissionRequest]:
        """Return all queued requests, in no particular order."""
        return [queued.request for queued in self._queued_by_request.values()]

    def _heads(self, level: _PriorityLevel) -> list[_QueuedRequest]:
        """Return the first request of each class, in the order of admission."""
        served = level.served_by_account
        floor = min((served.get(a, 0.0) for a in _waiting_accounts(level)), default=0.0)
        limit = floor + self._quantum

        def sort_key(queued: _QueuedRequest) -> tuple[float, _QueuedRequest]:
            excess = served.get(queued.request.account, 0.0) - limit
            return max(0.0, excess), queued

        return sorted((h[0] for h in level.heap_by_class.values()), key=sort_key)

    def _drop_removed(self, request: AdmissionRequest) -> None:
        """Drop removed entries at the head of a heap, and the heap if it is empty."""
        level = self._level_by_priority[request.priority]
        key = (request.account, request.short)
        heap = level.heap_by_class[key]
        while heap and heap[0].removed:
            heapq.heappop(heap)
        if not heap:
            del level.heap_by_class[key]
        if not level.heap_by_class:
            del self._level_by_priority[request.priority]


def _waiting_accounts(level: _PriorityLevel) -> set[str]:
    return {account for account, _ in level.heap_by_class}
