"""Runs one soak: world, traffic, faults in series and overlapping, verdict."""

import asyncio
from pathlib import Path

import attrs

from tests.harness.gateway_soak.checks import outcome_counts, violations
from tests.harness.gateway_soak.faults import Faults
from tests.harness.gateway_soak.traffic import Traffic
from tests.harness.gateway_soak.world import SoakWorld
from tests.harness.waiting import pause

VMS = 6
FAULT_SECONDS = (0.5, 4.0)
BETWEEN_SECONDS = (0.2, 2.0)
MAX_TOGETHER = 3
CALM_SECONDS = 2.0
SETTLE_SECONDS = 4.0
LAST_REQUESTS = 60


@attrs.define
class SoakResult:
    """What a soak found; ``logs`` are the lines of all gateways by VM."""

    seed: int
    violations: list[str]
    outcomes: dict[str, int]
    faults: list[str]
    logs: dict[str, str]

    def report(self) -> str:
        """Return the result as lines of text."""
        lines = [f"seed {self.seed}: {len(self.violations)} broken", str(self.outcomes)]
        return "\n".join([*lines, *self.faults, *self.violations])


async def run_gateway_soak(folder: Path, seconds: float, seed: int) -> SoakResult:
    """Start a fleet, soak it for ``seconds``, and end it."""
    world = SoakWorld(folder, VMS, seed)
    try:
        await world.start()
        traffic = Traffic(world)
        faults = asyncio.create_task(_inject(world, Faults(world, traffic), seconds))
        await traffic.run(seconds)
        await faults
        await pause(SETTLE_SECONDS)
        world.history.served_at_the_end = await traffic.served_share(LAST_REQUESTS)
    finally:
        await world.stop()
    history = world.history
    return SoakResult(
        seed,
        violations(history),
        outcome_counts(history.sent),
        [
            f"{d.began:.1f}-{d.ended:.1f} {d.name} {d.target}"
            for d in history.disturbances
        ],
        {vm.name: vm.gateway.process.log() for vm in world.vms},
    )


async def _inject(world: SoakWorld, faults: Faults, seconds: float) -> None:
    """Begin faults in a random order, a few at a time, until shortly before the end."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds - FAULT_SECONDS[1]
    active: set[asyncio.Task] = set()
    await pause(CALM_SECONDS)
    while loop.time() < until:
        kind = world.random.choice(faults.kinds())
        task = asyncio.create_task(kind(world.random.uniform(*FAULT_SECONDS)))
        active.add(task)
        task.add_done_callback(active.discard)
        if len(active) >= MAX_TOGETHER:
            await asyncio.wait(active, return_when=asyncio.FIRST_COMPLETED)
        await pause(world.random.uniform(*BETWEEN_SECONDS))
    await asyncio.gather(*active)
