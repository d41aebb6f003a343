"""Lease proposals and replies, and the identities that they carry."""

from enum import StrEnum

from attrs import field, frozen

from dotterelpitch.requests.ownership import GroupConfig


@frozen
class HolderId:
    """Identifies one run of one process; a restart has another incarnation."""

    vm: str
    incarnation: str


@frozen
class Predecessor:
    """A former holder that released its promises of proposals up to ``round``."""

    holder: HolderId
    round: int


NO_HOLDER = HolderId("", "")
NO_PREDECESSOR = Predecessor(NO_HOLDER, 0)


@frozen
class LeaseProposal:
    """One proposal to a group member to grant ``holder`` the lease of a slot.

    ``claim`` is False if the proposal only exchanges configs. ``round`` numbers
    the holder's proposals. ``committed_revision`` and ``configs`` are the
    proposer's config history, and ``recovered`` tells whether the proposer has
    recovered from its last restart. ``predecessor`` has handed the slot to the
    holder; a promise to a later proposal of the predecessor stays in force.
    """

    slot: int
    holder: HolderId
    round: int
    claim: bool
    epoch: int
    committed_revision: int
    configs: list[GroupConfig] = field(factory=list)
    recovered: bool = True
    predecessor: Predecessor = NO_PREDECESSOR


class LeaseRefusalReason(StrEnum):
    """Why a member refused a proposal."""

    NO_CLAIM = "question"
    RECOVERING = "abstains"
    NEWER_CONFIG = "newer-config"
    PROMISED = "promised"


@frozen
class LeaseReply:
    """A member's reply to a proposal of ``holder``.

    ``previous_holder`` is the process whose promise was still in force at the
    member when it handled the proposal; while it was, the member granted the
    slot to no other process. ``highest_epoch`` is the highest epoch that the
    member had seen before. ``reason`` is empty for a grant, otherwise a
    ``LeaseRefusalReason``.
    """

    slot: int
    member: str
    holder: HolderId
    round: int
    granted: bool
    previous_holder: HolderId
    highest_epoch: int
    committed_revision: int
    configs: list[GroupConfig] = field(factory=list)
    recovered: bool = True
    reason: str = ""


@frozen
class Promise:
    """A member's promise of a slot to one holder, until ``expires_at`` (monotonic)."""

    holder: HolderId
    round: int
    expires_at: float
