"""Requests for admission to an engine, and the answers of its admission owner."""

from enum import IntEnum

from attrs import field, frozen

from dotterelpitch.routing.engine_load import EngineLoad

NO_DEADLINE = 0.0
# Requests with a smaller expected load count as short.
SHORT_REQUEST_TOKENS = 100.0


class AdmissionMode(IntEnum):
    """What the owner may do with a request that doesn't fit well.

    SELECTIVE is for the first round over the candidates: the owner may turn
    the request away in favor of a less loaded engine, or queue it if the
    stalling policy prefers that to a cold start elsewhere. BOUNDED follows
    when all candidates have been asked: the owner admits within the load
    bound, computed with the loads that the candidates have reported. QUEUE is
    the last resort: a request that doesn't fit is queued.
    """

    SELECTIVE = 0
    BOUNDED = 1
    QUEUE = 2


@frozen
class AdmissionRequest:
    """A request that asks the owner of an engine for admission.

    ``weight`` is the expected load in tokens and ``deadline`` is in Unix
    seconds. ``cold_ratio`` is the expected service time elsewhere divided by
    that on this engine: above 1 if this engine holds the chat's prefix.
    ``observed`` holds the loads reported by owners that were asked earlier.
    ``alone`` requires an engine that runs nothing else, because the request
    may crash it. ``fingerprint`` identifies the content of the request.
    """

    request_id: str
    account: str
    weight: float
    priority: int = 1
    deadline: float = NO_DEADLINE
    cold_ratio: float = 1.0
    mode: AdmissionMode = AdmissionMode.SELECTIVE
    alone: bool = False
    fingerprint: str = ""
    observed: tuple[EngineLoad, ...] = field(default=())

    @property
    def warm(self) -> bool:
        """Whether this engine is expected to hold the chat's prefix."""
        return self.cold_ratio > 1.0

    @property
    def steerable(self) -> bool:
        """Whether the owner may turn it away in favor of a less loaded engine."""
        return self.mode is AdmissionMode.SELECTIVE and not self.warm

    @property
    def short(self) -> bool:
        """Whether the request counts as short."""
        return self.weight < SHORT_REQUEST_TOKENS


@frozen
class Accepted:
    """The request may run now.

    ``load`` is the engine's load including the request, and ``bound`` its load
    bound; both are in tokens.
    """

    request_id: str
    load: float
    bound: float


@frozen
class Waiting:
    """The request is queued; an ``Accepted`` or a ``Rejected`` follows.

    ``ahead`` is the number of queued requests before it, and ``expected_wait``
    is in seconds.
    """

    request_id: str
    ahead: int
    expected_wait: float


@frozen
class AtBound:
    """The engine can't take the request now; another engine should be tried.

    ``bound`` is the load bound in tokens, and ``expected_wait`` the time in
    seconds that the request would spend in the queue.
    """

    request_id: str
    engine_load: EngineLoad
    bound: float
    expected_wait: float


@frozen
class Rejected:
    """The request won't run here.

    ``retry_after`` is the advised delay before a retry in seconds, 0 for none.
    """

    request_id: str
    reason: str
    retry_after: float = 0.0


AdmissionAnswer = Accepted | Waiting | AtBound | Rejected
