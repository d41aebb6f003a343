"""A retry budget for the whole fleet, divided among the VMs without coordination.

The deployment allows, in any time window, retries up to a share of the requests to
a service plus a fixed number. Each VM limits itself to the share of its own requests
plus an equal part of the fixed number, so the fleet stays within the budget without
messages between VMs.
"""

from collections import deque

from attrs import define, field

from dotterelpitch.clock import Clock

# Each VM uses only this fraction of its part: requests are counted on arrival, a
# little before they reach an engine, so the two windows aren't the same.
SAFETY_FACTOR = 0.85
# Until the peers are known, a VM uses the part that it would have in a large fleet.
UNKNOWN_FLEET_VMS = 64


@define
class FleetRetryBudget:
    """This VM's part of the fleet's retry budgets, one for each service.

    ``share`` is the fraction of requests that may be retried, ``slack`` the fixed
    number of retries of the whole fleet, and ``window_s`` the window in seconds.

    >>> from dotterelpitch.clock import ManualClock
    >>> budget = FleetRetryBudget(ManualClock(), share=0.0, slack=10, window_s=10)
    >>> budget.set_vm_count(4)
    >>> [budget.try_spend("s") for _ in range(3)]
    [True, True, False]
    """

    _clock: Clock
    share: float
    slack: float
    window_s: float
    _vm_count: int = UNKNOWN_FLEET_VMS
    _requests_by_service: dict[str, deque[float]] = field(factory=dict)
    _retries_by_service: dict[str, deque[float]] = field(factory=dict)

    def set_bounds(self, share: float, slack: float, window_s: float) -> None:
        """Set the budget of the whole fleet; ``window_s`` is in seconds."""
        self.share = share
        self.slack = slack
        self.window_s = window_s

    @property
    def vm_count(self) -> int:
        """Number of VMs that share the budget, this one included."""
        return self._vm_count

    def set_vm_count(self, count: int) -> None:
        """Set the number of VMs that share the budget, this one included."""
        self._vm_count = max(1, count)

    def request_started(self, service: str) -> None:
        """Count a request; its retries must not be counted here."""
        self._timestamps(self._requests_by_service, service).append(
            self._clock.monotonic()
        )

    def try_spend(self, service: str) -> bool:
        """Count a retry and return True, or return False if none is left."""
        now = self._clock.monotonic()
        requests = self._timestamps(self._requests_by_service, service)
        retries = self._timestamps(self._retries_by_service, service)
        allowed = SAFETY_FACTOR * (
            self.share * self._count_recent(requests, now) + self.slack / self._vm_count
        )
        if self._count_recent(retries, now) + 1 > allowed:
            return False
        retries.append(now)
        return True

    def _timestamps(self, timestamps_by_service: dict, service: str) -> deque[float]:
        return timestamps_by_service.setdefault(service, deque())

    def _count_recent(self, timestamps: deque[float], now: float) -> int:
        oldest = now - self.window_s
        while timestamps and timestamps[0] < oldest:
            timestamps.popleft()
        return len(timestamps)
