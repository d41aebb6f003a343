"""Tells peers of the rate limits of engines, and of what was sent and wanted there."""

import math
from collections.abc import Mapping

from dotterelpitch.clock import Clock
from dotterelpitch.gateway.link import Link
from dotterelpitch.gateway.link_topology import LinkTopology
from dotterelpitch.gateway.peer_directory import PeerDirectory
from dotterelpitch.gateway.peer_exchange import PeerExchange
from dotterelpitch.gateway.state import GatewayState
from dotterelpitch.protocol.gateway_messages import (
    RATE_LIMITS_LINK_VERSION,
    EngineCounts,
    RateLimitDigest,
    RateLimitReport,
    ServiceCount,
)
from dotterelpitch.routing.fleet_counts import (
    CountKey,
    EngineCountKey,
    EngineCountKind,
    ServiceCountKey,
)
from dotterelpitch.routing.fleet_rate_limits import FleetRateLimits
from dotterelpitch.routing.rate_limit_registry import ObservedLimit

# Reported of an engine whose responses have always named a limit.
NEVER_MS = -1

_FIELD_BY_KIND = {
    EngineCountKind.WANTED_FIRST: "wanted_first",
    EngineCountKind.WANTED_NEXT: "wanted_next",
    EngineCountKind.SENT: "sent",
}


class RateLimitExchange(PeerExchange[RateLimitDigest]):
    """Creates this gateway's rate limit digests and applies those of its peers."""

    message_type = RateLimitDigest
    link_version = RATE_LIMITS_LINK_VERSION

    def __init__(
        self,
        clock: Clock,
        state: GatewayState,
        topology: LinkTopology,
        fleet: PeerDirectory,
        rate_limits: FleetRateLimits,
    ) -> None:
        self._clock = clock
        self._state = state
        self._topology = topology
        self._fleet = fleet
        self._rate_limits = rate_limits
        self._contact_share_of_relay = 1.0

    def update_contact_share(self) -> None:
        """Estimate the share of the fleet whose counts this VM knows.

        A member knows what its relay knows.
        """
        share = self._fleet.contact_share()
        if not self._topology.is_relay:
            share = self._contact_share_of_relay
        self._rate_limits.limiter.fleet_share = share

    def make(self, link: Link) -> RateLimitDigest | None:
        """Return what a peer must be told now, and mark it as sent; None if nothing."""
        registry, counts = self._rate_limits.registry, self._rate_limits.counts
        link.rate_limits_sent, limits = registry.updates_after(link.rate_limits_sent)
        total = counts.since(
            link.counts_sent,
            lambda source: self._topology.passes_on(link, source),
        )
        link.counts_sent = counts.last_number
        contact_share = self._rate_limits.limiter.fleet_share
        is_unchanged = contact_share == link.contact_share_sent
        if is_unchanged and not limits and not total:
            return None
        link.contact_share_sent = contact_share
        return RateLimitDigest(
            [self._report(limit) for limit in limits],
            _engine_counts(total),
            _service_counts(total),
            contact_share,
        )

    def apply(self, link: Link, digest: RateLimitDigest) -> None:
        """Apply a peer's digest."""
        limits = [self._observed(r) for r in digest.limits if _is_valid(r)]
        self._rate_limits.registry.merge(link.peer.name, limits)
        if link.peer.name == self._topology.relay:
            self._contact_share_of_relay = digest.contact_share
        if self._topology.accepts_reports_from(link):
            engine_by_id = self._state.directory.engine_by_id
            self._rate_limits.merge(link.peer.name, engine_by_id, _count_by_key(digest))

    def _report(self, limit: ObservedLimit) -> RateLimitReport:
        return RateLimitReport(
            limit.engine_id,
            limit.started_ms,
            limit.per_second,
            self._age_ms(limit.named_at),
            self._age_ms(limit.absent_at),
        )

    def _observed(self, report: RateLimitReport) -> ObservedLimit:
        return ObservedLimit(
            report.engine,
            report.started_ms,
            report.per_second,
            self._time(report.named_age_ms),
            self._time(report.absent_age_ms),
        )

    def _age_ms(self, at: float) -> int:
        if math.isinf(at):
            return NEVER_MS
        return int(max(0.0, self._clock.monotonic() - at) * 1000)

    def _time(self, age_ms: int) -> float:
        if age_ms == NEVER_MS:
            return float("-inf")
        return self._clock.monotonic() - age_ms / 1000


def _is_valid(report: RateLimitReport) -> bool:
    is_number = math.isfinite(report.per_second) and report.per_second >= 0.0
    return is_number and report.named_age_ms >= 0 and report.absent_age_ms >= NEVER_MS


def _engine_counts(total: Mapping[CountKey, int]) -> list[EngineCounts]:
    fields_by_id: dict[str, dict[str, int]] = {}
    for key, count in total.items():
        if isinstance(key, EngineCountKey):
            fields = fields_by_id.setdefault(key.engine_id, {})
            fields[_FIELD_BY_KIND[key.kind]] = count
    return [EngineCounts(i, **fields) for i, fields in fields_by_id.items()]


def _service_counts(total: Mapping[CountKey, int]) -> list[ServiceCount]:
    return [
        ServiceCount(key.service, key.priority, count)
        for key, count in total.items()
        if isinstance(key, ServiceCountKey)
    ]


def _count_by_key(digest: RateLimitDigest) -> dict[CountKey, int]:
    """Return the counts of a digest that aren't zero."""
    count_by_key: dict[CountKey, int] = {}
    for counts in digest.engine_counts:
        for kind, name in _FIELD_BY_KIND.items():
            if count := getattr(counts, name):
                count_by_key[EngineCountKey(counts.engine, kind)] = count
    for counts in digest.service_counts:
        key = ServiceCountKey(counts.service, counts.priority)
        count_by_key[key] = counts.count
    return count_by_key
