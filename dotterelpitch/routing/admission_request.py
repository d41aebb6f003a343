"""What a caller's router asks of an admission owner, and the four answers."""

from enum import IntEnum

from attrs import field, frozen

from dotterelpitch.routing.engine_load import EngineLoad

NO_DEADLINE = 0.0
# Requests below this expected load count as short.
SHORT_TOKENS = 100.0


class AdmissionMode(IntEnum):
    """How much a request insists on an engine.

    SELECTIVE is the first round: the owner may point to another engine. BOUNDED comes
    after all candidates were asked; their loads then say what the mean is.
    QUEUE is the last resort: the request waits for its turn if need be.
    """

    SELECTIVE = 0
    BOUNDED = 1
    QUEUE = 2


@frozen
class AdmissionRequest:
    """One request offered to the owner of one engine.

    ``weight`` is the expected load in tokens and ``deadline`` an instant in
    Unix seconds. ``cold_ratio`` is the expected service time elsewhere over
    that here: above 1 where this engine holds the chat's prefix. ``observed`` has the
    loads that the owners asked before have answered with. ``alone`` asks for an
    engine that runs nothing else, because the request may crash it.
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
        """Whether another engine would do as well, so that this one may be picky."""
        return self.mode is AdmissionMode.SELECTIVE and not self.warm

    @property
    def short(self) -> bool:
        """Whether the request counts as short."""
        return self.weight < SHORT_TOKENS


@frozen
class Accepted:
    """The request runs now; ``load`` includes it, both are in tokens."""

    request_id: str
    load: float
    bound: float


@frozen
class Waiting:
    """The request is queued; an ``Accepted`` or a ``Rejected`` follows."""

    request_id: str
    ahead: int
    expected_wait: float


@frozen
class AtBound:
    """The engine can't take the request now; another engine should be tried."""

    request_id: str
    engine_load: EngineLoad
    bound: float
    expected_wait: float


@frozen
class Rejected:
    """The request won't run: ``retry_after`` is in seconds, 0 for never."""

    request_id: str
    reason: str
    retry_after: float = 0.0


Answer = Accepted | Waiting | AtBound | Rejected
