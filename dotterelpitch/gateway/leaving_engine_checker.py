"""Asks engines of which it isn't known whether they leave."""

import asyncio
from collections.abc import Callable
from functools import partial

from dotterelpitch.clock import Clock
from dotterelpitch.gateway.state import GatewayState
from dotterelpitch.platform.engine_status import EngineStatus
from dotterelpitch.routing.engines import Engine, EngineRun
from dotterelpitch.upstream.engine_check import EngineCheck, RunCheck

SWEEP_INTERVAL_SECONDS = 0.1
# An engine that didn't respond is asked again after this time.
CHECK_INTERVAL_SECONDS = 1.5

RecordStatus = Callable[[Engine, EngineStatus], None]


class LeavingEngineChecker:
    """Keeps engines in doubt without requests until they have answered a status check.

    ``record_status`` is called with what an engine says of itself.
    """

    def __init__(
        self,
        clock: Clock,
        state: GatewayState,
        record_status: RecordStatus,
        run_check: RunCheck = EngineCheck.run,
    ) -> None:
        self._clock = clock
        self._state = state
        self._record_status = record_status
        self._run_check = run_check
        self._asked_at_by_run: dict[EngineRun, float] = {}
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Ask the engines in doubt, until cancelled."""
        while True:
            self.ask_all()
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)

    def ask_all(self) -> None:
        """Start a check of each engine in doubt that hasn't been asked just now.

        One in an evacuated failure domain is asked when the domain is back.
        """
        is_evacuated = self._state.directory.is_evacuated
        engines = [e for e in self._state.engines_in_doubt() if not is_evacuated(e)]
        self._forget_all_but(engines)
        for engine in engines:
            if engine.run not in self._asked_at_by_run:
                self._asked_at_by_run[engine.run] = self._clock.monotonic()
                task = asyncio.create_task(self._ask(engine))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    def _forget_all_but(self, engines: list[Engine]) -> None:
        """Forget when engines were asked that are no longer in doubt, or long ago."""
        runs = {engine.run for engine in engines}
        oldest = self._clock.monotonic() - CHECK_INTERVAL_SECONDS
        self._asked_at_by_run = {
            run: at
            for run, at in self._asked_at_by_run.items()
            if run in runs and at >= oldest
        }

    async def _ask(self, engine: Engine) -> None:
        check = EngineCheck(
            engine.id,
            engine.address,
            self._state.health_path(engine),
            is_needed=lambda: True,
            patience_s=0.0,
            on_status=partial(self._record, engine),
        )
        await self._run_check(check)

    def _record(self, engine: Engine, status: EngineStatus) -> None:
        """Record what an engine says; only a success without the word clears it."""
        self._record_status(engine, status)
        if status.is_success and not status.is_leaving:
            self._state.record_stays(engine.run)
