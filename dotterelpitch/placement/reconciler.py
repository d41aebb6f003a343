"""Reconciles the engines of this VM's failure domains with the desired placement.

``run_pass`` is called about every second. It reads reports, decides the next step
of each engine, and sends orders from one task per engine. Before an order is sent,
it is decided again from newly read reports. Directly before its body is written,
it is checked once more, so that a process that was paused in between drops it.
"""

import asyncio
from collections.abc import Callable

from attrs import frozen

from dotterelpitch.clock import Clock
from dotterelpitch.documents.model import Endpoint, ServiceDocument
from dotterelpitch.errors import (
    EngineUnavailableError,
    OrderDroppedError,
    OrderRefusedError,
)
from dotterelpitch.placement.budget import LoadBudget
from dotterelpitch.placement.engine_control import EngineControl
from dotterelpitch.placement.model import EngineReport
from dotterelpitch.placement.plan import Placement, desired_placement
from dotterelpitch.placement.reader import EngineReader
from dotterelpitch.placement.stability import ViewStabilityTracker
from dotterelpitch.placement.steps import Deferral, DeferralReason, OrderStep, next_step
from dotterelpitch.placement.view import PlacementView
from dotterelpitch.telemetry.events import Event, log_event

PASS_SECONDS = 1.0
MAX_DECISION_AGE_SECONDS = 2.0
RETRY_DELAY_SECONDS = 10.0
MAX_BURST_LOADS = 4.0

EngineKey = tuple[str, str]


@frozen
class _CachedPlacement:
    """A placement with the inputs that it was computed from."""

    document: ServiceDocument
    live: frozenset[str]
    placement: Placement


@frozen
class _Target:
    """One engine that this VM places, with its document and placement."""

    document: ServiceDocument
    placement: Placement
    engine: Endpoint

    @property
    def key(self) -> EngineKey:
        return self.document.service, self.engine.name


