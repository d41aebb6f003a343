"""Which VMs this router, or its agent, could not reach lately."""

from dotterelpitch.clock import Clock

UNREACHABLE_SECONDS = 3.0


class UnreachableVms:
    """Remembers failed connections for a few seconds.

    >>> from dotterelpitch.clock import ManualClock
    >>> clock = ManualClock()
    >>> vms = UnreachableVms(clock)
    >>> vms.failed("vm-1")
    >>> sorted(vms.names())
    ['vm-1']
    >>> clock.advance(UNREACHABLE_SECONDS)
    >>> sorted(vms.names())
    []
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._until_by_vm: dict[str, float] = {}
        self._suspected: frozenset[str] = frozenset()

    def suspect(self, names: frozenset[str]) -> None:
        """Take in which VMs the agent can't reach now."""
        self._suspected = names

    def failed(self, vm: str) -> None:
        """Take in that no connection to ``vm`` could be opened."""
        self._until_by_vm[vm] = self._clock.monotonic() + UNREACHABLE_SECONDS

    def names(self) -> frozenset[str]:
        """Return the VMs that could not be reached lately."""
        if not self._until_by_vm:
            return self._suspected
        now = self._clock.monotonic()
        for vm in [v for v, until in self._until_by_vm.items() if until <= now]:
            del self._until_by_vm[vm]
        return self._suspected.union(self._until_by_vm)
