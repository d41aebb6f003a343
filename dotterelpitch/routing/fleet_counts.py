"""Counts that the VMs exchange as increments, so that each knows the fleet's rates.

A VM sends on each link what has been counted since it last sent there. A relay sums
up its members' increments, so no VM needs to know which VM has counted what.
"""

from collections import Counter, deque
from collections.abc import Callable, Mapping
from enum import StrEnum

from attrs import define, field, frozen

from dotterelpitch.clock import Clock

# Increments that weren't sent within this time are out of date.
MAX_AGE_SECONDS = 2.0
OWN = ""
"""The source of this VM's own counts."""


class EngineCountKind(StrEnum):
    """What is counted of an engine with a rate limit.

    WANTED_FIRST are the requests that want it before all other engines, WANTED_NEXT
    those that another engine has turned away, and SENT those that it was sent.
    """

    WANTED_FIRST = "first"
    WANTED_NEXT = "next"
    SENT = "sent"


@frozen
class EngineCountKey:
    """A kind of count of one engine."""

    engine_id: str
    kind: EngineCountKind


@frozen
class ServiceCountKey:
    """The requests of a priority that callers send to one service."""

    service: str
    priority: int


class SampleKind(StrEnum):
    """What is counted of the times that an engine took.

    COUNT are the samples, and LOG_SUM is the sum of their log ratios in thousandths.
    """

    COUNT = "count"
    LOG_SUM = "log-sum"


@frozen
class SampleKey:
    """A kind of count of the times that one engine took."""

    engine_id: str
    kind: SampleKind


CountKey = EngineCountKey | ServiceCountKey | SampleKey


@frozen
class _Increment:
    number: int
    at: float
    source: str
    count_by_key: Mapping[CountKey, int]


@define
class FleetCounts:
    """The recent increments by source: a peer, or this VM as ``OWN``.

    >>> from dotterelpitch.clock import ManualClock
    >>> counts = FleetCounts(ManualClock())
    >>> key = ServiceCountKey("chat", priority=0)
    >>> counts.add(OWN, {key: 1})
    >>> counts.add("vm-2", {key: 5})
    >>> counts.since(0, lambda source: source == "vm-2")[key]
    5
    """

    _clock: Clock
    _increments: deque[_Increment] = field(factory=deque)
    _last_number: int = 0

    @property
    def last_number(self) -> int:
        """The number of the latest increment."""
        return self._last_number

    def add(self, source: str, count_by_key: Mapping[CountKey, int]) -> None:
        """Add an increment."""
        now = self._clock.monotonic()
        self._last_number += 1
        self._increments.append(
            _Increment(self._last_number, now, source, count_by_key)
        )
        while self._increments[0].at < now - MAX_AGE_SECONDS:
            self._increments.popleft()

    def since(
        self, number: int, includes: Callable[[str], bool]
    ) -> Mapping[CountKey, int]:
        """Return the sum after increment ``number`` over the included sources."""
        total: Counter[CountKey] = Counter()
        for increment in reversed(self._increments):
            if increment.number <= number:
                break
            if includes(increment.source):
                total.update(increment.count_by_key)
        return total
