"""At-most-once execution by real processes, under faults and repeated calls."""

import json
import time
from collections.abc import Awaitable, Callable

import attrs
import pytest
from uuid6 import uuid7

from dotterelpitch.requests.ownership import slot_of
from tests.harness.fleet import SERVICE, Fleet, FleetShape
from tests.harness.waiting import eventually, pause
from tests.keyed_load import KeyedLoad

LEASE_SECONDS = 2.0
SKEW_MARGINS = {"caller_skew_seconds": 0.5, "fleet_skew_seconds": 0.3}
FAST_ROUTER_FLAGS = {
    "lease_seconds": LEASE_SECONDS,
    "owner_wait_seconds": 4.0,
    **SKEW_MARGINS,
}
SHAPE = FleetShape(
    domains=3,
    vms_per_domain=2,
    engines_per_domain=0,
    plain_flags={"delay": 0.05},
    router_flags=FAST_ROUTER_FLAGS,
    document_changes={"models": []},
)
FENCED_SHAPE = attrs.evolve(
    SHAPE,
    plain_flags={"delay": 0.05, "checks_fencing": True},
    endpoint_changes={"checks_fencing": True},
)
RECOVERY_TIMEOUT_SECONDS = 15.0
VICTIM = "d1-v1"


async def kill(fleet: Fleet) -> None:
    await fleet.kill_vm(VICTIM)


async def kill_and_restart(fleet: Fleet) -> None:
    await fleet.kill_vm(VICTIM)
    await fleet.start_vm(VICTIM)


async def freeze(fleet: Fleet) -> None:
    fleet.pause_vm(VICTIM)
    await pause(LEASE_SECONDS * 2)
    fleet.resume_vm(VICTIM)


async def freeze_two_in_turn(fleet: Fleet) -> None:
    for name in (VICTIM, "d2-v1"):
        fleet.pause_vm(name)
        await pause(LEASE_SECONDS * 1.2)
    fleet.resume_vm(VICTIM)
    await pause(LEASE_SECONDS * 0.6)
    fleet.resume_vm("d2-v1")


async def cut_one_way(fleet: Fleet) -> None:
    for name in fleet.vm_by_name:
        if name != VICTIM:
            fleet.cut(VICTIM, name)
    await pause(LEASE_SECONDS * 2)
    fleet.heal()


async def partition_and_kill(fleet: Fleet) -> None:
    fleet.partition(["d1"], ["d2", "d3"])
    await pause(LEASE_SECONDS)
    await fleet.kill_vm("d2-v2")
    await pause(LEASE_SECONDS)
    fleet.heal()


async def deliver_lists_out_of_order(fleet: Fleet) -> None:
    """Publish two VM lists, of which half of the agents receive only the second."""
    half = [vm for name, vm in fleet.vm_by_name.items() if name.endswith("v2")]
    for vm in half:
        vm.agent.pause()
    fleet.vm_by_name[VICTIM].state = "leaving"
    await fleet.publish_vms()
    await pause(LEASE_SECONDS * 1.5)
    fleet.vm_by_name[VICTIM].state = "live"
    fleet.vm_by_name["d2-v2"].state = "leaving"
    await fleet.publish_vms()
    for vm in half:
        vm.agent.resume()
    await pause(LEASE_SECONDS)


async def freeze_and_drop_from_list(fleet: Fleet) -> None:
    fleet.pause_vm(VICTIM)
    fleet.vm_by_name[VICTIM].state = "leaving"
    await fleet.publish_vms()
    await pause(LEASE_SECONDS * 2)
    fleet.resume_vm(VICTIM)


async def wait_until_served(load: KeyedLoad, keys: int = 40) -> None:
    """Wait until the latest ``keys`` keys created from now on have all completed."""
    started_at = time.time()

    def all_complete() -> bool:
        latest = load.since(started_at)[-keys:]
        return len(latest) == keys and all(h.completed for h in latest)

    await eventually(all_complete, RECOVERY_TIMEOUT_SECONDS, "all new keys complete")


@pytest.mark.parametrize(
    "shape, fault",
    [
        (SHAPE, kill),
        (SHAPE, kill_and_restart),
        (SHAPE, freeze),
        (FENCED_SHAPE, freeze),
        (SHAPE, freeze_two_in_turn),
        (SHAPE, cut_one_way),
        (SHAPE, partition_and_kill),
        (FENCED_SHAPE, deliver_lists_out_of_order),
        (SHAPE, freeze_and_drop_from_list),
    ],
    ids=lambda value: getattr(value, "__name__", ""),
)
async def test_keys_run_at_most_once_and_outcomes_are_true(
    shape: FleetShape, fault: Callable[[Fleet], Awaitable[None]]
) -> None:
    async with Fleet(shape) as fleet:
        load = KeyedLoad(fleet, seed=7)
        await wait_until_served(load)
        started_at = time.time()
        await fault(fleet)
        await wait_until_served(load)
        await load.stop()
        await load.check()
        print(
            fault.__name__,
            load.count_by_outcome(started_at),
            f"{time.time() - started_at:.1f} s",
        )


