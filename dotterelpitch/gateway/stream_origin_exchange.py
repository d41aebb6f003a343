"""Tells peers which engine versions have begun streams."""

from dotterelpitch.gateway.link import Link
from dotterelpitch.gateway.link_topology import LinkTopology
from dotterelpitch.gateway.peer_exchange import PeerExchange
from dotterelpitch.protocol.gateway_messages import (
    STREAM_ORIGINS_LINK_VERSION,
    StreamOriginDigest,
    StreamsBegun,
)
from dotterelpitch.routing.stream_origins import StreamOrigin, StreamOrigins


class StreamOriginExchange(PeerExchange[StreamOriginDigest]):
    """Creates this gateway's digests of stream origins and applies its peers'."""

    message_type = StreamOriginDigest
    link_version = STREAM_ORIGINS_LINK_VERSION

    def __init__(self, topology: LinkTopology, origins: StreamOrigins) -> None:
        self._topology = topology
        self._origins = origins

    def make(self, link: Link) -> StreamOriginDigest | None:
        """Return what a peer must be told now, and mark it as sent; None if nothing."""
        begun = self._origins.news_for(
            link.streams_told,
            lambda source: self._topology.passes_on(link, source),
        )
        if not begun:
            return None
        return StreamOriginDigest(
            [StreamsBegun(o.service, o.version, hashes) for o, hashes in begun]
        )

    def apply(self, link: Link, digest: StreamOriginDigest) -> None:
        """Apply a peer's digest; what is told twice counts once."""
        for begun in digest.begun:
            origin = StreamOrigin(begun.service, begun.version)
            self._origins.merge(link.peer.name, origin, begun.packed_hashes)
