"""The next order for one engine on the way to the wanted placement.

An engine is never told to drop the last serving replica of a model, at most
one replica of a model is out of service for a change, and versions change one
engine at a time, in the same order at every placer.
"""

from collections.abc import Mapping
from enum import StrEnum

import attrs
from attrs import define, frozen

from dotterelpitch.documents.model import EngineRole
from dotterelpitch.hashing import best
from dotterelpitch.placement.model import EngineOrder, EngineReport, ModelCopy
from dotterelpitch.placement.plan import Placement


class DeferralReason(StrEnum):
    """Why an engine doesn't get an order now."""

    NO_REPORT = "the engine hasn't reported"
    NEWER_REVISION = "the engine has seen a newer revision"
    LAST_REPLICA = "too few other replicas serve"
    OTHER_ENGINE_FIRST = "another engine changes first"
    SHARED_ENGINE = "several documents name the engine"
    SETTLING = "the view has just changed"
    WEIGHT_STORE = "the weight-store budget is used up"


@frozen
class OrderStep:
    """An order to send.

    ``rests_on_others`` tells that it takes something out of service, or is
    what it is because of the other engines' reports.
    """

    order: EngineOrder
    loads: int
    depends_on_others: bool


@frozen
class Deferral:
    """Something is wanted of ``engine``, but not now."""

    engine: str
    reason: DeferralReason


@define
class _Decision:
    """Collects what an order shall hold, model by model."""

    copies: set[ModelCopy] = attrs.field(factory=set)
    depends_on_others: bool = False
    wait: DeferralReason | None = None


def next_step(
    placement: Placement, report_by_engine: Mapping[str, EngineReport], engine: str
) -> OrderStep | Deferral | None:
    """Return the order for ``engine``, why it waits, or None when it is done.

    ``report_by_engine`` holds fresh reports only: an engine that hasn't
    reported counts as serving nothing.
    """
    report = report_by_engine.get(engine)
    if report is None:
        return Deferral(engine, DeferralReason.NO_REPORT)
    if report.highest_fencing > placement.revision:
        return Deferral(engine, DeferralReason.NEWER_REVISION)
    wanted = placement.order_by_engine[engine]
    decision = _Decision()
    names = {copy.name for copy in wanted.copies | report.copies}
    for model in sorted(names):
        _decide_model(decision, placement, report_by_engine, engine, model)
    role = _decide_role(decision, placement, report_by_engine, engine)
    order = attrs.evolve(wanted, copies=frozenset(decision.copies), role=role)
    if not order.is_satisfied_by(report):
        return OrderStep(
            order, order.count_missing_loads(report), decision.depends_on_others
        )
    return Deferral(engine, decision.wait) if decision.wait else None


def _decide_model(
    decision: _Decision,
    placement: Placement,
    report_by_engine: Mapping[str, EngineReport],
    engine: str,
    model: str,
) -> None:
    has = report_by_engine[engine].copies_of(model)
    wanted = {c for c in placement.order_by_engine[engine].copies if c.name == model}
    if model in placement.unplaced_models:
        decision.copies |= has
        return
    if not _needs_change(placement, report_by_engine[engine], engine, model):
        decision.copies |= wanted
        decision.depends_on_others |= bool(has - wanted)
        return
    if _first_to_change(placement, report_by_engine, model) != engine:
        decision.copies |= has
        decision.wait = DeferralReason.OTHER_ENGINE_FIRST
        return
    if _others_suffice(placement, report_by_engine, engine, model):
        decision.copies |= wanted
        decision.depends_on_others = True
        return
    # Load the new version beside the old one, or keep the old one.
    decision.copies |= has | wanted
    decision.depends_on_others |= bool(wanted)
    decision.wait = DeferralReason.LAST_REPLICA


def _needs_change(
    placement: Placement, report: EngineReport, engine: str, model: str
) -> bool:
    """Return whether reaching the wanted copies interrupts ``model`` there.

    It doesn't when the engine holds the wanted version already, when it holds
    nothing of the model, or when the document no longer has the model.
    """
    has = {copy.key for copy in report.copies_of(model)}
    wanted = placement.copy_by_model.get(model)
    if not has or wanted is None:
        return False
    order = placement.order_by_engine.get(engine)
    is_wanted_here = order is not None and wanted in order.copies
    return not (is_wanted_here and wanted.key in has)


def _first_to_change(
    placement: Placement, report_by_engine: Mapping[str, EngineReport], model: str
) -> str | None:
    waiting = (
        name
        for name, report in report_by_engine.items()
        if name in placement.order_by_engine
        and _needs_change(placement, report, name, model)
    )
    return best(f"change:{placement.service}/{model}", waiting)


def _others_suffice(
    placement: Placement,
    report_by_engine: Mapping[str, EngineReport],
    engine: str,
    model: str,
) -> bool:
    others = sum(
        bool(report.copies_of(model))
        for name, report in report_by_engine.items()
        if name != engine and name in placement.order_by_engine
    )
    return others >= max(1, len(placement.engines_by_model[model]) - 1)


def _decide_role(
    decision: _Decision,
    placement: Placement,
    report_by_engine: Mapping[str, EngineReport],
    engine: str,
) -> EngineRole:
    report = report_by_engine[engine]
    wanted = placement.order_by_engine[engine].role
    if wanted is report.role or wanted is EngineRole.BOTH:
        return wanted
    if _first_to_narrow(placement, report_by_engine) != engine:
        decision.wait = DeferralReason.OTHER_ENGINE_FIRST
        return report.role
    served = {copy.name for copy in report.copies} & placement.copy_by_model.keys()
    if all(_others_suffice(placement, report_by_engine, engine, m) for m in served):
        decision.depends_on_others |= bool(served)
        return wanted
    decision.wait = DeferralReason.LAST_REPLICA
    return report.role


def _first_to_narrow(
    placement: Placement, report_by_engine: Mapping[str, EngineReport]
) -> str | None:
    """Return the first engine that has to give up a phase of generation."""
    waiting = (
        name
        for name, order in placement.order_by_engine.items()
        if name in report_by_engine
        and order.role not in (report_by_engine[name].role, EngineRole.BOTH)
    )
    return best(f"role:{placement.service}", waiting)
