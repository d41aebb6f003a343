"""Decides whether this gateway is a relay or a member, and which links it needs."""

from collections.abc import Iterable
from enum import Enum, auto

from attrs import define, field

from dotterelpitch.clock import Clock
from dotterelpitch.gateway.link import Link, LinkTable
from dotterelpitch.gateway.peer_directory import PeerDirectory
from dotterelpitch.gateway.relay_selection import (
    MAX_MESH_VMS,
    choose_relays,
    order_relays,
)
from dotterelpitch.protocol.gateway_messages import FleetVm
from dotterelpitch.routing.fleet_counts import OWN
from dotterelpitch.telemetry.events import Event, log_event

# Of two VMs that need a link, one dials at once and the other one after this time.
DIAL_YIELD_SECONDS = 1.0


class ReportScope(Enum):
    """Whose counts a VM reports on a link, so that no VM is counted twice.

    A member reports its OWN to its relay, a relay OWN_AND_MEMBERS to other relays, and
    ALL_BUT_PEERS to each of its members; NOTHING is reported on any other link.
    """

    NOTHING = auto()
    OWN = auto()
    OWN_AND_MEMBERS = auto()
    ALL_BUT_PEERS = auto()


@define
class LinkTopology:
    """Chooses the relay of this VM and the VMs that it should have links to.

    ``relay`` is the name of the VM that reports this VM's load to the fleet. It is
    this VM's own name if it is a relay or has no link to a relay.
    """

    _clock: Clock
    _fleet: PeerDirectory
    _links: LinkTable
    seeds: tuple[str, ...] = field(converter=tuple)
    mesh_vms: int = MAX_MESH_VMS
    relay: str = field(init=False)
    _relay_by_name: dict[str, FleetVm] = field(factory=dict, init=False)
    _wanted_since_by_address: dict[str, float] = field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        self.relay = self._fleet.own.name

    @property
    def is_relay(self) -> bool:
        """Whether this VM is its own relay and may report the load of members."""
        return self.relay == self._fleet.own.name

    def update(self) -> None:
        """Choose the relays and the relay of this VM among the reachable VMs."""
        own = self._fleet.own.name
        self._relay_by_name = choose_relays(self._fleet.reachable(), self.mesh_vms)
        relay = own if self._should_relay() else self._best_linked_relay()
        if relay != self.relay:
            log_event(
                Event.RELAY_CHOSEN,
                relay=relay,
                before=self.relay,
                relays=len(self._relay_by_name),
                vms=len(self._fleet.known()),
            )
        self.relay = relay

    def wanted_addresses(self) -> list[str]:
        """Return the addresses that this VM should have a link to, best first."""
        others = self._ordered_relays()
        if not self._should_relay():
            others = others[:1]
        wanted_addresses = [vm.address for vm in others]
        if self.is_relay:
            wanted_addresses += self._lost_addresses()
        now = self._clock.monotonic()
        since = self._wanted_since_by_address
        self._wanted_since_by_address = {a: since.get(a, now) for a in wanted_addresses}
        return wanted_addresses

    def should_dial(self, address: str) -> bool:
        """Return whether this VM should dial a wanted address now.

        A member dials at once. Of two relays, the one with the lower address dials,
        and the other one after ``DIAL_YIELD_SECONDS``; a seed is dialed at once.
        """
        if self._links.to_address(address) is not None:
            return False
        is_member = not self._should_relay()
        dials_first = address in self.seeds or self._fleet.own.address < address
        waited_s = self._clock.monotonic() - self._wanted_since_by_address[address]
        return is_member or dials_first or waited_s > DIAL_YIELD_SECONDS

    def is_in_use(self, address: str) -> bool:
        """Return whether the link to ``address`` is to this VM's current relay."""
        link = self._links.to_address(address)
        return link is not None and link.peer.name == self.relay

    def accepts_reports_from(self, link: Link) -> bool:
        """Return whether the counts on this link arrive on no other link.

        This keeps the requests of one VM from being counted twice.
        """
        if self.is_relay:
            return link.peer_is_relay or link.relay == self._fleet.own.name
        return link.peer.name == self.relay

    def scope(self, link: Link) -> ReportScope:
        """Return whose counts to report on this link."""
        if not self.is_relay:
            is_own_relay = link.peer.name == self.relay
            return ReportScope.OWN if is_own_relay else ReportScope.NOTHING
        if link.relay == self._fleet.own.name:
            return ReportScope.ALL_BUT_PEERS
        return (
            ReportScope.OWN_AND_MEMBERS if link.peer_is_relay else ReportScope.NOTHING
        )

    def passes_on(self, link: Link, source: str) -> bool:
        """Return whether to report on this link what a source has counted.

        ``source`` is a peer, or ``OWN``.
        """
        scope = self.scope(link)
        if scope is ReportScope.ALL_BUT_PEERS:
            return source != link.peer.name
        if scope is ReportScope.OWN_AND_MEMBERS:
            return source == OWN or source in self.members()
        return scope is ReportScope.OWN and source == OWN

    def members(self) -> list[str]:
        """Return the VMs whose counts this VM reports to the other relays."""
        return self._links.members_of(self._fleet.own.name)

    def fleet_list_for(self, link: Link) -> tuple[FleetVm, ...]:
        """Return the VMs to list to a peer.

        A relay lists all known VMs to its members, since any of them may have to
        replace it, and to other peers only the VMs that it has links to.
        """
        if not self.is_relay:
            return ()
        vms: Iterable[FleetVm] = self._fleet.linked()
        if link.relay == self._fleet.own.name:
            vms = self._fleet.known().values()
        return tuple(sorted(vms, key=lambda vm: vm.name))

    def _should_relay(self) -> bool:
        """Return whether this VM is among the chosen relays or peers use it as one."""
        own = self._fleet.own.name
        return own in self._relay_by_name or bool(self.members())

    def _best_linked_relay(self) -> str:
        """Return the name of the preferred relay that a link is open to.

        The current relay is the last choice. Without such a link, return the name of
        this VM.
        """
        names = [relay.name for relay in self._ordered_relays()] + [self.relay]
        own = self._fleet.own.name
        return next((name for name in names if self._links.to(name)), own)

    def _ordered_relays(self) -> list[FleetVm]:
        return order_relays(self._fleet.own, self._relay_by_name.values())

    def _lost_addresses(self) -> list[str]:
        """Return the addresses of seeds and relays that may be in another partition.

        A VM without links always tries them; a VM with links tries an unreachable
        one again only after a delay.
        """
        known = self._fleet.known()
        relays = choose_relays(known.values(), self.mesh_vms).values()
        reachable_names = {*self._relay_by_name, self._fleet.own.name}
        lost = [vm.address for vm in relays if vm.name not in reachable_names]
        known_addresses = {vm.address for vm in known.values()}
        seeds = [seed for seed in self.seeds if seed not in known_addresses]
        if not self._links.peers():
            return seeds + lost
        return [address for address in seeds + lost if self._fleet.may_retry(address)]
