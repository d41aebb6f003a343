"""Leases on slots, granted as promises in memory by a quorum of VMs.

A holder asks the members of a slot's group. A member that grants promises to
grant no one else for the lease time. The holder counts its lease from when it
*sent* the request, and for a part of the lease time only, so that it ends
before any of the promises behind it, whatever the delays. All times are
monotonic and include suspension. No log, no election, nothing on disk: a
process that starts has forgotten its promises and abstains until they have
run out.
"""

from enum import StrEnum

from dotterelpitch.clock import Clock
from dotterelpitch.requests.lease_history import ConfigHistory, RestartRecovery
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
HOLDER_PART = 0.9
INHERIT_SECONDS = 0.5
MILLISECONDS = 1000


class LeaseGrantor:
    """The member's side of one slot."""

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
        self._released = False

    @property
    def recovered(self) -> bool:
        """Whether the promises of an earlier run are over and configs known."""
        waited = self._clock.monotonic() - self._started_at >= self._lease_seconds
        return waited and self.restart_recovery.check(self.history)

    def promise(self) -> Promise | None:
        """Return the promise that binds now."""
        promise = self._promise
        if promise is None or promise.expires_at <= self._clock.monotonic():
            return None
        return promise

    def seconds_without_promise(self) -> float:
        """Return for how long no promise has bound this member.

        Infinity after a release: the slot is free to take at once.
        """
        if self._promise is not None:
            return self._clock.monotonic() - self._promise.expires_at
        if self._released:
            return float("inf")
        return self._clock.monotonic() - self._started_at - self._lease_seconds

    def handle_proposal(self, proposal: LeaseProposal) -> LeaseReply:
        """Grant or refuse ``proposal``, and learn its configs."""
        self.restart_recovery.record_proposer(proposal.holder.vm)
        self.history.merge(proposal.established, proposal.configs)
        refusal = self._refusal(proposal)
        bound_to = self.promise()
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
            previous_holder=bound_to.holder if bound_to else NO_HOLDER,
            highest_epoch=highest_epoch,
            established=self.history.established,
            configs=list(self.history.configs),
            recovered=self.recovered,
            reason=refusal,
        )

    def release(self, holder: HolderId, round: int) -> None:
        """Drop the promise that ``holder`` no longer relies on.

        A later round keeps its promise, so that a delayed release is harmless.
        """
        promise = self._promise
        if promise and promise.holder == holder and promise.round <= round:
            self._promise = None
            self._released = True

    def _refusal(self, proposal: LeaseProposal) -> str:
        if not proposal.claim:
            return LeaseRefusalReason.QUESTION
        if not self.recovered:
            return LeaseRefusalReason.ABSTAINS
        if not self.history.covered_by(proposal.configs):
            return LeaseRefusalReason.NEWER_CONFIG
        promise = self.promise()
        if promise is None or promise.holder == proposal.holder:
            return ""
        given_up = promise.round <= proposal.predecessor.round
        if promise.holder == proposal.predecessor.holder and given_up:
            return ""
        return LeaseRefusalReason.PROMISED


class LeaseChange(StrEnum):
    """What a reply changed for the holder.

    ``STARTED`` begins a tenure after a time in which others may have held the
    slot; ``INHERITED`` follows the predecessor's without a gap.
    """

    UNCHANGED = "unchanged"
    STARTED = "started"
    INHERITED = "inherited"


