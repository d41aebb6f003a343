"""The messages of keyed calls and of slot leases, numbers 30 to 39."""

from attrs import field, frozen

from dotterelpitch.protocol.codec import message
from dotterelpitch.requests.lease_messages import LeaseProposal, LeaseReply, Predecessor


@message(30)
class DispatchOnce:
    """Requests one keyed call, or its recorded response, from a slot's owner.

    The message is idempotent: it may be sent again, to the same or another owner.
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
    """The final response for a key; its body follows as Data and End.

    ``body_kept`` is unset when the ledger doesn't hold the body. ``replayed`` is set
    when the response was recorded by an earlier call.
    """

    outcome: str
    status: int
    headers: list[tuple[str, str]]
    body_kept: bool
    reason: str
    replayed: bool


@message(32)
class OnceRefused:
    """The owner must not run the call; ``decision`` is the reason."""

    decision: str


@message(33)
class NotOwner:
    """The receiver doesn't hold the lease of the key's slot.

    ``holder`` is the VM that may hold it.
    """

    holder: str


@message(34)
class LeaseRequest:
    """Requests lease promises; a proposal without a claim only exchanges configs."""

    proposals: list[LeaseProposal] = field(factory=list)


@message(35)
class LeaseResponse:
    """The replies to the proposals of one LeaseRequest."""

    replies: list[LeaseReply] = field(factory=list)


@frozen
class SlotRelease:
    """The promises of one slot that its holder releases."""

    slot: int
    predecessor: Predecessor


@message(36)
class LeaseRelease:
    """Releases promises before they expire."""

    releases: list[SlotRelease] = field(factory=list)


@message(37)
class LedgerHandover:
    """Hands a slot over to the receiver; LedgerPart messages and End follow.

    ``timed_floor`` and ``opaque_since`` are the slot's key floor in Unix seconds.
    With ``slot`` -1 no slot is handed over and only responses of ledger entries
    follow.
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
    """A batch of the ledger entries of a handover."""

    rows: list[LedgerRow] = field(factory=list)


@message(39)
class HandoverTaken:
    """The receiver has recorded ``entries`` ledger entries and claims the slot."""

    entries: int
