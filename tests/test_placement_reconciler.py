"""Tests of the reconciler with disagreeing or paused placers and failing engines."""

import asyncio

import attrs
import pytest

from dotterelpitch.clock import ManualClock
from dotterelpitch.documents.model import Endpoint, Model, ServiceDocument
from dotterelpitch.errors import EngineUnavailableError, OrderRefusedError
from dotterelpitch.membership.model import Vm, VmList
from dotterelpitch.placement.engine_control import EngineControl
from dotterelpitch.placement.model import EngineReport, ModelCopy
from dotterelpitch.placement.reader import MAX_READS_PER_PASS
from dotterelpitch.placement.reconciler import Reconciler
from dotterelpitch.placement.steps import DeferralReason
from dotterelpitch.placement.view import PlacementView
from dotterelpitch.telemetry.events import Event, observe_events

HIGH_LOADS_PER_MINUTE = 6000.0  # Never delays a load of these tests.


class FakeEngine:
    """An engine that records its orders.

    ``copies`` are the model copies that it serves, also during a load. ``fencing``
    is the fencing number of its latest order.
    """

    def __init__(self, checks_fencing):
        self.checks_fencing = checks_fencing
        self.copies = frozenset()
        self.fencing = 0
        self.is_down = False
        self.orders = []
        self.load_finished = None  # If set to an asyncio.Event, loads wait for it.


class FakeControl(EngineControl):
    """Controls fake engines.

    ``before_check`` is called directly before the check of an order. ``min_serving``
    is the lowest number of engines that served model ``m`` after any order, and
    ``reads`` counts the reads of reports; tests reset both.
    """

    def __init__(self, clock, engine_by_name):
        self.clock = clock
        self.engine_by_name = engine_by_name
        self.before_check = lambda: None
        self.min_serving = 10**9
        self.reads = 0

    async def read(self, engine):
        fake = self.engine_by_name[engine.name]
        self.reads += 1
        if fake.is_down:
            raise EngineUnavailableError("down")
        fencing = fake.fencing if fake.checks_fencing else 0
        return EngineReport(
            engine.name, self.clock.monotonic(), fake.copies, highest_fencing=fencing
        )

    async def order(self, engine, order, check):
        fake = self.engine_by_name[engine.name]
        await asyncio.sleep(0)
        self.before_check()
        check()
        if fake.is_down:
            raise EngineUnavailableError("down")
        if fake.checks_fencing and order.fencing < fake.fencing:
            raise OrderRefusedError("old", fenced=True)
        fake.fencing = order.fencing
        fake.orders.append(order)
        fake.copies = fake.copies & order.copies
        self.record_serving()
        if fake.load_finished is not None:
            await fake.load_finished.wait()
        if fake.is_down:
            raise EngineUnavailableError("restarted")
        fake.copies = order.copies

    def record_serving(self):
        serving = sum(
            any(copy.name == "m" for copy in fake.copies)
            for fake in self.engine_by_name.values()
        )
        self.min_serving = min(self.min_serving, serving)


class Fleet:
    """Engines in two failure domains, with reconcilers on vm-a0, vm-a1, and vm-b0."""

    def __init__(
        self, engines=4, checks_fencing=False, loads_per_minute=HIGH_LOADS_PER_MINUTE
    ):
        self.clock = ManualClock(1000.0)
        self.engines = {f"e{n}": FakeEngine(checks_fencing) for n in range(engines)}
        self.control = FakeControl(self.clock, self.engines)
        self.document = ServiceDocument(
            "s",
            1,
            [Endpoint(f"e{n}", f"10.0.0.{n}:80", "ab"[n % 2]) for n in range(engines)],
            [Model("m", "1", replicas=engines)],
        )
        vms = [Vm(name, name[3]) for name in ("vm-a0", "vm-a1", "vm-b0")]
        vm_list = VmList(1, vms)
        self.view_by_vm = {
            vm.name: PlacementView({"s": self.document}, vm_list) for vm in vms
        }
        self.reconcilers = {
            vm: Reconciler(
                vm,
                self.clock,
                self.control,
                lambda vm=vm: self.view_by_vm[vm],
                loads_per_minute,
            )
            for vm in self.view_by_vm
        }
        self.loads_per_minute = loads_per_minute
        self.events = []
        self.stop_observing = observe_events(lambda e, v: self.events.append((e, v)))

    def add_placer(self, vm):
        """Add a reconciler on ``vm``, with the view of the first VM."""
        self.view_by_vm[vm] = next(iter(self.view_by_vm.values()))
        self.reconcilers[vm] = Reconciler(
            vm,
            self.clock,
            self.control,
            lambda: self.view_by_vm[vm],
            self.loads_per_minute,
        )

    def change_view(self, vm, **changes):
        self.view_by_vm[vm] = attrs.evolve(self.view_by_vm[vm], **changes)

    def publish(self, version, revision, vms=None):
        """Give ``vms``, by default all, a document with ``version`` of the model."""
        document = attrs.evolve(
            self.document,
            revision=revision,
            models=[attrs.evolve(self.document.models[0], version=version)],
        )
        for vm in vms or self.view_by_vm:
            self.change_view(vm, document_by_service={"s": document})

    async def run(self, seconds, vms=None, wait=True):
        """Run one pass of each reconciler per simulated second.

        With ``wait`` the orders of each second finish before the next one.
        """
        for _ in range(seconds):
            self.clock.advance(1.0)
            for vm in vms or self.reconcilers:
                await self.reconcilers[vm].run_pass()
            if wait:
                for reconciler in self.reconcilers.values():
                    await reconciler.wait_for_orders()
            else:
                for _ in range(20):
                    await asyncio.sleep(0)

    def versions(self):
        """Return the versions of the served copies of each engine."""
        return [sorted(c.version for c in f.copies) for f in self.engines.values()]

    def count(self, event):
        return sum(found is event for found, _ in self.events)


