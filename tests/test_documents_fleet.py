"""Documents in a fleet of processes are in force within 3 s and never reverted."""

import asyncio

import pytest

from tests.fleet_state import (
    DOCUMENT_SECONDS,
    REFUSED,
    chat,
    document_body,
    in_force,
    platform_stats,
    restart,
    revisions,
    routers,
    wait_in_force,
)
from tests.harness.fleet import SERVICE, Fleet, FleetShape
from tests.harness.waiting import eventually

START_SECONDS = 10.0
CONVERGENCE_SECONDS = 8.0


async def test_document_is_in_force_on_every_router_within_three_seconds():
    async with Fleet(FleetShape(domains=3, vms_per_domain=2)) as fleet:
        for bound in (1.3, 1.4, 1.5):
            revision = await fleet.publish_document(load_bound=bound)
            await wait_in_force(fleet, revision, DOCUMENT_SECONDS)


async def test_invalid_document_leaves_the_last_valid_one_in_force():
    async with Fleet(FleetShape(domains=2, vms_per_domain=2)) as fleet:
        good = await fleet.publish_document(load_bound=1.3)
        await wait_in_force(fleet, good, DOCUMENT_SECONDS)
        bad = await fleet.publish_raw_document(
            SERVICE, document_body(fleet, load_bnd=1.5)
        )
        await eventually(
            lambda: any(
                event["revision"] == bad
                for vm in fleet.vm_by_name.values()
                for event in vm.agent.events(REFUSED)
            ),
            DOCUMENT_SECONDS,
            "the invalid document is refused",
        )
        assert {in_force(router) for router in routers(fleet).values()} == {good}
        assert (await chat(fleet, "d1-v1")).is_complete
        calls = sum((await platform_stats(fleet))["calls_by_kind"].values())
        better = await fleet.publish_document(load_bound=1.6)
        await wait_in_force(fleet, better, DOCUMENT_SECONDS)
        assert calls < 100


RESTARTS = {
    "one": ["d1-v1"],
    "a failure domain": ["d1-v1", "d1-v2"],
    "all but one VM": ["d1-v1", "d1-v2", "d2-v1"],
}


@pytest.mark.parametrize("names", RESTARTS.values(), ids=RESTARTS)
async def test_restarts_with_a_stale_platform_never_revert_the_document(names):
    async with Fleet(FleetShape(domains=2, vms_per_domain=2)) as fleet:
        old = await fleet.publish_document(load_bound=1.3)
        await wait_in_force(fleet, old, DOCUMENT_SECONDS)
        new = await fleet.publish_document(load_bound=1.4)
        await wait_in_force(fleet, new, DOCUMENT_SECONDS)
        await fleet.set_platform_faults(stale_revision=old)
        await restart(fleet, *names)
        await wait_in_force(fleet, new, START_SECONDS, *names)
        for name in names:
            assert set(revisions(fleet.vm_by_name[name].router)) == {new}


@pytest.mark.parametrize("surviving", ["agent", "router"])
async def test_one_surviving_process_restores_the_newest_document(surviving):
    async with Fleet(FleetShape(domains=1, vms_per_domain=2)) as fleet:
        old = await fleet.publish_document(load_bound=1.3)
        await wait_in_force(fleet, old, DOCUMENT_SECONDS)
        new = await fleet.publish_document(load_bound=1.4)
        await wait_in_force(fleet, new, DOCUMENT_SECONDS)
        await fleet.set_platform_faults(stale_revision=old)
        survivor = fleet.vm_by_name["d1-v1"]
        other = {"agent": survivor.router, "router": survivor.agent}[surviving]
        await asyncio.gather(other.kill(), fleet.kill_vm("d1-v2"))
        other.lines.clear()
        await asyncio.gather(other.start(), fleet.start_vm("d1-v2"))
        await wait_in_force(fleet, new, START_SECONDS)
        assert revisions(survivor.router)[-1] == new
        assert set(revisions(fleet.vm_by_name["d1-v2"].router)) == {new}


