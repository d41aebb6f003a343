"""Adaptive concurrency limits for services whose engines are overloaded.

Under overload without a limit, all requests become late together. A VM that sees
most of its requests late, at engines that report too many requests, lowers its
limit on requests in flight and refuses the rest at once, less urgent ones first.
It raises the limit again as soon as requests are in time. Each VM uses only its
own requests: all VMs see the same engines, so their limits change alike. Within what a
priority may use, client accounts share.
"""

import heapq
import itertools
from collections import deque
from collections.abc import Callable, Iterable, Iterator

from attrs import define, field, frozen

from dotterelpitch.clock import Clock
from dotterelpitch.routing.account_shares import AccountShares

# Only samples taken within this time are used to adjust a limit.
SAMPLE_WINDOW_SECONDS = 1.0
# Fewer samples than this aren't representative.
MIN_SAMPLES = 4
# Minimum time between two changes, so that the samples show the effect of the first.
MIN_CHANGE_INTERVAL_SECONDS = 0.25
# A request is late after this fraction of its objective; the rest is left for the
# transfer to the caller.
LATE_OBJECTIVE_FRACTION = 0.75
# The limit decreases when more than DECREASE_LATE_SHARE of the requests are late
# and more than OVERLOAD_CROWDED_SHARE of them were at a crowded engine, one with more
# requests than it can serve well. It increases when less than INCREASE_LATE_SHARE are
# late.
DECREASE_LATE_SHARE = 0.5
OVERLOAD_CROWDED_SHARE = 0.5
INCREASE_LATE_SHARE = 0.2
DECREASE_FACTOR = 0.5
INCREASE_FACTOR = 1.15
# Used instead of INCREASE_FACTOR while the engines report spare capacity.
FAST_INCREASE_FACTOR = 1.6
# Each VM may always have one request of a service in flight.
MIN_LIMIT = 1.0
# A limit above this multiple of the requests in flight is unneeded and is removed.
RELEASE_FACTOR = 4.0
# Each less urgent priority may use this fraction less of the limit, down to
# MIN_PRIORITY_FRACTION.
PRIORITY_FRACTION_STEP = 0.1
MIN_PRIORITY_FRACTION = 0.6


@frozen
class LimitChange:
    """A change of one service's limit, with the state that caused it.

    ``late`` and ``crowded`` are shares of the sampled requests. ``before`` and
    ``after`` are None when no limit is in force.
    """

    service: str
    before: float | None
    after: float | None
    in_flight: int
    late: float
    crowded: float


@define(eq=False)
class InFlightRequest:
    """A request at an engine, late if its response hasn't started by ``late_at``.

    ``is_sampled`` is set once the request has been sampled or has ended, so that it
    isn't sampled again. Times are in seconds of the monotonic clock.
    """

    service: str
    sent_at: float
    late_at: float
    account: str = ""
    is_sampled: bool = False


@frozen
class _Sample:
    at: float
    is_late: bool
    is_crowded: bool


@define
class _ServiceState:
    name: str
    shares: AccountShares
    in_flight: int = 0
    limit: float | None = None
    changed_at: float = float("-inf")
    samples: deque[_Sample] = field(factory=deque)
    pending: list[tuple[float, int, InFlightRequest]] = field(factory=list)
    is_crowded: bool = False
    crowded_reported_at: float = float("-inf")


def _ignore(change: LimitChange) -> None:
    """Ignore a change of a limit."""


