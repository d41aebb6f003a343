"""Admission control for one engine: load bound, queue, deadlines, and stalling."""

import random

import pytest

from dotterelpitch.clock import ManualClock
from dotterelpitch.load.experiment_policies import POLICY_BY_NAME
from dotterelpitch.routing.admission import QUEUE_PER_SLOT, AdmissionController
from dotterelpitch.routing.admission_queue import AdmissionQueue
from dotterelpitch.routing.admission_request import (
    Accepted,
    AdmissionMode,
    AdmissionRequest,
    AtBound,
    Rejected,
    Waiting,
)
from dotterelpitch.routing.engine_load import (
    MAX_REPORT_AGE_SECONDS,
    EngineLoad,
    FleetLoad,
)
from dotterelpitch.routing.stalling import StallState


def make_controllers(count=1, slots=4, policy="never", clock=None, load_bound=1.25):
    clock = clock or ManualClock()
    fleet = FleetLoad(clock)
    chosen = POLICY_BY_NAME[policy]
    return [
        AdmissionController(f"e{n}", slots, clock, fleet, chosen, load_bound)
        for n in range(count)
    ]


def make_request(name, weight=50.0, **values):
    return AdmissionRequest(str(name), values.pop("account", "a"), weight, **values)


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("slots", [8, 64])
def test_the_bound_holds_and_some_engine_always_takes_the_request(seed, slots):
    rng = random.Random(seed)
    controllers = make_controllers(10, slots)
    running = []
    for n in range(600):
        if running and (rng.random() < 0.4 or len(running) > 6 * slots):
            controller, name = running.pop(rng.randrange(len(running)))
            controller.finish(name)
        weight = rng.choice([10.0, 40.0, 90.0])
        order = rng.sample(controllers, len(controllers))
        for controller in order:
            answer = controller.submit(make_request(n, weight))
            if isinstance(answer, Accepted):
                break
        assert isinstance(answer, Accepted)
        running.append((controller, str(n)))
        loads = [c.load for c in controllers]
        mean = sum(loads) / len(loads)
        mean_before = mean - weight / len(controllers)
        bound = max(1.25 * mean, mean_before + weight)
        assert controller.load <= bound + 1e-6 or controller.running == 1
        assert controller.load <= answer.bound + 1e-6 or controller.running == 1


def test_an_owner_uses_the_loads_observed_by_the_caller():
    clock = ManualClock()
    controller = AdmissionController(
        "e0", 8, clock, FleetLoad(clock), POLICY_BY_NAME["never"], 1.25
    )
    controller._fleet.update([EngineLoad(f"e{n}", 0.0, 8) for n in range(1, 4)])
    assert isinstance(controller.submit(make_request(1)), Accepted)
    assert isinstance(controller.submit(make_request(2)), AtBound)
    observed = tuple(EngineLoad(f"e{n}", 50.0, 8, 1) for n in range(1, 4))
    assert isinstance(controller.submit(make_request(2, observed=observed)), Accepted)


@pytest.mark.parametrize(
    ("age_seconds", "is_counted"), [(1.0, True), (MAX_REPORT_AGE_SECONDS + 2, False)]
)
def test_lost_load_reports_do_not_pull_the_mean_down(age_seconds, is_counted):
    clock = ManualClock()
    fleet = FleetLoad(clock)
    fleet.update([EngineLoad("old", 0.0, 4)])
    clock.advance(age_seconds)
    fleet.update([EngineLoad("new", 400.0, 4)])
    assert fleet.load_per_slot() == (50.0 if is_counted else 100.0)


def test_queue_orders_by_priority_then_deadline():
    queue = AdmissionQueue()
    rows = [("late", 1, 90.0), ("none", 1, 0.0), ("soon", 1, 10.0), ("low", 2, 1.0)]
    for name, priority, deadline in rows:
        queue.push(make_request(name, priority=priority, deadline=deadline))
    queue.push(make_request("top", priority=0))
    popped = [queue.pop(lambda request: True).request_id for _ in range(5)]
    assert popped == ["top", "soon", "late", "none", "low"]
    assert queue.pop(lambda request: True) is None


def test_queue_is_fair_between_accounts_even_with_later_deadlines():
    queue = AdmissionQueue(quantum=100.0)
    for n in range(200):
        queue.push(make_request(f"surge-{n}", account="surge", deadline=1.0))
    for n in range(10):
        queue.push(make_request(f"calm-{n}", account="calm", deadline=100.0))
    popped = [queue.pop(lambda request: True).account for _ in range(24)]
    assert popped.count("calm") >= 10


