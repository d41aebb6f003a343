"""Engines that leave requests unanswered are asked whether they have ended."""

import asyncio
import errno

import attrs
import pytest

from dotterelpitch.clock import SteadyClock
from dotterelpitch.gateway.crash_watcher import CrashWatcher
from dotterelpitch.gateway.engine_tracker import EngineTracker
from dotterelpitch.gateway.state import GatewayState
from dotterelpitch.routing.crash_suspects import CrashVerdict
from dotterelpitch.routing.engines import Engine
from dotterelpitch.routing.health import HealthState
from dotterelpitch.upstream.engine_check import (
    PATIENCE_SECONDS,
    CheckResult,
    EngineCheck,
)
from tests.harness.ports import free_address
from tests.harness.scripted_engine import ScriptedEngine
from tests.harness.waiting import pause

ENGINE = Engine("e1", "calls", "127.0.0.1:1", "b", started_ms=1)
OTHER = Engine("e2", "calls", "127.0.0.1:2", "b", started_ms=1)
OWN = Engine("e3", "calls", "127.0.0.1:3", "a", started_ms=1)
CHECK_SECONDS = 0.05


class WatchedVm:
    """A watcher whose checks return ``result``; counts its health requests."""

    def __init__(self, result):
        self.clock = SteadyClock()
        self.tracker = EngineTracker(self.clock, "vm1", "a")
        self.state = GatewayState(self.clock)
        self.health_requests = 0
        self.watcher = CrashWatcher(self.clock, self.state, self.tracker, self._check)
        self._result = result
        for engine in (ENGINE, OTHER, OWN):
            self.state.directory.put(engine)

    async def _check(self, check):
        await pause(PATIENCE_SECONDS)
        if self._result is not CheckResult.REFUSED and not check.is_needed():
            return CheckResult.UNNEEDED
        self.health_requests += 1
        await pause(CHECK_SECONDS)
        return self._result

    def lose(self, engine, fingerprint="bad"):
        """Send a request whose connection breaks at once."""
        attempt = self.watcher.attempt_sent(engine, fingerprint)
        self.watcher.attempt_ended(attempt, is_broken=True)

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
        (CheckResult.NOT_MADE, OTHER, False),
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


async def test_engine_that_answers_others_meanwhile_gets_no_health_request():
    vm = WatchedVm(CheckResult.BROKEN)
    vm.lose(ENGINE)
    await pause(PATIENCE_SECONDS * 0.8)
    vm.watcher.heard_from(ENGINE)
    await vm.settle()
    assert vm.health_requests == 0
    assert not vm.is_crash


@pytest.mark.parametrize(("started_ms", "is_crash"), [(0, True), (1, False)])
async def test_return_during_a_check_is_a_crash_unless_the_record_tells(
    started_ms, is_crash
):
    vm = WatchedVm(CheckResult.RETURNED)
    engine = attrs.evolve(ENGINE, started_ms=started_ms)
    vm.state.directory.put(engine)
    vm.lose(engine)
    await vm.settle()
    assert vm.is_crash is is_crash


# Guards against: a crash while its engine is checked for another loss is missed.
async def test_engine_is_checked_again_if_a_connection_breaks_during_a_check():
    vm = WatchedVm(CheckResult.REFUSED)
    vm.lose(ENGINE, "earlier")
    vm.watcher.heard_from(ENGINE)
    await pause(PATIENCE_SECONDS + CHECK_SECONDS / 2)
    vm.lose(ENGINE)
    await vm.settle()
    await vm.settle()
    assert vm.is_crash


# Guards against: an engine whose record goes at its crash is never checked.
async def test_engine_that_has_left_the_registry_is_checked_where_it_was():
    vm = WatchedVm(CheckResult.REFUSED)
    vm.state.directory.remove(ENGINE.id)
    vm.lose(ENGINE)
    await vm.settle()
    assert vm.is_crash


async def test_leaving_engine_is_not_taken_for_crashed():
    vm = WatchedVm(CheckResult.REFUSED)
    vm.state.directory.put(attrs.evolve(ENGINE, is_leaving=True))
    vm.lose(ENGINE)
    await vm.settle()
    assert not vm.is_crash


async def test_losses_at_one_engine_share_a_check():
    vm = WatchedVm(CheckResult.BROKEN)
    for n in range(20):
        vm.lose(ENGINE, f"call {n}")
    await vm.settle()
    assert vm.health_requests == 1


# Guards against: a request that waits at a silent engine is never missed.
async def test_engine_that_leaves_a_request_waiting_in_silence_is_checked():
    vm = WatchedVm(CheckResult.REFUSED)
    task = asyncio.create_task(vm.watcher.run())
    vm.watcher.attempt_sent(ENGINE, "bad")
    await pause(1.0)
    task.cancel()
    assert vm.is_crash


def make_check(engine_id, address, **limits):
    return EngineCheck(engine_id, address, "/health", lambda: True, **limits)


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
    assert await make_check("e1", address, timeout_s=0.4).run() is result
    if server is not None:
        server.close()


# Guards against: a VM without free sockets takes its engines for crashed.
async def test_check_that_finds_no_socket_is_not_made(monkeypatch):
    def fail(*args):
        raise OSError(errno.EMFILE, "too many open files")

    monkeypatch.setattr(asyncio.get_running_loop(), "sock_connect", fail)
    assert await make_check("e1", free_address()).run() is CheckResult.NOT_MADE


@pytest.mark.parametrize(
    ("engine_id", "result"),
    [("e1", CheckResult.RESPONDED), ("e2", CheckResult.REPLACED)],
)
async def test_check_tells_the_engine_from_another_one_at_its_address(
    engine_id, result
):
    engine = ScriptedEngine("e1")
    await engine.start(free_address())
    assert await make_check(engine_id, engine.address).run() is result
    assert engine.health_checks == 1
    await engine.stop()


async def test_check_of_an_engine_that_was_heard_meanwhile_sends_no_request():
    engine = ScriptedEngine("e1")
    await engine.start(free_address())
    check = EngineCheck("e1", engine.address, "/health", lambda: False)
    assert await check.run() is CheckResult.UNNEEDED
    assert engine.health_checks == 0
    await engine.stop()


# Guards against: a VM that is cut off from all engines tells its peers that they have
# crashed, and what was in flight there is banned.
@pytest.mark.parametrize("is_cut_off", [False, True])
async def test_no_crash_is_seen_from_behind_a_cut(is_cut_off):
    vm = WatchedVm(CheckResult.REFUSED)
    vm.tracker.is_cut_off = lambda: is_cut_off
    vm.lose(ENGINE)
    await vm.settle()
    _, crashes, _ = vm.tracker.suspects.updates_after(0)
    assert len(crashes) == (not is_cut_off)
