"""Runs a soak of a fleet: traffic, faults, load sampling, and checks."""

import asyncio
import contextlib
import hashlib
import random
import time
from functools import partial
from typing import Any

import attrs

from dotterelpitch.documents.model import ClientAccount
from tests.harness.fleet import ACCOUNT_KEY, Fleet, FleetShape
from tests.harness.soak.checks import CHECKS, CheckResult, Evidence, outcome_counts
from tests.harness.soak.faults import FAULTS, Fault
from tests.harness.soak.history import History
from tests.harness.soak.sampler import LoadSampler
from tests.harness.soak.traffic import SURGE_KEY, Traffic
from tests.harness.waiting import eventually, pause

FAULT_SECONDS_RANGE = (1.0, 5.0)
BETWEEN_FAULTS_SECONDS_RANGE = (0.5, 3.0)
SETTLE_SECONDS = 5.0
SIMULTANEOUS_AFTER_SECONDS = 1.0
MAX_START_WAIT_SECONDS = 120.0


@attrs.define
class SoakResult:
    """The check results and statistics of a soak.

    ``worst_load_ratio`` is the highest load of an engine over the mean of all, and
    ``logs`` holds the log lines of all processes.
    """

    seed: int
    check_results: list[CheckResult]
    outcomes: dict[str, int]
    faults: dict[str, int]
    worst_load_ratio: float
    logs: str

    @property
    def passed(self) -> bool:
        """Whether no guarantee was violated."""
        return not any(result.violations for result in self.check_results)


def soak_shape() -> FleetShape:
    """Return 3 failure domains of 2 VMs with 10 engines and 3 plain services."""
    digest = {
        key: hashlib.sha256(key.encode()).hexdigest()
        for key in (ACCOUNT_KEY, SURGE_KEY)
    }
    accounts = [
        ClientAccount("packers", digest[ACCOUNT_KEY], priority=1),
        ClientAccount("surge", digest[SURGE_KEY], priority=2, concurrency=40),
    ]
    return FleetShape(
        domains=3,
        vms_per_domain=2,
        engines_per_domain=3,
        extra_engines=1,
        plains_per_domain=1,
        engine_flags={"decode_step": 0.02, "concurrency": 16},
        plain_flags={"delay": 0.05},
        document_changes={"client_accounts": accounts},
    )


class Soak:
    """One soak of a running fleet, reproducible by its seed."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.history = History()
        self._fleet = fleet
        self._seed = seed
        self._random = random.Random(seed)
        self._traffic = Traffic(fleet, self.history, seed + 1)
        self._sampler = LoadSampler(fleet, self.history)
        self._kinds: list[type[Fault]] = []
        self._active: dict[type, asyncio.Task] = {}

    async def run(
        self, seconds: float, simultaneous: tuple[type[Fault], ...] = ()
    ) -> SoakResult:
        """Run for ``seconds``, let the fleet recover, and check the guarantees.

        The faults are random, or those of ``simultaneous``, which all begin at once.
        """
        sampling = asyncio.create_task(self._sampler.run())
        inject = self._inject_simultaneously(simultaneous) if simultaneous else None
        faults = asyncio.create_task(inject or self._inject_faults(seconds))
        await self._traffic.run(seconds)
        await faults
        sampling.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await sampling
        with contextlib.suppress(AssertionError):
            await self._fleet.ready()
        await pause(SETTLE_SECONDS)
        return self._evaluate()

    async def _inject_faults(self, seconds: float) -> None:
        """Inject random faults; two of different kinds may overlap."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds - FAULT_SECONDS_RANGE[1]
        while loop.time() < until:
            await pause(self._random.uniform(*BETWEEN_FAULTS_SECONDS_RANGE))
            kind = self._next_kind()
            arguments = (
                self._random.uniform(*FAULT_SECONDS_RANGE),
                self._random.random(),
            )
            await eventually(partial(self._can_start, kind), MAX_START_WAIT_SECONDS)
            task = asyncio.create_task(self._run_fault(kind, *arguments))
            self._active[kind] = task
        await asyncio.gather(*self._active.values())

    async def _inject_simultaneously(self, kinds: tuple[type[Fault], ...]) -> None:
        """Begin all ``kinds`` at once; each lasts a random time."""
        await pause(SIMULTANEOUS_AFTER_SECONDS)
        await asyncio.gather(
            *(
                self._run_fault(kind, self._random.uniform(2.0, 4.0), number)
                for number, kind in enumerate(kinds)
            )
        )

    def _next_kind(self) -> type[Fault]:
        """Return the next kind; each comes once per round, in a random order."""
        if not self._kinds:
            self._kinds = self._random.sample(FAULTS, len(FAULTS))
        return self._kinds.pop()

    def _can_start(self, kind: type[Fault]) -> bool:
        """Return whether a fault of the kind can begin.

        At most two run at once: of different kinds, and neither two platform
        faults nor two link cuts.
        """
        running = [k for k, task in self._active.items() if not task.done()]
        both_platform = kind.__name__.startswith("Platform") and any(
            k.__name__.startswith("Platform") for k in running
        )
        both_cut = kind.__name__.startswith("Cut") and any(
            k.__name__.startswith("Cut") for k in running
        )
        return not (kind in running or len(running) >= 2 or both_platform or both_cut)

    async def _run_fault(self, kind: type[Fault], seconds: float, seed: Any) -> None:
        fault = kind(self._fleet, self._traffic, self.history, seed)
        span = self.history.begin(fault.name, "")
        try:
            await fault.begin()
            span.target = fault.target
            await pause(seconds)
            await fault.end()
        except AssertionError as error:
            self.history.not_ready.append(f"{fault.name} {fault.target}: {error}")
        span.ended = time.time()

    def _evaluate(self) -> SoakResult:
        evidence = Evidence.collect(self._fleet, self.history, self._sampler)
        counts: dict[str, int] = {}
        for span in self.history.faults:
            counts[span.name] = counts.get(span.name, 0) + 1
        return SoakResult(
            self._seed,
            [check(evidence) for check in CHECKS],
            outcome_counts(self.history.sent),
            dict(sorted(counts.items())),
            self._sampler.worst_ratio,
            self._fleet.logs(),
        )


async def run_soak(
    seconds: float, seed: int, simultaneous: tuple[type[Fault], ...] = ()
) -> SoakResult:
    """Start a fleet, soak it for ``seconds``, stop it, and return the result."""
    async with Fleet(soak_shape()) as fleet:
        return await Soak(fleet, seed).run(seconds, simultaneous)