class Reconciler:
    """Places the engines of the failure domains whose placer is this VM.

    ``view`` is called for every decision, so that none is made from an old view.
    """

    def __init__(
        self,
        vm_name: str,
        clock: Clock,
        control: EngineControl,
        view: Callable[[], PlacementView],
        loads_per_minute: float,
    ) -> None:
        self._vm_name = vm_name
        self._clock = clock
        self._control = control
        self._view = view
        self._loads_per_minute = loads_per_minute
        self._last_view = PlacementView()
        self._reader = EngineReader(vm_name, clock, control)
        self._stability = ViewStabilityTracker(vm_name, clock)
        self._budget_by_domain: dict[str, LoadBudget] = {}
        self._placement_by_service: dict[str, _CachedPlacement] = {}
        self._last_logged_by_engine: dict[EngineKey, str] = {}
        self._retry_at_by_engine: dict[EngineKey, float] = {}
        self._task_by_engine: dict[EngineKey, asyncio.Task] = {}

    async def run_pass(self) -> None:
        """Run one pass: read reports, decide steps, and start sending orders."""
        self._stability.tick()
        await self._reader.read_due(self._record_view())
        view = self._record_view()
        for document in view.placed_documents:
            fresh = self._reader.fresh(document, view)
            for target in self._targets(document, view):
                self._start_next_step(target, fresh)

    async def wait_for_orders(self) -> None:
        """Wait until no order is in progress."""
        while tasks := list(self._task_by_engine.values()):
            await asyncio.gather(*tasks)

    async def close(self) -> None:
        """Cancel the orders in progress; engines finish what they have started."""
        tasks = list(self._task_by_engine.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _record_view(self) -> PlacementView:
        """Record the current view, and return it.

        The load budgets of failure domains that are new to this VM start empty.
        """
        view = self._current_view()
        for domain in self._stability.record_view(view):
            self._budget(domain).restart()
        return view

    def _current_view(self) -> PlacementView:
        """Return the current view, as the same object while it hasn't changed."""
        view = self._view()
        if view != self._last_view:
            self._last_view = view
        return self._last_view

    def _placement(self, document: ServiceDocument, live: frozenset[str]) -> Placement:
        """Return the placement, computed only if its inputs have changed."""
        cached = self._placement_by_service.get(document.service)
        if cached is None or cached.document is not document or cached.live != live:
            placement = desired_placement(document, live)
            cached = _CachedPlacement(document, live, placement)
            self._placement_by_service[document.service] = cached
        return cached.placement

    def _targets(self, document: ServiceDocument, view: PlacementView) -> list[_Target]:
        own = view.own_domains(document.service, self._vm_name)
        if not own:
            return []
        live = self._reader.live(document, view)
        placement = self._placement(document, live)
        return [
            _Target(document, placement, engine)
            for engine in document.engines()
            if engine.name in live and engine.failure_domain in own
        ]

    def _start_next_step(self, target: _Target, fresh: dict[str, EngineReport]) -> None:
        now = self._clock.monotonic()
        busy = target.key in self._task_by_engine
        if busy or now < self._retry_at_by_engine.get(target.key, 0.0):
            return
        step = self._decide_step(target, fresh)
        if isinstance(step, OrderStep):
            task = asyncio.create_task(self._execute_step(target, step))
            self._task_by_engine[target.key] = task
            task.add_done_callback(lambda _: self._task_by_engine.pop(target.key))
        elif isinstance(step, Deferral):
            self._log_deferral(target, step.reason)
        else:
            self._log_if_changed(target, Event.PLACEMENT_REACHED, "reached")

    def _decide_step(
        self, target: _Target, fresh: dict[str, EngineReport]
    ) -> OrderStep | Deferral | None:
        document = target.document
        if target.engine.address in self._current_view().shared_addresses:
            return Deferral(target.engine.name, DeferralReason.SHARED_ENGINE)
        step = next_step(target.placement, fresh, target.engine.name)
        if isinstance(step, OrderStep) and self._stability.is_settling(
            target.engine.failure_domain,
            document.service,
            document.revision,
            step.depends_on_others,
        ):
            return Deferral(target.engine.name, DeferralReason.SETTLING)
        return step

    async def _execute_step(self, target: _Target, planned: OrderStep) -> None:
        decided_at = self._clock.monotonic()
        await self._refresh_reports(target, planned)
        fresh = self._reader.fresh(target.document, self._current_view())
        step = self._decide_step(target, fresh)
        if not isinstance(step, OrderStep):
            return  # The next pass logs the reason.
        if step.depends_on_others and not planned.depends_on_others:
            return  # The next pass reads the other engines as well.
        if not self._budget(target.engine.failure_domain).take(step.loads):
            self._log_deferral(target, DeferralReason.WEIGHT_STORE)
            return

        def check() -> None:
            self._check_still_valid(target, decided_at)
            self._log_order(target, step)

        try:
            await self._control.order(target.engine, step.order, check)
        except OrderDroppedError as error:
            self._log(target, Event.PLACEMENT_DROPPED, reason=str(error))
            return
        except OrderRefusedError as error:
            event = Event.PLACEMENT_FENCED if error.fenced else Event.PLACEMENT_REFUSED
            self._log(target, event, reason=str(error))
        except EngineUnavailableError as error:
            self._log(target, Event.PLACEMENT_FAILED, reason=str(error))
        await self._verify_applied(target, step)

    async def _refresh_reports(self, target: _Target, step: OrderStep) -> None:
        """Read the reports that ``step`` depends on, of one engine or of all."""
        engines = [target.engine]
        if step.depends_on_others:
            names = target.placement.order_by_engine
            engines = [e for e in target.document.engines() if e.name in names]
        service = target.document.service
        await asyncio.gather(*(self._reader.read(service, e) for e in engines))

    async def _verify_applied(self, target: _Target, step: OrderStep) -> None:
        """Delay the engine's next step if it hasn't reached the ordered state."""
        service, engine = target.document.service, target.engine
        sent_at = self._clock.monotonic()
        await self._reader.read(service, engine)
        report = self._reader.last(service, engine.name)
        is_new = report is not None and report.read_at >= sent_at
        if not (is_new and step.order.is_satisfied_by(report)):
            retry_at = self._clock.monotonic() + RETRY_DELAY_SECONDS
            self._retry_at_by_engine[target.key] = retry_at

    def _check_still_valid(self, target: _Target, decided_at: float) -> None:
        """Raise OrderDroppedError if the decision may no longer be valid."""
        if self._clock.monotonic() - decided_at > MAX_DECISION_AGE_SECONDS:
            raise OrderDroppedError("the decision is too old")
        if self._stability.was_paused():
            raise OrderDroppedError("the process was paused")
        view = self._current_view()
        document = view.document_by_service.get(target.document.service)
        if document is None or document.revision != target.document.revision:
            raise OrderDroppedError("the document has changed")
        domain = target.engine.failure_domain
        if view.placer_by_domain.get(domain) != self._vm_name:
            raise OrderDroppedError("another VM places this failure domain")

    def _budget(self, domain: str) -> LoadBudget:
        if domain not in self._budget_by_domain:
            self._budget_by_domain[domain] = LoadBudget(
                self._clock, self._loads_per_minute, MAX_BURST_LOADS
            )
        return self._budget_by_domain[domain]

    def _log_deferral(self, target: _Target, reason: DeferralReason) -> None:
        event_by_reason = {DeferralReason.NEWER_REVISION: Event.PLACEMENT_FENCED}
        event = event_by_reason.get(reason, Event.PLACEMENT_DEFERRED)
        self._log_if_changed(target, event, reason.value)

    def _log_if_changed(self, target: _Target, event: Event, reason: str) -> None:
        """Log a decision unless the last one of the engine had the same reason."""
        if self._last_logged_by_engine.get(target.key) != reason:
            self._log(target, event, reason=reason)
            self._last_logged_by_engine[target.key] = reason

    def _log_order(self, target: _Target, step: OrderStep) -> None:
        self._log(
            target,
            Event.PLACEMENT_ORDERED,
            models=sorted("@".join(copy.key) for copy in step.order.copies),
            role=step.order.role.value,
            loads=step.loads,
        )

    def _log(self, target: _Target, event: Event, **values: object) -> None:
        self._last_logged_by_engine.pop(target.key, None)
        log_event(
            event,
            service=target.document.service,
            engine=target.engine.name,
            fencing=target.document.revision,
            **values,
        )
