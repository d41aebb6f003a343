"""The queue of one engine: priority, then deadline, fair between accounts."""

import heapq
import itertools
from collections.abc import Callable

from attrs import define, field

from dotterelpitch.routing.admission_request import NO_DEADLINE, AdmissionRequest

# An account may run ahead of the others by this much before it has to wait.
FAIRNESS_QUANTUM_TOKENS = 500.0


@define(order=True)
class _Item:
    deadline: float
    number: int
    offer: AdmissionRequest = field(order=False)
    gone: bool = field(default=False, order=False)


@define
class _Level:
    """All that waits at one priority, by account and length class."""

    heap_by_class: dict[tuple[str, bool], list[_Item]] = field(factory=dict)
    served_by_account: dict[str, float] = field(factory=dict)


class AdmissionQueue:
    """Orders waiting requests.

    A lower priority number always goes first. Inside a priority the earliest
    deadline goes first among the accounts that have not had much more than
    the others; an account's usage is counted in tokens from the time when it
    began to wait. Short and long requests of an account wait apart, so that a
    long one that does not fit yet does not block the short ones behind it.
    """

    def __init__(self, quantum: float = FAIRNESS_QUANTUM_TOKENS) -> None:
        self._quantum = quantum
        self._numbers = itertools.count()
        self._level_by_priority: dict[int, _Level] = {}
        self._item_by_request: dict[str, _Item] = {}
        self.weight = 0.0

    def __len__(self) -> int:
        return len(self._item_by_request)

    def push(self, offer: AdmissionRequest) -> None:
        """Add a request."""
        level = self._level_by_priority.setdefault(offer.priority, _Level())
        if offer.account not in _waiting_accounts(level):
            served = level.served_by_account
            floor = min(
                (served.get(a, 0.0) for a in _waiting_accounts(level)), default=0.0
            )
            served[offer.account] = max(served.get(offer.account, 0.0), floor)
        deadline = float("inf") if offer.deadline == NO_DEADLINE else offer.deadline
        item = _Item(deadline, next(self._numbers), offer)
        heap = level.heap_by_class.setdefault((offer.account, offer.short), [])
        heapq.heappush(heap, item)
        self._item_by_request[offer.request_id] = item
        self.weight += offer.weight

    def remove(self, request_id: str) -> AdmissionRequest | None:
        """Take a request out, wherever it stands."""
        item = self._item_by_request.pop(request_id, None)
        if item is None:
            return None
        item.gone = True
        self.weight -= item.offer.weight
        self._tidy(item.offer)
        return item.offer

    def pop(self, fits: Callable[[AdmissionRequest], bool]) -> AdmissionRequest | None:
        """Take out the first request that ``fits``, or return None."""
        for priority in sorted(self._level_by_priority):
            level = self._level_by_priority[priority]
            for item in self._heads(level):
                if fits(item.offer):
                    self.remove(item.offer.request_id)
                    served = level.served_by_account
                    account = item.offer.account
                    served[account] = served.get(account, 0.0) + item.offer.weight
                    return item.offer
        return None

    def pop_expired(self, now: float) -> list[AdmissionRequest]:
        """Take out the requests whose deadline is before ``now``."""
        late = [
            item.offer for item in self._item_by_request.values() if item.deadline < now
        ]
        for offer in late:
            self.remove(offer.request_id)
        return late

    def ahead_of(self, offer: AdmissionRequest) -> tuple[int, float]:
        """Return how many requests, and tokens, would go before ``offer``."""
        deadline = offer.deadline or float("inf")
        ahead = [
            item.offer.weight
            for item in self._item_by_request.values()
            if (item.offer.priority, item.deadline) <= (offer.priority, deadline)
        ]
        return len(ahead), sum(ahead)

    def offers(self) -> list[AdmissionRequest]:
        """Return all that waits, in no particular order."""
        return [item.offer for item in self._item_by_request.values()]

    def _heads(self, level: _Level) -> list[_Item]:
        served = level.served_by_account
        floor = min((served.get(a, 0.0) for a in _waiting_accounts(level)), default=0.0)
        limit = floor + self._quantum

        def order(item: _Item) -> tuple[float, _Item]:
            excess = served.get(item.offer.account, 0.0) - limit
            return max(0.0, excess), item

        return sorted((h[0] for h in level.heap_by_class.values()), key=order)

    def _tidy(self, offer: AdmissionRequest) -> None:
        level = self._level_by_priority[offer.priority]
        key = (offer.account, offer.short)
        heap = level.heap_by_class[key]
        while heap and heap[0].gone:
            heapq.heappop(heap)
        if not heap:
            del level.heap_by_class[key]
        if not level.heap_by_class:
            del self._level_by_priority[offer.priority]


def _waiting_accounts(level: _Level) -> set[str]:
    return {account for account, _ in level.heap_by_class}
