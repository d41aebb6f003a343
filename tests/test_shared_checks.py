"""Status checks: one of an engine at a time, and so many of a VM."""

import asyncio

import pytest

from dotterelpitch.clock import ManualClock
from dotterelpitch.gateway.shared_checks import (
    BURST_CHECKS,
    CHECKS_PER_SECOND,
    SharedChecks,
)
from dotterelpitch.platform.engine_status import EngineStatus
from dotterelpitch.upstream.engine_check import CheckResult, EngineCheck

STATUS = EngineStatus(is_success=True)


class Engines:
    """Runs checks; an engine responds once ``release`` is set."""

    def __init__(self):
        self.asked = []
        self.release = asyncio.Event()

    async def run(self, check):
        self.asked.append(check.address)
        await self.release.wait()
        check.on_status(STATUS)
        return CheckResult.RESPONDED


def make_check(address, statuses=None, timeout_s=1.0):
    listen = [] if statuses is None else statuses
    return EngineCheck(
        "e1",
        address,
        "/health",
        lambda: True,
        timeout_s=timeout_s,
        on_status=listen.append,
    )


# Guards against: the watchers of a VM each ask an engine for the same reason.
async def test_checks_of_one_engine_are_one():
    engines = Engines()
    checks = SharedChecks(ManualClock(10.0), engines.run)
    statuses = []
    tasks = [
        asyncio.create_task(checks.run(make_check("10.0.0.1:1", statuses)))
        for _ in range(3)
    ]
    await asyncio.sleep(0)
    engines.release.set()
    assert await asyncio.gather(*tasks) == [CheckResult.RESPONDED] * 3
    assert engines.asked == ["10.0.0.1:1"]
    assert statuses == [STATUS] * 3


# Guards against: a short check waits for a long one that is under way.
async def test_check_that_joins_waits_no_longer_than_its_own_timeout():
    checks = SharedChecks(ManualClock(10.0), Engines().run)
    first = asyncio.create_task(checks.run(make_check("10.0.0.1:1")))
    await asyncio.sleep(0)
    result = await checks.run(make_check("10.0.0.1:1", timeout_s=0.01))
    assert result is CheckResult.SILENT
    first.cancel()


# Guards against: a VM that meets many failures asks engines without end.
@pytest.mark.parametrize("wait_s", [0.0, 1.0])
async def test_checks_of_a_vm_are_bounded(wait_s):
    clock = ManualClock(10.0)
    engines = Engines()
    engines.release.set()
    checks = SharedChecks(clock, engines.run)
    count = int(BURST_CHECKS)
    for number in range(count):
        assert await checks.run(make_check(f"a:{number}")) is CheckResult.RESPONDED
    assert await checks.run(make_check("b:1")) is CheckResult.NOT_STARTED
    clock.advance(wait_s)
    results = [await checks.run(make_check(f"c:{n}")) for n in range(count)]
    started = sum(result is CheckResult.RESPONDED for result in results)
    assert started == int(wait_s * CHECKS_PER_SECOND)
