"""Leases on slots, granted by a quorum of VMs that keep their promises in memory.

A process that wants to hold a slot sends a proposal to every member of the
slot's group. A member that grants it promises to grant no other process the
slot for the lease time. The holder counts its lease from when it *sent* the
proposal, and for a fraction of the lease time only, so that its lease expires
before any of the promises that back it, whatever the network delays. All times
are monotonic and include suspension. There is no log, no leader election, and
nothing on disk: a restarted process has lost its promises and abstains until
they must have expired.
"""

from enum import StrEnum

from dotterelpitch.clock import Clock
from dotterelpitch.requests.config_history import ConfigHistory, RestartRecovery
from dotterelpitch.requests.lease_messages import (
    NO_HOLDER,
    NO_PREDECESSOR,
    HolderId,
    LeaseProposal,
    LeaseRefusalReason,
    LeaseReply,
    Predecessor,
    Promise,
)
from dotterelpitch.requests.ownership import GroupConfig

DEFAULT_LEASE_SECONDS = 4.0
HOLDER_LEASE_FRACTION = 0.9
INHERIT_WAIT_SECONDS = 0.5
MS_PER_SECOND = 1000


class LeaseGrantor:
    """The granting side of one slot's lease, at one member of the slot's group.

    ``restart_recovery`` tells whether the member may grant again after a restart,
    and ``highest_epoch`` is the highest lease epoch it has seen.
    """

    def __init__(
        self,
        slot: int,
        vm: str,
        clock: Clock,
        lease_seconds: float = DEFAULT_LEASE_SECONDS,
    ) -> None:
        self.slot = slot
        self.vm = vm
        self.history = ConfigHistory()
        self.restart_recovery = RestartRecovery(vm)
        self.highest_epoch = 0
        self._clock = clock
        self._lease_seconds = lease_seconds
        self._started_at = clock.monotonic()
        self._promise: Promise | None = None
        self._promise_released = False

    @property
    def recovered(self) -> bool:
        """Whether promises of an earlier run have expired and configs are known."""
        waited = self._clock.monotonic() - self._started_at >= self._lease_seconds
        return waited and self.restart_recovery.check(self.history)

    def promise(self) -> Promise | None:
        """Return the promise in force, or None."""
        promise = self._promise
        if promise is None or promise.expires_at <= self._clock.monotonic():
            return None
        return promise

    def seconds_without_promise(self) -> float:
        """Return how long this member has been without a promise in force.

        Negative while one is in force, or while one from before a restart may
        be. Infinite after a release: the slot may be claimed at once.
        """
        if self._promise is not None:
            return self._clock.monotonic() - self._promise.expires_at
        if self._promise_released:
            return float("inf")
        return self._clock.monotonic() - self._started_at - self._lease_seconds

    def handle_proposal(self, proposal: LeaseProposal) -> LeaseReply:
        """Return the reply to ``proposal``, and merge its configs."""
        self.restart_recovery.record_proposer(proposal.holder.vm)
        self.history.merge(proposal.committed_revision, proposal.configs)
        refusal = self._refusal_reason(proposal)
        current_promise = self.promise()
        highest_epoch = self.highest_epoch
        if not refusal:
            expires_at = self._clock.monotonic() + self._lease_seconds
            self._promise = Promise(proposal.holder, proposal.round, expires_at)
            self.highest_epoch = max(self.highest_epoch, proposal.epoch)
        return LeaseReply(
            slot=self.slot,
            member=self.vm,
            holder=proposal.holder,
            round=proposal.round,
            granted=not refusal,
            previous_holder=current_promise.holder if current_promise else NO_HOLDER,
            highest_epoch=highest_epoch,
            committed_revision=self.history.committed_revision,
            configs=list(self.history.configs),
            recovered=self.recovered,
            reason=refusal,
        )

    def release(self, holder: HolderId, round: int) -> None:
        """Drop a promise to ``holder`` from a proposal up to ``round``.

        A promise to a later proposal stays, so that a delayed release message
        is harmless.
        """
        promise = self._promise
        if promise and promise.holder == holder and promise.round <= round:
            self._promise = None
            self._promise_released = True

    def _refusal_reason(self, proposal: LeaseProposal) -> str:
        """Return why ``proposal`` is refused, or an empty string if it is granted."""
        if not proposal.claim:
            return LeaseRefusalReason.NO_CLAIM
        if not self.recovered:
            return LeaseRefusalReason.RECOVERING
        if not self.history.covered_by(proposal.configs):
            return LeaseRefusalReason.NEWER_CONFIG
        promise = self.promise()
        if promise is None or promise.holder == proposal.holder:
            return ""
        released_by_predecessor = promise.round <= proposal.predecessor.round
        if promise.holder == proposal.predecessor.holder and released_by_predecessor:
            return ""
        return LeaseRefusalReason.PROMISED


