"""The rate limits of engines, and the decisions that keep the whole fleet to them."""

import random
from collections.abc import Mapping

from dotterelpitch.clock import Clock
from dotterelpitch.routing.cold_engines import ColdEngines, ColdLimits
from dotterelpitch.routing.engine_rate_limiter import EngineRateLimiter
from dotterelpitch.routing.engines import Engine
from dotterelpitch.routing.fleet_counts import CountKey, FleetCounts
from dotterelpitch.routing.priority_admission import PriorityAdmission
from dotterelpitch.routing.rate_limit_registry import RateLimitRegistry


class FleetRateLimits:
    """What is known of the engines' limits, and the limiters that use it.

    ``registry`` holds the limits that engines name, ``cold_engines`` those that have
    just started, ``counts`` what VMs tell one another, ``limiter`` decides for each
    engine, and ``admission`` for services whose engines all have limits. They draw from
    ``rng``.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random | None = None,
        cold_engines: ColdEngines | None = None,
    ) -> None:
        rng = rng or random.Random()
        self.registry = RateLimitRegistry(clock)
        self.cold_engines = cold_engines or ColdEngines(clock, lambda _: ColdLimits())
        self.counts = FleetCounts(clock)
        sources = (self.registry, self.cold_engines)
        self.limiter = EngineRateLimiter(clock, sources, self.counts, rng=rng)
        self.admission = PriorityAdmission(clock, self.counts, rng)

    def admits(self, service: str, priority: int, engines: list[Engine]) -> bool:
        """Count a request; return whether to look for an engine for it.

        ``engines`` are those of the service. While one of them has no limit, all
        requests are admitted.
        """
        limit_by_id = self.limiter.limits(engines)
        allowed = None
        if engines and len(limit_by_id) == len(engines):
            allowed = sum(limit_by_id.values())
        return self.admission.admits(service, priority, allowed)

    def merge(
        self,
        source: str,
        engine_by_id: Mapping[str, Engine],
        count_by_key: Mapping[CountKey, int],
    ) -> None:
        """Add what ``source`` has counted since its last digest."""
        self.counts.add(source, count_by_key)
        self.limiter.merge(engine_by_id, count_by_key)
        self.admission.merge(count_by_key)

    def retain(self, engine_ids: set[str]) -> None:
        """Remove all engines that aren't in ``engine_ids``."""
        self.registry.retain(engine_ids)
        self.cold_engines.retain(engine_ids)
        self.limiter.retain(engine_ids)
