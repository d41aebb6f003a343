"""Bounds the requests in flight to a service whose engines can't keep up.

When engines get more work than they can do, all requests become late together.
A VM that sees most of its requests late, at engines that say that they are
crowded, sends fewer at a time and refuses the others at once, the less urgent
ones first. It sends more again as soon as requests are in time. Each VM goes by
its own requests: all see the same engines, so their limits move alike.
"""

import heapq
import itertools
from collections import deque
from collections.abc import Callable, Iterable, Iterator

from attrs import define, field, frozen

from dotterelpitch.clock import Clock

# Requests judged within this time tell how the engines are doing.
WINDOW_SECONDS = 1.0
# Fewer of them than this say nothing.
MIN_SAMPLES = 4
# The limit moves at most this often, so that the effect of a move is seen.
MIN_CHANGE_INTERVAL_SECONDS = 0.25
# A request is late after this part of its objective; the rest is for the way back.
LATE_PART = 0.75
# The limit goes down when more than this part is late, at engines more than this
# part of which are crowded; it goes up when less is late than the second figure.
LATE_SHARE = 0.5
CROWDED_SHARE = 0.5
IN_TIME_LATE_SHARE = 0.2
DOWN_FACTOR = 0.5
UP_FACTOR = 1.15
# While the engines say that they have room, the limit goes up by this.
FREE_UP_FACTOR = 1.6
# A service always has one request in flight at each VM that has any.
MIN_LIMIT = 1.0
# A limit this many times above what is in flight isn't needed any more.
NEEDLESS_FACTOR = 4.0
# The part of the limit that each less urgent priority may not use.
PRIORITY_STEP = 0.1
LEAST_PART = 0.6


@frozen
class LimitChange:
    """A move of one limit and the shares of requests that caused it.

    A limit of None is none at all.
    """

    service: str
    before: float | None
    after: float | None
    in_flight: int
    late: float
    crowded: float


@define(eq=False)
class InFlightRequest:
    """One request at an engine; late when it isn't answered at ``late_at``."""

    service: str
    sent_at: float
    late_at: float
    is_judged: bool = False


@frozen
class _Judged:
    at: float
    is_late: bool
    is_crowded: bool


@define
class _Service:
    name: str
    in_flight: int = 0
    limit: float | None = None
    moved_at: float = float("-inf")
    judged: deque[_Judged] = field(factory=deque)
    tickets: list[tuple[float, int, InFlightRequest]] = field(factory=list)
    is_crowded: bool = False
    crowded_told_at: float = float("-inf")


def _ignore(move: LimitChange) -> None:
    """Do nothing about a move."""


@define
class AdaptiveConcurrencyLimiter:
    """The limits of all services, none of which is in force on a calm day.

    ``on_change`` is called with each move of a limit.

    >>> from dotterelpitch.clock import ManualClock
    >>> limit = AdaptiveConcurrencyLimiter(ManualClock(10.0))
    >>> limit.admits("chat", priority=0)
    True
    """

    _clock: Clock
    _on_change: Callable[[LimitChange], None] = _ignore
    _service_by_name: dict[str, _Service] = field(factory=dict)
    _numbers: Iterator[int] = field(factory=itertools.count)

    def admits(self, service: str, priority: int) -> bool:
        """Return whether one more request may be sent; 0 is the most urgent."""
        found = self._service(service)
        self._judge_overdue(found)
        if found.limit is None:
            return True
        part = max(LEAST_PART, 1.0 - PRIORITY_STEP * priority)
        return found.in_flight < max(MIN_LIMIT, found.limit * part)

    def request_started(self, service: str, objective_s: float) -> InFlightRequest:
        """Count a request that is sent to an engine."""
        found = self._service(service)
        found.in_flight += 1
        now = self._clock.monotonic()
        ticket = InFlightRequest(service, now, now + LATE_PART * objective_s)
        heapq.heappush(found.tickets, (ticket.late_at, next(self._numbers), ticket))
        return ticket

    def response_started(self, ticket: InFlightRequest, is_crowded: bool) -> None:
        """Take in the begin of an answer.

        ``is_crowded`` tells whether the engine has more requests than it serves
        well; lateness without it has other reasons than too much work.
        """
        now = self._clock.monotonic()
        found = self._service(ticket.service)
        found.is_crowded = is_crowded
        found.crowded_told_at = now
        self._judge(found, ticket, now > ticket.late_at, is_crowded)

    def request_rejected(self, ticket: InFlightRequest) -> None:
        """Take in that an engine was too full to run a request."""
        self._judge(self._service(ticket.service), ticket, True, True)

    def request_ended(self, ticket: InFlightRequest) -> None:
        """Count the end of a request at an engine, however it ended."""
        ticket.is_judged = True
        self._service(ticket.service).in_flight -= 1

    def active_limits(self) -> Iterator[tuple[str, float]]:
        """Return the services whose limit is in force, with the limit."""
        for name, service in self._service_by_name.items():
            if service.limit is not None:
                yield name, service.limit

    def _judge_overdue(self, service: _Service) -> None:
        """Judge the requests that are late before their answer has come."""
        now = self._clock.monotonic()
        told_lately = service.crowded_told_at >= now - WINDOW_SECONDS
        is_crowded = service.is_crowded and told_lately
        while service.tickets and service.tickets[0][0] <= now:
            _, _, ticket = heapq.heappop(service.tickets)
            self._judge(service, ticket, True, is_crowded)

    def _judge(
        self,
        service: _Service,
        ticket: InFlightRequest,
        is_late: bool,
        is_crowded: bool,
    ) -> None:
        """Judge a request once, unless it was sent before the limit moved."""
        if ticket.is_judged or ticket.sent_at < service.moved_at:
            return
        ticket.is_judged = True
        now = self._clock.monotonic()
        judged = service.judged
        judged.append(_Judged(now, is_late, is_crowded))
        while judged[0].at < now - WINDOW_SECONDS:
            judged.popleft()
        if (
            len(judged) >= MIN_SAMPLES
            and now - service.moved_at >= MIN_CHANGE_INTERVAL_SECONDS
        ):
            self._move(service, now)

    def _move(self, service: _Service, now: float) -> None:
        before = service.limit
        late = _share(judged.is_late for judged in service.judged)
        crowded = _share(judged.is_crowded for judged in service.judged)
        if late > LATE_SHARE and crowded > CROWDED_SHARE:
            held = service.in_flight if before is None else before
            limit = max(MIN_LIMIT, DOWN_FACTOR * min(held, service.in_flight))
        elif late < IN_TIME_LATE_SHARE and before is not None:
            limit = (UP_FACTOR if crowded > CROWDED_SHARE else FREE_UP_FACTOR) * before
            if limit > NEEDLESS_FACTOR * max(MIN_LIMIT, service.in_flight):
                limit = None
        else:
            return
        service.limit = limit
        service.moved_at = now
        service.judged.clear()
        in_flight = service.in_flight
        move = LimitChange(service.name, before, limit, in_flight, late, crowded)
        self._on_change(move)

    def _service(self, name: str) -> _Service:
        service = self._service_by_name.get(name)
        if service is None:
            service = self._service_by_name[name] = _Service(name)
        return service


def _share(flags: Iterable[bool]) -> float:
    flags = list(flags)
    return sum(flags) / len(flags)
