"""Tells peers how long engines took, so that all VMs estimate their speeds together."""

import math
from collections import deque

from attrs import frozen

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

# A peer is told at this interval.
TELL_INTERVAL_SECONDS = 0.5
# Samples that weren't sent within this time are out of date.
MAX_AGE_SECONDS = 2.0
OWN = ""
MILLI = 1000.0
MAX_SAMPLES = 100_000


@frozen
class _Entry:
    number: int
    at: float
    source: str
    engine_id: str
    samples: SpeedSamples


class EngineSpeedExchange(PeerExchange[EngineSpeedDigest]):
    """Sends the samples since the last digest on a link, and merges those of peers.

    A relay passes on what its members and the other relays have told.
    """

    message_type = EngineSpeedDigest
    link_version = ENGINE_SPEEDS_LINK_VERSION

    def __init__(
        self, clock: Clock, topology: LinkTopology, speeds: EngineSpeeds
    ) -> None:
        self._clock = clock
        self._topology = topology
        self._speeds = speeds
        self._entries: deque[_Entry] = deque()
        self._last_number = 0
        speeds.on_sample = self._add_own

    def make(self, link: Link) -> EngineSpeedDigest | None:
        """Return the samples that a peer lacks, summed up by engine."""
        now = self._clock.monotonic()
        if now - link.speeds_sent_at < TELL_INTERVAL_SECONDS:
            return None
        total_by_id: dict[str, SpeedSamples] = {}
        for entry in self._entries:
            is_new = entry.number > link.speeds_sent
            if is_new and self._topology.passes_on(link, entry.source):
                known = total_by_id.get(entry.engine_id, SpeedSamples(0, 0.0))
                total_by_id[entry.engine_id] = known.plus(entry.samples)
        link.speeds_sent = self._last_number
        if not total_by_id:
            return None
        link.speeds_sent_at = now
        return EngineSpeedDigest(
            [
                EngineSpeed(engine_id, total.count, round(total.log_sum * MILLI))
                for engine_id, total in total_by_id.items()
            ]
        )

    def apply(self, link: Link, message: EngineSpeedDigest) -> None:
        """Merge what a peer has told."""
        if not self._topology.accepts_reports_from(link):
            return
        for speed in message.engines:
            samples = SpeedSamples(speed.count, speed.log_sum_milli / MILLI)
            if 0 < speed.count <= MAX_SAMPLES and math.isfinite(samples.log_sum):
                self._add(link.peer.name, speed.engine, samples)
                self._speeds.merge(speed.engine, samples)

    def _add_own(self, engine_id: str, samples: SpeedSamples) -> None:
        self._add(OWN, engine_id, samples)

    def _add(self, source: str, engine_id: str, samples: SpeedSamples) -> None:
        now = self._clock.monotonic()
        self._last_number += 1
        self._entries.append(_Entry(self._last_number, now, source, engine_id, samples))
        while self._entries[0].at < now - MAX_AGE_SECONDS:
            self._entries.popleft()
