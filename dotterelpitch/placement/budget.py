"""Limits the rate of model loads from the weight store in one failure domain."""

from dotterelpitch.clock import Clock

SECONDS_PER_MINUTE = 60.0


class LoadBudget:
    """A token bucket of ``loads_per_minute`` loads, with bursts of up to ``burst``.

    The bucket starts empty, so that a placer that takes over from another one
    can't spend the same minute's loads a second time.

    >>> from dotterelpitch.clock import ManualClock
    >>> clock = ManualClock()
    >>> budget = LoadBudget(clock, loads_per_minute=6, burst=2)
    >>> budget.take(1)
    False
    >>> clock.advance(10)
    >>> budget.take(1), budget.take(1)
    (True, False)
    """

    def __init__(self, clock: Clock, loads_per_minute: float, burst: float) -> None:
        self._clock = clock
        self._loads_per_second = loads_per_minute / SECONDS_PER_MINUTE
        self._burst = burst
        self._tokens = 0.0
        self._refilled_at = clock.monotonic()

    def take(self, loads: int) -> bool:
        """Take ``loads`` tokens and return True, or take none and return False.

        More loads than ``burst`` are allowed if the bucket is full, and leave it
        with a negative balance.
        """
        self._refill()
        if loads and self._tokens < min(loads, self._burst):
            return False
        self._tokens -= loads
        return True

    def restart(self) -> None:
        """Empty the bucket, because another placer may have used the tokens."""
        self._refill()
        self._tokens = min(self._tokens, 0.0)

    def _refill(self) -> None:
        now = self._clock.monotonic()
        gained = (now - self._refilled_at) * self._loads_per_second
        self._tokens = min(self._burst, self._tokens + gained)
        self._refilled_at = now
