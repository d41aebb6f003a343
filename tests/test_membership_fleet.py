"""Membership views, leaving engines, and graceful stops of real processes."""

import asyncio
import itertools

import pytest

from tests.fleet_state import (
    LEAVING,
    LEAVING_SECONDS,
    STOP_CUT,
    chat,
    suspected,
    wait_in_force,
    wait_views,
)
from tests.harness.fleet import Fleet, FleetShape
from tests.harness.waiting import eventually

STOP_TIMEOUT_SECONDS = 15.0


def all_names(fleet):
    return set(fleet.vm_by_name)


def domain_names(fleet, *domains):
    return {n for n, vm in fleet.vm_by_name.items() if vm.domain in domains}


def expected_views(names, view):
    return {name: set(view) for name in names}


async def kill_one(fleet):
    await fleet.kill_vm("d1-v1")
    return expected_views(all_names(fleet) - {"d1-v1"}, {"d1-v1"})


async def pause_one(fleet):
    fleet.pause_vm("d1-v1")
    return expected_views(all_names(fleet) - {"d1-v1"}, {"d1-v1"})


async def partition_domain(fleet):
    fleet.partition(["d1"], ["d2", "d3"])
    inside, outside = domain_names(fleet, "d1"), domain_names(fleet, "d2", "d3")
    return {**expected_views(inside, outside), **expected_views(outside, inside)}


async def partition_domain_one_way(fleet):
    for source in domain_names(fleet, "d1"):
        for target in domain_names(fleet, "d2", "d3"):
            fleet.cut(source, target)
    inside, outside = domain_names(fleet, "d1"), domain_names(fleet, "d2", "d3")
    return {**expected_views(inside, outside), **expected_views(outside, inside)}


async def partition_domain_and_kill(fleet):
    expected = await partition_domain(fleet)
    await fleet.kill_vm("d2-v1")
    expected = {name: view | {"d2-v1"} for name, view in expected.items()}
    del expected["d2-v1"]
    return expected


async def restore(fleet):
    fleet.heal()
    for name, vm in fleet.vm_by_name.items():
        fleet.resume_vm(name)
        if not vm.agent.running:
            await fleet.start_vm(name)


FAULTS = [
    kill_one,
    pause_one,
    partition_domain,
    partition_domain_one_way,
    partition_domain_and_kill,
]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
async def test_views_agree_within_five_seconds_of_a_change(fault):
    async with Fleet(FleetShape(domains=3, vms_per_domain=2)) as fleet:
        await wait_views(fleet, expected_views(all_names(fleet), set()))
        await wait_views(fleet, await fault(fleet))
        await restore(fleet)
        await wait_views(fleet, expected_views(all_names(fleet), set()))


async def test_all_views_follow_a_vm_that_joins_and_leaves_the_list():
    async with Fleet(FleetShape(domains=2, vms_per_domain=2)) as fleet:
        await fleet.add_vm("d2-v3", "d2")
        await fleet.publish_vms()
        await fleet.ready("d2-v3")
        await wait_views(fleet, expected_views(all_names(fleet), set()))
        await fleet.remove_vm("d2-v3")
        await fleet.publish_vms()
        await wait_views(fleet, expected_views(all_names(fleet), set()))


async def mark_leaving_in_list(fleet, name):
    fleet.endpoint_by_name[name].state = "leaving"
    await fleet.publish_vms()


async def drop_from_document(fleet, name):
    remaining = [e for e in fleet.document.endpoints if e.name != name]
    await fleet.publish_document(endpoints=remaining)


@pytest.mark.parametrize("how", [mark_leaving_in_list, drop_from_document])
async def test_a_leaving_engine_gets_no_new_requests_after_three_seconds(how):
    shape = FleetShape(domains=2, vms_per_domain=2, engines_per_domain=2)
    async with Fleet(shape) as fleet:
        chats = [f"chat-{n}" for n in range(12)]
        engine_by_chat = {
            name: (await chat(fleet, "d1-v1", name)).engine for name in chats
        }
        leaving = engine_by_chat[chats[0]]
        loop = asyncio.get_running_loop()
        await how(fleet, leaving)
        deadline = loop.time() + LEAVING_SECONDS
        for vm, name in itertools.cycle(itertools.product(fleet.vm_by_name, chats)):
            sent_at = loop.time()
            answer = await chat(fleet, vm, name)
            assert answer.is_complete, answer
            assert sent_at < deadline or answer.engine != leaving
            if sent_at > deadline + 0.5:
                break


