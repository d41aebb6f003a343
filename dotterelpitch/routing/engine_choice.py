"""Chooses an engine for each attempt by cache affinity, load, and health.

For a request with a prompt, the engines are ranked by rendezvous hashing of the
last prompt part that other requests share, so all VMs send a chat to the same
engine without coordination. If the load of that engine is above the bound, the
request goes to the next in rank, which copies the prompt from the cache of the
first. A request without a prompt goes to the engine with the lowest load for its
share of traffic.
"""

import random
from collections.abc import Collection, Iterable, Iterator, Mapping, Sequence
from enum import StrEnum
from functools import cached_property, partial

from attrs import define, field, frozen

from dotterelpitch.routing.cache_sources import CacheSources
from dotterelpitch.routing.domain_reachability import DomainReachability
from dotterelpitch.routing.engine_pauses import EnginePauses
from dotterelpitch.routing.engine_rate_limiter import EngineRateLimiter
from dotterelpitch.routing.engine_speeds import EngineSpeeds
from dotterelpitch.routing.engines import Engine, EngineDirectory
from dotterelpitch.routing.error_rates import ErrorRates
from dotterelpitch.routing.fleet_counts import EngineCountKind
from dotterelpitch.routing.fleet_loads import FleetLoads
from dotterelpitch.routing.health import EngineHealth, HealthState
from dotterelpitch.routing.ranking import RankTable

# The load bound of an engine is this multiple of the mean load plus the slack.
LOAD_BOUND_FACTOR = 1.75
LOAD_BOUND_SLACK_REQUESTS = 3.0
# A request to another failure domain has two longer hops, which cost less than
# one more request on an engine.
CROSS_DOMAIN_PENALTY_REQUESTS = 0.5
MAX_CACHED_RANK_TABLES = 32
# An engine with a smaller share of its normal traffic counts as suspect in the
# reason for a choice, and no prompt is copied from it.
MIN_HEALTHY_SHARE = 0.5
# At most this many engines with a rate limit are asked for one request.
MAX_LIMITED_ASKED = 6


class ChoiceReason(StrEnum):
    """Reason for choosing an engine, as logged.

    The usual engine of a request is the first in the rank order of its prompt.
    """

    USUAL_ENGINE = "usual-engine"
    USUAL_ENGINE_FULL = "usual-engine-is-full"
    USUAL_ENGINE_SUSPECT = "usual-engine-is-suspect"
    USUAL_ENGINE_LIMITED = "usual-engine-is-at-its-limit"
    LEAST_LOADED = "least-loaded"


@frozen
class EngineChoice:
    """The engine chosen for an attempt, with the reason and the loads used.

    ``load`` is the number of requests at the engine and ``mean_load`` the mean
    over the candidates. ``cache_source`` is an engine from which the chosen one
    can copy the prompt, or None.
    """

    engine: Engine
    reason: ChoiceReason
    load: int
    mean_load: float
    cache_source: Engine | None = None


@frozen
class _Candidates:
    """The engines that may serve a request, and what the choice among them uses.

    ``share_by_id`` is the share of its normal traffic that an engine may get, from 0
    to 1. ``limited_ids`` are the engines that name rate limits.
    """

    engine_by_id: Mapping[str, Engine]
    load_by_id: Mapping[str, int]
    share_by_id: Mapping[str, float]
    limited_ids: Collection[str]

    @cached_property
    def mean_load(self) -> float:
        """The mean load, without engines with rate limits if there are others.

        Engines at their limits have little load, which says nothing of the rest.
        """
        loads = self.load_by_id.values()
        if self.limited_ids and len(self.limited_ids) < len(loads):
            loads = [n for i, n in self.load_by_id.items() if i not in self.limited_ids]
        return sum(loads) / len(loads)

    @cached_property
    def bound(self) -> float:
        """The load bound of an engine that gets all of its normal traffic."""
        return LOAD_BOUND_FACTOR * self.mean_load + LOAD_BOUND_SLACK_REQUESTS

    def is_within_bound(self, engine_id: str) -> bool:
        """Return whether one more request keeps an engine within its load bound."""
        load = self.load_by_id[engine_id] + 1
        return load <= self.bound * self.share_by_id[engine_id]

    def overload(self, engine_id: str) -> float:
        """Return the load of an engine with one more request, by its share."""
        share = max(0.01, self.share_by_id[engine_id])
        return (self.load_by_id[engine_id] + 1) / share


