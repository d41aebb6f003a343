"""The inputs and outcomes of recent routing decisions, kept to explain them."""

from collections import OrderedDict

from attrs import define, field, frozen

DEFAULT_CAPACITY = 2000


@frozen
class Alternative:
    """An engine whose owner was asked for admission, and the owner's answer.

    ``answer`` is a keyword such as "full", and ``reason`` explains it. ``load``
    and ``bound`` are in tokens, ``expected_wait`` is in seconds.
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
    """The inputs and the result of choosing an engine for one request.

    ``at`` and ``deadline`` are in Unix seconds, ``weight`` is in tokens. The
    revisions are those of the service document and the VM list in use.
    ``cold_ratio`` is as in ``AdmissionRequest``, ``account_share`` the share of the
    account's limits that this router enforces, and ``verdict`` the value of a
    ``CrashVerdict``. ``order`` is the rendezvous order of the engines, without the
    ``suspects`` and the leaving ones. ``fell_back`` means that all engines were
    suspects.
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
    """Keeps the ``capacity`` newest decisions by request id.

    >>> history = DecisionHistory(capacity=1)
    >>> history.add(Decision("r1", "svc", "acc", "chat", 0.0))
    >>> history.add(Decision("r2", "svc", "acc", "chat", 0.0))
    >>> history.get("r1") is None, history.get("r2").chat
    (True, 'chat')
    """

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        self._capacity = capacity
        self._decision_by_request: OrderedDict[str, Decision] = OrderedDict()

    def add(self, decision: Decision) -> None:
        """Add a decision, which may still be incomplete; evict the oldest if full."""
        self._decision_by_request[decision.request_id] = decision
        if len(self._decision_by_request) > self._capacity:
            self._decision_by_request.popitem(last=False)

    def get(self, request_id: str) -> Decision | None:
        """Return the decision on a request, or None if it is no longer kept."""
        return self._decision_by_request.get(request_id)
