"""The messages of the programs; the numbers are the wire format.

1-9 are the connection's own and stand in ``frames``, 10-19 go between router
and agent, 20-39 between routers, 40-59 between agents, 60-69 serve operators,
70-79 go between gateways.
"""

from attrs import field

from dotterelpitch.documents.startup import OfferedRevision
from dotterelpitch.membership.gossip import GossipDigest
from dotterelpitch.membership.model import VmList
from dotterelpitch.protocol.codec import message
from dotterelpitch.routing.admission_request import AdmissionMode
from dotterelpitch.routing.engine_load import EngineLoad


@message(10)
class WatchState:
    """A router asks its agent for the fleet's state, now and on each change."""


@message(11)
class DocumentState:
    """One document in force, as JSON."""

    service: str
    revision: int
    text: str


@message(12)
class VmListState:
    """The VM list in use."""

    vm_list: VmList


@message(13)
class StateComplete:
    """All that the agent knew at the time of the watch has been sent."""


@message(14)
class MembershipState:
    """The listed VMs that can't be reached, and those that are leaving."""

    suspected: list[str] = field(factory=list)
    leaving: list[str] = field(factory=list)


@message(15)
class DigestState:
    """Digests from the gossip that are news to the router."""

    digests: list[GossipDigest] = field(factory=list)


@message(16)
class PublishDigest:
    """A router's new payload under ``topic``, for the gossip of the fleet."""

    topic: str
    payload: bytes


@message(17)
class RouterStopping:
    """The router begins a planned stop: its VM is to be told as leaving."""


@message(20)
class DispatchChat:
    """Asks the admission owner of ``engine`` to run a chat completion there.

    ``deadline`` is an instant in Unix seconds, 0 for none; ``weight`` is the
    expected load in tokens. ``first_event`` is the number of the first stream
    event that the caller still needs. ``cold_ratio`` is the expected service
    time elsewhere over that here. ``home`` tells that the engine is the
    chat's first choice, so that its owner may answer ChatAt. ``mode``
    tells whether the owner may point elsewhere, and ``alone`` asks to run it
    beside no other. ``list_revision`` and ``unreachable`` are what the sender
    knows of the VMs, and ``observed`` the loads with which other owners have
    answered.
    """

    request_id: str
    service: str
    engine: str
    account: str
    priority: int
    deadline: float
    weight: float
    chat: str
    fingerprint: str
    first_event: int
    cold_ratio: float
    home: bool
    mode: AdmissionMode
    alone: bool
    list_revision: int
    unreachable: list[str]
    observed: list[EngineLoad]
    body: bytes


@message(21)
class Admitted:
    """The request has a place at the engine; the answer follows.

    ``load`` includes the request; it and ``bound`` are in tokens.
    """

    queued_seconds: float
    load: float
    bound: float


@message(22)
class Full:
    """The engine is at its bound, which is in tokens.

    ``expected_wait`` is in seconds, for a request that would queue.
    """

    engine_load: EngineLoad
    bound: float
    expected_wait: float


@message(23)
class Refused:
    """The owner won't run the request, and it hasn't reached an endpoint."""

    reason: str
    retry_after: float


@message(24)
class ResponseHead:
    """The endpoint's status line and headers; Data and End follow."""

    status: int
    headers: list[tuple[str, str]] = field(factory=list)


@message(25)
class DispatchFailed:
    """The endpoint broke off after the request may have reached it.

    ``delivered`` tells whether any byte of the request can have arrived, and
    ``answered`` that the endpoint itself said that it failed.
    """

    reason: str
    delivered: bool
    answered: bool = False


@message(26)
class DispatchPlain:
    """Asks the owner of a plain endpoint to make one idempotent call there."""

    request_id: str
    service: str
    endpoint: str
    account: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes


@message(40)
class OpenPeerLink:
    """An agent opens the one long stream of a link to another agent.

    Both sides then send Heartbeat, gossip and revisions on it until it ends.
    """

    failure_domain: str


@message(41)
class Heartbeat:
    """The sender runs; one per second on each link."""

    sequence: int


@message(42)
class GossipPush:
    """Digests that the sender believes to be news to the receiver."""

    digests: list[GossipDigest] = field(factory=list)


@message(43)
class GossipVersions:
    """The sender's version vector of one bucket: topic, origin, version.

    The receiver pushes what it has above these versions. When ``answer`` is
    set it also sends its own vector of the bucket, with ``answer`` unset.
    """

    bucket: int
    bucket_count: int
    reply_requested: bool
    versions: list[tuple[str, str, int]] = field(factory=list)


@message(44)
class RevisionOffer:
    """What the sender has in force; the VM list has the service name ""."""

    offers: list[OfferedRevision] = field(factory=list)


@message(45)
class RevisionRequest:
    """Asks for the offered content: DocumentState or VmListState follows."""

    service: str


@message(46)
class AskRevisions:
    """A starting process asks a peer for all that it has in force."""


@message(47)
class Revisions:
    """The answer; a peer that has itself only just started isn't settled."""

    settled: bool
    offers: list[OfferedRevision] = field(factory=list)
