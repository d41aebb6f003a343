"""The open links to peers, and what has been sent on each."""

from attrs import define, field

from dotterelpitch.protocol.gateway_messages import FleetVm
from dotterelpitch.protocol.stream import Stream


@define(eq=False)
class Link:
    """A stream on which this VM and ``peer`` send each other digests.

    ``relay`` is the VM through which the fleet learns of the peer's load, or
    nothing before its first digest. ``news_sent`` counts the crash news that
    went out; ``list_sent`` is the list that did, at ``list_sent_at`` of the
    monotonic clock.
    """

    peer: FleetVm
    stream: Stream
    relay: str = ""
    crash_reports_sent: int = 0
    list_sent: tuple[FleetVm, ...] = ()
    list_sent_at: float = float("-inf")

    @property
    def peer_is_relay(self) -> bool:
        """Whether the peer passes on what others tell it."""
        return self.relay == self.peer.name


@define
class LinkTable:
    """All open links; two of them may lead to one peer for a while."""

    _links_by_peer: dict[str, list[Link]] = field(factory=dict)

    def add(self, link: Link) -> None:
        """Take in a link that has just opened."""
        self._links_by_peer.setdefault(link.peer.name, []).append(link)

    def remove(self, link: Link) -> bool:
        """Drop a link; return whether it was the last one to its peer."""
        links = self._links_by_peer[link.peer.name]
        links.remove(link)
        if links:
            return False
        del self._links_by_peer[link.peer.name]
        return True

    def all(self) -> list[Link]:
        """Return all links."""
        return [link for links in self._links_by_peer.values() for link in links]

    def to(self, peer: str) -> Link | None:
        """Return the oldest link to a peer."""
        links = self._links_by_peer.get(peer)
        return links[0] if links else None

    def to_address(self, address: str) -> Link | None:
        """Return the oldest link to the VM with this address."""
        for links in self._links_by_peer.values():
            if links[0].peer.address == address:
                return links[0]
        return None

    def peers(self) -> list[str]:
        """Return the names of all peers."""
        return list(self._links_by_peer)

    def members_of(self, relay: str) -> list[str]:
        """Return the peers whose load the fleet learns through ``relay``."""
        names = (link.peer.name for link in self.all() if link.relay == relay)
        return list(dict.fromkeys(n for n in names if n != relay))
