"""Placement by real agents on stand-in engines with and without fencing checks."""

import attrs
import pytest

from dotterelpitch.documents.model import Endpoint, Model, ServiceDocument
from dotterelpitch.membership.model import Vm, VmList
from dotterelpitch.placement.view import PlacementView
from dotterelpitch.telemetry.events import Event
from tests.harness.fleet import Fleet, FleetShape
from tests.harness.proxy import Direction
from tests.harness.waiting import eventually

PLACEMENT_TIMEOUT_SECONDS = 40.0
BOTH_KINDS = pytest.mark.parametrize("checks_fencing", [True, False])


def shape(checks_fencing, domains=1, engines=2, **engine_flags):
    return FleetShape(
        domains=domains,
        vms_per_domain=2,
        engines_per_domain=engines,
        plains_per_domain=0,
        engine_flags={"checks_fencing": checks_fencing, **engine_flags},
        agent_flags={"weight_loads_per_minute": 6000},
        document_changes={"models": [Model("m", "1", replicas=domains * engines)]},
        endpoint_changes={"checks_fencing": checks_fencing},
    )


async def orders_by_engine(fleet):
    found = {}
    for name, endpoint in fleet.endpoint_by_name.items():
        async with fleet.session.get(f"http://{endpoint.address}/v1/orders") as answer:
            found[name] = await answer.json()
    return found


async def versions(fleet):
    reports = (await orders_by_engine(fleet)).values()
    return [sorted(model["version"] for model in r["models"]) for r in reports]


async def wait_for_version(fleet, version, min_serving=0):
    """Wait until all engines have loaded ``version``.

    Assert that at least ``min_serving`` engines always had some version loaded.
    """
    expected = [[version]] * len(fleet.endpoint_by_name)
    serving_counts = []

    async def reached():
        now = await versions(fleet)
        serving_counts.append(sum(bool(loaded) for loaded in now))
        return now == expected

    await eventually(
        reached, PLACEMENT_TIMEOUT_SECONDS, f"version {version} everywhere"
    )
    assert min(serving_counts) >= min_serving, serving_counts


def publish_version(fleet, version):
    models = [attrs.evolve(fleet.document.models[0], version=version)]
    return fleet.publish_document(models=models)


async def placer_of(fleet, domain):
    """Return the name of the placer VM of ``domain``, from the logs of agents."""

    def named():
        found = set()
        for vm in fleet.vm_by_name.values():
            events = vm.agent.events(Event.PLACER_CHANGED.number)
            found |= {e["placer"] for e in events if e["failure_domain"] == domain}
        return found.pop() if len(found) == 1 else None

    return await eventually(named, PLACEMENT_TIMEOUT_SECONDS, "a placer")


def _is_in_force(fleet, vm, revision):
    events = fleet.vm_by_name[vm].agent.events(Event.DOCUMENT_IN_FORCE.number)
    return any(event["revision"] == revision for event in events)


@BOTH_KINDS
async def test_a_version_is_rolled_out_to_all_engines(checks_fencing):
    async with Fleet(shape(checks_fencing, domains=2)) as fleet:
        await wait_for_version(fleet, "1")
        await publish_version(fleet, "2")
        await wait_for_version(fleet, "2", min_serving=3)
        for name, report in (await orders_by_engine(fleet)).items():
            assert len(report["absolute"]) == 2, (name, report["absolute"])
            assert report["refused"] == 0


@BOTH_KINDS
async def test_a_paused_placer_sends_no_old_order_when_it_wakes(checks_fencing):
    async with Fleet(shape(checks_fencing)) as fleet:
        await wait_for_version(fleet, "1")
        placer = await placer_of(fleet, "d1")
        revision = await publish_version(fleet, "2")
        await eventually(
            lambda: _is_in_force(fleet, placer, revision),
            PLACEMENT_TIMEOUT_SECONDS,
            "the document at the placer, whose orders wait for it to settle",
        )
        fleet.pause_vm(placer)
        fleet.vm_by_name[placer].state = "leaving"
        await fleet.publish_vms()
        revision = await publish_version(fleet, "3")
        await wait_for_version(fleet, "3", min_serving=1)
        fleet.resume_vm(placer)
        await eventually(
            lambda: _is_in_force(fleet, placer, revision),
            PLACEMENT_TIMEOUT_SECONDS,
            "the newest document at the woken placer",
        )
        assert await versions(fleet) == [["3"], ["3"]]
        for report in (await orders_by_engine(fleet)).values():
            fencing = [order["fencing"] for order in report["absolute"]]
            assert fencing == sorted(fencing)
            assert report["refused"] == 0