async def call_until_stopped(fleet, answers, chat_name, stop):
    """Send chats in turn to the VMs that are ready, as a load balancer does."""
    for vm in itertools.cycle(sorted(fleet.vm_by_name)):
        if stop.is_set():
            return
        if await is_ready(fleet, vm):
            answers.append(await chat(fleet, vm, chat_name, max_tokens=100))


async def is_ready(fleet, vm):
    url = f"http://{fleet.vm_by_name[vm].http_address}/readyz"
    try:
        async with fleet.session.get(url) as response:
            return response.status == 200
    except OSError:
        return False


async def stop_and_start(fleet, name):
    vm = fleet.vm_by_name[name]
    codes = await asyncio.gather(
        vm.agent.terminate(STOP_TIMEOUT_SECONDS),
        vm.router.terminate(STOP_TIMEOUT_SECONDS),
    )
    assert codes == [0, 0], vm.router.log()
    assert not vm.router.events(STOP_CUT)
    await fleet.start_vm(name)
    await fleet.ready(name)


async def test_a_rolling_restart_under_load_fails_no_request():
    shape = FleetShape(
        domains=2,
        vms_per_domain=2,
        router_flags={"linger_seconds": 1.5, "lease_seconds": 1.0},
    )
    async with Fleet(shape) as fleet:
        stop = asyncio.Event()
        answers = []
        callers = [
            asyncio.create_task(call_until_stopped(fleet, answers, f"chat-{n}", stop))
            for n in range(8)
        ]
        for name in sorted(fleet.vm_by_name):
            await stop_and_start(fleet, name)
        stop.set()
        await asyncio.gather(*callers)
        failed = [a for a in answers if not a.is_complete or a.status != 200]
        assert len(answers) > 50
        assert not failed, (len(answers), failed[:3])


async def test_a_stopping_vm_is_announced_to_all_and_finishes_its_streams():
    shape = FleetShape(domains=2, vms_per_domain=2, engine_flags={"decode_step": 0.02})
    async with Fleet(shape) as fleet:
        long = asyncio.create_task(chat(fleet, "d1-v1", "long", max_tokens=250))
        await eventually(lambda: is_busy(fleet), 5.0, "the stream is running")
        vm = fleet.vm_by_name["d1-v1"]
        stopping = asyncio.create_task(vm.router.terminate(STOP_TIMEOUT_SECONDS))
        others = [v.agent for n, v in fleet.vm_by_name.items() if n != "d1-v1"]
        await eventually(
            lambda: all(
                any(e["vm"] == "d1-v1" for e in agent.events(LEAVING))
                for agent in others
            ),
            LEAVING_SECONDS,
            "the stop is announced",
        )
        assert not await is_ready(fleet, "d1-v1")
        answer = await long
        assert answer.is_complete, answer
        assert await stopping == 0
        assert not vm.router.events(STOP_CUT)


async def is_busy(fleet):
    stats = await fleet.engine_stats()
    return any(report["in_flight"] for report in stats.values())


@pytest.mark.parametrize("trigger", ["second signal", "grace limit"])
async def test_a_forced_stop_logs_the_work_that_it_interrupts(trigger):
    grace = 60.0 if trigger == "second signal" else 0.5
    shape = FleetShape(
        vms_per_domain=1,
        engine_flags={"decode_step": 0.05},
        router_flags={"grace_seconds": grace, "linger_seconds": 0.1},
    )
    async with Fleet(shape) as fleet:
        long = asyncio.create_task(chat(fleet, "d1-v1", "long", max_tokens=1000))
        await eventually(lambda: is_busy(fleet), 5.0, "the stream is running")
        router = fleet.vm_by_name["d1-v1"].router
        stopping = asyncio.create_task(router.terminate(STOP_TIMEOUT_SECONDS))
        await eventually(lambda: router.events(102), 5.0, "the stop has started")
        if trigger == "second signal":
            router.send_signal(15)
        assert await stopping == 0
        assert any("request" in e["work"] for e in router.events(STOP_CUT))
        assert not (await long).is_complete


async def test_a_resumed_vm_rejoins_with_the_newest_document():
    async with Fleet(FleetShape(domains=2, vms_per_domain=2)) as fleet:
        fleet.pause_vm("d2-v2")
        others = all_names(fleet) - {"d2-v2"}
        await wait_views(fleet, expected_views(others, {"d2-v2"}))
        revision = await fleet.publish_document(load_bound=1.6)
        await wait_in_force(fleet, revision, 3.0, *others)
        fleet.resume_vm("d2-v2")
        await wait_in_force(fleet, revision, 3.0)
        await wait_views(fleet, expected_views(all_names(fleet), set()))
        assert not suspected(fleet.vm_by_name["d2-v2"].agent)