@define
class EngineChooser:
    """Chooses the engine of a service for each attempt.

    Holds the state on which a choice depends, and rank tables by engine list.
    """

    _directory: EngineDirectory
    _loads: FleetLoads
    _health: EngineHealth
    _error_rates: ErrorRates
    _reachability: DomainReachability
    _cache_sources: CacheSources
    _rate_limiter: EngineRateLimiter
    _pauses: EnginePauses
    _speeds: EngineSpeeds
    _random: random.Random = field(factory=random.Random)
    _table_by_ids: dict[tuple[str, ...], RankTable] = field(factory=dict)

    def choose(
        self,
        service: str,
        shared_parts: Sequence[str] = (),
        excluded: Collection[str] = (),
        unreachable_domains: Collection[str] = (),
        may_probe: bool = False,
        version: str | None = None,
    ) -> EngineChoice | None:
        """Return the choice for a request, or None if no engine can take it.

        ``shared_parts`` are the leading prompt parts that other requests share;
        empty for a request without a prompt. ``excluded`` are the ids of engines
        that were already tried for the request. ``unreachable_domains`` are failure
        domains in which this request has found an engine unreachable; their
        engines are chosen last. ``may_probe`` allows the request to go to a
        suspect engine to find out whether it works again. ``version`` is the only
        software version that may be chosen, or None for any. The choice counts against
        the engine's rate limit. An engine that wants a pause is never chosen.
        """
        usable = self._directory.usable(service)
        engines = [
            engine
            for engine in usable
            if engine.id not in excluded
            and version in (None, engine.version)
            and not self._pauses.is_paused(engine)
        ]
        if not engines:
            return None
        candidates = _Candidates(
            {engine.id: engine for engine in engines},
            self._loads.totals(engine.id for engine in engines),
            self._traffic_shares(engines, unreachable_domains, may_probe),
            self._rate_limiter.limits(engines).keys(),
        )
        if shared_parts:
            return self._choose_by_prompt(service, candidates, shared_parts)
        return self._choose_by_load(candidates)

    def _choose_by_load(self, candidates: _Candidates) -> EngineChoice | None:
        engines = candidates.engine_by_id.values()
        score = partial(self._load_score, candidates)
        engine = (
            self._first_within_limit(sorted(engines, key=score), candidates.limited_ids)
            if candidates.limited_ids
            else min(engines, key=score)
        )
        if engine is None:
            return None
        return EngineChoice(
            engine,
            ChoiceReason.LEAST_LOADED,
            candidates.load_by_id[engine.id],
            candidates.mean_load,
        )

    def _first_within_limit(
        self, engines: Iterable[Engine], limited_ids: Collection[str]
    ) -> Engine | None:
        """Return the first engine whose rate limit allows a request, if it has one.

        Not all engines with a limit are asked, which would take long in a large fleet.
        """
        asked_ids: set[str] = set()
        wanted = EngineCountKind.WANTED_FIRST
        for engine in engines:
            if engine.id not in limited_ids:
                return engine
            is_first = wanted is EngineCountKind.WANTED_FIRST
            if not is_first and self._rate_limiter.is_barred(engine):
                continue
            if engine.id not in asked_ids and len(asked_ids) < MAX_LIMITED_ASKED:
                asked_ids.add(engine.id)
                if self._rate_limiter.try_send(engine, wanted):
                    return engine
            wanted = EngineCountKind.WANTED_NEXT
        return None

    def _choose_by_prompt(
        self, service: str, candidates: _Candidates, shared_parts: Sequence[str]
    ) -> EngineChoice | None:
        ranked_ids = self._rank(sorted(candidates.engine_by_id), shared_parts[-1])
        chosen = self._first_within_limit(
            _in_order(candidates, ranked_ids), candidates.limited_ids
        )
        if chosen is None:
            return None
        source = self._cache_sources.find(
            service, shared_parts, chosen, self._rank, self._is_trusted
        )
        return EngineChoice(
            chosen,
            _reason(candidates, chosen.id, usual_id=ranked_ids[0]),
            candidates.load_by_id[chosen.id],
            candidates.mean_load,
            source,
        )

    def _is_trusted(self, engine: Engine) -> bool:
        return self._health_share(engine, may_probe=False) >= MIN_HEALTHY_SHARE

    def _traffic_shares(
        self,
        engines: list[Engine],
        unreachable_domains: Collection[str],
        may_probe: bool,
    ) -> dict[str, float]:
        """Return the share of normal traffic by engine id, from 0 to 1.

        If health and reachability exclude every engine, only error rates count.
        """
        engine_ids = [engine.id for engine in engines]
        error_share_by_id = self._error_rates.shares(engine_ids)
        speed_share_by_id = self._speeds.shares(engine_ids)
        share_by_id = {
            engine.id: error_share_by_id[engine.id]
            * speed_share_by_id[engine.id]
            * self._health_share(engine, may_probe)
            * self._pauses.share(engine)
            for engine in engines
            if engine.failure_domain not in unreachable_domains
        }
        if not any(share_by_id.values()):
            return error_share_by_id
        return {engine.id: share_by_id.get(engine.id, 0.0) for engine in engines}

    def _health_share(self, engine: Engine, may_probe: bool) -> float:
        if self._health.state(engine.id) is HealthState.PROBING:
            is_free = not self._loads.own_count(engine.id)
            return float(may_probe and is_free)
        if self._reachability.is_unreachable(engine.failure_domain):
            return 0.0
        return self._health.share(engine.id)

    def _load_score(self, candidates: _Candidates, engine: Engine) -> float:
        penalty = CROSS_DOMAIN_PENALTY_REQUESTS * (
            engine.failure_domain != self._reachability.own_domain
        )
        jitter = self._random.random() * CROSS_DOMAIN_PENALTY_REQUESTS
        share = max(0.01, candidates.share_by_id[engine.id])
        return (candidates.load_by_id[engine.id] + 1 + penalty + jitter) / share

    def _rank(self, engine_ids: list[str], cache_key: str) -> list[str]:
        ids = tuple(engine_ids)
        table = self._table_by_ids.get(ids)
        if table is None:
            if len(self._table_by_ids) >= MAX_CACHED_RANK_TABLES:
                self._table_by_ids.clear()
            table = RankTable(dict.fromkeys(ids, 1))
            self._table_by_ids[ids] = table
        return table.order(cache_key, len(ids))


def _in_order(candidates: _Candidates, ranked_ids: list[str]) -> Iterator[Engine]:
    """Yield the engines within the load bound by rank, then all by load."""
    for engine_id in ranked_ids:
        if candidates.is_within_bound(engine_id):
            yield candidates.engine_by_id[engine_id]
    for engine_id in sorted(ranked_ids, key=candidates.overload):
        yield candidates.engine_by_id[engine_id]


def _reason(candidates: _Candidates, chosen_id: str, usual_id: str) -> ChoiceReason:
    """Return why an engine was chosen for a request whose usual one is known."""
    if chosen_id == usual_id:
        return ChoiceReason.USUAL_ENGINE
    if candidates.share_by_id[usual_id] < MIN_HEALTHY_SHARE:
        return ChoiceReason.USUAL_ENGINE_SUSPECT
    if usual_id in candidates.limited_ids:
        return ChoiceReason.USUAL_ENGINE_LIMITED
    return ChoiceReason.USUAL_ENGINE_FULL
