"""Requests that other VMs have in flight on an engine that this VM owns.

After a change of the VM list, requests admitted by the former owner still run,
and for a moment two VMs may both admit. Each of them counts the last report of
the other. Requests that neither has reported show up in the engine's own
count, which arrives late.
"""

from collections import deque

from attrs import define

from dotterelpitch.clock import Clock
from dotterelpitch.routing.engine_load import EngineLoad

# The last report of a former owner expires after this time.
MAX_REPORT_AGE_SECONDS = 30.0
# An engine's count of running requests may be this old on arrival, and expires after
# the same time.
ENGINE_REPORT_LAG_SECONDS = 5.0
# The assumed load of a request of which only the engine's count is known.
DEFAULT_REQUEST_TOKENS = 200.0


@define
class _Report:
    load: EngineLoad
    received_at: float


class OtherOwners:
    """Sums up the load that other VMs have in flight on one engine."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._report_by_vm: dict[str, _Report] = {}
        self._own_running: deque[tuple[float, int]] = deque()
        self._unreported_running = 0
        self._unreported_expires_at = 0.0

    def receive_report(self, vm: str, load: EngineLoad) -> None:
        """Store the load that another VM reports to have in flight here."""
        self._report_by_vm[vm] = _Report(load, self._clock.monotonic())
        if load.running == 0:
            del self._report_by_vm[vm]

    def receive_engine_count(self, running: int, own_running: int) -> None:
        """Compare the engine's count of running requests with the known ones.

        Running requests beyond the known ones are counted as load of other
        VMs. Since the engine's count arrives late, it is compared with the
        highest own count of the last ``ENGINE_REPORT_LAG_SECONDS``.
        """
        now = self._clock.monotonic()
        self.record_own_running(own_running)
        known_running = max(count for _, count in self._own_running)
        known_running += sum(x.load.running for x in self._current_reports())
        self._unreported_running = max(0, running - known_running)
        self._unreported_expires_at = now + ENGINE_REPORT_LAG_SECONDS

    def load(self) -> float:
        """Return the load of other VMs in tokens."""
        if not self._report_by_vm and not self._unreported_running:
            return 0.0
        reported = sum(report.load.load for report in self._current_reports())
        return reported + self._current_unreported_running() * DEFAULT_REQUEST_TOKENS

    def running(self) -> int:
        """Return the number of requests that other VMs have in flight."""
        if not self._report_by_vm and not self._unreported_running:
            return 0
        return (
            sum(report.load.running for report in self._current_reports())
            + self._current_unreported_running()
        )

    def record_own_running(self, own_running: int) -> None:
        """Record the number of requests that this VM has in flight now."""
        now = self._clock.monotonic()
        self._own_running.append((now, own_running))
        while self._own_running[0][0] < now - ENGINE_REPORT_LAG_SECONDS:
            self._own_running.popleft()

    def _current_unreported_running(self) -> int:
        expired = self._clock.monotonic() > self._unreported_expires_at
        return 0 if expired else self._unreported_running

    def _current_reports(self) -> list[_Report]:
        oldest = self._clock.monotonic() - MAX_REPORT_AGE_SECONDS
        for vm in [v for v, x in self._report_by_vm.items() if x.received_at < oldest]:
            del self._report_by_vm[vm]
        return list(self._report_by_vm.values())
