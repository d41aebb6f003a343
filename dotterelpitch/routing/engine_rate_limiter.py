"""Keeps the requests of all VMs to an engine within its limit.

Each VM counts what all VMs send to the engine in a leaky bucket that drains at the
engine's limit: its own requests at once, those of the others when their digests
arrive. What the others send meanwhile is bounded by chance: the more requests of
other VMs want the engine, the smaller the share of a VM's requests that may go there.
So the sum stays near the limit even if each VM sees hardly any of the traffic, and no
VM holds a part of the limit that another would lack.
"""

import random
from collections.abc import Callable, Mapping, Sequence
from typing import ClassVar

from attrs import define, evolve, field

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
from dotterelpitch.routing.limit_source import LimitSource, RateLimit

# Requests that another engine has turned away leave this share of the burst to those
# whose prompt is cached.
NEXT_BURST_SHARE = 0.5
# Requests beyond the burst count up to this many seconds of the limit.
MAX_DEBT_SECONDS = 4.0
# What is wanted of an engine is averaged over this time.
WANTED_SECONDS = 2.0


def _hold_all(engine_id: str) -> float:
    """Return the share of a VM that is alone."""
    return 1.0


@define
class _EngineState:
    """The buckets of an engine, and the rates at which it is wanted.

    ``bucket`` is that of all VMs, and ``share_bucket`` that of the share which this VM
    holds while the limit is shared out.
    """

    bucket: LeakyBucket
    share_bucket: LeakyBucket
    wanted_by_own: DecayingRate
    wanted_by_others: dict[EngineCountKind, DecayingRate]

    @classmethod
    def create(cls, level: float, now: float) -> "_EngineState":
        """Return the state of an engine of which nothing has been counted."""
        own, first, following = (
            DecayingRate(WANTED_SECONDS, began_at=now) for _ in range(3)
        )
        by_kind = {
            EngineCountKind.WANTED_FIRST: first,
            EngineCountKind.WANTED_NEXT: following,
        }
        return cls(LeakyBucket(level, now), LeakyBucket(0.0, now), own, by_kind)


