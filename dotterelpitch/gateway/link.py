"""The open links to peers, and what has been sent on each."""

from attrs import define, field

from dotterelpitch.protocol.gateway_messages import FleetVm
from dotterelpitch.protocol.stream import Stream
from dotterelpitch.routing.stream_origins import ToldStreams


@define(eq=False)
class Link:
    """A stream on which this VM and ``peer`` exchange digests.

    ``relay`` is the name of the VM that reports the peer's load to the fleet; it is
    empty before the peer's first digest. ``crash_reports_sent`` is the count of crash
    and clearance reports up to the last one sent, ``part_reports_sent`` that of those
    on prompt parts. ``rate_limits_sent`` and ``counts_sent`` are the same for the rate
    limits and for the counts of requests, and ``contact_share_sent`` is the share of
    the fleet in contact that was sent last. ``streams_told`` are the streams whose
    origins were sent, and ``versions_sent`` is the update count of the history of
    versions sent last. ``leaving_sent`` is the same of the engines that leave by their
    own word, and ``dismissals_sent`` that of the runs that have gone on after a
    silence. ``speeds_sent`` is the number of the last sample of an engine's speed that
    was sent, at ``speeds_sent_at``. ``contact_sent`` is whether the peer was told that
    this VM reaches engines, and ``peer_reaches_engines`` what it has said of itself;
    None before that. ``peer_said_at`` is when, on the monotonic clock.
    ``list_sent`` is the last fleet list sent and ``list_sent_at`` its time on the
    monotonic clock, in seconds.
    """

    peer: FleetVm
    stream: Stream
    relay: str = ""
    crash_reports_sent: int = 0
    part_reports_sent: int = 0
    rate_limits_sent: int = 0
    counts_sent: int = 0
    contact_share_sent: float = 1.0
    streams_told: ToldStreams = field(factory=ToldStreams)
    versions_sent: int = 0
    leaving_sent: int = 0
    dismissals_sent: int = 0
    speeds_sent: int = 0
    speeds_sent_at: float = float("-inf")
    contact_sent: bool | None = None
    peer_reaches_engines: bool | None = None
    peer_said_at: float = float("-inf")
    list_sent: tuple[FleetVm, ...] = ()
    list_sent_at: float = float("-inf")

    @property
    def peer_is_relay(self) -> bool:
        """Whether the peer is its own relay, and so may report the load of members."""
        return self.relay == self.peer.name


@define
class LinkTable:
    """All open links by peer.

    Both sides may dial, so there can be two links to one peer for a while.
    """

    _links_by_peer: dict[str, list[Link]] = field(factory=dict)

    def add(self, link: Link) -> None:
        """Add a link that has opened."""
        self._links_by_peer.setdefault(link.peer.name, []).append(link)

    def remove(self, link: Link) -> bool:
        """Remove a link; return whether it was the last one to its peer."""
        links = self._links_by_peer[link.peer.name]
        links.remove(link)
        if links:
            return False
        del self._links_by_peer[link.peer.name]
        return True

    def all(self) -> list[Link]:
        """Return the links to all peers."""
        return [link for links in self._links_by_peer.values() for link in links]

    def count(self) -> int:
        """Return how many peers have a link."""
        return len(self._links_by_peer)

    def to(self, peer: str) -> Link | None:
        """Return the oldest link to a peer, or None."""
        links = self._links_by_peer.get(peer)
        return links[0] if links else None

    def to_address(self, address: str) -> Link | None:
        """Return the oldest link to the VM with this address, or None."""
        for links in self._links_by_peer.values():
            if links[0].peer.address == address:
                return links[0]
        return None

    def peers(self) -> list[str]:
        """Return the names of all peers with a link."""
        return list(self._links_by_peer)

    def members_of(self, relay: str) -> list[str]:
        """Return the linked peers whose load ``relay`` reports, without ``relay``."""
        names = (link.peer.name for link in self.all() if link.relay == relay)
        return list(dict.fromkeys(n for n in names if n != relay))
