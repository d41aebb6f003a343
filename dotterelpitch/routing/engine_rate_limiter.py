"""Keeps the requests of all VMs to an engine within the rate that it names.

Each VM counts what all VMs send to the engine in a leaky bucket that drains at the
engine's limit: its own requests at once, those of the others when their digests
arrive. What the others send meanwhile is bounded by chance: the more requests of
other VMs want the engine, the smaller the share of a VM's requests that may go there.
So the sum stays near the limit even if each VM sees hardly any of the traffic, and no
VM holds a part of the limit that another would lack.
"""

import random
from collections.abc import Mapping
from typing import ClassVar

from attrs import define, field

from dotterelpitch.clock import Clock
from dotterelpitch.routing.decaying_rate import DecayingRate
from dotterelpitch.routing.engines import Engine
from dotterelpitch.routing.fleet_counts import (
    OWN,
    CountKey,
    EngineCountKey,
    EngineCountKind,
    FleetCounts,
)
from dotterelpitch.routing.leaky_bucket import LeakyBucket
from dotterelpitch.routing.rate_limit_registry import RateLimitRegistry

# An engine may get this much at once: its limit for so many seconds, and so many
# requests.
BURST_SECONDS = 0.75
BURST_REQUESTS = 2.0
# Requests that another engine has turned away leave this share of the burst to those
# whose prompt is cached.
NEXT_BURST_SHARE = 0.5
# Requests beyond the burst count up to this many seconds of the limit.
MAX_DEBT_SECONDS = 4.0
# What is wanted of an engine is averaged over this time.
WANTED_SECONDS = 2.0
# Each VM admits this multiple of its part by chance; the bucket takes care of the rest.
CHANCE_HEADROOM = 1.25
# Even an engine that names 0 gets a request now and then, whose response tells when
# the limit has ended.
MIN_PER_SECOND = 0.1


@define
class _EngineState:
    """The bucket of an engine, and the rates at which it is wanted."""

    bucket: LeakyBucket
    wanted_by_own: DecayingRate = field(factory=lambda: DecayingRate(WANTED_SECONDS))
    wanted_by_others: dict[EngineCountKind, DecayingRate] = field(
        factory=lambda: {
            EngineCountKind.WANTED_FIRST: DecayingRate(WANTED_SECONDS),
            EngineCountKind.WANTED_NEXT: DecayingRate(WANTED_SECONDS),
        }
    )