@pytest.fixture
def make_fleet():
    fleets = []

    def make(**changes):
        fleets.append(Fleet(**changes))
        return fleets[-1]

    yield make
    for fleet in fleets:
        fleet.stop_observing()


WITH_AND_WITHOUT_FENCING = pytest.mark.parametrize("checks_fencing", [True, False])


@WITH_AND_WITHOUT_FENCING
async def test_models_are_loaded_once_at_each_engine(make_fleet, checks_fencing):
    fleet = make_fleet(checks_fencing=checks_fencing)
    await fleet.run(15)
    assert fleet.versions() == [["1"]] * 4
    assert [len(fake.orders) for fake in fleet.engines.values()] == [1] * 4
    assert fleet.count(Event.PLACEMENT_ORDERED) == 4
    assert fleet.count(Event.PLACEMENT_REACHED) == 4


@WITH_AND_WITHOUT_FENCING
@pytest.mark.parametrize("engines", [1, 2, 4])
async def test_a_version_is_rolled_out_while_a_replica_serves(
    make_fleet, checks_fencing, engines
):
    fleet = make_fleet(checks_fencing=checks_fencing, engines=engines)
    await fleet.run(15)
    fleet.control.min_serving = engines
    fleet.publish("2", revision=2)
    await fleet.run(80)
    assert fleet.versions() == [["2"]] * engines
    assert fleet.control.min_serving >= max(1, engines - 1)


@WITH_AND_WITHOUT_FENCING
async def test_two_placers_that_disagree_do_not_lose_the_last_replica(
    make_fleet, checks_fencing
):
    fleet = make_fleet(checks_fencing=checks_fencing, engines=2)
    await fleet.run(15)
    fleet.control.min_serving = 2
    # Each VM of domain a has itself as the domain's only VM in its view, and
    # vm-a1 still has the previous document.
    for vm in ("vm-a0", "vm-a1"):
        fleet.change_view(vm, vm_list=VmList(2, [Vm(vm, "a"), Vm("vm-b0", "b")]))
    fleet.publish("2", revision=2, vms=["vm-a0", "vm-b0"])
    await fleet.run(40)
    fleet.publish("2", revision=2)
    await fleet.run(80)
    assert fleet.versions() == [["2"], ["2"]]
    assert fleet.control.min_serving >= 1


@pytest.mark.parametrize(
    "event", ["pause", "newer document", "another placer", "nothing"]
)
async def test_a_resumed_placer_drops_its_old_order(make_fleet, event):
    fleet = make_fleet(engines=2)

    def interfere():
        fleet.control.before_check = lambda: None
        if event == "pause":
            fleet.clock.advance(30.0)
        elif event == "newer document":
            fleet.publish("2", revision=2)
        elif event == "another placer":
            for vm in fleet.view_by_vm:
                fleet.change_view(vm, vm_list=VmList(2, [Vm("vm-new", "a")]))

    await fleet.run(4)
    fleet.control.before_check = interfere
    await fleet.run(3)
    sent = [o for fake in fleet.engines.values() for o in fake.orders]
    old = [order for order in sent if order.fencing == 1]
    assert len(old) == (2 if event == "nothing" else 0)
    assert fleet.count(Event.PLACEMENT_DROPPED) == 2 - len(old)
    await fleet.run(30)
    expected = {"newer document": "2"}.get(event, "1")
    if event != "another placer":
        assert fleet.versions() == [[expected]] * 2


async def test_an_engine_that_restarts_during_a_load_is_ordered_again(make_fleet):
    fleet = make_fleet(engines=2)
    engine = fleet.engines["e0"]
    engine.load_finished = asyncio.Event()
    await fleet.run(10, wait=False)
    assert len(engine.orders) == 1
    assert not engine.copies
    engine.is_down = True
    engine.load_finished.set()
    await fleet.run(3, wait=False)
    engine.is_down, engine.copies, engine.fencing = False, frozenset(), 0
    await fleet.run(25)
    assert engine.copies == {ModelCopy("m", "1")}
    assert len(engine.orders) == 2
    assert fleet.count(Event.PLACEMENT_FAILED) >= 1


