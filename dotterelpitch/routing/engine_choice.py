"""Chooses the engine of one attempt: where the prompt is cached, within a bound.

Requests with a prompt are ranked over the engines by rendezvous hashing of the
last prompt part that other requests share, so every VM sends a chat to the same
engine without telling the others. An engine above the load bound is passed over
for the next in rank, which then copies the prompt from the first one's cache.
Requests without a prompt go to the engine with the most free slots.
"""

import random
from collections.abc import Mapping, Sequence
from enum import StrEnum

from attrs import define, field, frozen

from dotterelpitch.routing.engines import Engine, EngineDirectory
from dotterelpitch.routing.fleet_loads import FleetLoads
from dotterelpitch.routing.health import EngineHealth
from dotterelpitch.routing.ranking import RankTable

# An engine may hold this multiple of the mean load, and a few requests more.
LOAD_MULTIPLE = 1.4
LOAD_SLACK = 2.0
# An engine that has joined later than this isn't yet the usual one of its chats.
SETTLED_SECONDS = 8.0
# A request in another failure domain costs two longer hops: less than one request.
OTHER_DOMAIN_LOAD = 0.5
MAX_RANK_TABLES = 32


class Reason(StrEnum):
    """Why an engine was chosen."""

    CACHED = "usual-engine"
    BOUND = "usual-engine-is-full"
    LEAST_LOADED = "least-loaded"


@frozen
class Choice:
    """An engine, why it was chosen, and what was known when it was.

    ``cache_source`` is an engine that may hold the prompt when the chosen one
    doesn't.
    """

    engine: Engine
    reason: Reason
    load: int
    mean_load: float
    cache_source: Engine | None = None


@define
class EngineChooser:
    """Ranks the engines of a service for a request."""

    _directory: EngineDirectory
    _loads: FleetLoads
    _health: EngineHealth
    _failure_domain: str
    _random: random.Random = field(factory=random.Random)
    _table_by_ids: dict[tuple[str, ...], RankTable] = field(factory=dict)

    def choose(
        self, service: str, cache_key: str, excluded: Sequence[str] = ()
    ) -> Choice | None:
        """Return the engine for a request, or None when no engine is left.

        ``cache_key`` is empty for requests without a prompt. ``excluded`` are
        the engines that have had the request.
        """
        engines = [e for e in self._directory.usable(service) if e.id not in excluded]
        if not engines:
            return None
        share_by_id = self._shares(engines)
        load_by_id = self._loads.loads(engine.id for engine in engines)
        mean = sum(load_by_id.values()) / len(engines)
        if cache_key:
            return self._choose_cached(
                service, engines, cache_key, share_by_id, load_by_id, mean
            )
        engine = min(
            engines, key=lambda e: self._cost(e, load_by_id[e.id], share_by_id[e.id])
        )
        return Choice(engine, Reason.LEAST_LOADED, load_by_id[engine.id], mean)

    def _choose_cached(
        self,
        service: str,
        engines: list[Engine],
        cache_key: str,
        share_by_id: Mapping[str, float],
        load_by_id: Mapping[str, int],
        mean: float,
    ) -> Choice:
        engine_by_id = {engine.id: engine for engine in engines}
        ranked = self._ranked(sorted(engine_by_id), cache_key)
        bound = LOAD_MULTIPLE * mean + LOAD_SLACK
        chosen_id = next(
            (i for i in ranked if load_by_id[i] + 1 <= bound * share_by_id[i]), None
        )
        if chosen_id is None:
            chosen_id = min(
                ranked, key=lambda i: (load_by_id[i] + 1) / max(0.01, share_by_id[i])
            )
        reason = Reason.CACHED if chosen_id == ranked[0] else Reason.BOUND
        return Choice(
            engine_by_id[chosen_id],
            reason,
            load_by_id[chosen_id],
            mean,
            self._cache_source(service, cache_key, chosen_id),
        )

    def _cache_source(
        self, service: str, cache_key: str, chosen_id: str
    ) -> Engine | None:
        """Return the usual engine of a chat, when another one was chosen."""
        holder_by_id = {
            engine.id: engine
            for engine in self._directory.cache_holders(service, SETTLED_SECONDS)
        }
        if not holder_by_id:
            return None
        usual_id = self._ranked(sorted(holder_by_id), cache_key)[0]
        if usual_id == chosen_id or self._health.share(usual_id) == 0.0:
            return None
        return holder_by_id[usual_id]

    def _shares(self, engines: list[Engine]) -> dict[str, float]:
        """Return the share of usual work by engine; all 1 when none may work."""
        share_by_id = {engine.id: self._health.share(engine.id) for engine in engines}
        if not any(share_by_id.values()):
            return dict.fromkeys(share_by_id, 1.0)
        return share_by_id

    def _cost(self, engine: Engine, load: int, share: float) -> float:
        distance = OTHER_DOMAIN_LOAD * (engine.failure_domain != self._failure_domain)
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
