"""Computes the next order for one engine on the way to the desired placement.

An engine is never ordered to unload the last serving replica of a model. At most
one replica of a model is out of service for a change. Versions change one engine
at a time, in the same sequence at every placer.
"""

from collections.abc import Mapping
from enum import StrEnum

import attrs
from attrs import define, frozen

from dotterelpitch.documents.model import EngineRole
from dotterelpitch.hashing import rendezvous_best
from dotterelpitch.placement.model import EngineOrder, EngineReport, ModelCopy
from dotterelpitch.placement.plan import Placement


class DeferralReason(StrEnum):
    """Why an engine gets no order now."""

    NO_REPORT = "the engine hasn't reported"
    NEWER_REVISION = "the engine has seen a newer revision"
    LAST_REPLICA = "too few other replicas serve"
    OTHER_ENGINE_FIRST = "another engine changes first"
    SHARED_ENGINE = "several documents name the engine"
    SETTLING = "the view has just changed"
    WEIGHT_STORE = "the weight-store budget is used up"


@frozen
class OrderStep:
    """An order to send, with the number of ``loads`` that it causes.

    ``depends_on_others`` is True if the order takes a model out of service, or was
    decided from the reports of other engines.
    """

    order: EngineOrder
    loads: int
    depends_on_others: bool


@frozen
class Deferral:
    """A change that ``engine`` needs but can't be ordered to make now."""

    engine: str
    reason: DeferralReason


@define
class _OrderDraft:
    """An order while it is decided, model by model.

    ``deferral_reason`` is set if a part of the change can't be ordered now.
    """

    copies: set[ModelCopy] = attrs.field(factory=set)
    depends_on_others: bool = False
    deferral_reason: DeferralReason | None = None


def next_step(
    placement: Placement, report_by_engine: Mapping[str, EngineReport], engine: str
) -> OrderStep | Deferral | None:
    """Return the next step of ``engine``, or None if it has reached the placement.

    The step is an order, or a deferral with its reason. ``report_by_engine``
    contains fresh reports only; an engine without one counts as serving nothing.
    """
    report = report_by_engine.get(engine)
    if report is None:
        return Deferral(engine, DeferralReason.NO_REPORT)
    if report.highest_fencing > placement.revision:
        return Deferral(engine, DeferralReason.NEWER_REVISION)
    desired = placement.order_by_engine[engine]
    draft = _OrderDraft()
    names = {copy.name for copy in desired.copies | report.copies}
    for model in sorted(names):
        _decide_model(draft, placement, report_by_engine, engine, model)
    role = _decide_role(draft, placement, report_by_engine, engine)
    order = attrs.evolve(desired, copies=frozenset(draft.copies), role=role)
    if not order.is_satisfied_by(report):
        return OrderStep(
            order, order.count_missing_loads(report), draft.depends_on_others
        )
    return Deferral(engine, draft.deferral_reason) if draft.deferral_reason else None


def _decide_model(
    draft: _OrderDraft,
    placement: Placement,
    report_by_engine: Mapping[str, EngineReport],
    engine: str,
    model: str,
) -> None:
    """Add to ``draft`` the copies of ``model`` that ``engine`` should have next."""
    current = report_by_engine[engine].copies_of(model)
    desired = {c for c in placement.order_by_engine[engine].copies if c.name == model}
    if model in placement.unplaced_models:
        draft.copies |= current
        return
    if not _interrupts_model(placement, report_by_engine[engine], engine, model):
        draft.copies |= desired
        draft.depends_on_others |= bool(current - desired)
        return
    if _next_engine_to_change(placement, report_by_engine, model) != engine:
        draft.copies |= current
        draft.deferral_reason = DeferralReason.OTHER_ENGINE_FIRST
        return
    if _enough_other_replicas(placement, report_by_engine, engine, model):
        draft.copies |= desired
        draft.depends_on_others = True
        return
    # Load the new version in addition to the old one, or just keep the old one.
    draft.copies |= current | desired
    draft.depends_on_others |= bool(desired)
    draft.deferral_reason = DeferralReason.LAST_REPLICA


def _interrupts_model(
    placement: Placement, report: EngineReport, engine: str, model: str
) -> bool:
    """Return whether reaching the desired copies interrupts ``model`` on ``engine``.

    It doesn't if the engine has the desired version already, if it has no version
    of the model, or if the document no longer contains the model.
    """
    current = {copy.key for copy in report.copies_of(model)}
    desired = placement.copy_by_model.get(model)
    if not current or desired is None:
        return False
    order = placement.order_by_engine.get(engine)
    is_desired_here = order is not None and desired in order.copies
    return not (is_desired_here and desired.key in current)


def _next_engine_to_change(
    placement: Placement, report_by_engine: Mapping[str, EngineReport], model: str
) -> str | None:
    candidates = (
        name
        for name, report in report_by_engine.items()
        if name in placement.order_by_engine
        and _interrupts_model(placement, report, name, model)
    )
    return rendezvous_best(f"change:{placement.service}/{model}", candidates)


def _enough_other_replicas(
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
    draft: _OrderDraft,
    placement: Placement,
    report_by_engine: Mapping[str, EngineReport],
    engine: str,
) -> EngineRole:
    """Return the role that ``engine`` should have next.

    If the change of role has to wait, the reason is set in ``draft``.
    """
    report = report_by_engine[engine]
    desired = placement.order_by_engine[engine].role
    if desired is report.role or desired is EngineRole.BOTH:
        return desired
    if _next_engine_to_narrow(placement, report_by_engine) != engine:
        draft.deferral_reason = DeferralReason.OTHER_ENGINE_FIRST
        return report.role
    served = {copy.name for copy in report.copies} & placement.copy_by_model.keys()
    if all(
        _enough_other_replicas(placement, report_by_engine, engine, m) for m in served
    ):
        draft.depends_on_others |= bool(served)
        return desired
    draft.deferral_reason = DeferralReason.LAST_REPLICA
    return report.role


def _next_engine_to_narrow(
    placement: Placement, report_by_engine: Mapping[str, EngineReport]
) -> str | None:
    """Return the engine that is next to drop a phase of generation, or None."""
    candidates = (
        name
        for name, order in placement.order_by_engine.items()
        if name in report_by_engine
        and order.role not in (report_by_engine[name].role, EngineRole.BOTH)
    )
    return rendezvous_best(f"role:{placement.service}", candidates)
