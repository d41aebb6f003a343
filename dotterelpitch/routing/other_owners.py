"""What other processes have in flight on an engine that this one owns.

After a change of the VM list the former owner's requests still run, and for a
moment two processes may both admit. Each counts the other's last report, and
the engine's own lagging report shows what neither has told.
"""

from collections import deque

from attrs import define

from dotterelpitch.clock import Clock
from dotterelpitch.routing.engine_load import EngineLoad

# A former owner that has fallen silent counts for this long.
FORGET_SECONDS = 30.0
ENGINE_REPORT_LAG_SECONDS = 5.0
DEFAULT_REQUEST_TOKENS = 200.0


@define
class _Heard:
    load: EngineLoad
    at: float


class OtherOwners:
    """Sums the load that others have put on one engine."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._heard_by_vm: dict[str, _Heard] = {}
        self._own_running: deque[tuple[float, int]] = deque()
        self._unexplained = 0
        self._unexplained_until = 0.0

    def receive_report(self, vm: str, load: EngineLoad) -> None:
        """Take in what another owner says that it has in flight here."""
        self._heard_by_vm[vm] = _Heard(load, self._clock.monotonic())
        if load.running == 0:
            del self._heard_by_vm[vm]

    def receive_engine_count(self, running: int, own_running: int) -> None:
        """Take in the engine's own count of running requests.

        The report is late, so it is held against the highest own count of
        the last ``ENGINE_REPORT_LAG_SECONDS``.
        """
        now = self._clock.monotonic()
        self.record_own_running(own_running)
        explained = max(count for _, count in self._own_running)
        explained += sum(x.load.running for x in self._live())
        self._unexplained = max(0, running - explained)
        self._unexplained_until = now + ENGINE_REPORT_LAG_SECONDS

    def load(self) -> float:
        """Return the others' load in tokens."""
        if not self._heard_by_vm and not self._unexplained:
            return 0.0
        reported = sum(heard.load.load for heard in self._live())
        return reported + self._hidden() * DEFAULT_REQUEST_TOKENS

    def running(self) -> int:
        """Return how many requests the others have in flight."""
        if not self._heard_by_vm and not self._unexplained:
            return 0
        return sum(heard.load.running for heard in self._live()) + self._hidden()

    def record_own_running(self, own_running: int) -> None:
        """Remember how many requests this process had in flight just now."""
        now = self._clock.monotonic()
        self._own_running.append((now, own_running))
        while self._own_running[0][0] < now - ENGINE_REPORT_LAG_SECONDS:
            self._own_running.popleft()

    def _hidden(self) -> int:
        late = self._clock.monotonic() > self._unexplained_until
        return 0 if late else self._unexplained

    def _live(self) -> list[_Heard]:
        oldest = self._clock.monotonic() - FORGET_SECONDS
        for vm in [v for v, x in self._heard_by_vm.items() if x.at < oldest]:
            del self._heard_by_vm[vm]
        return list(self._heard_by_vm.values())
