"""Runs one soak of a gateway fleet: traffic, overlapping faults, and checks."""

import asyncio
from pathlib import Path

import attrs

from dotterelpitch.telemetry.events import Event
from tests.harness.gateway_soak.checks import outcome_counts, violations
from tests.harness.gateway_soak.faults import Faults
from tests.harness.gateway_soak.fleet import SoakFleet
from tests.harness.gateway_soak.traffic import Traffic
from tests.harness.waiting import pause

VM_COUNT = 6
FAULT_SECONDS_RANGE = (0.5, 4.0)
BETWEEN_FAULTS_SECONDS_RANGE = (0.2, 2.0)
MAX_CONCURRENT_FAULTS = 3
WARM_UP_SECONDS = 2.0
SETTLE_SECONDS = 4.0
FINAL_REQUESTS = 60
BAN_EVENTS = (Event.REQUEST_BANNED.number, Event.PART_BANNED.number)


@attrs.define
class SoakResult:
    """The violations and statistics of a soak; ``logs`` are gateway logs by VM."""

    seed: int
    violations: list[str]
    outcomes: dict[str, int]
    faults: list[str]
    logs: dict[str, str]

    def report(self) -> str:
        """Return the result as text: outcomes, faults, and violations."""
        lines = [
            f"seed {self.seed}: {len(self.violations)} violations",
            str(self.outcomes),
        ]
        return "\n".join([*lines, *self.faults, *self.violations])


async def run_gateway_soak(folder: Path, seconds: float, seed: int) -> SoakResult:
    """Start a fleet, run traffic and faults for ``seconds``, and return the result."""
    fleet = SoakFleet(folder, VM_COUNT, seed)
    try:
        await fleet.start()
        traffic = Traffic(fleet)
        faults = asyncio.create_task(_inject(fleet, Faults(fleet, traffic), seconds))
        await traffic.run(seconds)
        await faults
        await pause(SETTLE_SECONDS)
        fleet.history.final_served_share = await traffic.served_share(FINAL_REQUESTS)
    finally:
        await fleet.stop()
    history = fleet.history
    history.banned_ids = [
        event["request"]
        for vm in fleet.vms
        for number in BAN_EVENTS
        for event in vm.gateway.process.events(number)
    ]
    return SoakResult(
        seed,
        violations(history),
        outcome_counts(history.sent),
        [
            f"{span.began:.1f}-{span.ended:.1f} {span.name} {span.target}"
            for span in history.faults
        ],
        {vm.name: vm.gateway.process.log() for vm in fleet.vms},
    )


async def _inject(fleet: SoakFleet, faults: Faults, seconds: float) -> None:
    """Inject random faults, a few at a time, until shortly before the end."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds - FAULT_SECONDS_RANGE[1]
    active: set[asyncio.Task] = set()
    await pause(WARM_UP_SECONDS)
    while loop.time() < until:
        kind = fleet.random.choice(faults.kinds())
        task = asyncio.create_task(kind(fleet.random.uniform(*FAULT_SECONDS_RANGE)))
        active.add(task)
        task.add_done_callback(active.discard)
        if len(active) >= MAX_CONCURRENT_FAULTS:
            await asyncio.wait(active, return_when=asyncio.FIRST_COMPLETED)
        await pause(fleet.random.uniform(*BETWEEN_FAULTS_SECONDS_RANGE))
    await asyncio.gather(*active)
