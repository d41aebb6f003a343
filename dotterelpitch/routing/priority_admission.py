"""Shares out by priority what engines take when all of them name rate limits.

Without it the first to come would be served. A request that would find no engine is
refused at once instead, a less urgent one more often than an urgent one.
"""

import random
from collections.abc import Mapping

from attrs import define, field

from dotterelpitch.clock import Clock
from dotterelpitch.routing.decaying_rate import DecayingRate
from dotterelpitch.routing.fleet_counts import (
    OWN,
    CountKey,
    FleetCounts,
    ServiceCountKey,
)

# Each less urgent priority is served this fraction of the share of the one before,
# down to MIN_WEIGHT of the most urgent.
WEIGHT_STEP = 0.5
MIN_WEIGHT = 0.25
# The rate of requests is averaged over this time.
ARRIVAL_SECONDS = 2.0
# More are let through than the engines take, since not each finds an engine.
ADMISSION_HEADROOM = 1.15


def admitted_shares(
    rate_by_priority: Mapping[int, float], allowed: float
) -> dict[int, float]:
    """Return the share of the requests to admit by priority, 0 being the highest.

    The shares have the ratios of the weights, except those that reach 1, and the
    admitted requests sum up to ``allowed`` per second.

    >>> admitted_shares({0: 10.0, 1: 30.0}, allowed=20.0)
    {0: 0.8, 1: 0.4}
    >>> admitted_shares({0: 10.0, 1: 30.0}, allowed=34.0)
    {0: 1.0, 1: 0.8}
    """
    share_by_priority: dict[int, float] = {}
    rest = allowed
    for priority in sorted(rate_by_priority):
        weighted = sum(
            rate * _weight(other)
            for other, rate in rate_by_priority.items()
            if other not in share_by_priority
        )
        share = _weight(priority) * max(0.0, rest) / weighted if weighted else 1.0
        if share < 1.0:
            break
        share_by_priority[priority] = 1.0
        rest -= rate_by_priority[priority]
    for priority in rate_by_priority.keys() - share_by_priority.keys():
        share_by_priority[priority] = _weight(priority) * max(0.0, rest) / weighted
    return share_by_priority


def _weight(priority: int) -> float:
    return max(MIN_WEIGHT, WEIGHT_STEP**priority)


@define
class PriorityAdmission:
    """The rates of requests by service and priority, over all VMs.

    >>> from dotterelpitch.clock import ManualClock
    >>> clock = ManualClock()
    >>> admission = PriorityAdmission(clock, FleetCounts(clock))
    >>> admission.admits("chat", 0, allowed=None)
    True
    """

    _clock: Clock
    _counts: FleetCounts
    _rng: random.Random = field(factory=random.Random)
    _rate_by_key: dict[ServiceCountKey, DecayingRate] = field(factory=dict)

    def admits(self, service: str, priority: int, allowed: float | None) -> bool:
        """Count a request; return whether to look for an engine for it.

        ``allowed`` is what all engines together take, in requests per second, or None
        if some engine has no limit.
        """
        key = ServiceCountKey(service, priority)
        self._rate(key).add(self._clock.monotonic())
        if allowed is None:
            return True
        self._counts.add(OWN, {key: 1})
        shares = admitted_shares(self._rates(service), ADMISSION_HEADROOM * allowed)
        return self._rng.random() < shares[priority]

    def merge(self, count_by_key: Mapping[CountKey, int]) -> None:
        """Add what other VMs have counted since their last digest."""
        now = self._clock.monotonic()
        for key, count in count_by_key.items():
            if isinstance(key, ServiceCountKey):
                self._rate(key).add(now, count)

    def _rate(self, key: ServiceCountKey) -> DecayingRate:
        rate = self._rate_by_key.get(key)
        if rate is None:
            rate = self._rate_by_key[key] = DecayingRate(ARRIVAL_SECONDS)
        return rate

    def _rates(self, service: str) -> dict[int, float]:
        now = self._clock.monotonic()
        return {
            key.priority: rate.per_second(now)
            for key, rate in self._rate_by_key.items()
            if key.service == service
        }