class LeaseChange(StrEnum):
    """How a reply changed the holder's lease.

    ``STARTED`` is a new lease, before which other processes may have held the
    slot. ``INHERITED`` is a lease that follows the predecessor's without a gap.
    """

    UNCHANGED = "unchanged"
    STARTED = "started"
    INHERITED = "inherited"


class LeaseHolder:
    """The holding side of one slot's lease, in one process.

    It shares the config history and the highest epoch with the process's own
    ``LeaseGrantor``. ``epoch`` is the epoch of the lease, or 0 when the process
    has resigned or never held one.
    """

    def __init__(
        self,
        holder_id: HolderId,
        grantor: LeaseGrantor,
        clock: Clock,
        lease_seconds: float = DEFAULT_LEASE_SECONDS,
    ) -> None:
        self.holder_id = holder_id
        self.epoch = 0
        self._grantor = grantor
        self._clock = clock
        self._lease_seconds = lease_seconds
        self._valid_until = float("-inf")
        self._round = 0
        self._sent_at_by_round: dict[int, float] = {}
        self._proposed_configs: list[GroupConfig] = []
        self._grant_sent_at_by_member: dict[str, float] = {}
        self._promised_since_by_member: dict[str, float] = {}
        self._proposed_epoch = 0
        self._predecessor = NO_PREDECESSOR
        self._inheriting_since = float("-inf")

    @property
    def valid(self) -> bool:
        """Whether the lease is valid now."""
        return self._clock.monotonic() < self._valid_until

    @property
    def remaining_seconds(self) -> float:
        """Seconds until the lease expires; negative once it has."""
        return self._valid_until - self._clock.monotonic()

    def next_proposal(
        self, claim: bool = True, predecessor: Predecessor = NO_PREDECESSOR
    ) -> LeaseProposal:
        """Return the next proposal, which goes to all members at the same time.

        Until this process has recovered from a restart, the proposal carries no
        claim.
        """
        claim = claim and self._grantor.recovered
        history = self._grantor.history
        if not self._covers_known_configs():
            self._grant_sent_at_by_member.clear()
        if predecessor != self._predecessor:
            self._predecessor = predecessor
            self._inheriting_since = self._clock.monotonic()
        self._proposed_configs = list(history.configs)
        if claim and not self._proposed_epoch:
            self._proposed_epoch = self._next_epoch()
        self._round += 1
        self._record_round(self._clock.monotonic())
        return LeaseProposal(
            slot=self._grantor.slot,
            holder=self.holder_id,
            round=self._round,
            claim=claim,
            epoch=self._proposed_epoch if claim else 0,
            committed_revision=history.committed_revision,
            configs=self._proposed_configs,
            recovered=self._grantor.recovered,
            predecessor=predecessor,
        )

    def handle_reply(self, reply: LeaseReply) -> LeaseChange:
        """Process a reply to one of the recent proposals."""
        sent_at = self._sent_at_by_round.get(reply.round)
        if reply.holder != self.holder_id or sent_at is None:
            return LeaseChange.UNCHANGED
        self._grantor.restart_recovery.record_reply(reply.member, reply.recovered)
        self._grantor.history.merge(reply.committed_revision, reply.configs)
        self._grantor.restart_recovery.check(self._grantor.history)
        if not self._covers_known_configs():
            self._grant_sent_at_by_member.clear()
            return LeaseChange.UNCHANGED
        if not reply.granted:
            return LeaseChange.UNCHANGED
        self._record_grant(reply, sent_at)
        return self._extend_lease()

    def resign(self) -> int:
        """Stop relying on the lease; return the last round to release.

        Replies to earlier proposals are ignored from now on.
        """
        self._valid_until = float("-inf")
        self._grant_sent_at_by_member.clear()
        self._promised_since_by_member.clear()
        self._sent_at_by_round.clear()
        self._proposed_epoch = 0
        self.epoch = 0
        return self._round

    def _record_grant(self, reply: LeaseReply, sent_at: float) -> None:
        """Record when the granted proposal was sent, and since when it binds.

        A member whose promise to the predecessor was still in force counts as
        bound to this holder from minus infinity on, because it can't have granted
        the slot to a third process in between.
        """
        member = reply.member
        earlier = self._grant_sent_at_by_member.get(member, sent_at)
        self._grant_sent_at_by_member[member] = max(sent_at, earlier)
        self._grantor.highest_epoch = max(
            self._grantor.highest_epoch, reply.highest_epoch
        )
        has_predecessor = self._predecessor != NO_PREDECESSOR
        if has_predecessor and reply.previous_holder == self._predecessor.holder:
            self._promised_since_by_member[member] = float("-inf")
        elif reply.previous_holder != self.holder_id:
            self._promised_since_by_member[member] = self._clock.monotonic()
        else:
            self._promised_since_by_member.setdefault(member, self._clock.monotonic())

    def _extend_lease(self) -> LeaseChange:
        """Extend the lease as far as the grants allow; return how it changed.

        The latest config is committed, since majorities of all configs granted.
        """
        valid_until = min(
            self._quorum_expiry(config) for config in self._proposed_configs
        )
        if valid_until <= self._clock.monotonic():
            return LeaseChange.UNCHANGED
        change = self._classify_change()
        if change is LeaseChange.STARTED and self._may_still_inherit():
            return LeaseChange.UNCHANGED
        if change is not LeaseChange.UNCHANGED:
            self.epoch = max(self._proposed_epoch, self._grantor.highest_epoch + 1)
            self._proposed_epoch = self.epoch
        self._valid_until = max(self._valid_until, valid_until)
        self._grantor.history.commit_latest()
        self._proposed_configs = list(self._grantor.history.configs)
        return change

    def _classify_change(self) -> LeaseChange:
        """Return whether the lease continues, is inherited, or is a new one."""
        if self.epoch:
            continuous = self.valid or self._quorums_bound_since(self._valid_until)
            return LeaseChange.UNCHANGED if continuous else LeaseChange.STARTED
        if self._quorums_bound_since(float("-inf")):
            return LeaseChange.INHERITED
        return LeaseChange.STARTED

    def _may_still_inherit(self) -> bool:
        """Return whether outstanding replies may still allow the lease to be inherited.

        They may show that a quorum is still bound to the predecessor.
        """
        since = self._clock.monotonic() - self._inheriting_since
        return not self.epoch and since < INHERIT_WAIT_SECONDS

    def _quorums_bound_since(self, instant: float) -> bool:
        """Return whether a quorum of each config has been bound since ``instant``."""
        bound = {m for m, at in self._promised_since_by_member.items() if at <= instant}
        return all(
            len(bound & set(config.members)) >= config.majority
            for config in self._proposed_configs
        )

    def _quorum_expiry(self, config: GroupConfig) -> float:
        """Return when the holder's lease under ``config`` expires.

        It is counted from the oldest proposal that the most recent quorum of
        members granted.
        """
        sent_at_by_member = self._grant_sent_at_by_member
        times = sorted(
            (
                sent_at_by_member[name]
                for name in config.members
                if name in sent_at_by_member
            ),
            reverse=True,
        )
        if len(times) < config.majority:
            return float("-inf")
        return times[config.majority - 1] + self._lease_seconds * HOLDER_LEASE_FRACTION

    def _covers_known_configs(self) -> bool:
        """Return whether the last proposal carried every config known now."""
        return self._grantor.history.covered_by(self._proposed_configs)

    def _record_round(self, now: float) -> None:
        horizon = now - self._lease_seconds
        self._sent_at_by_round = {
            number: at for number, at in self._sent_at_by_round.items() if at > horizon
        }
        self._sent_at_by_round[self._round] = now

    def _next_epoch(self) -> int:
        wall = int(self._clock.wall() * MS_PER_SECOND)
        return max(wall, self._grantor.highest_epoch + 1)
