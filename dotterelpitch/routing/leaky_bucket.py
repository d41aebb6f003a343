"""A leaky bucket: requests fill it, and it drains at the rate that is allowed."""

from attrs import define


@define
class LeakyBucket:
    """The requests beyond a steady rate, as of ``at`` seconds.

    >>> bucket = LeakyBucket(level=2.0, at=0.0)
    >>> bucket.drain(now=0.5, per_second=3.0)
    >>> bucket.level
    0.5
    """

    level: float
    at: float

    def drain(self, now: float, per_second: float) -> None:
        """Let out what the rate allows since the last call."""
        elapsed_s = max(0.0, now - self.at)
        self.level = max(0.0, self.level - elapsed_s * per_second)
        self.at = now

    def add(self, count: int, max_level: float) -> None:
        """Add requests, up to ``max_level``; a negative count takes some back."""
        self.level = min(max_level, max(0.0, self.level + count))