@pytest.mark.parametrize("restarted", ["e0", "e1"])
async def test_reports_that_an_order_depends_on_are_read_again_before_it(
    make_fleet, restarted
):
    fleet = make_fleet(engines=2)
    await fleet.run(12)
    fleet.publish("2", revision=2)
    await fleet.run(4)
    # The engine restarts, and its loads take long.
    fleet.engines[restarted].copies = frozenset()
    fleet.engines[restarted].load_finished = asyncio.Event()
    fleet.control.min_serving = 1
    await fleet.run(10, wait=False)
    assert fleet.control.min_serving == 1
    for reconciler in fleet.reconcilers.values():
        await reconciler.close()


async def test_a_failed_load_stops_the_rollout_at_the_first_engine(make_fleet):
    fleet = make_fleet(engines=4)
    await fleet.run(15)
    fleet.control.min_serving = 4
    for fake in fleet.engines.values():
        fake.load_finished = asyncio.Event()  # No load ever finishes.
    fleet.publish("2", revision=2)
    await fleet.run(60, wait=False)
    assert sorted(fleet.versions()) == [[], ["1"], ["1"], ["1"]]
    assert fleet.control.min_serving == 3
    for reconciler in fleet.reconcilers.values():
        await reconciler.close()


async def test_an_old_document_orders_nothing_where_engines_check_fencing(make_fleet):
    fleet = make_fleet(checks_fencing=True)
    fleet.publish("2", revision=2)
    await fleet.run(15)
    orders = [len(fake.orders) for fake in fleet.engines.values()]
    fleet.publish("1", revision=1)
    await fleet.run(40)
    assert fleet.versions() == [["2"]] * 4
    assert [len(fake.orders) for fake in fleet.engines.values()] == orders
    assert fleet.count(Event.PLACEMENT_FENCED) == 4


async def test_loads_stay_within_the_rate_of_the_weight_store(make_fleet):
    fleet = make_fleet(engines=12, loads_per_minute=6.0)
    await fleet.run(25)
    loaded = sum(bool(fake.copies) for fake in fleet.engines.values())
    assert 2 <= loaded <= 6  # Two failure domains with 6 loads per minute each.
    await fleet.run(65)
    assert fleet.versions() == [["1"]] * 12


@WITH_AND_WITHOUT_FENCING
async def test_a_lost_engine_is_replaced_only_after_the_grace_period(
    make_fleet, checks_fencing
):
    fleet = make_fleet(checks_fencing=checks_fencing)
    models = [attrs.evolve(fleet.document.models[0], replicas=2)]
    document = attrs.evolve(fleet.document, models=models)
    for vm in fleet.view_by_vm:
        fleet.change_view(vm, document_by_service={"s": document})
    await fleet.run(15)
    serving_names = [name for name, fake in fleet.engines.items() if fake.copies]
    assert len(serving_names) == 2
    fleet.engines[serving_names[0]].is_down = True
    await fleet.run(20)
    assert len([f for f in fleet.engines.values() if f.copies and not f.is_down]) == 1
    await fleet.run(25)
    assert len([f for f in fleet.engines.values() if f.copies and not f.is_down]) == 2


async def test_an_engine_of_two_documents_gets_no_order_and_an_event(make_fleet):
    fleet = make_fleet(engines=2)
    other = attrs.evolve(fleet.document, service="t")
    for vm in fleet.view_by_vm:
        fleet.change_view(vm, document_by_service={"s": fleet.document, "t": other})
    await fleet.run(15)
    assert not any(fake.orders for fake in fleet.engines.values())
    reasons = {v.get("reason") for e, v in fleet.events}
    assert DeferralReason.SHARED_ENGINE.value in reasons


async def test_a_new_placer_does_not_repeat_the_burst(make_fleet):
    fleet = make_fleet(engines=24, loads_per_minute=6.0)
    await fleet.run(30)
    loaded = sum(bool(fake.copies) for fake in fleet.engines.values())
    for number in range(5):  # The placers of both domains change each time.
        vms = [Vm(f"vm-{d}{number}", d) for d in "ab"]
        for vm in fleet.view_by_vm:
            fleet.change_view(vm, vm_list=VmList(number + 2, vms))
        for vm in vms:
            fleet.add_placer(vm.name)
        await fleet.run(8)
    added = sum(bool(fake.copies) for fake in fleet.engines.values()) - loaded
    assert added <= 2 * 6 * 40 / 60 + 2


async def test_reads_are_bounded_and_reach_every_engine(make_fleet):
    fleet = make_fleet(engines=120)
    placers = set()
    for vm, view in fleet.view_by_vm.items():
        if vm in view.placer_by_domain.values():
            placers.add(vm)
    await fleet.run(1)
    assert fleet.control.reads == MAX_READS_PER_PASS * len(placers)
    await fleet.run(40)
    assert all(fake.copies for fake in fleet.engines.values())
    fleet.control.reads = 0
    await fleet.run(60)
    assert fleet.control.reads / 60 <= 10 * len(placers)
