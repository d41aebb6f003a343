"""Which gateways there are, from open links and from what their peers list.

A VM lists only those that it is linked with itself, so one that is gone drops
out of all lists within seconds and nobody keeps it alive by repeating it.
"""

from collections.abc import Iterable, Mapping

from attrs import define, field, frozen

from dotterelpitch.clock import Clock
from dotterelpitch.protocol.gateway_messages import FleetVm

# The list of a peer counts for this long after it was last sent.
LIST_TTL_SECONDS = 15.0
# A VM that could not be dialled, or fell silent, isn't counted on for this long,
# which doubles each time it happens again.
MIN_UNREACHABLE_SECONDS = 3.0
MAX_UNREACHABLE_SECONDS = 12.0
# It is dialled again sooner, since it may have come back.
UNREACHABLE_RETRY_SECONDS = 4.0


@frozen
class _PeerList:
    at: float
    vms: tuple[FleetVm, ...]


@define
class _Unreachable:
    until: float
    seconds: float
    retry_at: float


@define
class PeerDirectory:
    """The known gateways by VM name, ``own`` among them.

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
    _unreachable_by_address: dict[str, _Unreachable] = field(factory=dict)

    def add_linked(self, vm: FleetVm) -> None:
        """Note a VM that this one exchanges digests with."""
        self._linked_by_name[vm.name] = vm
        self._unreachable_by_address.pop(vm.address, None)

    def remove_linked(self, vm: FleetVm) -> None:
        """Note that no link to a VM is left."""
        self._linked_by_name.pop(vm.name, None)

    def record_list(self, source: str, vms: Iterable[FleetVm]) -> None:
        """Replace what ``source`` lists."""
        now = self._clock.monotonic()
        self._list_by_source[source] = _PeerList(now, tuple(vms))

    def mark_unreachable(self, address: str) -> None:
        """Note that a VM gave no answer."""
        last = self._unreachable_by_address.get(address)
        seconds = MIN_UNREACHABLE_SECONDS
        if last is not None:
            seconds = min(MAX_UNREACHABLE_SECONDS, 2 * last.seconds)
        now = self._clock.monotonic()
        silence = _Unreachable(now + seconds, seconds, now + UNREACHABLE_RETRY_SECONDS)
        self._unreachable_by_address[address] = silence

    def linked(self) -> list[FleetVm]:
        """Return the VMs that links are open to."""
        return list(self._linked_by_name.values())

    def known(self) -> Mapping[str, FleetVm]:
        """Return all VMs that there are, as far as this one can tell."""
        oldest = self._clock.monotonic() - LIST_TTL_SECONDS
        vm_by_name: dict[str, FleetVm] = {}
        for source, listing in list(self._list_by_source.items()):
            if listing.at < oldest:
                del self._list_by_source[source]
                continue
            vm_by_name.update((vm.name, vm) for vm in listing.vms)
        vm_by_name.update(self._linked_by_name)
        vm_by_name[self.own.name] = self.own
        return vm_by_name

    def reachable(self) -> list[FleetVm]:
        """Return the known VMs without those that lately gave no answer."""
        vms = self.known().values()
        return [vm for vm in vms if not self.is_unreachable(vm.address)]

    def is_unreachable(self, address: str) -> bool:
        """Whether a VM gave no answer so lately that it isn't counted on."""
        silence = self._unreachable_by_address.get(address)
        return silence is not None and silence.until >= self._clock.monotonic()

    def may_retry(self, address: str) -> bool:
        """Whether enough time has passed to dial a VM again that gave no answer."""
        silence = self._unreachable_by_address.get(address)
        return silence is None or silence.retry_at < self._clock.monotonic()

    def forget_old(self) -> None:
        """Drop the marks of VMs that nobody has tried to reach for long."""
        oldest = self._clock.monotonic() - MAX_UNREACHABLE_SECONDS
        for address, silence in list(self._unreachable_by_address.items()):
            if silence.until < oldest:
                del self._unreachable_by_address[address]