@BOTH_KINDS
async def test_an_engine_that_restarts_is_loaded_again(checks_fencing):
    async with Fleet(shape(checks_fencing, load_seconds=0.5)) as fleet:
        await wait_for_version(fleet, "1")
        endpoint = fleet.endpoint_by_name["d1-e1"]
        await endpoint.process.kill()
        await endpoint.process.start()
        await eventually(
            lambda: versions(fleet), PLACEMENT_TIMEOUT_SECONDS, "both engines up"
        )
        await wait_for_version(fleet, "1", min_serving=1)


async def test_chats_are_answered_while_a_version_is_rolled_out():
    """A chat is rerouted if its engine has just unloaded the model."""
    messages = [{"role": "user", "content": "hello"}]
    async with Fleet(shape(True, load_seconds=1.0)) as fleet:
        await wait_for_version(fleet, "1")
        caller = fleet.caller("d1-v1")
        revision = await publish_version(fleet, "2")
        answers = []

        async def all_ordered():
            chat = f"chat-{len(answers)}"
            answers.append(await caller.chat("m", messages, chat=chat, max_tokens=2))
            reports = (await orders_by_engine(fleet)).values()
            return all(r["absolute"][-1]["fencing"] == revision for r in reports)

        await eventually(
            all_ordered, PLACEMENT_TIMEOUT_SECONDS, "the order at both engines"
        )
        await wait_for_version(fleet, "2", min_serving=1)
        assert {answer.status for answer in answers} == {200}


async def test_chats_reach_the_engines_that_have_their_model():
    messages = [{"role": "user", "content": "hello"}]
    models = [Model("m", replicas=1), Model("n", replicas=1)]
    placed = attrs.evolve(shape(True), document_changes={"models": models})
    async with Fleet(placed) as fleet:
        await wait_for_version(fleet, "1")
        for model in ("m", "n"):
            engines = set()
            for number in range(8):
                answer = await fleet.caller("d1-v2").chat(
                    model, messages, chat=f"chat-{number}", max_tokens=2
                )
                assert answer.status == 200, answer
                engines.add(answer.engine)
            assert len(engines) == 1


async def test_an_old_order_that_arrives_late_is_corrected():
    """The network may delay an order, which only an engine that fences can refuse."""
    async with Fleet(shape(False)) as fleet:
        await wait_for_version(fleet, "1")
        placer = await placer_of(fleet, "d1")
        proxy = fleet.endpoint_by_name["d1-e1"].proxy
        # The responses are held, so the placer waits for them.
        proxy.cut("*", Direction.BACKWARD)
        await publish_version(fleet, "2")
        await publish_version(fleet, "3")
        assert placer in fleet.vm_by_name
        proxy.heal()
        await wait_for_version(fleet, "3", min_serving=1)


def test_each_domain_has_one_placer_that_is_one_of_its_own_vms():
    engines = [Endpoint(f"e{n}", f"10.0.0.{n}:80", f"d{n}") for n in (1, 2, 3)]
    placed = ServiceDocument("s", 1, engines, [Model("m", replicas=3)])
    vms = [Vm(f"d{d}-v{n}", f"d{d}") for d in (1, 2, 3) for n in (1, 2, 3)]

    def placers(listed):
        return PlacementView({"s": placed}, VmList(1, listed)).placer_by_domain

    first = placers(vms)
    for domain, placer in first.items():
        assert placer.startswith(domain)
        others = placers([vm for vm in vms if vm.name != placer])
        assert others[domain].startswith(domain)
        kept = {d: p for d, p in first.items() if d != domain}
        assert {d: others[d] for d in kept} == kept
    assert placers([vm for vm in vms if vm.failure_domain != "d1"])["d1"] is not None
