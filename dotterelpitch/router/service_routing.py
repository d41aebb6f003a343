"""The routing state and rules of one router for one service."""

from attrs import frozen

from dotterelpitch.clock import Clock
from dotterelpitch.documents.model import Endpoint, ServiceDocument
from dotterelpitch.membership.model import VmList
from dotterelpitch.protocol.digest_messages import EngineShare
from dotterelpitch.router.chat_call import ChatCall
from dotterelpitch.routing.admission import AdmissionController, QueueChanges
from dotterelpitch.routing.candidates import CandidateTable, tables_by_model
from dotterelpitch.routing.engine_load import EngineLoad, FleetLoad
from dotterelpitch.routing.health import EngineHealth
from dotterelpitch.routing.limits import AccountLimits
from dotterelpitch.routing.ownership import (
    Claim,
    ClaimResolution,
    admission_owner,
    resolve_claims,
)
from dotterelpitch.routing.request_weight import OutputEstimator, expected_tokens
from dotterelpitch.routing.retry_budget import RetryBudget
from dotterelpitch.routing.stalling import StallingPolicy

REMOTE_HEALTH_MAX_AGE_SECONDS = 15.0
# A VM that stepped down may own the engine again once the other owner has sent
# no report for this long.
STEP_DOWN_SECONDS = 10.0


@frozen
class CallWeight:
    """The expected load of a call in tokens.

    ``warm`` is the load at an engine that caches the chat's prefix, ``cold`` the
    load at any other engine.
    """

    cold: float
    warm: float

    @property
    def cold_ratio(self) -> float:
        """Expected service time without the cached prefix divided by that with it."""
        return self.cold / self.warm


