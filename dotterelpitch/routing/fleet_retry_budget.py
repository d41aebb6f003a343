"""One retry budget for the whole fleet, of which each VM spends its part.

The deployment allows, in any window, a share of the requests to a service and
a fixed number more. Each VM holds itself to the share of its own requests and
to an equal part of the fixed number, so the sum keeps the bound without a word
between the VMs.
"""

from collections import deque

from attrs import define, field

from dotterelpitch.clock import Clock

# Requests are counted where they arrive: a little before they reach an engine.
SAFETY = 0.85
# Until the peers are known, a VM takes the part that it has in a large fleet.
UNKNOWN_FLEET_VMS = 64


@define
class FleetRetryBudget:
    """This VM's part of the retry budget of all services.

    >>> from dotterelpitch.clock import ManualClock
    >>> window = FleetRetryBudget(ManualClock(), share=0.0, slack=10, window_s=10)
    >>> window.set_vm_count(4)
    >>> [window.try_spend("s") for _ in range(3)]
    [True, True, False]
    """

    _clock: Clock
    share: float
    slack: float
    window_s: float
    _vm_count: int = UNKNOWN_FLEET_VMS
    _requests_by_service: dict[str, deque[float]] = field(factory=dict)
    _repeats_by_service: dict[str, deque[float]] = field(factory=dict)

    def set_bounds(self, share: float, slack: float, window_s: float) -> None:
        """Set the budget of the whole fleet."""
        self.share = share
        self.slack = slack
        self.window_s = window_s

    @property
    def vm_count(self) -> int:
        """How many VMs share what the fleet may use."""
        return self._vm_count

    def set_vm_count(self, count: int) -> None:
        """Set how many VMs share the budget, this one included."""
        self._vm_count = max(1, count)

    def request_started(self, service: str) -> None:
        """Count one request, not its repeats."""
        self._times(self._requests_by_service, service).append(self._clock.monotonic())

    def try_spend(self, service: str) -> bool:
        """Return whether one more attempt may start now, and count it."""
        now = self._clock.monotonic()
        requests = self._times(self._requests_by_service, service)
        repeats = self._times(self._repeats_by_service, service)
        allowed = SAFETY * (
            self.share * self._count(requests, now) + self.slack / self._vm_count
        )
        if self._count(repeats, now) + 1 > allowed:
            return False
        repeats.append(now)
        return True

    def _times(self, times_by_service: dict, service: str) -> deque[float]:
        return times_by_service.setdefault(service, deque())

    def _count(self, times: deque[float], now: float) -> int:
        oldest = now - self.window_s
        while times and times[0] < oldest:
            times.popleft()
        return len(times)
