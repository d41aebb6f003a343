"""The strategies that the routing experiment compares."""

from collections import Counter

import attrs

from dotterelpitch import hashing
from dotterelpitch.documents.model import ClientAccount, Endpoint
from dotterelpitch.load.experiment_policies import POLICY_BY_NAME
from dotterelpitch.load.experiment_sim import Simulation, Strategy
from dotterelpitch.load.experiment_work import Call, ModelEngine
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
PRODUCT_POLICY = "shared-capacity"


class QueueAtEngine(Strategy):
    """The base of strategies that leave the queue to the engine."""

    def attach(self, simulation: Simulation) -> None:
        super().attach(simulation)
        self.order_by_vm = [
            _table(simulation) for _ in range(simulation.deployment.vms)
        ]

    def engines_changed(self, vm: int) -> None:
        self.order_by_vm[vm] = _table(self.simulation)

    def arrive(self, call: Call, vm: int) -> None:
        engine = self.simulation.engine_by_name[self.choose(call, vm)]
        self.simulation.count_load(call, engine.name, call.expected)
        if engine.running < engine.slots:
            self.simulation.start(call)
        else:
            engine.fifo.append(call)

    def finished(self, call: Call) -> None:
        engine = self.simulation.engine_by_name[call.engine]
        if engine.fifo:
            self.simulation.start(engine.fifo.popleft())

    def choose(self, call: Call, vm: int) -> str:
        """Return the name of the engine for a call."""
        raise NotImplementedError


class RandomChoice(QueueAtEngine):
    """Any engine."""

    name = "random"

    def choose(self, call: Call, vm: int) -> str:
        names = list(self.order_by_vm[vm].engine_by_name)
        return self.simulation.random.choice(names)


class LeastOfTwo(QueueAtEngine):
    """The less loaded of two engines, by the last gossip and own calls."""

    name = "least of two"

    def attach(self, simulation: Simulation) -> None:
        super().attach(simulation)
        self.known: dict[str, float] = {}
        self.own_by_vm = [Counter() for _ in range(simulation.deployment.vms)]

    def gossip(self) -> None:
        engines = self.simulation.engine_by_name.values()
        self.known = {engine.name: engine.load for engine in engines}
        for own in self.own_by_vm:
            own.clear()

    def choose(self, call: Call, vm: int) -> str:
        names = list(self.order_by_vm[vm].engine_by_name)
        own = self.own_by_vm[vm]
        pair = self.simulation.random.sample(names, 2)
        chosen = min(pair, key=lambda name: self.known.get(name, 0.0) + own[name])
        own[chosen] += call.expected
        return chosen


class PlainRendezvous(QueueAtEngine):
    """Always the first engine in rendezvous order."""

    name = "plain rendezvous"

    def choose(self, call: Call, vm: int) -> str:
        return self.order_by_vm[vm].order(call.chat.name, 1).names[0]


class BoundPerRouter(QueueAtEngine):
    """Rendezvous, with a bound that each router keeps on its own calls."""

    name = "bound per router"

    def attach(self, simulation: Simulation) -> None:
        super().attach(simulation)
        self.own_by_vm = [Counter() for _ in range(simulation.deployment.vms)]
        self.vm_by_call: dict[int, int] = {}

    def choose(self, call: Call, vm: int) -> str:
        own = self.own_by_vm[vm]
        table = self.order_by_vm[vm]
        mean = (sum(own.values()) + call.expected) / len(table.engine_by_name)
        names = table.order(call.chat.name).names
        fitting = [n for n in names if own[n] + call.expected <= LOAD_BOUND * mean]
        idle = [n for n in names if own[n] == 0]
        chosen = (fitting or idle or names)[0]
        own[chosen] += call.expected
        self.vm_by_call[call.number] = vm
        return chosen

    def finished(self, call: Call) -> None:
        super().finished(call)
        vm = self.vm_by_call.pop(call.number)
        self.own_by_vm[vm][call.engine] -= call.expected


