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
    """One engine queue that several VMs fill, each with its own limiter."""

    def __init__(self, is_limited):
        self.clock = ManualClock(100.0)
        self.limits = [AdaptiveConcurrencyLimiter(self.clock) for _ in range(VMS)]
        self.offered = [0] * PRIORITIES
        self.in_time = [0] * PRIORITIES
        self.refused = [0] * PRIORITIES
        self._is_limited = is_limited
        self._free_at = 0.0
        self._ends = []
        self._due = 0.0

    def run(self, seconds, load):
        for _ in range(int(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)
            self._finish()
            self._due += load * STEP_SECONDS / SERVICE_SECONDS
            while self._due >= 1.0:
                self._due -= 1.0
                self._arrive(sum(self.offered))

    def _arrive(self, number):
        vm, priority = number % VMS, number // VMS % PRIORITIES
        now = self.clock.monotonic()
        self.offered[priority] += 1
        if self._is_limited and not self.limits[vm].admits("s", priority):
            self.refused[priority] += 1
            return
        is_crowded = self._free_at > now
        self._free_at = max(now, self._free_at) + SERVICE_SECONDS
        ticket = self.limits[vm].request_started("s", OBJECTIVE_SECONDS)
        heapq.heappush(
            self._ends, (self._free_at, number, vm, priority, is_crowded, ticket)
        )

    def _finish(self):
        now = self.clock.monotonic()
        while self._ends and self._ends[0][0] <= now:
            end, _, vm, priority, is_crowded, ticket = heapq.heappop(self._ends)
            self.in_time[priority] += end - ticket.sent_at <= OBJECTIVE_SECONDS
            self.limits[vm].response_started(ticket, is_crowded)
            self.limits[vm].request_ended(ticket)


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
    refused = [
        r / o for r, o in zip(simulation.refused, simulation.offered, strict=True)
    ]
    assert refused == sorted(refused)
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
    ("late", "crowded", "is_limited"),
    [
        (1.0, 1.0, True),
        (0.8, 0.8, True),
        (1.0, 0.0, False),
        (1.0, 0.4, False),
        (0.4, 1.0, False),
        (0.0, 1.0, False),
    ],
)
def test_limit_requires_late_requests_at_crowded_engines(late, crowded, is_limited):
    clock = ManualClock(100.0)
    limit = AdaptiveConcurrencyLimiter(clock)
    for number in range(40):
        part = number * 7 % 10 / 10
        ticket = limit.request_started("s", SERVICE_SECONDS if part < late else 1e9)
        clock.advance(SERVICE_SECONDS)
        limit.response_started(ticket, part < crowded)
    assert bool(list(limit.active_limits())) is is_limited


@pytest.mark.parametrize(("was_crowded", "is_limited"), [(True, True), (False, False)])
def test_overdue_requests_count_as_late_before_their_response(was_crowded, is_limited):
    clock = ManualClock(100.0)
    limit = AdaptiveConcurrencyLimiter(clock)
    first = limit.request_started("s", OBJECTIVE_SECONDS)
    for _ in range(10):
        limit.request_started("s", OBJECTIVE_SECONDS)
    limit.response_started(first, was_crowded)
    clock.advance(OBJECTIVE_SECONDS)
    assert limit.admits("s", priority=0) is not is_limited


def test_rejections_by_full_engines_cause_a_limit():
    clock = ManualClock(100.0)
    changes = []
    limit = AdaptiveConcurrencyLimiter(clock, changes.append)
    tickets = [limit.request_started("s", OBJECTIVE_SECONDS) for _ in range(10)]
    for ticket in tickets:
        limit.request_rejected(ticket)
    (change,) = changes
    assert (change.service, change.before, change.after) == ("s", None, 5.0)


def test_limit_never_falls_below_the_minimum():
    clock = ManualClock(100.0)
    limit = AdaptiveConcurrencyLimiter(clock)
    for _ in range(100):
        clock.advance(MIN_CHANGE_INTERVAL_SECONDS)
        for _ in range(MIN_SAMPLES):
            ticket = limit.request_started("s", OBJECTIVE_SECONDS)
            limit.request_rejected(ticket)
            limit.request_ended(ticket)
    for _ in range(int(MIN_LIMIT)):
        assert limit.admits("s", priority=9)
        limit.request_started("s", OBJECTIVE_SECONDS)
    assert not limit.admits("s", priority=0)
    assert limit.admits("other", priority=0)
