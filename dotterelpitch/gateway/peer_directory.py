"""The known gateways, from open links and from lists that peers send.

A VM lists only gateways that it has a link to, so one that is gone disappears from
all lists within seconds; gateways don't repeat it from each other's lists.
"""

from collections.abc import Iterable, Mapping

from attrs import define, field, frozen

from dotterelpitch.clock import Clock
from dotterelpitch.protocol.gateway_messages import FleetVm

# A peer's list expires this long after it was received.
LIST_TTL_SECONDS = 15.0
# A VM that can't be dialed or stops responding is treated as unreachable for this
# long. The time doubles with each further failure, up to the maximum.
MIN_UNREACHABLE_SECONDS = 3.0
MAX_UNREACHABLE_SECONDS = 12.0
# An unreachable VM may be dialed again after this time, even if it is still marked
# after repeated failures, since it may have recovered.
UNREACHABLE_RETRY_SECONDS = 4.0


@frozen
class _PeerList:
    """A peer's list; ``received_at`` is a time of the monotonic clock, in seconds."""

    received_at: float
    vms: tuple[FleetVm, ...]


@define
class _UnreachableMark:
    """A mark in force up to ``until``; the VM may be dialed again after ``retry_at``.

    Both are times of the monotonic clock, and ``seconds`` is the mark's duration.
    """

    until: float
    seconds: float
    retry_at: float


@define
class PeerDirectory:
    """The known gateways by VM name, including ``own``.

    >>> from dotterelpitch.clock import ManualClock
    >>> fleet = PeerDirectory(ManualClock(), FleetVm("vm-1", "a", "10.0.0.1:1", 10))
    >>> fleet.add_linked(FleetVm("vm-2", "a", "10.0.0.2:1", 10))
    >>> sorted(fleet.known())
    ['vm-1', 'vm-2']
    """

    _clock: Clock
    own: FleetVm
    _linked_by_name: dict[str, FleetVm] = field(factory=dict)
    _list_by_source: dict[str, _PeerList] = field(factory=dict)
    _unreachable_by_address: dict[str, _UnreachableMark] = field(factory=dict)

    def add_linked(self, vm: FleetVm) -> None:
        """Add a VM that a link is open to."""
        self._linked_by_name[vm.name] = vm
        self._unreachable_by_address.pop(vm.address, None)

    def remove_linked(self, vm: FleetVm) -> None:
        """Remove a VM whose last link has closed."""
        self._linked_by_name.pop(vm.name, None)

    def record_list(self, source: str, vms: Iterable[FleetVm]) -> None:
        """Replace the list received from ``source``."""
        now = self._clock.monotonic()
        self._list_by_source[source] = _PeerList(now, tuple(vms))

    def mark_unreachable(self, address: str) -> None:
        """Mark the VM at ``address`` as unreachable."""
        last = self._unreachable_by_address.get(address)
        seconds = MIN_UNREACHABLE_SECONDS
        if last is not None:
            seconds = min(MAX_UNREACHABLE_SECONDS, 2 * last.seconds)
        now = self._clock.monotonic()
        mark = _UnreachableMark(now + seconds, seconds, now + UNREACHABLE_RETRY_SECONDS)
        self._unreachable_by_address[address] = mark

    def linked(self) -> list[FleetVm]:
        """Return the VMs that a link is open to."""
        return list(self._linked_by_name.values())

    def known(self) -> Mapping[str, FleetVm]:
        """Return all known VMs by name: own, linked, and listed by peers."""
        oldest = self._clock.monotonic() - LIST_TTL_SECONDS
        vm_by_name: dict[str, FleetVm] = {}
        for source, peer_list in list(self._list_by_source.items()):
            if peer_list.received_at < oldest:
                del self._list_by_source[source]
                continue
            vm_by_name.update((vm.name, vm) for vm in peer_list.vms)
        vm_by_name.update(self._linked_by_name)
        vm_by_name[self.own.name] = self.own
        return vm_by_name

    def contact_share(self) -> float:
        """Return the share of the known VMs that this VM exchanges digests with.

        It does so with the linked VMs and with those that they list. A VM that others
        have lost, too, is unknown after seconds.
        """
        linked = self._linked_by_name
        names = {self.own.name, *linked}
        for source in linked.keys() & self._list_by_source.keys():
            names.update(vm.name for vm in self._list_by_source[source].vms)
        return len(names) / len(self.known().keys() | names)

    def reachable(self) -> list[FleetVm]:
        """Return the known VMs except those marked as unreachable."""
        vms = self.known().values()
        return [vm for vm in vms if not self.is_unreachable(vm.address)]

    def is_unreachable(self, address: str) -> bool:
        """Return whether the VM at ``address`` is marked as unreachable now."""
        mark = self._unreachable_by_address.get(address)
        return mark is not None and mark.until >= self._clock.monotonic()

    def may_retry(self, address: str) -> bool:
        """Return whether the VM at ``address`` may be dialed again."""
        mark = self._unreachable_by_address.get(address)
        return mark is None or mark.retry_at < self._clock.monotonic()

    def drop_old_marks(self) -> None:
        """Drop marks that expired over ``MAX_UNREACHABLE_SECONDS`` ago.

        Until then, a new failure doubles the time of the expired mark.
        """
        oldest = self._clock.monotonic() - MAX_UNREACHABLE_SECONDS
        for address, mark in list(self._unreachable_by_address.items()):
            if mark.until < oldest:
                del self._unreachable_by_address[address]