@define
class EngineRateLimiter:
    """Decides whether a request may go to an engine with a rate limit.

    ``fleet_share`` is the share of the fleet that this VM is in contact with. The rest
    may be sending too, unseen, so a part of the limit is left to it.

    >>> from dotterelpitch.clock import ManualClock
    >>> clock = ManualClock()
    >>> registry = RateLimitRegistry(clock)
    >>> limiter = EngineRateLimiter(clock, registry, FleetCounts(clock))
    >>> engine = Engine("e1", "chat", "127.0.0.1:1", "a")
    >>> registry.record_response(engine, 2.0)
    >>> limiter.try_send(engine)
    False
    >>> clock.advance(0.5)
    >>> limiter.try_send(engine)
    True
    """

    _clock: Clock
    _registry: RateLimitRegistry
    _counts: FleetCounts
    fleet_share: float = 1.0
    _rng: random.Random = field(factory=random.Random)
    _state_by_id: dict[str, _EngineState] = field(factory=dict)

    _BURST_SHARE: ClassVar[Mapping[EngineCountKind, float]] = {
        EngineCountKind.WANTED_FIRST: 1.0,
        EngineCountKind.WANTED_NEXT: NEXT_BURST_SHARE,
    }

    def limit(self, engine: Engine) -> float | None:
        """Return the requests per second that an engine may get, or None.

        What was counted of an engine is forgotten when its limit has ended.
        """
        named = self._registry.limit(engine)
        if named is None:
            self._state_by_id.pop(engine.id, None)
            return None
        return max(MIN_PER_SECOND, named) * self.fleet_share

    def limits(self, engines: list[Engine]) -> dict[str, float]:
        """Return the limits in force of some engines by id."""
        if self._registry.is_empty():
            return {}
        limit_by_id = {engine.id: self.limit(engine) for engine in engines}
        return {i: limit for i, limit in limit_by_id.items() if limit is not None}

    def try_send(
        self, engine: Engine, wanted: EngineCountKind = EngineCountKind.WANTED_FIRST
    ) -> bool:
        """Count a request that wants an engine; return whether to send it there.

        An engine without a limit takes it. One that has just named a limit starts with
        a full bucket.
        """
        limit = self.limit(engine)
        if limit is None:
            return True
        state = self._state(engine.id, limit)
        now = self._clock.monotonic()
        self._counts.add(OWN, {EngineCountKey(engine.id, wanted): 1})
        if wanted is EngineCountKind.WANTED_FIRST:
            state.wanted_by_own.add(now)
        max_level = self._BURST_SHARE[wanted] * self._burst(limit)
        if state.bucket.level + 1.0 > max_level:
            return False
        if self._rng.random() >= self._chance(state, wanted, limit, now):
            return False
        self._count_sent(engine.id, state, limit, 1)
        return True

    def take_back(self, engine: Engine) -> None:
        """Take back a request that wasn't sent after all."""
        limit = self.limit(engine)
        if limit is not None:
            self._count_sent(engine.id, self._state(engine.id, limit), limit, -1)

    def merge(
        self, engine_by_id: Mapping[str, Engine], count_by_key: Mapping[CountKey, int]
    ) -> None:
        """Add what other VMs have counted since their last digest."""
        now = self._clock.monotonic()
        for key, count in count_by_key.items():
            if not isinstance(key, EngineCountKey):
                continue
            engine = engine_by_id.get(key.engine_id)
            limit = self.limit(engine) if engine else None
            if limit is None:
                continue
            state = self._state(key.engine_id, limit)
            if key.kind is EngineCountKind.SENT:
                state.bucket.add(count, self._max_level(limit))
            else:
                state.wanted_by_others[key.kind].add(now, count)

    def retain(self, engine_ids: set[str]) -> None:
        """Remove the state of all engines that aren't in ``engine_ids``."""
        for engine_id in self._state_by_id.keys() - engine_ids:
            del self._state_by_id[engine_id]

    def _state(self, engine_id: str, limit: float) -> _EngineState:
        """Return the state of an engine, drained up to now."""
        now = self._clock.monotonic()
        state = self._state_by_id.get(engine_id)
        if state is None:
            state = _EngineState(LeakyBucket(self._burst(limit), now))
            self._state_by_id[engine_id] = state
        state.bucket.drain(now, limit)
        state.bucket.add(0, self._max_level(limit))
        return state

    def _count_sent(
        self, engine_id: str, state: _EngineState, limit: float, count: int
    ) -> None:
        state.bucket.add(count, self._max_level(limit))
        self._counts.add(OWN, {EngineCountKey(engine_id, EngineCountKind.SENT): count})

    @staticmethod
    def _chance(
        state: _EngineState, wanted: EngineCountKind, limit: float, now: float
    ) -> float:
        """Return the share of the requests of one kind that may be sent.

        Requests that another engine has turned away get what the others leave.
        """
        by_others = state.wanted_by_others[wanted].per_second(now)
        spare = limit
        if wanted is EngineCountKind.WANTED_NEXT:
            first = state.wanted_by_others[EngineCountKind.WANTED_FIRST]
            spare -= first.per_second(now) + state.wanted_by_own.per_second(now)
        if by_others <= 0.0:
            return 1.0
        return min(1.0, CHANCE_HEADROOM * max(0.0, spare) / by_others)

    def _burst(self, limit: float) -> float:
        """Return how many requests an engine with this limit may get at once."""
        requests = BURST_REQUESTS * self.fleet_share
        return max(1.0, BURST_SECONDS * limit + requests)

    def _max_level(self, limit: float) -> float:
        return self._burst(limit) + MAX_DEBT_SECONDS * limit
