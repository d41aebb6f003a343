"""Finds out whether an engine that left a request unanswered has ended.

Whether a VM meets an engine again soon depends on its traffic, so it asks: at once
when a connection breaks with a request in flight, and after a silence while a request
waits. A crash is then known at the VM whose request it was, however few requests the
VM has. An engine that was only silent and goes on hasn't crashed after all.
"""

import asyncio
from collections.abc import Callable
from functools import partial

from dotterelpitch.clock import Clock
from dotterelpitch.gateway.engine_tracker import EngineTracker
from dotterelpitch.gateway.state import GatewayState
from dotterelpitch.platform.engine_status import EngineStatus
from dotterelpitch.routing.crash_detector import UnansweredAttempt
from dotterelpitch.routing.engines import Engine
from dotterelpitch.routing.health import FailureKind
from dotterelpitch.telemetry.events import Event, log_event
from dotterelpitch.upstream.engine_check import CheckResult, EngineCheck, RunCheck

SWEEP_INTERVAL_SECONDS = 0.2
# A slow engine that responds to checks isn't checked again sooner.
MIN_CHECK_INTERVAL_SECONDS = 1.5

RecordStatus = Callable[[Engine, EngineStatus], None]

# The results that mean that the engine's run has ended.
_FAILURE_BY_RESULT = {
    CheckResult.RETURNED: FailureKind.REFUSED,
    CheckResult.REPLACED: FailureKind.REFUSED,
    CheckResult.REFUSED: FailureKind.REFUSED,
    CheckResult.BROKEN: FailureKind.REFUSED,
    CheckResult.SILENT: FailureKind.UNREACHABLE,
}


def _ignore(engine: Engine, status: EngineStatus) -> None:
    """Ignore what an engine says of itself."""


def _never(engine: Engine) -> bool:
    """Return False: no engine wants a pause."""
    return False


