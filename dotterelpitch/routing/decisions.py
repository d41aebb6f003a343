"""Keeps the inputs and alternatives of recent decisions, for explanations."""

from collections import OrderedDict

from attrs import define, field, frozen

DEFAULT_CAPACITY = 2000


@frozen
class Alternative:
    """One engine that was asked, with its owner's answer.

    ``load``, ``bound`` and ``weight`` are in tokens, ``expected_wait`` in
    seconds; ``answer`` is one word, ``reason`` says more.
    """

    engine: str
    owner: str
    answer: str
    reason: str = ""
    load: float = 0.0
    bound: float = 0.0
    expected_wait: float = 0.0


@define
class Decision:
    """Everything that went into the choice of an engine for one request.

    ``at`` and ``deadline`` are in Unix seconds. ``order`` is the rendezvous
    order of the engines, without the ``suspects`` and the leaving ones.
    """

    request_id: str
    service: str
    account: str
    chat: str
    at: float
    weight: float = 0.0
    deadline: float = 0.0
    priority: int = 0
    document_revision: int = 0
    list_revision: int = 0
    cold_ratio: float = 1.0
    account_share: float = 1.0
    verdict: str = "free"
    fell_back: bool = False
    order: list[str] = field(factory=list)
    suspects: list[str] = field(factory=list)
    alternatives: list[Alternative] = field(factory=list)
    chosen: str = ""
    outcome: str = ""


class DecisionHistory:
    """The newest decisions by request id; the oldest make room.

    >>> ring = DecisionHistory(capacity=1)
    >>> ring.add(Decision("r1", "svc", "acc", "chat", 0.0))
    >>> ring.add(Decision("r2", "svc", "acc", "chat", 0.0))
    >>> ring.get("r1") is None, ring.get("r2").chat
    (True, 'chat')
    """

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        self._capacity = capacity
        self._decision_by_request: OrderedDict[str, Decision] = OrderedDict()

    def add(self, decision: Decision) -> None:
        """Keep a decision, also one that is still being made."""
        self._decision_by_request[decision.request_id] = decision
        if len(self._decision_by_request) > self._capacity:
            self._decision_by_request.popitem(last=False)

    def get(self, request_id: str) -> Decision | None:
        """Return the decision on one request, if it is still kept."""
        return self._decision_by_request.get(request_id)
