"""The messages between agents and routers, and the ranges of message numbers.

The numbers are part of the wire format: 1-9 are the frames of the connection
itself, in ``frames``; 10-19 are sent between router and agent, 20-39 between
routers, and 40-49 between agents; 50-59 are routers' digests and messages about
moved chats, 60-69 are for operators' commands, and 70-79 are sent between gateways.
"""

from attrs import field

from dotterelpitch.documents.startup_gate import OfferedRevision
from dotterelpitch.membership.gossip import GossipDigest
from dotterelpitch.membership.model import VmList
from dotterelpitch.protocol.codec import message
from dotterelpitch.routing.admission_request import AdmissionMode
from dotterelpitch.routing.engine_load import EngineLoad


@message(10)
class WatchState:
    """Subscribes a router to the fleet state of its agent.

    The agent sends the current state and then each change.
    """


@message(11)
class DocumentState:
    """A document revision in force; ``text`` is JSON."""

    service: str
    revision: int
    text: str


@message(12)
class VmListState:
    """The VM list in use."""

    vm_list: VmList


@message(13)
class StateComplete:
    """Ends the agent's initial snapshot; changes follow."""


@message(14)
class MembershipState:
    """The listed VMs that are unreachable and those that are leaving."""

    suspected: list[str] = field(factory=list)
    leaving: list[str] = field(factory=list)


@message(15)
class DigestState:
    """Gossip digests that are new to the router."""

    digests: list[GossipDigest] = field(factory=list)


@message(16)
class PublishDigest:
    """Publishes a router's new payload for ``topic`` by gossip."""

    topic: str
    payload: bytes


@message(17)
class RouterStopping:
    """The router begins a planned stop; the agent reports its VM as leaving."""


@message(20)
class DispatchChat:
    """Requests a chat completion on ``engine`` from its admission owner.

    ``deadline`` is in Unix seconds, 0 for none; ``weight`` is the expected load in
    tokens. ``first_event`` is the number of the first stream event that the caller
    still needs. ``cold_ratio`` is the expected service time on another engine
    divided by that on this one. ``home`` is set when the engine is the first choice
    for the chat, in which case its owner may reply ChatAt. ``mode`` determines
    whether the owner may redirect the request to another engine, and ``alone``
    requires that no other request runs on the engine at the same time.
    ``list_revision`` and ``unreachable`` are the sender's view of the VMs, and
    ``observed`` holds the loads that other owners have replied with.
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
    """The request is admitted to the engine; the response follows.

    ``load`` includes the request; ``load`` and ``bound`` are in tokens.
    """

    queued_seconds: float
    load: float
    bound: float


@message(22)
class Full:
    """The engine is at its load bound.

    ``bound`` is in tokens. ``expected_wait`` is the time in seconds that the request
    would wait in the queue.
    """

    engine_load: EngineLoad
    bound: float
    expected_wait: float


@message(23)
class Refused:
    """The owner rejects the request, which hasn't been sent to an endpoint.

    ``retry_after`` is in seconds.
    """

    reason: str
    retry_after: float


@message(24)
class ResponseHead:
    """The endpoint's status code and headers; Data and End follow."""

    status: int
    headers: list[tuple[str, str]] = field(factory=list)


@message(25)
class DispatchFailed:
    """The call to the endpoint failed after the request may have reached it.

    ``delivered`` is set when any byte of the request may have arrived, and
    ``answered`` when the endpoint itself reported the failure.
    """

    reason: str
    delivered: bool
    answered: bool = False


@message(26)
class DispatchPlain:
    """Requests one idempotent call to a plain endpoint from its owner."""

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
    """Opens the one long-lived stream of a link between two agents.

    Both sides then send heartbeats, gossip, and revision offers on it.
    """

    failure_domain: str


@message(41)
class Heartbeat:
    """Signals that the sender is running; sent once per second on each link."""

    sequence: int


@message(42)
class GossipPush:
    """Digests that the receiver is not known to have."""

    digests: list[GossipDigest] = field(factory=list)


@message(43)
class GossipVersions:
    """The sender's version vector of one bucket of topics.

    ``versions`` holds (topic, origin, version). The receiver pushes its digests with
    higher versions. When ``reply_requested`` is set, it also sends its own vector of
    the bucket, with ``reply_requested`` unset.
    """

    bucket: int
    bucket_count: int
    reply_requested: bool
    versions: list[tuple[str, str, int]] = field(factory=list)


@message(44)
class RevisionOffer:
    """The revisions in force at the sender; the VM list has the service name ""."""

    offers: list[OfferedRevision] = field(factory=list)


@message(45)
class RevisionRequest:
    """Requests an offered revision; the reply is DocumentState or VmListState."""

    service: str


@message(46)
class AskRevisions:
    """Requests all revisions in force at a peer; sent by a starting process."""


@message(47)
class Revisions:
    """Reply to AskRevisions; ``settled`` is unset while the peer itself is starting."""

    settled: bool
    offers: list[OfferedRevision] = field(factory=list)