class CrashWatcher:
    """Checks engines that leave requests unanswered; at most one check at a time each.

    ``record_status`` is called with what an engine says of itself when checked. One for
    which ``is_paused`` is true isn't checked for its silence alone.

    >>> task = asyncio.create_task(keep_running("crashes", watcher.run))
    """

    def __init__(
        self,
        clock: Clock,
        state: GatewayState,
        tracker: EngineTracker,
        run_check: RunCheck = EngineCheck.run,
        record_status: RecordStatus = _ignore,
        is_paused: Callable[[Engine], bool] = _never,
    ) -> None:
        self._clock = clock
        self._state = state
        self._tracker = tracker
        self._detector = tracker.crash_detector
        self._run_check = run_check
        self._record_status = record_status
        self._is_paused = is_paused
        self._task_by_engine: dict[str, asyncio.Task] = {}
        self._checked_at_by_engine: dict[str, float] = {}

    async def run(self) -> None:
        """Check the silent engines periodically until cancelled.

        What has survived its start meanwhile is recorded as well.
        """
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            self._drop_old_check_times()
            self._detector.record_survivals()
            for engine in self._detector.silent_engines():
                if self._is_paused(engine):
                    continue
                if engine.id not in self._checked_at_by_engine:
                    self.check_soon(engine)

    def attempt_sent(
        self,
        engine: Engine,
        fingerprint: str,
        parts: tuple[str, ...] = (),
        objective_s: float = 0.0,
    ) -> UnansweredAttempt:
        """Record that a request was sent to an engine.

        ``objective_s`` is the time in which the response should start.
        """
        return self._detector.attempt_sent(engine, fingerprint, parts, objective_s)

    def heard_from(self, engine: Engine) -> None:
        """Record bytes from an engine."""
        self._tracker.heard_from(engine)

    def response_continued(self, attempt: UnansweredAttempt) -> None:
        """Record bytes of the response to a request that is in flight."""
        self._tracker.response_continued(attempt)

    def output_received(self, attempt: UnansweredAttempt) -> None:
        """Record that the engine has sent the response or some of it."""
        self._detector.output_received(attempt)

    def attempt_answered(self, attempt: UnansweredAttempt) -> None:
        """Record a complete response."""
        self._detector.attempt_answered(attempt)
        self._tracker.response_continued(attempt)

    def attempt_closed(self, attempt: UnansweredAttempt) -> None:
        """Record a response that ended with its connection.

        If it was short and the engine is silent afterwards, the engine is checked.
        """
        if attempt.was_running:
            self._detector.attempt_answered(attempt)
        else:
            self._detector.attempt_ended(
                attempt, is_broken=False, ended_with_connection=True
            )

    def attempt_ended(self, attempt: UnansweredAttempt, is_broken: bool) -> None:
        """Record an attempt without a complete response, and check its engine.

        ``is_broken`` is whether its connection broke.
        """
        self._detector.attempt_ended(attempt, is_broken)
        if is_broken:
            self.check_soon(attempt.engine)

    def check_soon(self, engine: Engine) -> None:
        """Start a check of an engine unless one is running or it accepts no requests.

        An engine that has left the registry is checked where it was.
        """
        directory = self._state.directory
        listed = directory.engine_by_id.get(engine.id, engine)
        if not directory.may_accept(listed) or engine.id in self._task_by_engine:
            return
        task = asyncio.create_task(self._check_until_settled(engine))
        self._task_by_engine[engine.id] = task
        task.add_done_callback(lambda _: self._task_by_engine.pop(engine.id))

    def _drop_old_check_times(self) -> None:
        oldest = self._clock.monotonic() - MIN_CHECK_INTERVAL_SECONDS
        for engine_id, checked_at in list(self._checked_at_by_engine.items()):
            if checked_at < oldest:
                del self._checked_at_by_engine[engine_id]

    async def _check_until_settled(self, engine: Engine) -> None:
        """Check an engine, again if another connection to it broke meanwhile."""
        while True:
            began = self._clock.monotonic()
            self._checked_at_by_engine[engine.id] = began
            await self._check_engine(engine, began)
            if not self._detector.has_broken_attempt(engine.id, began):
                return

    async def _check_engine(self, engine: Engine, began: float) -> None:
        check = EngineCheck(
            engine.id,
            engine.address,
            self._state.health_path(engine),
            is_needed=lambda: not self._detector.has_outlived(engine.id, began),
            on_status=partial(self._record_status, engine),
        )
        result = await self._run_check(check)
        log_event(
            Event.ENGINE_CHECKED,
            engine=engine.id,
            result=result,
            seconds=round(self._clock.monotonic() - began, 3),
        )
        if _has_responded(engine, result):
            self._tracker.heard_from(engine)
        elif result in _FAILURE_BY_RESULT and (
            result is CheckResult.REFUSED or check.is_needed()
        ):
            self._engine_failed(engine, result, began)

    def _engine_failed(self, engine: Engine, result: CheckResult, began: float) -> None:
        if result is CheckResult.SILENT and not self._is_path_up(engine, began):
            log_event(
                Event.CRASH_DISMISSED,
                engine=engine.id,
                reason="the failure domain is silent too",
            )
            return
        self._tracker.record_engine_end(engine, _FAILURE_BY_RESULT[result], result)

    def _is_path_up(self, engine: Engine, since: float) -> bool:
        """Return whether the network path to the engine has worked since then.

        Nothing separates a VM that reaches the store from its own failure domain.
        """
        reach = self._tracker.domain_reachability
        if reach.is_reached_since(engine.failure_domain, since):
            return True
        is_own = engine.failure_domain == reach.own_domain
        return is_own and self._state.continuity.confirmed_at >= since


def _has_responded(engine: Engine, result: CheckResult) -> bool:
    """Return whether a check has met the run of the engine that was asked.

    If its start time is known, another run would show by its record.
    """
    if result is CheckResult.RETURNED:
        return engine.started_ms > 0
    return result is CheckResult.RESPONDED