async def test_platform_restored_to_an_older_state_reverts_no_document():
    async with Fleet(FleetShape(domains=2, vms_per_domain=2)) as fleet:
        old = await fleet.publish_document(load_bound=1.3)
        new = await fleet.publish_document(load_bound=1.4)
        await wait_in_force(fleet, new, DOCUMENT_SECONDS)
        url = f"http://{fleet.platform_address}/control/restore/{old}"
        async with fleet.session.post(url) as response:
            response.raise_for_status()
        await restart(fleet, "d2-v2")
        await wait_in_force(fleet, new, START_SECONDS, "d2-v2")
        reused = await fleet.publish_document(load_bound=1.7)
        assert reused == new
        higher = await fleet.publish_document(load_bound=1.8)
        await wait_in_force(fleet, higher, DOCUMENT_SECONDS)
        assert (await chat(fleet, "d2-v2")).is_complete


async def test_vm_restarts_while_the_platform_is_down():
    async with Fleet(FleetShape(domains=2, vms_per_domain=2)) as fleet:
        revision = await fleet.publish_document(load_bound=1.3)
        await wait_in_force(fleet, revision, DOCUMENT_SECONDS)
        await fleet.set_platform_faults(down=True)
        await restart(fleet, "d1-v1")
        await wait_in_force(fleet, revision, START_SECONDS, "d1-v1")
        assert (await chat(fleet, "d1-v1")).is_complete


@pytest.mark.parametrize("fault", ["kill", "pause"])
async def test_documents_propagate_while_readers_fail(fault):
    async with Fleet(FleetShape(domains=1, vms_per_domain=4)) as fleet:
        first = await fleet.publish_document(load_bound=1.3)
        await wait_in_force(fleet, first, DOCUMENT_SECONDS)
        calls = (await platform_stats(fleet))["calls_by_reader"]
        busiest = sorted(calls, key=calls.get)[-2:]
        for name in busiest:
            if fault == "kill":
                await fleet.kill_vm(name)
            else:
                fleet.pause_vm(name)
        remaining = sorted(set(fleet.vm_by_name) - set(busiest))
        revision = await fleet.publish_document(load_bound=1.4)
        await wait_in_force(fleet, revision, CONVERGENCE_SECONDS, *remaining)
        for name in busiest:
            fleet.resume_vm(name)


async def test_both_sides_of_a_partition_converge_on_the_higher_revision():
    async with Fleet(FleetShape(domains=2, vms_per_domain=2)) as fleet:
        old = await fleet.publish_document(load_bound=1.3)
        await wait_in_force(fleet, old, DOCUMENT_SECONDS)
        d2_vms = [n for n, vm in fleet.vm_by_name.items() if vm.domain == "d2"]
        stale = dict.fromkeys(d2_vms, old)
        await fleet.set_platform_faults(stale_by_reader=stale)
        fleet.partition(["d1"], ["d2"])
        new = await fleet.publish_document(load_bound=1.4)
        await wait_in_force(fleet, new, DOCUMENT_SECONDS, "d1-v1", "d1-v2")
        assert {in_force(fleet.vm_by_name[name].router) for name in d2_vms} == {old}
        assert (await chat(fleet, "d2-v1")).is_complete
        fleet.heal()
        await wait_in_force(fleet, new, CONVERGENCE_SECONDS)


async def test_router_serves_without_its_agent_and_restores_its_state():
    async with Fleet(FleetShape(domains=1, vms_per_domain=1)) as fleet:
        old = await fleet.publish_document(load_bound=1.3)
        new = await fleet.publish_document(load_bound=1.4)
        await wait_in_force(fleet, new, DOCUMENT_SECONDS)
        vm = fleet.vm_by_name["d1-v1"]
        await vm.agent.kill()
        assert (await chat(fleet, "d1-v1")).is_complete
        await fleet.set_platform_faults(stale_revision=old)
        await vm.agent.start()
        await eventually(
            lambda: revisions(vm.agent)[-1] == new,
            START_SECONDS,
            "newest document at the agent",
        )
        assert revisions(vm.router)[-1] == new
        assert (await chat(fleet, "d1-v1")).is_complete
