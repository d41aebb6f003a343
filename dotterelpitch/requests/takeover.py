"""Decides which unknown keys a new owner may run.

A new owner doesn't have the ledger of the previous one. A key that may have been
dispatched before the takeover must not run again, so an owner runs an unknown
key only if the key's time shows that it was created after the takeover.

Two margins allow for clock skew. A key may be dated ahead of the owner's clock
by at most ``SkewMargins.caller``, otherwise every owner refuses it. The clocks of
two owners may differ by up to ``SkewMargins.fleet``. No earlier owner can
therefore have run a key dated later than the takeover plus both margins.
"""

from enum import StrEnum

from attrs import define, frozen

DEFAULT_CALLER_SKEW_SECONDS = 2.0
DEFAULT_FLEET_SKEW_SECONDS = 1.0


class KeyFreshness(StrEnum):
    """Whether a key that isn't in the ledger may run."""

    FRESH = "fresh"
    MAY_HAVE_RUN = "may-have-run"
    IN_THE_FUTURE = "in-the-future"


@frozen
class SkewMargins:
    """How far the clocks of callers and of the fleet may differ, in seconds."""

    caller: float = DEFAULT_CALLER_SKEW_SECONDS
    fleet: float = DEFAULT_FLEET_SKEW_SECONDS


@define
class KeyFloor:
    """The lower bound on the key time of unknown keys that may run in one slot.

    A key dated at or before ``timed`` may have run. ``opaque_since`` is the time
    since when the ledger has all opaque keys. Both are Unix seconds.

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
        """Return the floor of an owner that takes over without a ledger at ``now``."""
        return cls(timed=now + margins.caller + margins.fleet, opaque_since=now)

    def classify(
        self,
        key_time: float | None,
        now: float,
        repeat_window: float,
        margins: SkewMargins,
    ) -> KeyFreshness:
        """Return whether an unknown key may run at ``now``.

        ``key_time`` is None for an opaque key, which may run only after the
        ledger has been complete for a whole repeat window.
        """
        if key_time is None:
            complete_seconds = now - self.opaque_since
            covers_window = complete_seconds >= repeat_window + margins.fleet
            return KeyFreshness.FRESH if covers_window else KeyFreshness.MAY_HAVE_RUN
        if key_time > now + margins.caller:
            return KeyFreshness.IN_THE_FUTURE
        if key_time <= max(self.timed, now - repeat_window):
            return KeyFreshness.MAY_HAVE_RUN
        return KeyFreshness.FRESH

    def raise_to(self, key_time: float | None, known_at: float) -> None:
        """Raise the floor to a key whose ledger entry is removed.

        ``known_at`` is a time in Unix seconds at which the ledger still held the
        key; an opaque key raises ``opaque_since`` to it.
        """
        if key_time is None:
            self.opaque_since = max(self.opaque_since, known_at)
        else:
            self.timed = max(self.timed, key_time)
