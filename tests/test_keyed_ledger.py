"""Tests of the ledger, key times, key floors, and outcomes of keyed calls."""

import pytest

from dotterelpitch.requests.fingerprint import call_fingerprint
from dotterelpitch.requests.key_time import issue_key, key_time
from dotterelpitch.requests.keyed_owner import CallDecision
from dotterelpitch.requests.ledger import (
    Ledger,
    LedgerEntry,
    LedgerKey,
    RecordedAnswer,
)
from dotterelpitch.requests.outcomes import (
    Outcome,
    outcome_after_disconnect,
    outcome_of_status,
)
from dotterelpitch.requests.ownership import slot_of
from dotterelpitch.requests.takeover import KeyFloor, KeyFreshness, SkewMargins
from tests.keyed_world import (
    LEASE_SECONDS,
    SERVICE,
    SLOT,
    World,
    settled_world,
)

SERVICE_WITH_OPAQUE_KEY_IN_SLOT = next(
    name for name in map("s{}".format, range(1000)) if slot_of(name, "order-17") == SLOT
)


@pytest.fixture
def world():
    """A settled fleet in which a1 holds the slot and new keys are served."""
    return settled_world()


@pytest.mark.parametrize(
    "elapsed, expected",
    [(10.0, KeyFreshness.MAY_HAVE_RUN), (3602.0, KeyFreshness.FRESH)],
)
def test_opaque_keys_run_only_after_a_whole_repeat_window(elapsed, expected):
    floor = KeyFloor.at_takeover(1000.0, SkewMargins())
    assert (
        floor.classify(None, 1000.0 + elapsed, 3600.0, SkewMargins()).value == expected
    )


@pytest.mark.parametrize(
    "key, expected",
    [
        ("01890a5d-ac96-774b-bcce-b302099a8057", 1688096058.518),
        ("01890A5D-AC96-774B-BCCE-B302099A8057", None),
        ("0f8fad5b-d9cb-469f-a165-70867728950e", None),
        ("order-17", None),
        ("dp1.1688042843286.aa.forged", None),
        ("dp1.1688042843286.aa.\xe9", None),
        ("dp1.", None),
    ],
)
def test_key_time(key, expected):
    assert key_time(key, b"s") == expected


@pytest.mark.parametrize("secret, expected", [(b"s", 1000.5), (b"other", None)])
def test_issued_key_has_a_time_only_with_its_secret(secret, expected):
    assert key_time(issue_key(1000.5, b"s"), secret) == expected


def make_entry(number, created_at=1.0):
    """Return an accepted entry that may be removed 10 s after ``created_at``."""
    key = LedgerKey(SERVICE, "depot", f"k{number}")
    return LedgerEntry(key, SLOT, "f", created_at, created_at, created_at + 10.0, 1)


def test_ledger_keeps_the_outcome_when_bodies_are_evicted():
    ledger = Ledger(max_body_bytes=150)
    entries = [make_entry(n) for n in range(2)]
    for entry in entries:
        ledger.add(entry)
        answer = RecordedAnswer(Outcome.COMPLETED, 201, body=b"x" * 100)
        assert ledger.finish(entry, answer)
    assert [e.answer.body_kept for e in entries] == [False, True]
    assert [e.answer.outcome for e in entries] == [Outcome.COMPLETED] * 2
    assert ledger.body_bytes == 100


def test_ledger_notifies_waiters_once_and_keeps_the_first_answer():
    ledger, entry, notified = Ledger(), make_entry(1), []
    ledger.add(entry)
    entry.waiters.append(notified.append)
    assert ledger.finish(entry, RecordedAnswer(Outcome.COMPLETED, 200))
    assert not ledger.finish(entry, RecordedAnswer(Outcome.UNKNOWN))
    assert (notified, entry.answer.outcome) == ([entry], Outcome.COMPLETED)


def test_ledger_expires_finished_entries_but_no_open_call():
    ledger, finished, open_entry = Ledger(), make_entry(1), make_entry(2)
    ledger.add(finished)
    ledger.add(open_entry)
    ledger.finish(finished, RecordedAnswer(Outcome.COMPLETED, 200))
    assert ledger.expire(100.0) == [finished]
    assert [entry for entry in ledger] == [open_entry]


@pytest.mark.parametrize("make_key", [World.new_key, lambda world: "order-17"])
def test_longer_repeat_window_does_not_readmit_expired_keys(world, make_key):
    window_seconds = 20.0
    # Opaque keys run only after the ledger has been complete for a repeat window.
    for _ in range(10):
        world.clock.advance(LEASE_SECONDS / 2)
        world.exchange("a1")
    owner = world.process_by_vm["a1"].owner
    key_text = make_key(world)
    key = (
        LedgerKey(SERVICE_WITH_OPAQUE_KEY_IN_SLOT, "depot", key_text)
        if key_text[0] == "o"
        else None
    )
    key = key or LedgerKey(SERVICE, "depot", key_text)
    admission = owner.admit(key, "f", window_seconds)
    assert admission.decision is CallDecision.RUN
    owner.ledger.finish(admission.entry, RecordedAnswer(Outcome.COMPLETED, 200))
    for _ in range(14):
        world.clock.advance(LEASE_SECONDS / 2)
        world.exchange("a1")
    assert owner.expire() == 1
    decision = owner.admit(key, "f", 2 * window_seconds).decision
    assert decision is CallDecision.MAY_HAVE_RUN


def test_full_ledger_evicts_the_oldest_key_and_never_runs_it_again(world):
    owner = world.process_by_vm["a1"].owner
    owner.ledger = Ledger(max_entries=2)
    keys = [world.new_key() for _ in range(3)]
    for key in keys:
        assert world.run("a1", key) is CallDecision.RUN or key == keys[2]
        world.clock.advance(0.1)
        if entry := owner.ledger.get(LedgerKey(SERVICE, "depot", key)):
            owner.ledger.finish(entry, RecordedAnswer(Outcome.COMPLETED, 200))
    world.clock.advance(0.1)
    assert world.run("a1", world.new_key()) is CallDecision.RUN
    assert world.run("a1", keys[0]) is CallDecision.MAY_HAVE_RUN
    assert len(owner.ledger) == 2


@pytest.mark.parametrize(
    "status, outcome",
    [(200, "completed"), (302, "completed"), (409, "failed"), (503, "failed")],
)
def test_outcome_of_an_answer(status, outcome):
    assert outcome_of_status(status) == outcome


def test_outcome_after_a_disconnect_depends_on_whether_a_byte_was_sent():
    outcomes = outcome_after_disconnect(True), outcome_after_disconnect(False)
    assert outcomes == (Outcome.UNKNOWN, Outcome.NOT_RUN)


def test_fingerprint_separates_its_parts():
    calls = [("a", "POST", "/x", b"y"), ("a", "POST", "/xy", b""), ("b",) * 3 + (b"",)]
    assert len({call_fingerprint(*call) for call in calls}) == 3