@define
class AdaptiveConcurrencyLimiter:
    """Concurrency limits by service, in force only under overload.

    A limit decreases and increases by a factor, depending on the requests that
    were late. ``on_change`` is called with each change.

    >>> from dotterelpitch.clock import ManualClock
    >>> limiter = AdaptiveConcurrencyLimiter(ManualClock(10.0))
    >>> limiter.admits("chat", priority=0)
    True
    """

    _clock: Clock
    _on_change: Callable[[LimitChange], None] = _ignore
    _state_by_service: dict[str, _ServiceState] = field(factory=dict)
    _sequence: Iterator[int] = field(factory=itertools.count)

    def admits(self, service: str, priority: int, account: str = "") -> bool:
        """Return whether one more request of ``service`` may be sent.

        Priority 0 is the most urgent. While a limit is in force, an account with more
        than its share gets what the others leave.
        """
        state = self._state(service)
        self._sample_overdue(state)
        if state.limit is None:
            return True
        fraction = max(MIN_PRIORITY_FRACTION, 1.0 - PRIORITY_FRACTION_STEP * priority)
        limit = max(MIN_LIMIT, state.limit * fraction)
        return state.shares.admits(account, limit)

    def request_started(
        self, service: str, objective_s: float, account: str = ""
    ) -> InFlightRequest:
        """Count a request that is sent to an engine, and return its record.

        ``objective_s`` is the time in seconds in which the response should start.
        """
        state = self._state(service)
        state.in_flight += 1
        now = self._clock.monotonic()
        late_at = now + LATE_OBJECTIVE_FRACTION * objective_s
        request = InFlightRequest(service, now, late_at, account)
        state.shares.started(account)
        heapq.heappush(state.pending, (request.late_at, next(self._sequence), request))
        return request

    def response_started(self, request: InFlightRequest, is_crowded: bool) -> None:
        """Record the start of a response.

        ``is_crowded`` is whether the engine has more requests than it can serve
        well. Late responses of engines that aren't crowded have other causes than
        overload.
        """
        now = self._clock.monotonic()
        state = self._state(request.service)
        state.is_crowded = is_crowded
        state.crowded_reported_at = now
        self._add_sample(state, request, now > request.late_at, is_crowded)

    def request_rejected(self, request: InFlightRequest) -> None:
        """Record that an engine was too full to run a request."""
        self._add_sample(self._state(request.service), request, True, True)

    def seconds_since_sent(self, request: InFlightRequest) -> float:
        """Return how long ago a request was sent."""
        return self._clock.monotonic() - request.sent_at

    def request_ended(self, request: InFlightRequest) -> None:
        """Count the end of a request at an engine, whatever its outcome."""
        request.is_sampled = True
        state = self._state(request.service)
        state.in_flight -= 1
        state.shares.ended(request.account)

    def active_limits(self) -> Iterator[tuple[str, float]]:
        """Yield the name and limit of each service whose limit is in force."""
        for name, state in self._state_by_service.items():
            if state.limit is not None:
                yield name, state.limit

    def _sample_overdue(self, state: _ServiceState) -> None:
        """Add samples for requests that are late and still without a response."""
        now = self._clock.monotonic()
        is_recent = state.crowded_reported_at >= now - SAMPLE_WINDOW_SECONDS
        is_crowded = state.is_crowded and is_recent
        while state.pending and state.pending[0][0] <= now:
            _, _, request = heapq.heappop(state.pending)
            self._add_sample(state, request, True, is_crowded)

    def _add_sample(
        self,
        state: _ServiceState,
        request: InFlightRequest,
        is_late: bool,
        is_crowded: bool,
    ) -> None:
        """Sample a request once, unless it was sent before the last change.

        Adjusts the limit if there are enough samples and the last change is long
        enough ago.
        """
        if request.is_sampled or request.sent_at < state.changed_at:
            return
        request.is_sampled = True
        now = self._clock.monotonic()
        samples = state.samples
        samples.append(_Sample(now, is_late, is_crowded))
        while samples[0].at < now - SAMPLE_WINDOW_SECONDS:
            samples.popleft()
        if (
            len(samples) >= MIN_SAMPLES
            and now - state.changed_at >= MIN_CHANGE_INTERVAL_SECONDS
        ):
            self._adjust(state, now)

    def _adjust(self, state: _ServiceState, now: float) -> None:
        before = state.limit
        late = _share(sample.is_late for sample in state.samples)
        crowded = _share(sample.is_crowded for sample in state.samples)
        if late > DECREASE_LATE_SHARE and crowded > OVERLOAD_CROWDED_SHARE:
            current = state.in_flight if before is None else before
            limit = max(MIN_LIMIT, DECREASE_FACTOR * min(current, state.in_flight))
        elif late < INCREASE_LATE_SHARE and before is not None:
            limit = (
                INCREASE_FACTOR
                if crowded > OVERLOAD_CROWDED_SHARE
                else FAST_INCREASE_FACTOR
            ) * before
            if limit > RELEASE_FACTOR * max(MIN_LIMIT, state.in_flight):
                limit = None
        else:
            return
        state.limit = limit
        state.changed_at = now
        state.samples.clear()
        in_flight = state.in_flight
        change = LimitChange(state.name, before, limit, in_flight, late, crowded)
        self._on_change(change)

    def _state(self, name: str) -> _ServiceState:
        state = self._state_by_service.get(name)
        if state is None:
            state = _ServiceState(name, AccountShares(self._clock))
            self._state_by_service[name] = state
        return state


def _share(flags: Iterable[bool]) -> float:
    flags = list(flags)
    return sum(flags) / len(flags)
