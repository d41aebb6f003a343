"""What limits the requests per second that an engine may get from all VMs."""

from abc import ABC, abstractmethod

from attrs import frozen

from dotterelpitch.routing.engines import Engine

# An engine may get this much at once: its limit for so many seconds, and so many
# requests.
BURST_SECONDS = 0.75
BURST_REQUESTS = 2.0
# Each VM admits this multiple of its part by chance; the bucket takes care of the rest.
CHANCE_HEADROOM = 1.25


@frozen
class RateLimit:
    """A limit in force: so many requests per second from all VMs together.

    ``burst_s`` seconds of it, and ``burst_requests``, may come at once. ``headroom`` is
    the multiple of its part that a VM may send by chance. Until ``shared_out_until``, a
    time of the monotonic clock, only the VMs that hold a share of it send anything;
    then what others want is known.
    """

    per_second: float
    burst_s: float = BURST_SECONDS
    burst_requests: float = BURST_REQUESTS
    headroom: float = CHANCE_HEADROOM
    shared_out_until: float = float("-inf")


class LimitSource(ABC):
    """A reason for which engines have limits, such as their own word."""

    @abstractmethod
    def rate_limit(self, engine: Engine) -> RateLimit | None:
        """Return the limit in force of an engine, or None."""

    @abstractmethod
    def is_empty(self) -> bool:
        """Return whether no engine has a limit for this reason."""
