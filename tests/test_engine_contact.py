"""What a VM believes of its path to the engines: tables over the decision code."""

import asyncio

import pytest

from dotterelpitch.clock import ManualClock
from dotterelpitch.gateway.engine_contact_watcher import (
    CHECK_INTERVAL_SECONDS,
    EngineContactWatcher,
)
from dotterelpitch.gateway.state import GatewayState
from dotterelpitch.routing.engine_contact import (
    DOUBT_SECONDS,
    FAILURE_TTL_SECONDS,
    ContactState,
    EngineContact,
)
from dotterelpitch.routing.engines import Engine
from dotterelpitch.upstream.engine_check import CheckResult

NEW, OLD = True, False
NOW = 100.0


class CrashDetectorStub:
    """A crash detector for which some engines are silent, or none."""

    def __init__(self, silent=()):
        self.silent = silent

    def silent_engines(self):
        return list(self.silent)


# Guards against: one dead engine is taken for a cut, or a cut for dead engines.
@pytest.mark.parametrize(
    ("failures", "opened_at", "wait_s", "expected"),
    [
        ([], None, 0.0, ContactState.IN_CONTACT),
        ([("e1", NEW)], None, 0.0, ContactState.IN_CONTACT),
        ([("e1", NEW)], None, DOUBT_SECONDS, ContactState.IN_DOUBT),
        ([("e1", NEW), ("e1", NEW)], None, 0.0, ContactState.IN_CONTACT),
        ([("e1", NEW), ("e2", NEW)], None, 0.0, ContactState.LOST),
        ([("e1", OLD), ("e2", NEW)], None, 0.0, ContactState.LOST),
        ([("e1", NEW), ("e2", NEW)], NOW + 1.0, 0.0, ContactState.IN_CONTACT),
        # An open connection lives on, but new ones fail.
        ([("e1", NEW), ("e2", NEW)], NOW - 1.0, 0.0, ContactState.LOST),
        ([("e1", OLD), ("e2", OLD)], NOW - 1.0, 0.0, ContactState.IN_CONTACT),
        (
            [("e1", NEW), ("e2", NEW)],
            None,
            FAILURE_TTL_SECONDS + 0.1,
            ContactState.IN_CONTACT,
        ),
    ],
)
def test_contact_is_lost_if_engines_fail_and_none_responds(
    failures, opened_at, wait_s, expected
):
    clock = ManualClock(NOW)
    contact = EngineContact(clock)
    for engine_id, is_connecting in failures:
        contact.record_failure(engine_id, is_connecting)
    if opened_at is not None:
        contact.record_response(opened_at)
    clock.advance(wait_s)
    assert contact.state is expected


# Guards against: each failed call has engines asked, though others respond meanwhile.
@pytest.mark.parametrize(
    ("heard_after_s", "expected"),
    [
        (None, ContactState.IN_DOUBT),
        (-0.05, ContactState.IN_DOUBT),
        (0.05, ContactState.IN_CONTACT),
    ],
)
def test_bytes_after_a_failure_leave_no_doubt(heard_after_s, expected):
    clock = ManualClock(NOW)
    contact = EngineContact(clock)
    if heard_after_s == -0.05:
        contact.record_data()
        clock.advance(0.05)
    contact.record_failure("e1", NEW)
    if heard_after_s == 0.05:
        clock.advance(0.05)
        contact.record_data()
    clock.advance(DOUBT_SECONDS)
    assert contact.state is expected


# Guards against: a failure domain that is cut off from the others is taken for VMs that
# are cut off from all engines, while those nearby respond on open connections.
@pytest.mark.parametrize(
    ("failed", "is_lost"),
    [(("far1", "far2"), False), (("far1", "near1"), True), (("near1", "near2"), True)],
)
def test_contact_is_not_lost_before_a_near_engine_has_failed(failed, is_lost):
    contact = EngineContact(ManualClock(NOW), lambda: 4, lambda: ["near1", "near2"])
    for engine_id in failed:
        contact.record_failure(engine_id, is_connecting=True)
    contact.record_response(opened_at=NOW - 1.0)
    assert contact.is_lost is is_lost


# Guards against: a VM never finds itself cut off where there is a single engine.
@pytest.mark.parametrize(("engines", "is_lost"), [(1, True), (2, False), (0, True)])
def test_the_only_engine_suffices_to_lose_contact(engines, is_lost):
    contact = EngineContact(ManualClock(NOW), lambda: engines)
    contact.record_failure("e1", is_connecting=True)
    assert contact.is_lost is is_lost


# Guards against: a VM that is cut off and idle doesn't notice, or doesn't come back.
@pytest.mark.parametrize(
    ("is_silent", "failed", "result", "asked", "is_lost"),
    [
        (False, (), CheckResult.SILENT, 0, False),
        (True, (), CheckResult.SILENT, 2, True),
        (True, (), CheckResult.RESPONDED, 1, False),
        (False, ("e1",), CheckResult.REFUSED, 2, True),
        (False, ("e1",), CheckResult.RESPONDED, 1, False),
        (False, ("e1", "e2"), CheckResult.RESPONDED, 1, False),
        (False, ("e1", "e2"), CheckResult.BROKEN, 2, True),
    ],
)
async def test_engines_are_asked_until_one_responds_while_contact_is_in_doubt(
    is_silent, failed, result, asked, is_lost
):
    clock = ManualClock(NOW)
    state = GatewayState(clock)
    engines = [Engine(f"e{n}", "chat", f"10.0.0.{n}:1", "a") for n in (1, 2, 3)]
    state.directory.replace_all(engines, may_be_incomplete=False)
    contact = EngineContact(clock)
    contact.record_response(NOW)
    checks, changes = [], []

    async def run_check(check):
        checks.append(check.engine_id)
        return result

    watcher = EngineContactWatcher(
        clock,
        state,
        contact,
        CrashDetectorStub(engines[:1] if is_silent else ()),
        lambda: changes.append(contact.is_lost),
        run_check=run_check,
    )
    for engine_id in failed:
        contact.record_failure(engine_id, is_connecting=True)
    clock.advance(CHECK_INTERVAL_SECONDS)
    watcher.sweep()
    watcher.sweep()
    for _ in range(20):
        await asyncio.sleep(0)
    watcher.sweep()
    assert len(checks) == asked
    assert contact.is_lost is is_lost
    assert (changes[-1] if changes else False) is is_lost
