"""Requests that crash engines, told from answers that were merely lost."""

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
def deaths(clock, suspects):
    return CrashDetector(clock, suspects)


def test_a_request_that_kills_two_engines_is_banned(deaths, suspects):
    for engine in ("e1", "e2"):
        deaths.record_lost_response(engine, "bad")
        deaths.record_lost_response(engine, f"neighbour at {engine}")
        assert deaths.record_refused_connection(engine, "run1", f"domain of {engine}")
    assert suspects.verdict("bad") is CrashVerdict.BANNED
    assert suspects.verdict("neighbour at e1") is CrashVerdict.ALONE


def test_lost_answers_of_living_engines_are_no_crashes(deaths, suspects):
    for engine in ("e1", "e2", "e3"):
        deaths.record_lost_response(engine, "unlucky")
    assert suspects.verdict("unlucky") is CrashVerdict.FREE


def test_a_break_long_before_a_death_is_no_cause(deaths, suspects, clock):
    deaths.record_lost_response("e1", "unlucky")
    clock.advance(MAX_LOSS_AGE_SECONDS + 0.1)
    assert deaths.record_refused_connection("e1", "run1", "a") == []
    assert suspects.verdict("unlucky") is CrashVerdict.FREE


def test_one_death_counts_once_however_often_it_is_seen(deaths, suspects):
    deaths.record_lost_response("e1", "bad")
    deaths.record_refused_connection("e1", "run1", "a")
    deaths.record_refused_connection("e1", "run1", "a")
    assert suspects.verdict("bad") is CrashVerdict.ALONE


def test_another_vm_learns_of_a_ban(deaths, suspects, clock):
    other = CrashSuspects(clock)
    for engine in ("e1", "e2"):
        deaths.record_lost_response(engine, "bad")
        deaths.record_refused_connection(engine, "run1", f"domain of {engine}")
    other.merge(*suspects.digest())
    assert other.verdict("bad") is CrashVerdict.BANNED


def test_a_cut_domain_makes_nobody_a_suspect_twice(deaths, suspects, clock):
    """Pattern: a failure domain is cut off and resets connections (``zone_cut``)."""
    for engine in ("e1", "e2", "e3"):
        deaths.record_lost_response(engine, "unlucky")
        clock.advance(0.2)
        deaths.record_refused_connection(engine, "run1", "b")
    assert suspects.verdict("unlucky") is CrashVerdict.ALONE


@pytest.mark.parametrize(("crashes", "banned"), [(1, False), (2, False), (3, True)])
def test_the_number_of_crashes_that_ban_is_a_setting(clock, crashes, banned):
    suspects = CrashSuspects(clock, max_crashes=3)
    for n in range(crashes):
        suspects.engine_died(f"e{n}", "run1", ["bad"])
    assert (suspects.verdict("bad") is CrashVerdict.BANNED) is banned
