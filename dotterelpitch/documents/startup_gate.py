"""Decides when a starting process may read the platform and when it is ready.

A platform may serve a revision older than the one in force in the fleet, so a
starting process queries its peers first. A peer is settled once its own startup
is complete. Others may not have the newest documents, so only settled peers count
toward ``MIN_SETTLED_PEERS``.
"""

from collections.abc import Iterable

from attrs import frozen

from dotterelpitch.clock import Clock
from dotterelpitch.documents.registry import DocumentRegistry

MIN_SETTLED_PEERS = 2
PEER_QUERY_SECONDS = 3.0


@frozen
class OfferedRevision:
    """The service, revision, and checksum of a version that a peer has in force."""

    service: str
    revision: int
    checksum: int


class StartupGate:
    """Tracks the peer queries of one startup.

    Opens when ``MIN_SETTLED_PEERS`` settled peers have answered, when no peer is
    left to wait for, or ``PEER_QUERY_SECONDS`` after ``start``.

    >>> from dotterelpitch.clock import ManualClock
    >>> clock = ManualClock()
    >>> gate = StartupGate(clock)
    >>> gate.start(["vm-1", "vm-2"])
    >>> gate.may_read_platform()
    False
    >>> gate.stop_waiting_for("vm-1")
    >>> gate.record_answer("vm-2", settled=False, offered=[])
    >>> gate.may_read_platform()
    True
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._deadline = float("inf")
        self._pending_peers: set[str] | None = None
        self._settled_peers: set[str] = set()
        self._highest_offer_by_service: dict[str, OfferedRevision] = {}

    def start(self, peers: Iterable[str]) -> None:
        """Start the deadline; ``peers`` are those to wait for and may be empty."""
        self._pending_peers = set(peers)
        self._deadline = self._clock.monotonic() + PEER_QUERY_SECONDS

    def stop_waiting_for(self, peer: str) -> None:
        """Remove ``peer`` from the peers whose answer the gate waits for."""
        if self._pending_peers is not None:
            self._pending_peers.discard(peer)

    def record_answer(
        self, peer: str, settled: bool, offered: Iterable[OfferedRevision]
    ) -> None:
        """Record what ``peer`` has in force, and whether it is settled itself."""
        self.stop_waiting_for(peer)
        if settled:
            self._settled_peers.add(peer)
        for offer in offered:
            known = self._highest_offer_by_service.get(offer.service)
            if known is None or known.revision < offer.revision:
                self._highest_offer_by_service[offer.service] = offer

    def may_read_platform(self) -> bool:
        """Return whether the gate is open."""
        if self.timed_out():
            return True
        if len(self._settled_peers) >= MIN_SETTLED_PEERS:
            return True
        return self._pending_peers is not None and not self._pending_peers

    def timed_out(self) -> bool:
        """Return whether ``PEER_QUERY_SECONDS`` have passed since ``start``."""
        return self._clock.monotonic() >= self._deadline

    def is_settled(self, registry: DocumentRegistry, services: Iterable[str]) -> bool:
        """Return whether the process has all documents that its peers offered.

        That is: the gate is open, there is a document for at least one of the
        ``services``, and none is below a revision that a peer offered. The last
        condition no longer applies once the deadline has passed.
        """
        if not self.may_read_platform():
            return False
        if not any(registry.get(service) for service in services):
            return False
        return self.timed_out() or all(
            registry.revision(offer.service) >= offer.revision
            for offer in self._highest_offer_by_service.values()
        )
