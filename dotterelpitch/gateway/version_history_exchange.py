"""Tells peers which engine versions have served lately, and how far back that goes."""

from dotterelpitch.clock import Clock
from dotterelpitch.gateway.link import Link
from dotterelpitch.gateway.peer_exchange import PeerExchange
from dotterelpitch.gateway.state import GatewayState
from dotterelpitch.protocol.gateway_messages import (
    VERSION_HISTORY_LINK_VERSION,
    VersionHistoryDigest,
    VersionListed,
)
from dotterelpitch.routing.version_history import ServiceVersion

MILLISECONDS_PER_SECOND = 1000


class VersionHistoryExchange(PeerExchange[VersionHistoryDigest]):
    """Creates this gateway's digests of version history and applies its peers'."""

    message_type = VersionHistoryDigest
    link_version = VERSION_HISTORY_LINK_VERSION

    def __init__(self, clock: Clock, state: GatewayState) -> None:
        self._clock = clock
        self._directory = state.directory

    def make(self, link: Link) -> VersionHistoryDigest | None:
        """Return the whole history if it has changed; None if not.

        None is told by a VM that has no list of engines yet.
        """
        history = self._directory.version_history
        is_sent = link.versions_sent == history.update_count
        if is_sent or not history.has_started:
            return None
        link.versions_sent = history.update_count
        now = self._clock.monotonic()
        return VersionHistoryDigest(
            known_for_ms=_milliseconds(now - history.known_since),
            listed=[
                VersionListed(v.service, v.version, _milliseconds(now - until))
                for v, until in self._directory.versions_listed_until().items()
            ],
        )

    def apply(self, link: Link, digest: VersionHistoryDigest) -> None:
        """Apply a peer's digest; one of a peer that knows nothing yet changes none."""
        now = self._clock.monotonic()
        known_for_s = max(0, digest.known_for_ms) / MILLISECONDS_PER_SECOND
        self._directory.version_history.merge(
            [
                (
                    ServiceVersion(v.service, v.version),
                    now - max(0, v.age_ms) / MILLISECONDS_PER_SECOND,
                )
                for v in digest.listed
            ],
            now - known_for_s,
        )


def _milliseconds(seconds: float) -> int:
    return int(seconds * MILLISECONDS_PER_SECOND)
