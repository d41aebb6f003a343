"""Routing strategies that the experiment compares."""

from collections import Counter

import attrs

from dotterelpitch import hashing
from dotterelpitch.documents.model import ClientAccount, Endpoint
from dotterelpitch.load.experiment_policies import POLICY_BY_NAME
from dotterelpitch.load.experiment_simulation import Simulation, Strategy
from dotterelpitch.load.experiment_workload import Call, SimulatedEngine
from dotterelpitch.routing.admission import AdmissionController
from dotterelpitch.routing.admission_request import (
    Accepted,
    AdmissionRequest,
    AtBound,
    Waiting,
)
from dotterelpitch.routing.admission_sequence import AdmissionSequence
from dotterelpitch.routing.candidates import Candidates, CandidateTable
from dotterelpitch.routing.engine_load import EngineLoad, FleetLoad
from dotterelpitch.routing.limits import AccountLimits

LOAD_BOUND = 1.25
ROUTER_POLICY = "shared-capacity"


class EngineQueueStrategy(Strategy):
    """Base class of strategies in which calls queue at the engine."""

    def attach(self, simulation: Simulation) -> None:
        super().attach(simulation)
        self.table_by_vm = [
            _candidate_table(simulation) for _ in range(simulation.deployment.vms)
        ]

    def engines_changed(self, vm: int) -> None:
        self.table_by_vm[vm] = _candidate_table(self.simulation)

    def call_arrived(self, call: Call, vm: int) -> None:
        engine = self.simulation.engine_by_name[self.choose(call, vm)]
        self.simulation.add_load(call, engine.name, call.expected_tokens)
        if engine.running < engine.slots:
            self.simulation.start(call)
        else:
            engine.queue.append(call)

    def call_finished(self, call: Call) -> None:
        engine = self.simulation.engine_by_name[call.engine]
        if engine.queue:
            self.simulation.start(engine.queue.popleft())

    def choose(self, call: Call, vm: int) -> str:
        """Return the name of the engine for a call."""
        raise NotImplementedError


class RandomChoice(EngineQueueStrategy):
    """Chooses an engine at random."""

    name = "random"

    def choose(self, call: Call, vm: int) -> str:
        names = list(self.table_by_vm[vm].engine_by_name)
        return self.simulation.random.choice(names)


class PowerOfTwoChoices(EngineQueueStrategy):
    """Chooses the less loaded of two random engines.

    The load is that of the last gossip plus the router's own calls since then.
    """

    name = "least of two"

    def attach(self, simulation: Simulation) -> None:
        super().attach(simulation)
        self.reported_load_by_engine: dict[str, float] = {}
        self.own_load_by_vm = [Counter() for _ in range(simulation.deployment.vms)]

    def gossip(self) -> None:
        engines = self.simulation.engine_by_name.values()
        self.reported_load_by_engine = {engine.name: engine.load for engine in engines}
        for own_load in self.own_load_by_vm:
            own_load.clear()

    def choose(self, call: Call, vm: int) -> str:
        names = list(self.table_by_vm[vm].engine_by_name)
        own_load = self.own_load_by_vm[vm]
        pair = self.simulation.random.sample(names, 2)
        chosen = min(
            pair,
            key=lambda name: (
                self.reported_load_by_engine.get(name, 0.0) + own_load[name]
            ),
        )
        own_load[chosen] += call.expected_tokens
        return chosen


class PlainRendezvous(EngineQueueStrategy):
    """Chooses the first engine in rendezvous order, whatever its load."""

    name = "plain rendezvous"

    def choose(self, call: Call, vm: int) -> str:
        return self.table_by_vm[vm].order(call.chat.name, 1).names[0]


class BoundPerRouter(EngineQueueStrategy):
    """Rendezvous hashing with bounded loads, counting each router's own calls."""

    name = "bound per router"

    def attach(self, simulation: Simulation) -> None:
        super().attach(simulation)
        self.own_load_by_vm = [Counter() for _ in range(simulation.deployment.vms)]
        self.vm_by_call: dict[int, int] = {}

    def choose(self, call: Call, vm: int) -> str:
        own_load = self.own_load_by_vm[vm]
        table = self.table_by_vm[vm]
        mean = (sum(own_load.values()) + call.expected_tokens) / len(
            table.engine_by_name
        )
        names = table.order(call.chat.name).names
        within_bound = [
            n for n in names if own_load[n] + call.expected_tokens <= LOAD_BOUND * mean
        ]
        idle = [n for n in names if own_load[n] == 0]
        chosen = (within_bound or idle or names)[0]
        own_load[chosen] += call.expected_tokens
        self.vm_by_call[call.number] = vm
        return chosen

    def call_finished(self, call: Call) -> None:
        super().call_finished(call)
        vm = self.vm_by_call.pop(call.number)
        self.own_load_by_vm[vm][call.engine] -= call.expected_tokens


