"""Decides which unknown keys a new owner may run.

The ledger of an earlier owner is gone. A key that may have been dispatched
before the takeover must not run again, so an owner runs an unknown key only
when the key proves that it is younger than the takeover.

Two margins make this hold with clocks that differ. A key may be dated ahead of
the owner's clock by ``caller_skew`` at most, else it is refused everywhere; an
owner's clock may differ from another owner's by ``fleet_skew``. So no earlier
owner can have run a key dated later than the takeover plus both.
"""

from enum import StrEnum

from attrs import define, frozen

DEFAULT_CALLER_SKEW_SECONDS = 2.0
DEFAULT_FLEET_SKEW_SECONDS = 1.0


class KeyFreshness(StrEnum):
    """What may be done with a key that the ledger doesn't know."""

    FRESH = "fresh"
    MAY_HAVE_RUN = "may-have-run"
    IN_THE_FUTURE = "in-the-future"


@frozen
class SkewMargins:
    """How far clocks may differ, in seconds."""

    caller: float = DEFAULT_CALLER_SKEW_SECONDS
    fleet: float = DEFAULT_FLEET_SKEW_SECONDS


@define
class KeyFloor:
    """The age below which unknown keys of one slot may have run.

    ``timed`` bounds keys that hold a time, ``opaque_since`` is when the owner
    began to know all keys; both in Unix seconds.

    >>> floor = KeyFloor.at_takeover(1000.0, SkewMargins())
    >>> floor.classify(1001.0, 1004.0, 86_400.0, SkewMargins()).value
    'may-have-run'
    >>> floor.classify(1003.5, 1004.0, 86_400.0, SkewMargins()).value
    'fresh'
    """

    timed: float
    opaque_since: float

    @classmethod
    def at_takeover(cls, now: float, margins: SkewMargins) -> "KeyFloor":
        """Return the floor of an owner that knows nothing before ``now``."""
        return cls(timed=now + margins.caller + margins.fleet, opaque_since=now)

    def classify(
        self,
        key_time: float | None,
        now: float,
        repeat_window: float,
        margins: SkewMargins,
    ) -> KeyFreshness:
        """Return what may be done at ``now`` with an unknown key."""
        if key_time is None:
            known_for = now - self.opaque_since
            whole = known_for >= repeat_window + margins.fleet
            return KeyFreshness.FRESH if whole else KeyFreshness.MAY_HAVE_RUN
        if key_time > now + margins.caller:
            return KeyFreshness.IN_THE_FUTURE
        if key_time <= max(self.timed, now - repeat_window):
            return KeyFreshness.MAY_HAVE_RUN
        return KeyFreshness.FRESH

    def raise_to(self, key_time: float | None, known_at: float) -> None:
        """Cover a key whose entry is dropped; it was last known ``known_at``."""
        if key_time is None:
            self.opaque_since = max(self.opaque_since, known_at)
        else:
            self.timed = max(self.timed, key_time)