def owned_slots(fleet: Fleet, vm: str) -> set[int]:
    """Return the slots that ``vm`` owns according to its router's log."""
    owned: set[int] = set()
    for line in fleet.vm_by_name[vm].router.lines:
        event = json.loads(line[line.index("{") :]) if "{" in line else {}
        if event.get("name") in ("lease_started", "lease_inherited"):
            owned.add(event["slot"])
        if event.get("name") in ("slot_handed_over", "lease_lost"):
            owned.discard(event["slot"])
    return owned


async def test_keys_of_a_killed_owner_are_served_again_without_affecting_others() -> (
    None
):
    shape = attrs.evolve(SHAPE, router_flags={})
    async with Fleet(shape) as fleet:
        load = KeyedLoad(fleet, seed=11, callers=16)
        await wait_until_served(load, keys=200)
        slots = owned_slots(fleet, VICTIM)
        assert slots, fleet.logs()
        killed_at = time.time()
        await fleet.kill_vm(VICTIM)
        await wait_until_served(load, keys=200)
        await load.stop()
        await load.check()
        created_after = load.since(killed_at)
        of_victim = [h for h in created_after if slot_of(SERVICE, h.key) in slots]
        others = [h for h in created_after if slot_of(SERVICE, h.key) not in slots]
        assert all(h.completed for h in others)
        refused = [h for h in of_victim if not h.completed]
        last_refused_seconds = max(h.created_at - killed_at for h in refused)
        print(
            len(created_after),
            len(refused),
            f"last refused key created after {last_refused_seconds:.1f} s",
        )
        assert last_refused_seconds < RECOVERY_TIMEOUT_SECONDS


def key_of(slots: set[int]) -> str:
    """Return a new key in one of ``slots``."""
    while slot_of(SERVICE, key := str(uuid7())) not in slots:
        pass
    return key


async def domain_slots(fleet: Fleet, domain: str) -> set[int]:
    """Return the slots that a domain's two VMs own, once they own at least one."""
    names = [f"{domain}-v1", f"{domain}-v2"]
    return await eventually(
        lambda: owned_slots(fleet, names[0]) | owned_slots(fleet, names[1]),
        RECOVERY_TIMEOUT_SECONDS,
        f"{domain} owns slots",
    )


async def test_partitioned_domain_keeps_serving_its_own_keys() -> None:
    async with Fleet(SHAPE) as fleet:
        load = KeyedLoad(fleet, seed=17)
        await wait_until_served(load)
        await load.stop()
        fleet.partition(["d1"], ["d2", "d3"])
        await pause(LEASE_SECONDS * 1.5)
        for domain in ("d1", "d2", "d3"):
            first, second = f"{domain}-v1", f"{domain}-v2"
            slots = await domain_slots(fleet, domain)
            for vm in (first, second):
                key = key_of(slots)
                answer = await fleet.caller(vm).call("POST", SERVICE, "/swaps/1", key)
                assert answer.outcome == "completed", answer
        foreign = key_of(await domain_slots(fleet, "d2"))
        answer = await fleet.caller("d1-v1").call("POST", SERVICE, "/swaps/1", foreign)
        assert (answer.status, answer.outcome) == (503, "unknown")
        assert (await fleet.executions_by_key()).get(foreign, 0) == 0


async def test_rolling_restart_fails_no_call() -> None:
    async with Fleet(attrs.evolve(SHAPE, domains=2)) as fleet:
        load = KeyedLoad(fleet, seed=13)
        await wait_until_served(load)
        started_at = time.time()
        logs_of_stopped = []
        for name, vm in fleet.vm_by_name.items():
            load.out_of_service = {name}
            assert await vm.router.terminate() == 0
            await vm.agent.terminate()
            logs_of_stopped.append(f"== {name}-router\n{vm.router.log()}")
            await fleet.start_vm(name)
            await fleet.ready(name)
        load.out_of_service = set()
        await wait_until_served(load)
        await load.stop()
        await load.check()
        created = load.since(started_at)
        failed = [h for h in created if set(h.outcomes) != {"completed"}]
        print(len(created), len(failed))
        assert not failed, (
            f"{len(failed)} of {len(created)}: {failed[:5]}\n"
            + "\n".join([*logs_of_stopped, fleet.logs()])
        )


async def test_call_without_a_key_is_refused_before_anything_runs() -> None:
    shape = attrs.evolve(SHAPE, domains=1, vms_per_domain=1)
    async with Fleet(shape) as fleet:
        answer = await fleet.caller("d1-v1").call("POST", SERVICE, "/swaps/7")
        assert (answer.status, answer.outcome) == (400, "not-run")
        for path, key in (("/nowhere", str(uuid7())), ("/swaps/7", "k" * 300)):
            answer = await fleet.caller("d1-v1").call("POST", SERVICE, path, key)
            assert answer.status in (400, 404)
            assert answer.outcome == ("unknown" if answer.status == 404 else "not-run")
        assert not await fleet.executions_by_key()