@define
class EngineRateLimiter:
    """Decides whether a request may go to an engine with a rate limit.

    Of the limits that the sources have for an engine the lowest counts. ``share_held``
    returns the share of an engine's limit that this VM holds while it is shared out.
    ``fleet_share`` is the share of the fleet that this VM is in contact with. The rest
    may be sending too, unseen, so a part of the limit is left to it.

    >>> from dotterelpitch.clock import ManualClock
    >>> clock = ManualClock()
    >>> from dotterelpitch.routing.rate_limit_registry import RateLimitRegistry
    >>> registry = RateLimitRegistry(clock)
    >>> limiter = EngineRateLimiter(clock, [registry], FleetCounts(clock))
    >>> engine = Engine("e1", "chat", "127.0.0.1:1", "a")
    >>> registry.record_response(engine, 2.0)
    >>> limiter.try_send(engine)
    False
    >>> clock.advance(0.5)
    >>> limiter.try_send(engine)
    True
    """

    _clock: Clock
    _sources: Sequence[LimitSource]
    _counts: FleetCounts
    fleet_share: float = 1.0
    _rng: random.Random = field(factory=random.Random)
    share_held: Callable[[str], float] = _hold_all
    _state_by_id: dict[str, _EngineState] = field(factory=dict)

    _BURST_SHARE: ClassVar[Mapping[EngineCountKind, float]] = {
        EngineCountKind.WANTED_FIRST: 1.0,
        EngineCountKind.WANTED_NEXT: NEXT_BURST_SHARE,
    }

    def limit(self, engine: Engine) -> float | None:
        """Return the requests per second that an engine may get, or None.

        What was counted of an engine is forgotten when its limit has ended.
        """
        limit = self._rate_limit(engine)
        return None if limit is None else limit.per_second

    def _rate_limit(self, engine: Engine) -> RateLimit | None:
        """Return the lowest limit in force, as far as the fleet is in contact."""
        found = [source.rate_limit(engine) for source in self._sources]
        limits = [limit for limit in found if limit is not None]
        if not limits:
            self._state_by_id.pop(engine.id, None)
            return None
        lowest = min(limits, key=lambda limit: limit.per_second)
        return evolve(lowest, per_second=lowest.per_second * self.fleet_share)

    def limits(self, engines: list[Engine]) -> dict[str, float]:
        """Return the limits in force of some engines by id."""
        if all(source.is_empty() for source in self._sources):
            return {}
        limit_by_id = {engine.id: self.limit(engine) for engine in engines}
        return {i: limit for i, limit in limit_by_id.items() if limit is not None}

    def is_barred(self, engine: Engine) -> bool:
        """Return whether only other VMs hold shares of an engine's limit now."""
        limit = self._rate_limit(engine)
        return limit is not None and self._share(engine, limit) == 0.0

    def try_send(
        self, engine: Engine, wanted: EngineCountKind = EngineCountKind.WANTED_FIRST
    ) -> bool:
        """Count a request that wants an engine; return whether to send it there.

        An engine without a limit takes it. One that has just named a limit starts with
        a full bucket.
        """
        limit = self._rate_limit(engine)
        if limit is None:
            return True
        state = self._state(engine.id, limit)
        now = self._clock.monotonic()
        self._counts.add(OWN, {EngineCountKey(engine.id, wanted): 1})
        if wanted is EngineCountKind.WANTED_FIRST:
            state.wanted_by_own.add(now)
        share = self._share(engine, limit)
        if share is not None:
            may_send = self._fits_share(state, share, limit, now)
        else:
            max_level = self._BURST_SHARE[wanted] * self._burst(limit)
            has_room = state.bucket.level + 1.0 <= max_level
            chance = self._chance(state, wanted, limit, now)
            may_send = has_room and self._rng.random() < chance
        if may_send:
            self._count_sent(engine.id, state, limit, 1)
        return may_send

    def _share(self, engine: Engine, limit: RateLimit) -> float | None:
        """Return the share of a limit that this VM holds; None if it isn't split."""
        if self._clock.monotonic() >= limit.shared_out_until:
            return None
        return self.share_held(engine.id)

    @staticmethod
    def _fits_share(
        state: _EngineState, share: float, limit: RateLimit, now: float
    ) -> bool:
        """Count one request in the share that this VM holds, if there is room."""
        state.share_bucket.drain(now, share * limit.per_second)
        if share == 0.0 or state.share_bucket.level > 0.0:
            return False
        state.share_bucket.add(1, max_level=1.0)
        return True

    def take_back(self, engine: Engine) -> None:
        """Take back a request that wasn't sent after all."""
        limit = self._rate_limit(engine)
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
            limit = self._rate_limit(engine) if engine else None
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

    def _state(self, engine_id: str, limit: RateLimit) -> _EngineState:
        """Return the state of an engine, drained up to now."""
        now = self._clock.monotonic()
        state = self._state_by_id.get(engine_id)
        if state is None:
            state = _EngineState.create(self._burst(limit), now)
            self._state_by_id[engine_id] = state
        state.bucket.drain(now, limit.per_second)
        state.bucket.add(0, self._max_level(limit))
        return state

    def _count_sent(
        self, engine_id: str, state: _EngineState, limit: RateLimit, count: int
    ) -> None:
        state.bucket.add(count, self._max_level(limit))
        self._counts.add(OWN, {EngineCountKey(engine_id, EngineCountKind.SENT): count})

    @staticmethod
    def _chance(
        state: _EngineState, wanted: EngineCountKind, limit: RateLimit, now: float
    ) -> float:
        """Return the share of the requests of one kind that may be sent.

        Requests that another engine has turned away get what the others leave.
        """
        by_others = state.wanted_by_others[wanted].per_second(now)
        spare = limit.per_second
        if wanted is EngineCountKind.WANTED_NEXT:
            first = state.wanted_by_others[EngineCountKind.WANTED_FIRST]
            spare -= first.per_second(now) + state.wanted_by_own.per_second(now)
        if by_others <= 0.0:
            return 1.0
        return min(1.0, limit.headroom * max(0.0, spare) / by_others)

    def _burst(self, limit: RateLimit) -> float:
        """Return how many requests an engine with this limit may get at once."""
        requests = limit.burst_requests * self.fleet_share
        return max(1.0, limit.burst_s * limit.per_second + requests)

    def _max_level(self, limit: RateLimit) -> float:
        return self._burst(limit) + MAX_DEBT_SECONDS * limit.per_second
