"""The messages of keyed calls and of leases, numbers 30 to 39."""

from attrs import field, frozen

from dotterelpitch.protocol.codec import message
from dotterelpitch.requests.lease_messages import LeaseProposal, LeaseReply, Predecessor


@message(30)
class DispatchOnce:
    """Asks a slot's owner to run one keyed call, or to repeat its answer.

    It is safe to send it again, to the same or another owner.
    """

    request_id: str
    service: str
    account: str
    key: str
    fingerprint: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes


@message(31)
class OnceAnswer:
    """The final answer of a key; its body follows as Data and End.

    ``replayed`` tells that an earlier call had the answer first.
    """

    outcome: str
    status: int
    headers: list[tuple[str, str]]
    body_kept: bool
    reason: str
    replayed: bool


@message(32)
class OnceRefused:
    """The owner knows that it must not run the key; ``decision`` says why."""

    decision: str


@message(33)
class NotOwner:
    """The receiver holds no lease on the key's slot; ``holder`` may."""

    holder: str


@message(34)
class LeaseRequest:
    """Asks for promises, or only exchanges configs."""

    proposals: list[LeaseProposal] = field(factory=list)


@message(35)
class LeaseResponse:
    """The replies to the asks of one LeaseRequest."""

    replies: list[LeaseReply] = field(factory=list)


@frozen
class SlotRelease:
    """Promises of one slot that a holder gives back."""

    slot: int
    predecessor: Predecessor


@message(36)
class LeaseRelease:
    """Gives promises back before they run out."""

    releases: list[SlotRelease] = field(factory=list)


@message(37)
class LedgerHandover:
    """Offers the receiver a slot; LedgerPart messages and End follow.

    ``timed_floor`` and ``opaque_since`` are the slot's key floor in Unix
    seconds. With ``slot`` -1 only answers of entries follow.
    """

    slot: int
    predecessor: Predecessor
    epoch: int
    timed_floor: float
    opaque_since: float


@frozen
class LedgerRow:
    """One ledger entry; ``key_time`` is -1 for an opaque key."""

    service: str
    account: str
    key: str
    slot: int
    fingerprint: str
    key_time: float
    accepted_at: float
    expires_at: float
    epoch: int
    state: str
    outcome: str
    status: int
    headers: list[tuple[str, str]]
    body: bytes
    body_kept: bool
    reason: str


@message(38)
class LedgerPart:
    """Some entries of a handover."""

    rows: list[LedgerRow] = field(factory=list)


@message(39)
class HandoverTaken:
    """The receiver has recorded the entries and claims the slot."""

    entries: int
