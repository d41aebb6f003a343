"""Tests of the desired placement, the steps toward it, and the load budget."""

import random

import pytest

from dotterelpitch.clock import ManualClock
from dotterelpitch.documents.model import Endpoint, EngineRole, Model, ServiceDocument
from dotterelpitch.placement.budget import LoadBudget
from dotterelpitch.placement.model import EngineReport, ModelCopy
from dotterelpitch.placement.plan import desired_placement, engines_serving
from dotterelpitch.placement.steps import Deferral, DeferralReason, OrderStep, next_step

OLD, NEW = ModelCopy("m", "1"), ModelCopy("m", "2")
OTHER = ModelCopy("other", "1")


def document(engines=12, domains=3, models=(("m", 6), ("n", 4)), revision=7, **kwargs):
    return ServiceDocument(
        "s",
        revision,
        [
            Endpoint(f"e{n}", f"10.0.0.{n}:80", f"d{n % domains}", **kwargs)
            for n in range(engines)
        ],
        [Model(name, "2", replicas=replicas) for name, replicas in models],
    )


def names(count):
    return {f"e{n}" for n in range(count)}


@pytest.mark.parametrize("seed", range(5))
def test_placement_is_independent_of_the_order_of_document_and_view(seed):
    unshuffled = document()
    shuffled = document()
    random.Random(seed).shuffle(shuffled.endpoints)
    random.Random(seed).shuffle(shuffled.models)
    desired = desired_placement(unshuffled, names(12))
    assert desired_placement(shuffled, set(reversed(sorted(names(12))))) == desired


@pytest.mark.parametrize("lost", [f"e{n}" for n in range(12)])
@pytest.mark.parametrize(
    ("models", "limit"), [((("m", 6), ("n", 4)), 2), ((("m", 6), ("n", 6)), 3)]
)
def test_a_view_without_one_engine_moves_few_replicas(lost, models, limit):
    placed_document = document(models=models)
    all_live = desired_placement(placed_document, names(12)).engines_by_model
    without = desired_placement(placed_document, names(12) - {lost}).engines_by_model
    moved = sum(len(without[m] - all_live[m]) for m in all_live)
    assert moved <= limit
    assert sum(map(len, without.values())) == sum(map(len, all_live.values()))


