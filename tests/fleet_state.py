"""The state of processes in a test fleet, as read from their log events."""

import asyncio

from tests.harness.fleet import MODEL, SERVICE, Fleet
from tests.harness.processes import Process
from tests.harness.waiting import eventually

# Numbers of log events.
IN_FORCE = 201
REFUSED = 202
OLDER_IGNORED = 203
SUSPECTED = 303
RECOVERED = 304
LEAVING = 305
STOP_CUT = 310
# Time limits of the guarantees.
DOCUMENT_SECONDS = 3.0
VIEW_SECONDS = 5.0
LEAVING_SECONDS = 3.0
MESSAGES = [{"role": "user", "content": "describe the scent of rain"}]


def revisions(process: Process) -> list[int]:
    """Return the document revisions that were in force, in order."""
    return [event["revision"] for event in process.events(IN_FORCE)]


def in_force(process: Process) -> int:
    """Return the document revision in force, 0 for none."""
    return max(revisions(process), default=0)


def suspected(process: Process) -> set[str]:
    """Return the VMs that an agent currently suspects."""
    names: set[str] = set()
    for event in process.events():
        if event.get("event") == SUSPECTED:
            names.add(event["vm"])
        elif event.get("event") == RECOVERED:
            names.discard(event["vm"])
    return names


def routers(fleet: Fleet) -> dict[str, Process]:
    """Return the running routers by VM name."""
    return {n: vm.router for n, vm in fleet.vm_by_name.items() if vm.router.running}


async def wait_in_force(fleet: Fleet, revision: int, timeout: float, *names: str):
    """Wait until ``revision`` is in force on the routers of ``names``.

    Without names these are all running routers.
    """
    chosen = names or tuple(routers(fleet))
    await eventually(
        lambda: all(
            in_force(fleet.vm_by_name[name].router) == revision for name in chosen
        ),
        timeout,
        f"revision {revision} in force on {chosen}",
    )


async def wait_views(
    fleet: Fleet, wanted: dict[str, set[str]], timeout: float = VIEW_SECONDS
):
    """Wait until the agent of each VM in ``wanted`` suspects exactly these VMs."""

    def agreed():
        views = {name: suspected(fleet.vm_by_name[name].agent) for name in wanted}
        assert views == wanted, views
        return True

    await eventually(agreed, timeout, "views as expected")


async def chat(fleet: Fleet, vm: str, name: str = "", **options):
    """Send one chat request to the router of ``vm``."""
    return await fleet.caller(vm).chat(MODEL, MESSAGES, chat=name, **options)


async def restart(fleet: Fleet, *vms: str) -> None:
    """Kill and restart the processes of all ``vms`` at the same time."""
    await asyncio.gather(*(fleet.kill_vm(vm) for vm in vms))
    await asyncio.gather(*(fleet.start_vm(vm) for vm in vms))


async def platform_stats(fleet: Fleet) -> dict:
    """Return the counters of the platform stand-in."""
    return await fleet.control(fleet.platform_address, "stats")


def document_body(fleet: Fleet, **changes) -> dict:
    """Return the JSON value of a document; ``changes`` may be invalid fields."""
    return {"service": SERVICE, **changes}