class LeaseHolder:
    """The holder's side of one slot.

    It shares the config history with the process's own ``LeaseGrantor``.
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
        self._asked_at_by_round: dict[int, float] = {}
        self._asked_configs: list[GroupConfig] = []
        self._granted_at_by_member: dict[str, float] = {}
        self._bound_since_by_member: dict[str, float] = {}
        self._proposed_epoch = 0
        self._predecessor = NO_PREDECESSOR
        self._inheriting_since = float("-inf")

    @property
    def valid(self) -> bool:
        """Whether the lease holds at this moment."""
        return self._clock.monotonic() < self._valid_until

    @property
    def remaining_seconds(self) -> float:
        """How long the lease still holds; negative when it has run out."""
        return self._valid_until - self._clock.monotonic()

    def next_proposal(
        self, claim: bool = True, predecessor: Predecessor = NO_PREDECESSOR
    ) -> LeaseProposal:
        """Return the next request, to be sent to every member at once.

        A process that doesn't remember yet asks without a claim.
        """
        claim = claim and self._grantor.recovered
        history = self._grantor.history
        if not self._same_configs():
            self._granted_at_by_member.clear()
        if predecessor != self._predecessor:
            self._predecessor = predecessor
            self._inheriting_since = self._clock.monotonic()
        self._asked_configs = list(history.configs)
        if claim and not self._proposed_epoch:
            self._proposed_epoch = self._next_epoch()
        self._round += 1
        self._remember_round(self._clock.monotonic())
        return LeaseProposal(
            slot=self._grantor.slot,
            holder=self.holder_id,
            round=self._round,
            claim=claim,
            epoch=self._proposed_epoch if claim else 0,
            established=history.established,
            configs=self._asked_configs,
            recovered=self._grantor.recovered,
            predecessor=predecessor,
        )

    def handle_reply(self, reply: LeaseReply) -> LeaseChange:
        """Take in a reply to one of the last requests."""
        asked_at = self._asked_at_by_round.get(reply.round)
        if reply.holder != self.holder_id or asked_at is None:
            return LeaseChange.UNCHANGED
        self._grantor.restart_recovery.record_reply(reply.member, reply.recovered)
        self._grantor.history.merge(reply.established, reply.configs)
        self._grantor.restart_recovery.check(self._grantor.history)
        if not self._same_configs():
            self._granted_at_by_member.clear()
            return LeaseChange.UNCHANGED
        if not reply.granted:
            return LeaseChange.UNCHANGED
        self._note_grant(reply, asked_at)
        return self._extend()

    def resign(self) -> int:
        """Stop using the lease; return the round up to which to release.

        Replies to earlier requests no longer count.
        """
        self._valid_until = float("-inf")
        self._granted_at_by_member.clear()
        self._bound_since_by_member.clear()
        self._asked_at_by_round.clear()
        self._proposed_epoch = 0
        self.epoch = 0
        return self._round

    def _note_grant(self, reply: LeaseReply, asked_at: float) -> None:
        member = reply.member
        earlier = self._granted_at_by_member.get(member, asked_at)
        self._granted_at_by_member[member] = max(asked_at, earlier)
        self._grantor.highest_epoch = max(
            self._grantor.highest_epoch, reply.highest_epoch
        )
        inherited = self._predecessor != NO_PREDECESSOR
        if inherited and reply.previous_holder == self._predecessor.holder:
            self._bound_since_by_member[member] = float("-inf")
        elif reply.previous_holder != self.holder_id:
            self._bound_since_by_member[member] = self._clock.monotonic()
        else:
            self._bound_since_by_member.setdefault(member, self._clock.monotonic())

    def _extend(self) -> LeaseChange:
        until = min(self._quorum_until(config) for config in self._asked_configs)
        if until <= self._clock.monotonic():
            return LeaseChange.UNCHANGED
        tenure = self._tenure()
        if tenure is LeaseChange.STARTED and self._may_still_inherit():
            return LeaseChange.UNCHANGED
        if tenure is not LeaseChange.UNCHANGED:
            self.epoch = max(self._proposed_epoch, self._grantor.highest_epoch + 1)
            self._proposed_epoch = self.epoch
        self._valid_until = max(self._valid_until, until)
        self._grantor.history.establish()
        self._asked_configs = list(self._grantor.history.configs)
        return tenure

    def _tenure(self) -> LeaseChange:
        if self.epoch:
            unbroken = self.valid or self._bound_since(self._valid_until)
            return LeaseChange.UNCHANGED if unbroken else LeaseChange.STARTED
        if self._bound_since(float("-inf")):
            return LeaseChange.INHERITED
        return LeaseChange.STARTED

    def _may_still_inherit(self) -> bool:
        """Whether slower replies may show that the predecessor's promises bind."""
        since = self._clock.monotonic() - self._inheriting_since
        return not self.epoch and since < INHERIT_SECONDS

    def _bound_since(self, instant: float) -> bool:
        """Whether quorums were bound to this holder from ``instant`` on."""
        bound = {m for m, at in self._bound_since_by_member.items() if at <= instant}
        return all(
            len(bound & set(config.members)) >= config.majority
            for config in self._asked_configs
        )

    def _quorum_until(self, config: GroupConfig) -> float:
        """Return when the oldest promise of the newest quorum runs out."""
        granted_at = self._granted_at_by_member
        times = sorted(
            (granted_at[name] for name in config.members if name in granted_at),
            reverse=True,
        )
        if len(times) < config.majority:
            return float("-inf")
        return times[config.majority - 1] + self._lease_seconds * HOLDER_PART

    def _same_configs(self) -> bool:
        return self._grantor.history.covered_by(self._asked_configs)

    def _remember_round(self, now: float) -> None:
        horizon = now - self._lease_seconds
        self._asked_at_by_round = {
            number: at for number, at in self._asked_at_by_round.items() if at > horizon
        }
        self._asked_at_by_round[self._round] = now

    def _next_epoch(self) -> int:
        wall = int(self._clock.wall() * MILLISECONDS)
        return max(wall, self._grantor.highest_epoch + 1)
