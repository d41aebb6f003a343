"""Crash detection: crashes are distinguished from responses that were only lost."""

import pytest

from dotterelpitch.clock import ManualClock
from dotterelpitch.routing.crash_detector import MAX_LOSS_AGE_SECONDS, CrashDetector
from dotterelpitch.routing.crash_suspects import CrashSuspects, CrashVerdict


@pytest.fixture
def clock():
    return ManualClock(100.0)


@pytest.fixture
def suspects(clock):
    return CrashSuspects(clock)


@pytest.fixture
def detector(clock, suspects):
    return CrashDetector(clock, suspects)


def test_request_in_flight_in_two_crashes_is_banned(detector, suspects):
    for engine in ("e1", "e2"):
        detector.record_lost_response(engine, "bad")
        detector.record_lost_response(engine, f"neighbor at {engine}")
        assert detector.record_refused_connection(engine, "run1", f"domain of {engine}")
    assert suspects.verdict("bad") is CrashVerdict.BANNED
    assert suspects.verdict("neighbor at e1") is CrashVerdict.ALONE


def test_lost_responses_of_running_engines_are_no_crashes(detector, suspects):
    for engine in ("e1", "e2", "e3"):
        detector.record_lost_response(engine, "unlucky")
    assert suspects.verdict("unlucky") is CrashVerdict.FREE


def test_response_lost_long_before_a_crash_is_not_its_cause(detector, suspects, clock):
    detector.record_lost_response("e1", "unlucky")
    clock.advance(MAX_LOSS_AGE_SECONDS + 0.1)
    assert detector.record_refused_connection("e1", "run1", "a") == []
    assert suspects.verdict("unlucky") is CrashVerdict.FREE


def test_crash_of_one_run_counts_once_however_often_it_is_detected(detector, suspects):
    detector.record_lost_response("e1", "bad")
    detector.record_refused_connection("e1", "run1", "a")
    detector.record_refused_connection("e1", "run1", "a")
    assert suspects.verdict("bad") is CrashVerdict.ALONE


def test_ban_is_replicated_by_digest(detector, suspects, clock):
    other = CrashSuspects(clock)
    for engine in ("e1", "e2"):
        detector.record_lost_response(engine, "bad")
        detector.record_refused_connection(engine, "run1", f"domain of {engine}")
    other.merge(*suspects.digest())
    assert other.verdict("bad") is CrashVerdict.BANNED


def test_domain_outage_counts_as_one_crash(detector, suspects, clock):
    """Pattern: a partitioned failure domain resets its connections (``zone_cut``)."""
    for engine in ("e1", "e2", "e3"):
        detector.record_lost_response(engine, "unlucky")
        clock.advance(0.2)
        detector.record_refused_connection(engine, "run1", "b")
    assert suspects.verdict("unlucky") is CrashVerdict.ALONE


@pytest.mark.parametrize(("crashes", "is_banned"), [(1, False), (2, False), (3, True)])
def test_max_crashes_is_configurable(clock, crashes, is_banned):
    suspects = CrashSuspects(clock, max_crashes=3)
    for n in range(crashes):
        suspects.engine_died(f"e{n}", "run1", ["bad"])
    assert (suspects.verdict("bad") is CrashVerdict.BANNED) is is_banned