class BoundAtOwner(Strategy):
    """Decides like the router: rendezvous hashing with a bound at the admission owner.

    With ``limit_factor`` above 0, each account has a rate limit of that multiple of
    the mean rate per account.
    """

    def __init__(self, policy: str = ROUTER_POLICY, limit_factor: float = 0.0) -> None:
        self.name = f"bound at owner, {policy}"
        self._policy = POLICY_BY_NAME[policy]
        self._limit_factor = limit_factor

    def attach(self, simulation: Simulation) -> None:
        super().attach(simulation)
        vms = range(simulation.deployment.vms)
        self.table_by_vm = [_candidate_table(simulation) for _ in vms]
        self.fleet_load_by_vm = [FleetLoad(simulation.clock) for _ in vms]
        self.admission_by_engine: dict[str, AdmissionController] = {}
        self.waiting_by_request_id: dict[str, Call] = {}
        self.limits_by_vm = [AccountLimits(simulation.clock, str(vm)) for vm in vms]
        self.vm_by_call: dict[int, int] = {}
        for limits in self.limits_by_vm:
            limits.set_router_count(len(self.limits_by_vm))
        for vm in vms:
            self._add_initial_loads(vm)

    def engines_changed(self, vm: int) -> None:
        self.table_by_vm[vm] = _candidate_table(self.simulation)
        self.fleet_load_by_vm[vm].retain(self.table_by_vm[vm].engine_by_name)
        self._add_initial_loads(vm)

    def call_arrived(self, call: Call, vm: int) -> None:
        if self._exceeds_rate_limit(call, vm):
            self.simulation.refuse(call)
            return
        order = self.table_by_vm[vm].order(call.chat.name).names
        chat_moves = self._admission(
            self.simulation.engine_by_name[order[0]]
        ).chat_moves
        current_engine = chat_moves.engine_of(call.chat.name)
        if current_engine in self.table_by_vm[vm].engine_by_name:
            order = [
                current_engine,
                *(name for name in order if name != current_engine),
            ]
        sequence = AdmissionSequence(Candidates(order), str(call.number))
        while (step := sequence.next()) is not None:
            engine = self.simulation.engine_by_name[step.engine]
            if not engine.is_live:
                sequence.record_refusal(engine.name)
                continue
            admission = self._admission(engine)
            ratio = self.simulation.expected_cold_ratio(call)
            warm = step.warm and call.is_returning
            request = AdmissionRequest(
                request_id=str(call.number),
                account=call.chat.account,
                weight=call.expected_tokens,
                cold_ratio=ratio if warm else 1.0,
                mode=step.mode,
                observed=sequence.observed,
            )
            answer = admission.submit(request)
            if isinstance(answer, AtBound):
                sequence.record_at_bound(answer)
                continue
            if isinstance(answer, Accepted):
                self._count_bound_violation(admission, answer)
                chat_moves.record_move(call.chat.name, engine.name)
                self._assign(call, engine, start=True)
                return
            if isinstance(answer, Waiting):
                self.waiting_by_request_id[str(call.number)] = call
                chat_moves.record_move(call.chat.name, engine.name)
                self._assign(call, engine, start=False)
                return
            sequence.record_refusal(engine.name)
        self.simulation.refuse(call)

    def call_finished(self, call: Call) -> None:
        admission = self.admission_by_engine[call.engine]
        self._apply_queue_changes(admission.finish(str(call.number), completed=True))
        if (vm := self.vm_by_call.pop(call.number, None)) is not None:
            self.limits_by_vm[vm].finish(call.chat.account)

    def gossip(self) -> None:
        for admission in self.admission_by_engine.values():
            self._apply_queue_changes(admission.advance())
        loads = [
            admission.snapshot() for admission in self.admission_by_engine.values()
        ]
        for vm, fleet_load in enumerate(self.fleet_load_by_vm):
            known_engines = self.table_by_vm[vm].engine_by_name
            fleet_load.update(load for load in loads if load.engine in known_engines)
        if self._limit_factor:
            reports = [limits.report() for limits in self.limits_by_vm]
            for limits in self.limits_by_vm:
                for vm, report in enumerate(reports):
                    limits.receive_report(str(vm), report)

    def _exceeds_rate_limit(self, call: Call, vm: int) -> bool:
        """Apply the account's rate limit and return whether it refuses the call."""
        if not self._limit_factor:
            return False
        scenario = self.simulation.scenario
        mean = scenario.rate / scenario.deployment.accounts
        account = ClientAccount(
            call.chat.account, "", requests_per_second=self._limit_factor * mean
        )
        self.vm_by_call[call.number] = vm
        return (
            self.limits_by_vm[vm].try_start(account, call.expected_tokens) is not None
        )

    def _assign(self, call: Call, engine: SimulatedEngine, start: bool) -> None:
        call.engine = engine.name
        if start:
            self._start(call)

    def _start(self, call: Call) -> None:
        self.simulation.add_load(call, call.engine, call.expected_tokens)
        self.simulation.start(call)

    def _apply_queue_changes(self, changes) -> None:
        for accepted in changes.accepted:
            self._start(self.waiting_by_request_id.pop(accepted.request_id))
        for rejected in changes.rejected:
            self.simulation.refuse(self.waiting_by_request_id.pop(rejected.request_id))

    def _count_bound_violation(
        self, admission: AdmissionController, answer: Accepted
    ) -> None:
        over = answer.load > answer.bound + 1e-6
        self.simulation.over_bound += over and admission.running > 1

    def _admission(self, engine: SimulatedEngine) -> AdmissionController:
        admission = self.admission_by_engine.get(engine.name)
        if admission is None:
            vms = [str(vm) for vm in range(self.simulation.deployment.vms)]
            owner = int(hashing.rendezvous_best(engine.name, vms))
            admission = AdmissionController(
                engine.name,
                engine.slots,
                self.simulation.clock,
                self.fleet_load_by_vm[owner],
                self._policy,
                LOAD_BOUND,
            )
            self.admission_by_engine[engine.name] = admission
        return admission

    def _add_initial_loads(self, vm: int) -> None:
        slots = self.simulation.deployment.slots
        self.fleet_load_by_vm[vm].update(
            EngineLoad(name, 0.0, slots)
            for name in self.table_by_vm[vm].engine_by_name
            if self.fleet_load_by_vm[vm].load_of(name) is None
        )


def _candidate_table(simulation: Simulation) -> CandidateTable:
    slots = simulation.deployment.slots
    template = Endpoint("", "127.0.0.1:1", "fd", concurrency=slots)
    return CandidateTable(
        attrs.evolve(template, name=engine.name) for engine in simulation.live_engines()
    )