class BoundAtOwner(Strategy):
    """This product's decisions: rendezvous, and a bound kept by the owner."""

    def __init__(self, policy: str = PRODUCT_POLICY, limit_factor: float = 0.0) -> None:
        self.name = f"bound at owner, {policy}"
        self._policy = POLICY_BY_NAME[policy]
        self._limit_factor = limit_factor

    def attach(self, simulation: Simulation) -> None:
        super().attach(simulation)
        vms = range(simulation.deployment.vms)
        self.table_by_vm = [_table(simulation) for _ in vms]
        self.fleet_by_vm = [FleetLoad(simulation.clock) for _ in vms]
        self.desk_by_engine: dict[str, AdmissionController] = {}
        self.waiting: dict[str, Call] = {}
        self.limits_by_vm = [AccountLimits(simulation.clock, str(vm)) for vm in vms]
        self.vm_by_call: dict[int, int] = {}
        for limits in self.limits_by_vm:
            limits.set_router_count(len(self.limits_by_vm))
        for vm in vms:
            self._expect_reports(vm)

    def engines_changed(self, vm: int) -> None:
        self.table_by_vm[vm] = _table(self.simulation)
        self.fleet_by_vm[vm].retain(self.table_by_vm[vm].engine_by_name)
        self._expect_reports(vm)

    def arrive(self, call: Call, vm: int) -> None:
        if self._limited(call, vm):
            self.simulation.refuse(call)
            return
        order = self.table_by_vm[vm].order(call.chat.name).names
        moves = self._desk(self.simulation.engine_by_name[order[0]]).chat_moves
        moved = moves.engine_of(call.chat.name)
        if moved in self.table_by_vm[vm].engine_by_name:
            order = [moved, *(name for name in order if name != moved)]
        walk = AdmissionSequence(Candidates(order), str(call.number))
        while (step := walk.next()) is not None:
            engine = self.simulation.engine_by_name[step.engine]
            if not engine.live:
                walk.record_refusal(engine.name)
                continue
            desk = self._desk(engine)
            ratio = self.simulation.expected_cold_ratio(call)
            warm = step.warm and call.returned
            offer = AdmissionRequest(
                request_id=str(call.number),
                account=call.chat.account,
                weight=call.expected,
                cold_ratio=ratio if warm else 1.0,
                mode=step.mode,
                observed=walk.observed,
            )
            answer = desk.submit(offer)
            if isinstance(answer, AtBound):
                walk.record_at_bound(answer)
                continue
            if isinstance(answer, Accepted):
                self._check_bound(desk, answer)
                moves.record_move(call.chat.name, engine.name)
                self._take(call, engine, start=True)
                return
            if isinstance(answer, Waiting):
                self.waiting[str(call.number)] = call
                moves.record_move(call.chat.name, engine.name)
                self._take(call, engine, start=False)
                return
            walk.record_refusal(engine.name)
        self.simulation.refuse(call)

    def finished(self, call: Call) -> None:
        desk = self.desk_by_engine[call.engine]
        self._resume(desk.finish(str(call.number), completed=True))
        if (vm := self.vm_by_call.pop(call.number, None)) is not None:
            self.limits_by_vm[vm].finish(call.chat.account)

    def gossip(self) -> None:
        for desk in self.desk_by_engine.values():
            self._resume(desk.advance())
        loads = [desk.snapshot() for desk in self.desk_by_engine.values()]
        for vm, fleet in enumerate(self.fleet_by_vm):
            known = self.table_by_vm[vm].engine_by_name
            fleet.update(load for load in loads if load.engine in known)
        if self._limit_factor:
            reports = [limits.report() for limits in self.limits_by_vm]
            for limits in self.limits_by_vm:
                for vm, report in enumerate(reports):
                    limits.receive_report(str(vm), report)

    def _limited(self, call: Call, vm: int) -> bool:
        """Whether the account's rate limit, a multiple of its mean, refuses it."""
        if not self._limit_factor:
            return False
        scenario = self.simulation.scenario
        mean = scenario.rate / scenario.deployment.accounts
        account = ClientAccount(
            call.chat.account, "", requests_per_second=self._limit_factor * mean
        )
        self.vm_by_call[call.number] = vm
        return self.limits_by_vm[vm].try_start(account, call.expected) is not None

    def _take(self, call: Call, engine: ModelEngine, start: bool) -> None:
        call.engine = engine.name
        if start:
            self._start(call)

    def _start(self, call: Call) -> None:
        self.simulation.count_load(call, call.engine, call.expected)
        self.simulation.start(call)

    def _resume(self, changes) -> None:
        for accepted in changes.accepted:
            self._start(self.waiting.pop(accepted.request_id))
        for rejected in changes.rejected:
            self.simulation.refuse(self.waiting.pop(rejected.request_id))

    def _check_bound(self, desk: AdmissionController, answer: Accepted) -> None:
        over = answer.load > answer.bound + 1e-6
        self.simulation.over_bound += over and desk.running > 1

    def _desk(self, engine: ModelEngine) -> AdmissionController:
        desk = self.desk_by_engine.get(engine.name)
        if desk is None:
            vms = [str(vm) for vm in range(self.simulation.deployment.vms)]
            owner = int(hashing.best(engine.name, vms))
            desk = AdmissionController(
                engine.name,
                engine.slots,
                self.simulation.clock,
                self.fleet_by_vm[owner],
                self._policy,
                LOAD_BOUND,
            )
            self.desk_by_engine[engine.name] = desk
        return desk

    def _expect_reports(self, vm: int) -> None:
        slots = self.simulation.deployment.slots
        self.fleet_by_vm[vm].update(
            EngineLoad(name, 0.0, slots)
            for name in self.table_by_vm[vm].engine_by_name
            if self.fleet_by_vm[vm].load_of(name) is None
        )


def _table(simulation: Simulation) -> CandidateTable:
    slots = simulation.deployment.slots
    blank = Endpoint("", "127.0.0.1:1", "fd", concurrency=slots)
    return CandidateTable(
        attrs.evolve(blank, name=engine.name) for engine in simulation.live_engines()
    )
