"""Tells peers whether this gateway reaches engines."""

from dotterelpitch.clock import Clock
from dotterelpitch.gateway.link import Link
from dotterelpitch.gateway.peer_exchange import PeerExchange
from dotterelpitch.protocol.gateway_messages import (
    ENGINE_CONTACT_LINK_VERSION,
    EngineContactDigest,
)
from dotterelpitch.routing.engine_contact import EngineContact


class EngineContactExchange(PeerExchange[EngineContactDigest]):
    """Creates this gateway's digests of its contact and records its peers'."""

    message_type = EngineContactDigest
    link_version = ENGINE_CONTACT_LINK_VERSION

    def __init__(self, clock: Clock, contact: EngineContact) -> None:
        self._clock = clock
        self._contact = contact

    def make(self, link: Link) -> EngineContactDigest | None:
        """Return whether engines are reached, if the peer wasn't told; else None."""
        reaches_engines = not self._contact.is_lost
        if link.contact_sent is reaches_engines:
            return None
        link.contact_sent = reaches_engines
        return EngineContactDigest(reaches_engines)

    def apply(self, link: Link, digest: EngineContactDigest) -> None:
        """Record what a peer says."""
        link.peer_reaches_engines = digest.reaches_engines
        link.peer_said_at = self._clock.monotonic()