class ServiceRouting:
    """The engines, loads, limits, and admission controllers of one service.

    ``controller_by_engine`` has the controllers of the engines that this VM owns.
    The controllers of engines that it no longer owns are closed.
    """

    def __init__(self, vm: str, clock: Clock, policy: StallingPolicy) -> None:
        self.fleet = FleetLoad(clock)
        self.health = EngineHealth(clock)
        self.limits = AccountLimits(clock, vm)
        self.budget = RetryBudget()
        self.estimator = OutputEstimator()
        self.controller_by_engine: dict[str, AdmissionController] = {}
        self.document = ServiceDocument("")
        self.vm_list = VmList()
        self.table = CandidateTable([])
        self._table_by_model: dict[str, CandidateTable] = {}
        self._vm = vm
        self._clock = clock
        self._policy = policy
        self._health_by_vm: dict[str, tuple[float, dict[str, float]]] = {}
        self._yield_until_by_engine: dict[str, float] = {}

    def apply(self, document: ServiceDocument, vm_list: VmList) -> list[QueueChanges]:
        """Apply a new document or VM list; return the changes of closed queues."""
        if document == self.document and vm_list == self.vm_list:
            return []
        self.document = document
        self.vm_list = vm_list
        self.table = CandidateTable.from_document(document, vm_list.leaving_endpoints())
        names = set(self.table.engine_by_name)
        self._table_by_model = tables_by_model(document, self.table)
        self._assume_idle()
        self.fleet.retain(names)
        self.health.retain(names)
        self.limits.set_router_count(len(vm_list.live_entry_vms()))
        changes = []
        self._create_owned_controllers()
        for name, controller in list(self.controller_by_engine.items()):
            controller.load_bound = document.load_bound
            engine = self.table.engine_by_name.get(name)
            if engine is None or not self.owns(engine):
                changes.append(controller.close("the engine has another owner"))
            if engine is None and not controller.running:
                del self.controller_by_engine[name]
        return changes

    def table_for(self, model: str) -> CandidateTable:
        """Return the engines that serve ``model``: all, unless it has a placement."""
        return self._table_by_model.get(model, self.table)

    def estimate_weight(self, call: ChatCall) -> CallWeight:
        """Estimate the load of a call from its size and its account's past output."""
        output = self.estimator.estimate(call.account.name, call.model, call.max_tokens)
        size = len(call.body)
        cached = min(size, call.cached_bytes)
        return CallWeight(
            expected_tokens(size, output), expected_tokens(size, output, cached)
        )

    def engine(self, name: str) -> Endpoint | None:
        """Return the engine of this name, None if it is unknown or leaving."""
        return self.table.engine_by_name.get(name)

    def owner_of(self, engine: Endpoint, unreachable: frozenset[str]) -> str | None:
        """Return the name of the VM that admits work to ``engine``."""
        domain = engine.failure_domain
        vm = admission_owner(engine.name, domain, self.vm_list, unreachable)
        return vm.name if vm else None

    def owns(self, engine: Endpoint, unreachable: frozenset[str] = frozenset()) -> bool:
        """Return whether this VM admits work to ``engine``."""
        return self.owner_of(engine, unreachable) == self._vm

    def controller_for(
        self, engine: Endpoint, list_revision: int, unreachable: frozenset[str]
    ) -> AdmissionController | None:
        """Return the controller of an engine, or None when another VM owns it.

        A sender with a newer VM list than this router's is trusted to have found
        the right owner. While this VM yields an engine to another owner, it returns
        None.
        """
        behind = list_revision > self.vm_list.revision
        if not behind and not self.owns(engine, unreachable):
            return None
        if self._yield_until_by_engine.get(engine.name, 0.0) > self._clock.monotonic():
            return None
        controller = self._controller(engine)
        controller.slots = engine.concurrency
        controller.share = self.health.share(engine.name) or 1.0
        controller.reopen()
        return controller

    def apply_remote_load(
        self, vm: str, list_revision: int, loads: list[EngineLoad]
    ) -> list[tuple[str, QueueChanges]]:
        """Apply another router's load report.

        Returns the engines for which this VM steps down as owner, each with the
        changes of its closed queue.
        """
        stepped_down = []
        for load in loads:
            controller = self.controller_by_engine.get(load.engine)
            if controller is None or controller.closed:
                self.fleet.update([load])
            if controller is None:
                continue
            controller.other_owners.receive_report(vm, load)
            own = Claim(load.engine, self._vm, self.vm_list.revision)
            other = Claim(load.engine, vm, list_revision)
            if (
                not controller.closed
                and resolve_claims(own, other) is ClaimResolution.STEP_DOWN
            ):
                until = self._clock.monotonic() + STEP_DOWN_SECONDS
                self._yield_until_by_engine[load.engine] = until
                changes = controller.close("the engine has another owner")
                stepped_down.append((load.engine, changes))
        return stepped_down

    def apply_remote_health(self, vm: str, shares: list[EngineShare]) -> None:
        """Apply another owner's health report on its engines."""
        by_engine = {share.engine: share.share for share in shares}
        self._health_by_vm[vm] = (self._clock.monotonic(), by_engine)

    def shares(self) -> dict[str, float]:
        """Return the traffic share of each engine that is suspect or ramping up.

        Suspects have share 0, and healthy engines are left out. Reports of other
        owners count for ``REMOTE_HEALTH_MAX_AGE_SECONDS``.
        """
        oldest = self._clock.monotonic() - REMOTE_HEALTH_MAX_AGE_SECONDS
        shares: dict[str, float] = {}
        for received_at, by_engine in self._health_by_vm.values():
            if received_at >= oldest:
                shares.update(by_engine)
        shares.update(self.own_shares())
        return shares

    def own_shares(self) -> dict[str, float]:
        """Return the shares like ``shares``, but only from this router's own calls."""
        return {**self.health.shares(), **dict.fromkeys(self.health.suspects(), 0.0)}

    def own_loads(self) -> list[EngineLoad]:
        """Return the loads to report to other routers."""
        return [
            controller.own_snapshot()
            for controller in self.controller_by_engine.values()
            if not controller.closed or controller.running
        ]

    def _controller(self, engine: Endpoint) -> AdmissionController:
        controller = self.controller_by_engine.get(engine.name)
        if controller is None:
            controller = self.controller_by_engine[engine.name] = AdmissionController(
                engine.name,
                engine.concurrency,
                self._clock,
                self.fleet,
                self._policy,
                self.document.load_bound,
            )
        return controller

    def _create_owned_controllers(self) -> None:
        """Create the controllers of owned engines before their first request.

        Otherwise their load wouldn't be reported until then.
        """
        for engine in self.table.engine_by_name.values():
            if self.owns(engine):
                self._controller(engine)

    def _assume_idle(self) -> None:
        """Record engines without any load report as idle, until that entry expires."""
        self.fleet.update(
            EngineLoad(engine.name, 0.0, engine.concurrency)
            for engine in self.table.engine_by_name.values()
            if self.fleet.load_of(engine.name) is None
        )
