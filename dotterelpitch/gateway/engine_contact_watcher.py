"""Finds out whether this VM reaches engines, when its own calls leave it in doubt."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import TypeVar

from dotterelpitch.clock import Clock
from dotterelpitch.gateway.state import GatewayState
from dotterelpitch.routing.crash_detector import CrashDetector
from dotterelpitch.routing.engine_contact import ContactState, EngineContact
from dotterelpitch.routing.engines import Engine
from dotterelpitch.upstream.engine_check import CheckResult, EngineCheck, RunCheck

SWEEP_INTERVAL_SECONDS = 0.1
# The interval of the checks; while contact is lost they tell when it is back.
CHECK_INTERVAL_SECONDS = 0.5
CHECK_TIMEOUT_SECONDS = 0.25
# A sound engine responds within this time; then a second one is asked as well.
HEDGE_SECONDS = 0.05
# Engines asked at a time; as many failures as make contact count as lost.
ENGINES_ASKED = 2
# With a request unanswered and nothing heard from any engine for this long, the path is
# in doubt as well.
SILENCE_SECONDS = 0.4

T = TypeVar("T")

_RESPONSES = {CheckResult.RESPONDED, CheckResult.RETURNED, CheckResult.REPLACED}


class EngineContactWatcher:
    """Asks engines for a sign of life while contact is in doubt or lost.

    A second one is asked only if the first doesn't respond at once.

    ``on_change`` is called when contact is lost or back. One of the two is in the VM's
    own ``failure_domain``, if there is any.
    """

    def __init__(
        self,
        clock: Clock,
        state: GatewayState,
        contact: EngineContact,
        crash_detector: CrashDetector,
        on_change: Callable[[], None],
        failure_domain: str = "",
        run_check: RunCheck = EngineCheck.run,
    ) -> None:
        self._clock = clock
        self._state = state
        self._contact = contact
        self._crash_detector = crash_detector
        self._on_change = on_change
        self._failure_domain = failure_domain
        self._run_check = run_check
        self._asked_at = float("-inf")
        self._was_lost = False
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            self.sweep()
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)

    def sweep(self) -> None:
        """Report a change, and start checks if they are due."""
        self._contact.log_change()
        if self._contact.is_lost is not self._was_lost:
            self._was_lost = self._contact.is_lost
            self._on_change()
        now = self._clock.monotonic()
        if self._is_in_doubt(now) and now - self._asked_at >= CHECK_INTERVAL_SECONDS:
            self._asked_at = now
            self._start(self._ask(self._sample()))

    def _is_in_doubt(self, now: float) -> bool:
        if self._contact.state is not ContactState.IN_CONTACT:
            return True
        if now - self._contact.heard_at < SILENCE_SECONDS:
            return False
        return bool(self._crash_detector.silent_engines())

    def _sample(self) -> list[Engine]:
        """Return some engines at random that accept requests, a near one first."""
        directory = self._state.directory
        engines = list(filter(directory.may_accept, directory.engine_by_id.values()))
        random.shuffle(engines)
        near = [e for e in engines if e.failure_domain == self._failure_domain][:1]
        others = [engine for engine in engines if engine not in near]
        return (near + others)[:ENGINES_ASKED]

    def _start(self, coroutine: Coroutine[None, None, T]) -> "asyncio.Task[T]":
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _ask(self, engines: list[Engine]) -> None:
        """Ask engines in turn until one has responded, not waiting long for each."""
        for engine in engines:
            check = self._start(self._check(engine))
            done, _ = await asyncio.wait([check], timeout=HEDGE_SECONDS)
            if done and check.result():
                return

    async def _check(self, engine: Engine) -> bool:
        """Return whether an engine responds, and record it."""
        began = self._clock.monotonic()
        check = EngineCheck(
            engine.id,
            engine.address,
            self._state.health_path(engine),
            is_needed=lambda: True,
            patience_s=0.0,
            timeout_s=CHECK_TIMEOUT_SECONDS,
        )
        result = await self._run_check(check)
        has_responded = result in _RESPONSES
        if result is CheckResult.NOT_STARTED:
            return False
        if has_responded:
            self._contact.record_response(began)
        else:
            self._contact.record_failure(engine.id, is_connecting=True)
        return has_responded
