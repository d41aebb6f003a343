"""Gateways without a network.

What one sends on a link is applied at the other in the same step.
"""

import random

from attrs import define, field

from dotterelpitch.clock import ManualClock
from dotterelpitch.gateway.digest_exchange import DigestExchange
from dotterelpitch.gateway.dismissal_exchange import DismissalExchange
from dotterelpitch.gateway.engine_speed_exchange import EngineSpeedExchange
from dotterelpitch.gateway.engine_tracker import EngineTracker
from dotterelpitch.gateway.leaving_engine_exchange import LeavingEngineExchange
from dotterelpitch.gateway.link import Link, LinkTable
from dotterelpitch.gateway.link_topology import LinkTopology
from dotterelpitch.gateway.peer_directory import PeerDirectory
from dotterelpitch.gateway.rate_limit_exchange import RateLimitExchange
from dotterelpitch.gateway.reader_selection import ReaderSelection
from dotterelpitch.gateway.state import GatewayState
from dotterelpitch.gateway.stream_origin_exchange import StreamOriginExchange
from dotterelpitch.gateway.version_history_exchange import VersionHistoryExchange
from dotterelpitch.protocol.gateway_messages import LINK_VERSION, FleetVm
from dotterelpitch.routing.engine_speeds import EngineSpeeds
from dotterelpitch.routing.fleet_loads import FleetLoads
from dotterelpitch.routing.fleet_rate_limits import FleetRateLimits
from dotterelpitch.routing.share_holders import ShareHolders
from dotterelpitch.routing.stream_origins import StreamOrigins

PERIOD_SECONDS = 0.25
FAST_LINK_MBPS = 200
SLOW_LINK_MBPS = 10


def make_vms(count, domains="abc", fast_links=6):
    """Return VMs spread over the domains; the first ``fast_links`` have wide links."""
    return [
        FleetVm(
            f"vm{n:03}",
            domains[n % len(domains)],
            f"10.0.0.{n}:1",
            FAST_LINK_MBPS if n < fast_links else SLOW_LINK_MBPS,
            LINK_VERSION,
        )
        for n in range(count)
    ]


@define(slots=False)
class SimulatedGateway:
    """The state of one gateway without its sockets."""

    vm: FleetVm
    clock: ManualClock
    seeds: list[str]
    links: LinkTable = field(factory=LinkTable)

    def __attrs_post_init__(self):
        self.fleet = PeerDirectory(self.clock, self.vm)
        self.topology = LinkTopology(self.clock, self.fleet, self.links, self.seeds)
        self.loads = FleetLoads(self.clock)
        self.engine_tracker = EngineTracker(
            self.clock, self.vm.name, self.vm.failure_domain
        )
        self.suspects = self.engine_tracker.suspects
        self.state = GatewayState(self.clock)
        self.rate_limits = FleetRateLimits(
            self.clock, random.Random(self.vm.name), self.state.cold_engines
        )
        holders = ShareHolders(self.clock, self.vm.name, self.fleet.known)
        self.rate_limits.limiter.share_held = holders.share
        self.rate_limit_exchange = RateLimitExchange(
            self.clock, self.state, self.topology, self.fleet, self.rate_limits
        )
        self.stream_origins = StreamOrigins(self.clock)
        self.speeds = EngineSpeeds(self.clock)
        self.exchanges = [
            LeavingEngineExchange(self.state),
            DismissalExchange(self.clock, self.engine_tracker),
            self.rate_limit_exchange,
            EngineSpeedExchange(
                self.clock, self.topology, self.speeds, self.links.count
            ),
            StreamOriginExchange(self.topology, self.stream_origins),
            VersionHistoryExchange(self.clock, self.state),
        ]
        self.reader_selection = ReaderSelection(
            self.clock, self.vm.name, self.vm.failure_domain
        )
        self.digests = DigestExchange(
            self.clock,
            self.state,
            self.topology,
            self.loads,
            self.engine_tracker,
            self.reader_selection,
        )


