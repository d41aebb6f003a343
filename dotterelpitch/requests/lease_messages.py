"""The messages of leases: who asks for a slot, and what a member replies."""

from enum import StrEnum

from attrs import field, frozen

from dotterelpitch.requests.ownership import GroupConfig


@frozen
class HolderId:
    """One run of one process; a restart at the same address is another."""

    vm: str
    incarnation: str


@frozen
class Predecessor:
    """A holder that has given up the promises of its requests up to ``round``."""

    holder: HolderId
    round: int


NO_HOLDER = HolderId("", "")
NO_PREDECESSOR = Predecessor(NO_HOLDER, 0)


@frozen
class LeaseProposal:
    """One request to one member.

    ``claim`` is False for a question that only exchanges configs. ``round``
    numbers the requests of the holder. ``predecessor`` has handed the slot to
    the holder; a promise to a later request of it stays.
    """

    slot: int
    holder: HolderId
    round: int
    claim: bool
    epoch: int
    established: int
    configs: list[GroupConfig] = field(factory=list)
    recovered: bool = True
    predecessor: Predecessor = NO_PREDECESSOR


class LeaseRefusalReason(StrEnum):
    """Why a member doesn't grant."""

    QUESTION = "question"
    ABSTAINS = "abstains"
    NEWER_CONFIG = "newer-config"
    PROMISED = "promised"


@frozen
class LeaseReply:
    """A member's answer to ``holder``.

    ``previous_holder`` is whose promise still bound the member when it granted: while
    it did, nobody else can have been granted the slot here. ``highest_epoch``
    is the highest epoch that the member had seen before.
    """

    slot: int
    member: str
    holder: HolderId
    round: int
    granted: bool
    previous_holder: HolderId
    highest_epoch: int
    established: int
    configs: list[GroupConfig] = field(factory=list)
    recovered: bool = True
    reason: str = ""


@frozen
class Promise:
    """To whom a member has promised a slot, and until when."""

    holder: HolderId
    round: int
    expires_at: float