@pytest.mark.parametrize("seed", range(3))
def test_short_calls_are_not_blocked_by_a_burst_of_long_ones(seed):
    rng = random.Random(seed)
    clock = ManualClock()
    (controller,) = make_controllers(slots=16, clock=clock)
    deadline = clock.wall() + 4.0
    calls = [
        make_request(f"long-{n}", 600.0, mode=AdmissionMode.QUEUE) for n in range(80)
    ]
    calls += [
        make_request(f"short-{n}", 20.0, mode=AdmissionMode.QUEUE, deadline=deadline)
        for n in range(40)
    ]
    rng.shuffle(calls)
    ends_at, started = {}, set()

    def start(name):
        started.add(name)
        ends_at[name] = clock.monotonic() + (6.0 if "long" in name else 0.2)

    for call in calls:
        answer = controller.submit(call)
        if isinstance(answer, Accepted):
            start(call.request_id)
    for _ in range(38):
        clock.advance(0.1)
        for name in [n for n, at in ends_at.items() if at <= clock.monotonic()]:
            del ends_at[name]
            for accepted in controller.finish(name, completed=True).accepted:
                start(accepted.request_id)
    assert sum("short" in name for name in started) == 40
    assert sum("long" in name for name in started) >= 10


def test_a_deadline_that_cannot_be_met_is_refused_at_once():
    clock = ManualClock()
    (controller,) = make_controllers(slots=1, clock=clock)
    controller.submit(make_request("first", 100.0))
    clock.advance(10.0)
    controller.finish("first", completed=True)
    controller.submit(make_request("second", 100.0))
    soon = clock.wall() + 2.0
    refused = controller.submit(
        make_request("third", 100.0, mode=AdmissionMode.QUEUE, deadline=soon)
    )
    assert isinstance(refused, Rejected) and refused.retry_after >= 1.0
    later = clock.wall() + 60.0
    waiting = controller.submit(
        make_request("fourth", 100.0, mode=AdmissionMode.QUEUE, deadline=later)
    )
    assert isinstance(waiting, Waiting)
    clock.advance(61.0)
    assert [r.request_id for r in controller.advance().rejected] == ["fourth"]


def test_the_queue_is_bounded():
    (controller,) = make_controllers(slots=2)
    answers = [
        controller.submit(make_request(n, mode=AdmissionMode.QUEUE)) for n in range(100)
    ]
    assert sum(isinstance(a, Waiting) for a in answers) == 2 * QUEUE_PER_SLOT
    assert isinstance(answers[-1], Rejected)


def test_a_suspect_runs_alone():
    (controller,) = make_controllers(slots=4)
    assert isinstance(controller.submit(make_request("n")), Accepted)
    assert isinstance(
        controller.submit(make_request("s", alone=True, mode=AdmissionMode.QUEUE)),
        Waiting,
    )
    assert isinstance(controller.submit(make_request("m")), AtBound)
    assert [a.request_id for a in controller.finish("n").accepted] == ["s"]
    assert isinstance(controller.submit(make_request("m")), AtBound)
    controller.finish("s")
    assert isinstance(controller.submit(make_request("m")), Accepted)


@pytest.mark.parametrize(
    ("reported_by_former_owner", "reported_by_engine", "free_slots"),
    [(0, 0, 4), (3, 0, 1), (0, 3, 1), (4, 0, 0), (2, 2, 2), (1, 3, 1)],
)
def test_a_new_owner_counts_the_running_requests_of_the_former_one(
    reported_by_former_owner, reported_by_engine, free_slots
):
    (controller,) = make_controllers(slots=4, load_bound=100.0)
    controller.other_owners.receive_report(
        "vm-old",
        EngineLoad("e0", reported_by_former_owner * 50.0, 4, reported_by_former_owner),
    )
    controller.other_owners.receive_engine_count(reported_by_engine, 0)
    mode = AdmissionMode.BOUNDED
    answers = [controller.submit(make_request(n, mode=mode)) for n in range(4)]
    assert sum(isinstance(a, Accepted) for a in answers) == free_slots


def test_an_owner_that_steps_down_rejects_its_queue():
    (controller,) = make_controllers(slots=1)
    controller.submit(make_request("running"))
    controller.submit(make_request("waiting", mode=AdmissionMode.QUEUE))
    rejected = controller.close("another owner").rejected
    assert [r.request_id for r in rejected] == ["waiting"]
    assert isinstance(
        controller.submit(make_request("new", mode=AdmissionMode.QUEUE)), Rejected
    )
    assert controller.own_snapshot().running == 1


@pytest.mark.parametrize(
    ("policy", "ratio", "utilisation", "longest"),
    [
        ("never", 4.0, 0.5, 0),
        ("always", 1.5, 0.5, 50),
        ("always", 1.0, 0.5, 0),
        ("individual", 4.0, 0.5, 15),
        ("expected-delay", 4.0, 0.5, 11),
        ("expected-delay", 1.2, 0.5, 0),
        ("load-threshold", 4.0, 0.0, 11),
        ("load-threshold", 4.0, 0.5, 5),
        ("load-threshold", 4.0, 1.0, 0),
        ("shared-capacity", 4.0, 0.0, 23),
        ("shared-capacity", 2.0, 0.5, 15),
        ("shared-capacity", 1.0, 0.9, 0),
        ("shared-capacity", 1.5, 0.75, 15),
    ],
)
def test_longest_queue_that_a_policy_joins(policy, ratio, utilisation, longest):
    waits = POLICY_BY_NAME[policy].waits
    states = [StallState(j, 4, (j + 1) / 4, ratio, utilisation) for j in range(50)]
    assert sum(waits(state) for state in states) == longest
