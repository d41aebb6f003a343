"""Computes which VMs a process can reach, from the link reports of all VMs.

Every VM publishes a link report: the peers that it receives data from, whether it
is leaving, and whether the platform answers it. A link counts if both of its ends
report it, so a VM that has crashed, is frozen, or is partitioned in one direction
becomes unreachable as soon as its few neighbors report so. The VMs that counted
links connect to this process are reachable. Reports are published on change only.
"""

from collections import deque
from collections.abc import Iterable, Mapping

import msgpack
from attrs import field, frozen

from dotterelpitch.clock import Clock
from dotterelpitch.membership.model import Vm, VmList, VmRole, VmState

LINKS_TOPIC = "links"
JOIN_GRACE_SECONDS = 3.0


@frozen
class LinkReport:
    """The links and the state that one VM reports of itself.

    ``peers`` are the names of the VMs that it receives data from.
    ``platform_reachable`` is False while its reads of the platform fail.

    >>> report = LinkReport("f00d", ["vm-2"], leaving=True)
    >>> LinkReport.decode(report.encode()) == report
    True
    """

    incarnation: str
    peers: list[str] = field(factory=list)
    leaving: bool = False
    platform_reachable: bool = True

    def encode(self) -> bytes:
        """Return the report as the payload of a digest."""
        flags = int(self.leaving) | int(self.platform_reachable) << 1
        return msgpack.packb([self.incarnation, flags, sorted(self.peers)])

    @classmethod
    def decode(cls, payload: bytes) -> "LinkReport":
        """Return the report in ``payload``; raises ValueError if it is malformed."""
        try:
            incarnation, flags, peers = msgpack.unpackb(payload)
            return cls(
                str(incarnation),
                [str(peer) for peer in peers],
                bool(flags & 1),
                bool(flags & 2),
            )
        except (TypeError, ValueError, msgpack.UnpackException) as error:
            raise ValueError(f"malformed link report: {error}") from error


@frozen
class MembershipView:
    """The names of the VMs in each state, as this process sees them at one moment.

    ``suspected`` VMs are listed but not reachable. ``leaving`` VMs have reported
    so themselves or are leaving in the platform's list. ``platform_unreachable``
    VMs get no answer from the platform.
    """

    suspected: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()
    platform_unreachable: frozenset[str] = frozenset()


class ViewBuilder:
    """Builds views, and tracks when each VM was listed and whether it was reached."""

    def __init__(self, vm: str, clock: Clock) -> None:
        self._vm = vm
        self._clock = clock
        self._listed_at_by_name: dict[str, float] = {}
        self._ever_reached: set[str] = set()

    def build(
        self, vm_list: VmList, report_by_vm: Mapping[str, LinkReport]
    ) -> MembershipView:
        """Return the view of ``vm_list`` under the newest link reports.

        A VM that this process has never reached is suspected only after
        JOIN_GRACE_SECONDS. Otherwise a starting process would suspect every VM.
        """
        entries = [vm for vm in vm_list.vms if vm.role is VmRole.ENTRY]
        now = self._clock.monotonic()
        self._listed_at_by_name = {
            vm.name: self._listed_at_by_name.get(vm.name, now) for vm in entries
        }
        reachable = reachable_from(self._vm, report_by_vm)
        self._ever_reached &= set(self._listed_at_by_name)
        self._ever_reached |= reachable
        return MembershipView(
            frozenset(
                vm.name
                for vm in entries
                if vm.name not in reachable and not self._is_joining(vm)
            ),
            frozenset(
                vm.name for vm in entries if _is_leaving(vm, report_by_vm.get(vm.name))
            ),
            frozenset(
                name
                for name, report in report_by_vm.items()
                if not report.platform_reachable
            ),
        )

    def _is_joining(self, vm: Vm) -> bool:
        age = self._clock.monotonic() - self._listed_at_by_name[vm.name]
        return age < JOIN_GRACE_SECONDS and vm.name not in self._ever_reached


def reachable_from(vm: str, report_by_vm: Mapping[str, LinkReport]) -> set[str]:
    """Return the VMs that mutually reported links connect to ``vm``, itself included.

    >>> one_way = {"a": LinkReport("1", ["b"]), "b": LinkReport("1", [])}
    >>> reachable_from("a", one_way)
    {'a'}
    """
    peers_by_vm = {name: set(report.peers) for name, report in report_by_vm.items()}
    reachable = {vm}
    frontier = deque([vm])
    while frontier:
        near = frontier.popleft()
        for far in peers_by_vm.get(near, ()):
            if far not in reachable and near in peers_by_vm.get(far, ()):
                reachable.add(far)
                frontier.append(far)
    return reachable


def decode_link_reports(
    payload_by_vm: Iterable[tuple[str, bytes]],
) -> dict[str, LinkReport]:
    """Return the link reports by VM, without malformed ones."""
    report_by_vm = {}
    for name, payload in payload_by_vm:
        try:
            report_by_vm[name] = LinkReport.decode(payload)
        except ValueError:
            continue
    return report_by_vm


def _is_leaving(vm: Vm, report: LinkReport | None) -> bool:
    return vm.state is VmState.LEAVING or (report is not None and report.leaving)
