"""The rate limits that engines name in their responses, as all VMs know them.

An engine in need names the requests per second that it takes from all VMs together.
Each VM sees only a part of its responses, so the VMs tell one another what they have
seen, and the latest observation counts.
"""

from collections.abc import Iterable

from attrs import define, evolve, field, frozen

from dotterelpitch.clock import Clock
from dotterelpitch.routing.engines import Engine
from dotterelpitch.routing.limit_source import LimitSource, RateLimit
from dotterelpitch.telemetry.events import Event, log_event

# A limit ends with a response without one, but not with one that may have overtaken
# another or that another VM has received at nearly the same time.
ABSENT_DELAY_SECONDS = 0.5
# An unchanged limit is reported to the peers again at this interval.
REFRESH_SECONDS = 1.0
# Even an engine that names 0 gets a request now and then, whose response tells when
# the limit has ended.
MIN_PER_SECOND = 0.1


@frozen
class ObservedLimit:
    """What is known of the limit of one run of an engine.

    The run is that which started at ``started_ms`` (``Engine.started_ms``).
    ``per_second`` is the limit last named, at ``named_at``; ``absent_at`` is when a
    response last named none. Both are times of the monotonic clock, in seconds.
    """

    engine_id: str
    started_ms: int
    per_second: float
    named_at: float
    absent_at: float = float("-inf")

    @property
    def is_in_force(self) -> bool:
        """Whether the engine still names its limit, as far as is known."""
        return self.absent_at < self.named_at + ABSENT_DELAY_SECONDS


@define
class RateLimitRegistry(LimitSource):
    """The limits in force by engine, from responses here and at the peers.

    >>> from dotterelpitch.clock import ManualClock
    >>> registry = RateLimitRegistry(ManualClock())
    >>> engine = Engine("e1", "chat", "127.0.0.1:1", "a")
    >>> registry.record_response(engine, 2.5)
    >>> registry.limit(engine)
    2.5
    """

    _clock: Clock
    _observed_by_id: dict[str, ObservedLimit] = field(factory=dict)
    _reported_by_id: dict[str, ObservedLimit] = field(factory=dict)
    _update_by_id: dict[str, int] = field(factory=dict)
    _update_count: int = 0

    def record_response(self, engine: Engine, per_second: float | None) -> None:
        """Record that a response has named this limit, or none."""
        latest = self._observed_by_id.get(engine.id)
        if latest is not None and latest.started_ms > engine.started_ms:
            return
        now = self._clock.monotonic()
        known = self._known_run(engine.id, engine.started_ms)
        if per_second is not None:
            absent_at = known.absent_at if known else float("-inf")
            self._update(
                ObservedLimit(engine.id, engine.started_ms, per_second, now, absent_at)
            )
        elif known is not None:
            self._update(evolve(known, absent_at=now))

    def merge(self, peer: str, limits: Iterable[ObservedLimit]) -> None:
        """Add what a peer has observed, unless it is of an earlier run."""
        for limit in limits:
            known = self._observed_by_id.get(limit.engine_id)
            if known is not None and known.started_ms > limit.started_ms:
                continue
            if known is not None and known.started_ms == limit.started_ms:
                newest = max(known, limit, key=lambda observed: observed.named_at)
                absent_at = max(known.absent_at, limit.absent_at)
                limit = evolve(newest, absent_at=absent_at)
            self._update(limit, peer)

    def limit(self, engine: Engine) -> float | None:
        """Return the limit in force of an engine, in requests per second, or None."""
        observed = self._known_run(engine.id, engine.started_ms)
        if observed is None or not observed.is_in_force:
            return None
        return observed.per_second

    def rate_limit(self, engine: Engine) -> RateLimit | None:
        """Return the limit in force of an engine, with the usual bursts, or None."""
        limit = self.limit(engine)
        return None if limit is None else RateLimit(max(MIN_PER_SECOND, limit))

    def is_empty(self) -> bool:
        """Return whether no engine that is known has named a limit."""
        return not self._observed_by_id

    def in_force(self) -> list[ObservedLimit]:
        """Return the limits in force."""
        return [o for o in self._observed_by_id.values() if o.is_in_force]

    def updates_after(self, count: int) -> tuple[int, list[ObservedLimit]]:
        """Return the total update count, and what has changed after the first ones."""
        changed = [
            self._observed_by_id[engine_id]
            for engine_id, update in self._update_by_id.items()
            if update > count
        ]
        return self._update_count, changed

    def retain(self, engine_ids: set[str]) -> None:
        """Remove the limits of all engines that aren't in ``engine_ids``."""
        for engine_id in self._observed_by_id.keys() - engine_ids:
            del self._observed_by_id[engine_id]
            del self._reported_by_id[engine_id]
            del self._update_by_id[engine_id]

    def _known_run(self, engine_id: str, started_ms: int) -> ObservedLimit | None:
        observed = self._observed_by_id.get(engine_id)
        is_same_run = observed is not None and observed.started_ms == started_ms
        return observed if is_same_run else None

    def _update(self, observed: ObservedLimit, peer: str = "") -> None:
        engine_id = observed.engine_id
        known = self._observed_by_id.get(engine_id)
        self._observed_by_id[engine_id] = observed
        _log_change(known, observed, peer)
        if self._is_news(observed):
            self._reported_by_id[engine_id] = observed
            self._update_count += 1
            self._update_by_id[engine_id] = self._update_count

    def _is_news(self, observed: ObservedLimit) -> bool:
        """Return whether the peers must be told of an observation."""
        reported = self._reported_by_id.get(observed.engine_id)
        if reported is None or reported.started_ms != observed.started_ms:
            return True
        if _value(reported) != _value(observed):
            return True
        refresh_at = reported.named_at + REFRESH_SECONDS
        return observed.is_in_force and observed.named_at >= refresh_at


def _value(observed: ObservedLimit | None) -> float | None:
    """Return the limit in force, or None."""
    if observed is None or not observed.is_in_force:
        return None
    return observed.per_second


def _log_change(before: ObservedLimit | None, after: ObservedLimit, peer: str) -> None:
    if _value(before) == _value(after):
        return
    log_event(
        Event.RATE_LIMIT_CHANGED,
        engine=after.engine_id,
        started_ms=after.started_ms,
        before=_value(before),
        after=_value(after),
        peer=peer,
    )
