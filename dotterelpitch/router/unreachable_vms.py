"""Tracks which VMs this router or its agent recently failed to reach."""

from dotterelpitch.clock import Clock

UNREACHABLE_SECONDS = 3.0


class UnreachableVms:
    """The VMs to which a connection recently failed, and those the agent suspects.

    A failed connection counts for ``UNREACHABLE_SECONDS``.

    >>> from dotterelpitch.clock import ManualClock
    >>> clock = ManualClock()
    >>> vms = UnreachableVms(clock)
    >>> vms.record_failure("vm-1")
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

    def set_suspected(self, names: frozenset[str]) -> None:
        """Replace the set of VMs that the agent can't reach."""
        self._suspected = names

    def record_failure(self, vm: str) -> None:
        """Record that no connection to ``vm`` could be opened."""
        self._until_by_vm[vm] = self._clock.monotonic() + UNREACHABLE_SECONDS

    def names(self) -> frozenset[str]:
        """Return the VMs that are considered unreachable now."""
        if not self._until_by_vm:
            return self._suspected
        now = self._clock.monotonic()
        for vm in [v for v, until in self._until_by_vm.items() if until <= now]:
            del self._until_by_vm[vm]
        return self._suspected.union(self._until_by_vm)