@pytest.mark.parametrize(
    ("engines", "models"),
    [(12, (("m", 6), ("n", 4))), (4, (("m", 4), ("n", 4))), (6, (("m", 3),))],
)
def test_replicas_are_spread_over_domains_and_engines(engines, models):
    placement = desired_placement(document(engines, 3, models), names(engines))
    for model, replicas in models:
        chosen = placement.engines_by_model[model]
        assert len(chosen) == replicas
        per_domain = [sum(int(e[1:]) % 3 == d for e in chosen) for d in range(3)]
        assert max(per_domain) <= -(-replicas // 3) + 1
    total = sum(replicas for _, replicas in models)
    max_copies = max(len(o.copies) for o in placement.order_by_engine.values())
    assert max_copies <= -(-total // engines) + 1


@pytest.mark.parametrize(
    ("replicas", "live", "expected"),
    [(0, 4, 4), (2, 4, 2), (4, 3, 3), (1, 0, 0)],
)
def test_engines_serving_a_model(replicas, live, expected):
    found = engines_serving(
        document(4, models=(("m", replicas),)), "m", names(4) & names(live)
    )
    assert len(found) == expected


def report(engine, copies, role=EngineRole.BOTH, fencing=0):
    return EngineReport(engine, 0.0, frozenset(copies), role, fencing)


def step_for(engine, copies_by_engine, replicas=2, **changes):
    """Return the next step of ``engine`` toward version 2 of ``m``.

    ``copies_by_engine`` are the reported copies, None for an engine without a
    report. ``changes`` are further fields of the reports, by engine.
    """
    placed_document = document(len(copies_by_engine), 2, (("m", replicas),))
    placement = desired_placement(placed_document, set(copies_by_engine))
    reports = {
        name: report(name, copies, **changes.get(name, {}))
        for name, copies in copies_by_engine.items()
        if copies is not None
    }
    return next_step(placement, reports, engine)


@pytest.mark.parametrize(
    ("copies_by_engine", "orders", "deferrals"),
    [
        # Nothing is loaded anywhere: both load.
        ({"e0": (), "e1": ()}, {"e0": {NEW}, "e1": {NEW}}, {}),
        # Both serve the old version: one (None) changes, the other is deferred.
        ({"e0": {OLD}, "e1": {OLD}}, {None: {NEW}}, {None: "OTHER_ENGINE_FIRST"}),
        # One has changed: the other follows.
        ({"e0": {NEW}, "e1": {OLD}}, {"e1": {NEW}}, {}),
        # The other replica doesn't serve: both versions are loaded together.
        ({"e0": (), "e1": {OLD}}, {"e0": {NEW}, "e1": {OLD, NEW}}, {}),
        ({"e0": None, "e1": {OLD}}, {"e1": {OLD, NEW}}, {"e0": "NO_REPORT"}),
        # Both versions are loaded: the old one is unloaded.
        ({"e0": None, "e1": {OLD, NEW}}, {"e1": {NEW}}, {"e0": "NO_REPORT"}),
        # A model removed from the document is unloaded, even next to a last replica.
        ({"e0": {NEW, OTHER}, "e1": {NEW}}, {"e0": {NEW}}, {}),
        ({"e0": {NEW}, "e1": {NEW}}, {}, {}),
    ],
)
def test_versions_change_without_losing_the_last_replica(
    copies_by_engine, orders, deferrals
):
    step_by_engine = {
        engine: step_for(engine, copies_by_engine) for engine in copies_by_engine
    }
    ordered = {
        e: s.order.copies for e, s in step_by_engine.items() if type(s) is OrderStep
    }
    deferred = {e: s.reason for e, s in step_by_engine.items() if type(s) is Deferral}
    if None in orders:  # The hash decides which of the two changes first.
        assert list(ordered.values()) == [orders[None]]
        assert list(deferred.values()) == [DeferralReason[deferrals[None]]]
        return
    assert ordered == orders
    assert deferred == {
        engine: DeferralReason[name] for engine, name in deferrals.items()
    }


def test_a_replica_that_moves_is_loaded_before_it_is_unloaded():
    placed_document = document(4, 2, (("m", 1),))
    placement = desired_placement(placed_document, names(4))
    (desired_engine,) = placement.engines_by_model["m"]
    loaded_engine = next(name for name in sorted(names(4)) if name != desired_engine)
    reports = {name: report(name, ()) for name in names(4)}
    reports[loaded_engine] = report(loaded_engine, {NEW})
    assert (
        next_step(placement, reports, loaded_engine).reason
        is DeferralReason.LAST_REPLICA
    )
    assert next_step(placement, reports, desired_engine).order.copies == {NEW}
    reports[desired_engine] = report(desired_engine, {NEW})
    assert next_step(placement, reports, loaded_engine).order.copies == frozenset()


def test_an_engine_that_saw_a_newer_revision_gets_no_order():
    step = step_for("e0", {"e0": (), "e1": ()}, e0={"fencing": 8})
    assert step == Deferral("e0", DeferralReason.NEWER_REVISION)


def test_roles_narrow_one_engine_at_a_time():
    placed_document = document(2, 2, (("m", 2),), role=EngineRole.DECODE)
    placement = desired_placement(placed_document, names(2))
    reports = {name: report(name, {NEW}) for name in names(2)}
    steps = [next_step(placement, reports, name) for name in sorted(names(2))]
    assert sorted(type(step).__name__ for step in steps) == ["Deferral", "OrderStep"]


@pytest.mark.parametrize("rate", [6.0, 60.0])
@pytest.mark.parametrize("seed", range(3))
def test_the_weight_store_rate_limits_loads_in_any_minute(rate, seed):
    clock, random_source, burst = ManualClock(), random.Random(seed), 4
    budget = LoadBudget(clock, rate, burst)
    taken = []
    for _ in range(4000):
        clock.advance(random_source.expovariate(1.0))
        if random_source.random() < 0.01:
            budget.restart()
        loads = random_source.randint(1, 6)
        if budget.take(loads):
            taken.append((clock.monotonic(), loads))
    for start, _ in taken:
        in_minute = sum(n for at, n in taken if start <= at < start + 60.0)
        assert in_minute <= rate + burst + 6
    assert sum(n for _, n in taken) >= 0.5 * rate / 60 * clock.monotonic()
