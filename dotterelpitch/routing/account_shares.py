"""Shares the room of an overloaded service between client accounts.

Within what a priority may use, each account that asks has an equal share. What an
account doesn't need, others may borrow; it has its share back as soon as it asks again,
since what borrowers hold ends by itself.
"""

from attrs import define, field

from dotterelpitch.clock import Clock

# An account that hasn't asked for so long needs no room.
ACTIVE_SECONDS = 2.0
# What an account needs is the most that it has had or wanted in flight in this time.
NEED_SECONDS = 1.0
# Accounts below their share may exceed the limit by this share of it.
OVERSHOOT_SHARE = 0.25


@define
class _AccountUse:
    """What one account has in flight, and what it has needed lately."""

    in_flight: int = 0
    need: int = 0
    need_at: float = float("-inf")
    asked_at: float = float("-inf")

    def ask(self, now: float) -> None:
        """Record that the account wants one more request in flight."""
        self.asked_at = now
        wanted = self.in_flight + 1
        if wanted >= self.need or now - self.need_at > NEED_SECONDS:
            self.need = wanted
            self.need_at = now


@define
class AccountShares:
    """The requests in flight of each account of one service at this VM.

    >>> from dotterelpitch.clock import ManualClock
    >>> shares = AccountShares(ManualClock(10.0))
    >>> for _ in range(4):
    ...     shares.started("busy")
    >>> shares.admits("busy", limit=6.0), shares.admits("calm", limit=6.0)
    (True, True)
    >>> shares.admits("busy", limit=4.0), shares.admits("calm", limit=4.0)
    (False, True)
    """

    _clock: Clock
    _use_by_account: dict[str, _AccountUse] = field(factory=dict)

    def admits(self, account: str, limit: float) -> bool:
        """Return whether an account may have one more request in flight.

        ``limit`` bounds the requests in flight of all accounts together. One with less
        than its share may go beyond it a little, until borrowed room is free.
        """
        now = self._clock.monotonic()
        use = self._use(account)
        use.ask(now)
        active = self._active(now)
        fair = limit / len(active)
        overshoot = int(OVERSHOOT_SHARE * limit)
        if use.in_flight < fair:
            return self.in_flight < limit + overshoot
        reserved = sum(
            max(0.0, min(fair, other.need) - other.in_flight)
            for name, other in active.items()
            if name != account
        )
        return self.in_flight < limit - max(0.0, reserved - overshoot)

    @property
    def in_flight(self) -> int:
        """The requests in flight of all accounts."""
        return sum(use.in_flight for use in self._use_by_account.values())

    def started(self, account: str) -> None:
        """Count a request that is sent."""
        use = self._use(account)
        use.ask(self._clock.monotonic())
        use.in_flight += 1

    def ended(self, account: str) -> None:
        """Count the end of a request."""
        self._use_by_account[account].in_flight -= 1

    def _use(self, account: str) -> _AccountUse:
        use = self._use_by_account.get(account)
        if use is None:
            use = self._use_by_account[account] = _AccountUse()
        return use

    def _active(self, now: float) -> dict[str, _AccountUse]:
        """Return the accounts that ask or have requests in flight; drop the others."""
        self._use_by_account = {
            name: use
            for name, use in self._use_by_account.items()
            if use.in_flight or now - use.asked_at <= ACTIVE_SECONDS
        }
        return self._use_by_account
