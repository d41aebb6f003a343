"""An exponentially decaying average of how often something happens."""

import math

from attrs import define

# No rate is told from a shorter time.
MIN_COUNTED_SECONDS = 0.25


@define
class DecayingRate:
    """Events per second, averaged over about ``time_constant_s`` seconds.

    With ``began_at``, a time of the monotonic clock in seconds, the average is over the
    time since then if that is less.

    >>> rate = DecayingRate(time_constant_s=2.0)
    >>> rate.add(10.0, count=4)
    >>> rate.per_second(10.0)
    2.0
    >>> round(rate.per_second(12.0), 2)
    0.74
    """

    time_constant_s: float
    _per_second: float = 0.0
    _at: float = 0.0
    began_at: float | None = None

    def add(self, now: float, count: int = 1) -> None:
        """Count events at ``now``, in seconds of the monotonic clock."""
        self._per_second = self._decayed(now) + count / self.time_constant_s
        self._at = now

    def per_second(self, now: float) -> float:
        """Return the rate at ``now``."""
        decayed = self._decayed(now)
        if self.began_at is None or not decayed:
            return decayed
        counted_s = max(MIN_COUNTED_SECONDS, now - self.began_at)
        return decayed / -math.expm1(-counted_s / self.time_constant_s)

    def _decayed(self, now: float) -> float:
        if not self._per_second:
            return 0.0
        elapsed_s = max(0.0, now - self._at)
        return self._per_second * math.exp(-elapsed_s / self.time_constant_s)
