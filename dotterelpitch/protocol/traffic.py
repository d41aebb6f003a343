"""Byte counters of the inner protocol, by message kind and by peer."""

from collections import Counter

from attrs import define, field

MAX_PEERS = 512
EVICTED_PEERS = "forgotten"
BODY_KIND = "Data"


@define
class TrafficCounter:
    """Bytes sent and received, by the name of the message class.

    Data carries bodies and tokens; all other messages are control traffic.
    """

    sent_by_kind: Counter[str] = field(factory=Counter)
    received_by_kind: Counter[str] = field(factory=Counter)

    @property
    def control_sent(self) -> int:
        """Bytes of control frames sent."""
        return self.sent_by_kind.total() - self.body_sent

    @property
    def control_received(self) -> int:
        """Bytes of control frames received."""
        return self.received_by_kind.total() - self.body_received

    @property
    def body_sent(self) -> int:
        """Bytes of Data frames sent."""
        return self.sent_by_kind[BODY_KIND]

    @property
    def body_received(self) -> int:
        """Bytes of Data frames received."""
        return self.received_by_kind[BODY_KIND]

    def add(self, other: "TrafficCounter") -> None:
        """Add the counts of ``other``."""
        self.sent_by_kind.update(other.sent_by_kind)
        self.received_by_kind.update(other.received_by_kind)


class TrafficTotals:
    """The traffic of this process by peer, over all connections since its start.

    Above ``MAX_PEERS`` the oldest peers are merged into one entry, so that replaced
    VMs don't accumulate.
    """

    def __init__(self) -> None:
        self.counter_by_peer: dict[str, TrafficCounter] = {}

    def for_peer(self, peer: str) -> TrafficCounter:
        """Return the counter of ``peer``, which is created when it is missing."""
        if peer not in self.counter_by_peer:
            self._evict_if_full()
            self.counter_by_peer[peer] = TrafficCounter()
        return self.counter_by_peer[peer]

    def total_by_kind(self) -> TrafficCounter:
        """Return the bytes by message kind, summed over all peers."""
        total = TrafficCounter()
        for counter in self.counter_by_peer.values():
            total.add(counter)
        return total

    def _evict_if_full(self) -> None:
        if len(self.counter_by_peer) < MAX_PEERS:
            return
        peers = (peer for peer in self.counter_by_peer if peer != EVICTED_PEERS)
        evicted = self.counter_by_peer.pop(next(peers))
        evicted_total = self.counter_by_peer.setdefault(EVICTED_PEERS, TrafficCounter())
        evicted_total.add(evicted)


traffic_totals = TrafficTotals()
