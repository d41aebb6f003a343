"""Adaptive concurrency limit: when it applies, what it refuses, when it is removed.

The load pattern is overload of twice the engines' capacity, as in the scenario
``deploy/days/surge-third-gone.toml``: without a limit every request waits in the
queues of the engines and nearly all are late.
"""

import heapq

import pytest

from dotterelpitch.clock import ManualClock
from dotterelpitch.routing.concurrency_limiter import (
    MIN_CHANGE_INTERVAL_SECONDS,
    MIN_LIMIT,
    MIN_SAMPLES,
    AdaptiveConcurrencyLimiter,
)

OBJECTIVE_SECONDS = 0.4
SERVICE_SECONDS = 0.02
VMS = 6
STEP_SECONDS = 0.005
PRIORITIES = 3


class OverloadSimulation:
    """One engine queue that several VMs fill, each with its own limiter.

    ``offered``, ``in_time``, and ``refused`` count requests by priority.
    """

    def __init__(self, is_limited):
        self.clock = ManualClock(100.0)
        self.limiters = [AdaptiveConcurrencyLimiter(self.clock) for _ in range(VMS)]
        self.offered = [0] * PRIORITIES
        self.in_time = [0] * PRIORITIES
        self.refused = [0] * PRIORITIES
        self._is_limited = is_limited
        self._free_at = 0.0
        self._running = []
        self._due_requests = 0.0

    def run(self, seconds, load):
        """Offer ``load`` times the capacity of the engine for ``seconds``."""
        for _ in range(int(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)
            self._finish()
            self._due_requests += load * STEP_SECONDS / SERVICE_SECONDS
            while self._due_requests >= 1.0:
                self._due_requests -= 1.0
                self._arrive(sum(self.offered))

    def _arrive(self, number):
        vm, priority = number % VMS, number // VMS % PRIORITIES
        now = self.clock.monotonic()
        self.offered[priority] += 1
        if self._is_limited and not self.limiters[vm].admits("s", priority):
            self.refused[priority] += 1
            return
        is_crowded = self._free_at > now
        self._free_at = max(now, self._free_at) + SERVICE_SECONDS
        request = self.limiters[vm].request_started("s", OBJECTIVE_SECONDS)
        heapq.heappush(
            self._running, (self._free_at, number, vm, priority, is_crowded, request)
        )

    def _finish(self):
        now = self.clock.monotonic()
        while self._running and self._running[0][0] <= now:
            end, _, vm, priority, is_crowded, request = heapq.heappop(self._running)
            self.in_time[priority] += end - request.sent_at <= OBJECTIVE_SECONDS
            self.limiters[vm].response_started(request, is_crowded)
            self.limiters[vm].request_ended(request)


@pytest.mark.parametrize("load", [1.3, 2.0])
def test_two_thirds_of_capacity_serve_requests_in_time_under_overload(load):
    simulation = OverloadSimulation(is_limited=True)
    simulation.run(6.0, load)
    assert sum(simulation.in_time) >= 2 / 3 * sum(simulation.offered) / load


def test_nearly_all_requests_are_late_under_overload_without_a_limit():
    simulation = OverloadSimulation(is_limited=False)
    simulation.run(6.0, load=2.0)
    assert sum(simulation.in_time) < 0.1 * sum(simulation.offered)


def test_urgent_requests_are_refused_less_and_no_priority_starves():
    simulation = OverloadSimulation(is_limited=True)
    simulation.run(6.0, load=2.0)
    refused_shares = [
        r / o for r, o in zip(simulation.refused, simulation.offered, strict=True)
    ]
    assert refused_shares == sorted(refused_shares)
    assert simulation.in_time[-1] > 0.25 * simulation.in_time[0]


def test_no_request_is_refused_after_overload_ends():
    simulation = OverloadSimulation(is_limited=True)
    simulation.run(6.0, load=2.0)
    simulation.run(3.0, load=0.6)
    refused = sum(simulation.refused)
    simulation.run(5.0, load=0.6)
    assert sum(simulation.refused) == refused


def test_no_request_is_refused_below_capacity():
    simulation = OverloadSimulation(is_limited=True)
    simulation.run(20.0, load=0.9)
    assert not sum(simulation.refused)


@pytest.mark.parametrize(
    ("late_share", "crowded_share", "is_limited"),
    [
        (1.0, 1.0, True),
        (0.8, 0.8, True),
        (1.0, 0.0, False),
        (1.0, 0.4, False),
        (0.4, 1.0, False),
        (0.0, 1.0, False),
    ],
)
def test_limit_requires_late_requests_at_crowded_engines(
    late_share, crowded_share, is_limited
):
    clock = ManualClock(100.0)
    limiter = AdaptiveConcurrencyLimiter(clock)
    for number in range(40):
        fraction = number * 7 % 10 / 10
        request = limiter.request_started(
            "s", SERVICE_SECONDS if fraction < late_share else 1e9
        )
        clock.advance(SERVICE_SECONDS)
        limiter.response_started(request, fraction < crowded_share)
    assert bool(list(limiter.active_limits())) is is_limited


@pytest.mark.parametrize(("was_crowded", "is_limited"), [(True, True), (False, False)])
def test_overdue_requests_count_as_late_before_their_response(was_crowded, is_limited):
    clock = ManualClock(100.0)
    limiter = AdaptiveConcurrencyLimiter(clock)
    first = limiter.request_started("s", OBJECTIVE_SECONDS)
    for _ in range(10):
        limiter.request_started("s", OBJECTIVE_SECONDS)
    limiter.response_started(first, was_crowded)
    clock.advance(OBJECTIVE_SECONDS)
    assert limiter.admits("s", priority=0) is not is_limited


def test_rejections_by_full_engines_cause_a_limit():
    clock = ManualClock(100.0)
    changes = []
    limiter = AdaptiveConcurrencyLimiter(clock, changes.append)
    requests = [limiter.request_started("s", OBJECTIVE_SECONDS) for _ in range(10)]
    for request in requests:
        limiter.request_rejected(request)
    (change,) = changes
    assert (change.service, change.before, change.after) == ("s", None, 5.0)


def test_limit_never_falls_below_the_minimum():
    clock = ManualClock(100.0)
    limiter = AdaptiveConcurrencyLimiter(clock)
    for _ in range(100):
        clock.advance(MIN_CHANGE_INTERVAL_SECONDS)
        for _ in range(MIN_SAMPLES):
            request = limiter.request_started("s", OBJECTIVE_SECONDS)
            limiter.request_rejected(request)
            limiter.request_ended(request)
    for _ in range(int(MIN_LIMIT)):
        assert limiter.admits("s", priority=9)
        limiter.request_started("s", OBJECTIVE_SECONDS)
    assert not limiter.admits("s", priority=0)
    assert limiter.admits("other", priority=0)
