"""Tells peers how long engines took, so that all VMs estimate their speeds together."""

from collections.abc import Callable, Mapping

from dotterelpitch.clock import Clock
from dotterelpitch.gateway.link import Link
from dotterelpitch.gateway.link_topology import LinkTopology
from dotterelpitch.gateway.peer_exchange import PeerExchange
from dotterelpitch.protocol.gateway_messages import (
    ENGINE_SPEEDS_LINK_VERSION,
    EngineSpeed,
    EngineSpeedDigest,
)
from dotterelpitch.routing.engine_speeds import EngineSpeeds, SpeedSamples
from dotterelpitch.routing.fleet_counts import (
    OWN,
    CountKey,
    FleetCounts,
    SampleKey,
    SampleKind,
)

# A peer is told at this interval, or at a longer one, so that all peers together aren't
# sent more messages than this.
MIN_TELL_INTERVAL_SECONDS = 0.5
MESSAGES_PER_SECOND = 12.0
MILLI = 1000.0
MAX_SAMPLES = 100_000


class EngineSpeedExchange(PeerExchange[EngineSpeedDigest]):
    """Sends the samples since the last digest on a link, and merges those of peers.

    A relay passes on what its members and the other relays have told.
    """

    message_type = EngineSpeedDigest
    link_version = ENGINE_SPEEDS_LINK_VERSION

    def __init__(
        self,
        clock: Clock,
        topology: LinkTopology,
        speeds: EngineSpeeds,
        count_links: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._topology = topology
        self._speeds = speeds
        self._count_links = count_links
        self._counts = FleetCounts(clock)
        speeds.on_sample = self._add_own

    def make(self, link: Link) -> EngineSpeedDigest | None:
        """Return the samples that a peer lacks, summed up by engine."""
        now = self._clock.monotonic()
        interval_s = max(
            MIN_TELL_INTERVAL_SECONDS, self._count_links() / MESSAGES_PER_SECOND
        )
        if now - link.speeds_sent_at < interval_s:
            return None
        total = self._counts.since(
            link.speeds_sent, lambda source: self._topology.passes_on(link, source)
        )
        link.speeds_sent = self._counts.last_number
        if not total:
            return None
        link.speeds_sent_at = now
        return EngineSpeedDigest(_speeds_of(total))

    def apply(self, link: Link, message: EngineSpeedDigest) -> None:
        """Merge what a peer has told."""
        if not self._topology.accepts_reports_from(link):
            return
        for speed in message.engines:
            if 0 < speed.count <= MAX_SAMPLES:
                samples = SpeedSamples(speed.count, speed.log_sum_milli / MILLI)
                self._add(link.peer.name, speed.engine, samples)
                self._speeds.merge(speed.engine, samples)

    def _add_own(self, engine_id: str, samples: SpeedSamples) -> None:
        self._add(OWN, engine_id, samples)

    def _add(self, source: str, engine_id: str, samples: SpeedSamples) -> None:
        count_by_key: dict[CountKey, int] = {
            SampleKey(engine_id, SampleKind.COUNT): samples.count,
            SampleKey(engine_id, SampleKind.LOG_SUM): round(samples.log_sum * MILLI),
        }
        self._counts.add(source, count_by_key)


def _speeds_of(total: Mapping[CountKey, int]) -> list[EngineSpeed]:
    return [
        EngineSpeed(
            key.engine_id, count, total[SampleKey(key.engine_id, SampleKind.LOG_SUM)]
        )
        for key, count in total.items()
        if isinstance(key, SampleKey) and key.kind is SampleKind.COUNT
    ]