@define
class SimulatedFleet:
    """Gateways that exchange digests; some may be dead or partitioned off.

    ``links`` holds both ends of each link by the addresses of its dialer and its
    listener. ``failed_dials`` holds the dialer of each failed attempt.
    """

    clock: ManualClock
    gateway_by_address: dict
    links: dict = field(factory=dict)
    dead: set = field(factory=set)
    partitioned: set = field(factory=set)
    failed_dials: list = field(factory=list)

    @property
    def alive(self):
        """The gateways that aren't dead, by address."""
        return {
            address: gateway
            for address, gateway in self.gateway_by_address.items()
            if address not in self.dead
        }

    def run(self, seconds):
        """Let the gateways exchange digests for some seconds."""
        for _ in range(int(seconds / PERIOD_SECONDS)):
            self.clock.advance(PERIOD_SECONDS)
            self.exchange()

    def exchange(self):
        """Let each gateway update its links and send its digests once."""
        for address, gateway in self.alive.items():
            gateway.topology.update()
            gateway.reader_selection.is_relay = gateway.topology.is_relay
            gateway.rate_limit_exchange.update_contact_share()
            self._update_links(address, gateway)
        for (dialer, listener), pair in list(self.links.items()):
            self._exchange(dialer, listener, pair)

    def restart(self, address):
        """Replace a gateway by one that knows nothing."""
        for dialer, listener in list(self.links):
            if address in (dialer, listener):
                self._close(dialer, listener)
        old = self.gateway_by_address[address]
        self.gateway_by_address[address] = SimulatedGateway(
            old.vm, self.clock, old.seeds
        )

    def _update_links(self, address, gateway):
        wanted = gateway.topology.wanted_addresses()
        for other in wanted:
            if not gateway.topology.should_dial(other):
                continue
            if self._is_unreachable(address, other):
                self.failed_dials.append(address)
                gateway.fleet.mark_unreachable(other)
                continue
            self._open(address, other)
        for dialer, listener in list(self.links):
            is_kept = listener in wanted or gateway.topology.is_in_use(listener)
            if dialer == address and not is_kept:
                self._close(dialer, listener)

    def _is_unreachable(self, one, other):
        crosses_partition = (one in self.partitioned) != (other in self.partitioned)
        return crosses_partition or bool({one, other} & self.dead)

    def _open(self, dialer, listener):
        first, second = (
            self.gateway_by_address[dialer],
            self.gateway_by_address[listener],
        )
        pair = Link(second.vm, None), Link(first.vm, None)
        self.links[dialer, listener] = pair
        for gateway, link in zip((first, second), pair, strict=True):
            gateway.links.add(link)
            gateway.fleet.add_linked(link.peer)

    def _close(self, dialer, listener):
        pair = self.links.pop((dialer, listener))
        for address, link in zip((dialer, listener), pair, strict=True):
            gateway = self.gateway_by_address[address]
            if gateway.links.remove(link):
                gateway.fleet.remove_linked(link.peer)
                gateway.loads.remove_source(link.peer.name)

    def _exchange(self, dialer, listener, pair):
        if self._is_unreachable(dialer, listener):
            for address, other in ((dialer, listener), (listener, dialer)):
                self.gateway_by_address[address].fleet.mark_unreachable(other)
            self._close(dialer, listener)
            return
        first, second = (
            self.gateway_by_address[dialer],
            self.gateway_by_address[listener],
        )
        self._deliver(first, pair[0], second, pair[1])
        self._deliver(second, pair[1], first, pair[0])

    def _deliver(self, sender, sender_link, receiver, receiver_link):
        receiver.fleet.record_list(
            sender.vm.name, sender.topology.fleet_list_for(sender_link)
        )
        receiver.digests.apply(receiver_link, sender.digests.make(sender_link))
        pairs = zip(sender.exchanges, receiver.exchanges, strict=True)
        for sending, receiving in pairs:
            if (message := sending.message_for(sender_link)) is not None:
                receiving.apply(receiver_link, message)


def make_fleet(count, fast_links=6, domains="abc"):
    """Return a fleet of ``count`` gateways, in three failure domains by default."""
    clock = ManualClock(100.0)
    vms = make_vms(count, domains, fast_links)
    seeds = [vm.address for vm in vms[:3]]
    return SimulatedFleet(
        clock, {vm.address: SimulatedGateway(vm, clock, seeds) for vm in vms}
    )
