"""Chooses the engine of one attempt: where the prompt is cached, within a bound.

Requests with a prompt are ranked over the engines by rendezvous hashing of the
last prompt part that other requests share, so every VM sends a chat to the same
engine without telling the others. An engine above the load bound is passed over
for the next in rank, which then copies the prompt from the first one's cache.
Requests without a prompt go to the engine with the most free slots.
"""

import random
from collections.abc import Collection, Mapping, Sequence
from enum import StrEnum

from attrs import define, field, frozen

from dotterelpitch.routing.cache_sources import CacheSources
from dotterelpitch.routing.domain_reachability import DomainReachability
from dotterelpitch.routing.engines import Engine, EngineDirectory
from dotterelpitch.routing.error_rates import ErrorRates
from dotterelpitch.routing.fleet_loads import FleetLoads
from dotterelpitch.routing.health import EngineHealth, HealthState
from dotterelpitch.routing.ranking import RankTable

# An engine may hold this multiple of the mean load, and a few requests more.
LOAD_MULTIPLE = 1.75
LOAD_SLACK = 3.0
# A request in another failure domain costs two longer hops: less than one request.
OTHER_DOMAIN_LOAD = 0.5
MAX_RANK_TABLES = 32
# An engine with less than this share of its usual work is passed over for that.
HEALTHY_SHARE = 0.5


class ChoiceReason(StrEnum):
    """Why an engine was chosen."""

    USUAL_ENGINE = "usual-engine"
    USUAL_ENGINE_FULL = "usual-engine-is-full"
    USUAL_ENGINE_SUSPECT = "usual-engine-is-suspect"
    LEAST_LOADED = "least-loaded"


@frozen
class EngineChoice:
    """An engine, why it was chosen, and what was known when it was.

    ``cache_source`` is an engine that may hold more of the prompt than the
    chosen one.
    """

    engine: Engine
    reason: ChoiceReason
    load: int
    mean_load: float
    cache_source: Engine | None = None


@define
class EngineChooser:
    """Ranks the engines of a service for a request."""

    _directory: EngineDirectory
    _loads: FleetLoads
    _health: EngineHealth
    _error_rates: ErrorRates
    _reach: DomainReachability
    _sources: CacheSources
    _random: random.Random = field(factory=random.Random)
    _table_by_ids: dict[tuple[str, ...], RankTable] = field(factory=dict)

    def choose(
        self,
        service: str,
        shared_parts: Sequence[str] = (),
        excluded: Collection[str] = (),
        unreachable_domains: Collection[str] = (),
        may_probe: bool = False,
    ) -> EngineChoice | None:
        """Return the engine for a request, or None when no engine is left.

        ``shared_parts`` are the parts of its prompt that other requests have
        too; there are none for a request without a prompt. ``excluded`` are
        the engines that have had the request; an engine of ``silent_domains``,
        where it has met an engine without a sign of life, is taken last. With
        ``may_probe`` it may find out whether a suspect engine works again.
        """
        usable = self._directory.usable(service)
        engines = [engine for engine in usable if engine.id not in excluded]
        if not engines:
            return None
        share_by_id = self._shares(engines, unreachable_domains, may_probe)
        load_by_id = self._loads.totals(engine.id for engine in engines)
        mean = sum(load_by_id.values()) / len(engines)
        if shared_parts:
            return self._choose_cached(
                service, engines, shared_parts, share_by_id, load_by_id, mean
            )
        engine = min(
            engines, key=lambda e: self._cost(e, load_by_id[e.id], share_by_id[e.id])
        )
        return EngineChoice(
            engine, ChoiceReason.LEAST_LOADED, load_by_id[engine.id], mean
        )

    def _choose_cached(
        self,
        service: str,
        engines: list[Engine],
        shared_parts: Sequence[str],
        share_by_id: Mapping[str, float],
        load_by_id: Mapping[str, int],
        mean: float,
    ) -> EngineChoice:
        engine_by_id = {engine.id: engine for engine in engines}
        ranked = self._ranked(sorted(engine_by_id), shared_parts[-1])
        bound = LOAD_MULTIPLE * mean + LOAD_SLACK
        chosen_id = next(
            (i for i in ranked if load_by_id[i] + 1 <= bound * share_by_id[i]), None
        )
        if chosen_id is None:
            chosen_id = min(
                ranked, key=lambda i: (load_by_id[i] + 1) / max(0.01, share_by_id[i])
            )
        usual_share = share_by_id[ranked[0]]
        reason = (
            ChoiceReason.USUAL_ENGINE_FULL
            if usual_share >= HEALTHY_SHARE
            else ChoiceReason.USUAL_ENGINE_SUSPECT
        )
        if chosen_id == ranked[0]:
            reason = ChoiceReason.USUAL_ENGINE
        chosen = engine_by_id[chosen_id]
        source = self._sources.find(
            service, shared_parts, chosen, self._ranked, self._is_trusted
        )
        return EngineChoice(chosen, reason, load_by_id[chosen_id], mean, source)

    def _is_trusted(self, engine: Engine) -> bool:
        return self._trust(engine, may_probe=False) >= HEALTHY_SHARE

    def _shares(
        self,
        engines: list[Engine],
        unreachable_domains: Collection[str],
        may_probe: bool,
    ) -> dict[str, float]:
        """Return the share of usual work by engine.

        When no engine may work at all, the error rates alone decide.
        """
        error_share_by_id = self._error_rates.shares([engine.id for engine in engines])
        share_by_id = {
            engine.id: error_share_by_id[engine.id] * self._trust(engine, may_probe)
            for engine in engines
            if engine.failure_domain not in unreachable_domains
        }
        if not any(share_by_id.values()):
            return error_share_by_id
        return {engine.id: share_by_id.get(engine.id, 0.0) for engine in engines}

    def _trust(self, engine: Engine, may_probe: bool) -> float:
        if self._health.state(engine.id) is HealthState.PROBING:
            is_free = not self._loads.own_count(engine.id)
            return float(may_probe and is_free)
        if self._reach.is_unreachable(engine.failure_domain):
            return 0.0
        return self._health.share(engine.id)

    def _cost(self, engine: Engine, load: int, share: float) -> float:
        distance = OTHER_DOMAIN_LOAD * (engine.failure_domain != self._reach.own_domain)
        jitter = self._random.random() * OTHER_DOMAIN_LOAD
        return (load + 1 + distance + jitter) / max(0.01, share)

    def _ranked(self, engine_ids: list[str], cache_key: str) -> list[str]:
        ids = tuple(engine_ids)
        table = self._table_by_ids.get(ids)
        if table is None:
            if len(self._table_by_ids) >= MAX_RANK_TABLES:
                self._table_by_ids.clear()
            table = RankTable(dict.fromkeys(ids, 1))
            self._table_by_ids[ids] = table
        return table.order(cache_key, len(ids))
