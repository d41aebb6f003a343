"""Engines that leave requests unanswered are asked whether they have ended."""

import asyncio

import pytest

from dotterelpitch.clock import SteadyClock
from dotterelpitch.gateway.crash_watcher import PATIENCE_SECONDS, CrashWatcher
from dotterelpitch.gateway.engine_tracker import EngineTracker
from dotterelpitch.gateway.state import GatewayState
from dotterelpitch.routing.crash_suspects import CrashVerdict
from dotterelpitch.routing.engines import Engine
from dotterelpitch.routing.health import HealthState
from dotterelpitch.upstream.engine_check import CheckResult, check_engine
from tests.harness.ports import free_address
from tests.harness.scripted_engine import ScriptedEngine
from tests.harness.waiting import pause

ENGINE = Engine("e1", "calls", "127.0.0.1:1", "b", started_ms=1)
OTHER = Engine("e2", "calls", "127.0.0.1:2", "b", started_ms=1)
OWN = Engine("e3", "calls", "127.0.0.1:3", "a", started_ms=1)
CHECK_SECONDS = 0.05


class WatchedVm:
    """A watcher whose checks return ``result`` after a moment; counts the checks."""

    def __init__(self, result):
        self.clock = SteadyClock()
        self.tracker = EngineTracker(self.clock, "vm1", "a")
        self.state = GatewayState(self.clock)
        self.checks = 0
        self.watcher = CrashWatcher(self.clock, self.state, self.tracker, self._check)
        self._result = result
        for engine in (ENGINE, OTHER, OWN):
            self.state.directory.put(engine)

    async def _check(self, engine_id, address, health_path):
        self.checks += 1
        await pause(CHECK_SECONDS)
        return self._result

    def lose(self, engine, fingerprint="bad"):
        """Send a request whose connection breaks at once."""
        attempt = self.watcher.attempt_sent(engine, fingerprint)
        self.watcher.attempt_ended(engine, attempt, is_broken=True)

    async def settle(self):
        """Wait until the check and what follows it are over."""
        await pause(PATIENCE_SECONDS + 2 * CHECK_SECONDS)

    @property
    def is_crash(self):
        return self.tracker.suspects.verdict("bad") is not CrashVerdict.FREE


# Guards against: a crash counts only if this VM happens to be refused soon after.
@pytest.mark.parametrize(
    ("result", "heard", "is_crash"),
    [
        (CheckResult.RESPONDED, None, False),
        (CheckResult.REFUSED, None, True),
        (CheckResult.BROKEN, None, True),
        (CheckResult.REPLACED, None, True),
        (CheckResult.BROKEN, ENGINE, False),
        (CheckResult.REFUSED, OTHER, True),
        # A domain that is silent as a whole has been cut off.
        (CheckResult.SILENT, None, False),
        (CheckResult.SILENT, OWN, False),
        (CheckResult.SILENT, OTHER, True),
        (CheckResult.SILENT, ENGINE, False),
    ],
)
async def test_check_decides_whether_the_engine_has_crashed(result, heard, is_crash):
    vm = WatchedVm(result)
    vm.lose(ENGINE)
    await pause(PATIENCE_SECONDS + CHECK_SECONDS / 2)
    if heard is not None:
        vm.watcher.heard_from(heard)
    await vm.settle()
    assert vm.is_crash is is_crash
    is_suspect = vm.tracker.health.state(ENGINE.id) is HealthState.SUSPECT
    assert is_suspect is is_crash


async def test_silent_engine_of_the_own_domain_has_crashed_if_anything_is_heard():
    vm = WatchedVm(CheckResult.SILENT)
    vm.lose(OWN)
    await pause(PATIENCE_SECONDS + CHECK_SECONDS / 2)
    vm.watcher.heard_from(OTHER)
    await vm.settle()
    assert vm.is_crash


async def test_engine_that_answers_others_meanwhile_is_not_checked():
    vm = WatchedVm(CheckResult.REFUSED)
    vm.lose(ENGINE)
    await pause(PATIENCE_SECONDS * 0.8)
    vm.watcher.heard_from(ENGINE)
    await vm.settle()
    assert vm.checks == 0
    assert not vm.is_crash


async def test_losses_at_one_engine_share_a_check():
    vm = WatchedVm(CheckResult.REFUSED)
    for n in range(20):
        vm.lose(ENGINE, f"call {n}")
    await vm.settle()
    assert vm.checks == 1


# Guards against: a request that waits at a silent engine is never missed.
async def test_engine_that_leaves_a_request_waiting_in_silence_is_checked():
    vm = WatchedVm(CheckResult.REFUSED)
    task = asyncio.create_task(vm.watcher.run())
    vm.watcher.attempt_sent(ENGINE, "bad")
    await pause(1.0)
    task.cancel()
    assert vm.is_crash


async def _close(reader, writer):
    writer.close()


async def _stay_silent(reader, writer):
    await reader.read()


@pytest.mark.parametrize(
    ("handler", "result"),
    [
        (None, CheckResult.REFUSED),
        (_close, CheckResult.BROKEN),
        (_stay_silent, CheckResult.SILENT),
    ],
)
async def test_check_of_an_engine_that_does_not_respond(handler, result):
    address = free_address()
    host, _, port = address.rpartition(":")
    server = await asyncio.start_server(handler, host, int(port)) if handler else None
    assert await check_engine("e1", address, "/health", timeout_s=0.3) is result
    if server is not None:
        server.close()


@pytest.mark.parametrize(
    ("engine_id", "result"),
    [("e1", CheckResult.RESPONDED), ("e2", CheckResult.REPLACED)],
)
async def test_check_tells_the_engine_from_another_one_at_its_address(
    engine_id, result
):
    engine = ScriptedEngine("e1")
    await engine.start(free_address())
    assert await check_engine(engine_id, engine.address, "/health") is result
    assert engine.health_checks == 1
    await engine.stop()
