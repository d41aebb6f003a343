"""Counts the bytes of the inner protocol by message kind and by peer."""

from collections import Counter

from attrs import define, field

MAX_PEERS = 512
EVICTED_PEERS = "forgotten"
BODY_KIND = "Data"


@define
class TrafficCounter:
    """Bytes sent and received, each by the name of the message class.

    Data carries bodies and tokens; everything else is control traffic.
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
    """The process's traffic by peer, over all connections since its start.

    Peers beyond ``MAX_PEERS`` are folded into one entry, the longest known
    first, so that replaced VMs don't add up.
    """

    def __init__(self) -> None:
        self.counter_by_peer: dict[str, TrafficCounter] = {}

    def for_peer(self, peer: str) -> TrafficCounter:
        """Return the running counter of ``peer``."""
        if peer not in self.counter_by_peer:
            self._make_room()
            self.counter_by_peer[peer] = TrafficCounter()
        return self.counter_by_peer[peer]

    def total_by_kind(self) -> TrafficCounter:
        """Return the sum over all peers."""
        total = TrafficCounter()
        for counter in self.counter_by_peer.values():
            total.add(counter)
        return total

    def _make_room(self) -> None:
        if len(self.counter_by_peer) < MAX_PEERS:
            return
        known = (peer for peer in self.counter_by_peer if peer != EVICTED_PEERS)
        dropped = self.counter_by_peer.pop(next(known))
        forgotten = self.counter_by_peer.setdefault(EVICTED_PEERS, TrafficCounter())
        forgotten.add(dropped)


traffic_totals = TrafficTotals()
