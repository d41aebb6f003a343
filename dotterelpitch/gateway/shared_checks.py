"""Runs the status checks of all who ask, each engine once at a time, within a bound."""

import asyncio

from attrs import define, evolve, field, frozen

from dotterelpitch.clock import Clock
from dotterelpitch.platform.engine_status import EngineStatus
from dotterelpitch.routing.leaky_bucket import LeakyBucket
from dotterelpitch.upstream.engine_check import CheckResult, EngineCheck, RunCheck

# A VM starts so many checks per second, and so many at once. Beyond it, who asks learns
# nothing.
CHECKS_PER_SECOND = 4.0
BURST_CHECKS = 12.0


@frozen
class _Answer:
    result: CheckResult
    status: EngineStatus | None


@define
class SharedChecks:
    """Starts a check, or joins the one of the same engine that is under way.

    One that was given less time and has met silence tells nothing to who may wait for
    longer, who starts another one then.

    >>> checks = SharedChecks(clock)
    >>> await checks.run(EngineCheck("e1", "10.0.0.1:1", "/health", lambda: True))
    <CheckResult.RESPONDED: 'responded'>
    """

    _clock: Clock
    _run_check: RunCheck = EngineCheck.run
    _bucket: LeakyBucket = field(init=False)
    _task_by_address: dict[str, asyncio.Task[_Answer]] = field(factory=dict)
    _timeout_by_address: dict[str, float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._bucket = LeakyBucket(0.0, self._clock.monotonic())

    async def run(self, check: EngineCheck) -> CheckResult:
        """Return the result of a check; NOT_STARTED if there have been too many."""
        task = self._task_by_address.get(check.address)
        if task is not None:
            is_shorter = self._timeout_by_address[check.address] < check.timeout_s
            answer = await self._join(check, task)
            if is_shorter and answer.result is CheckResult.SILENT:
                return await self.run(check)
        elif not self._has_room():
            return CheckResult.NOT_STARTED
        else:
            answer = await asyncio.shield(self._start_task(check))
        if answer.status is not None:
            check.on_status(answer.status)
        return answer.result

    def _has_room(self) -> bool:
        self._bucket.drain(self._clock.monotonic(), CHECKS_PER_SECOND)
        if self._bucket.level + 1.0 > BURST_CHECKS:
            return False
        self._bucket.add(1, BURST_CHECKS)
        return True

    def _start_task(self, check: EngineCheck) -> asyncio.Task[_Answer]:
        task = asyncio.create_task(self._start(check))
        self._task_by_address[check.address] = task
        self._timeout_by_address[check.address] = check.timeout_s
        task.add_done_callback(lambda _: self._forget(check.address))
        return task

    def _forget(self, address: str) -> None:
        del self._task_by_address[address]
        del self._timeout_by_address[address]

    async def _start(self, check: EngineCheck) -> _Answer:
        statuses: list[EngineStatus] = []
        result = await self._run_check(evolve(check, on_status=statuses.append))
        return _Answer(result, statuses[-1] if statuses else None)

    @staticmethod
    async def _join(check: EngineCheck, task: asyncio.Task[_Answer]) -> _Answer:
        """Wait for a check that is under way, for as long as ``check`` may take."""
        try:
            async with asyncio.timeout(check.timeout_s):
                return await asyncio.shield(task)
        except TimeoutError:
            return _Answer(CheckResult.SILENT, None)
