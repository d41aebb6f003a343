"""Crash detection: crashes are distinguished from responses that were only lost."""

import pytest

from dotterelpitch.clock import ManualClock
from dotterelpitch.routing.crash_detector import (
    MAX_ATTEMPT_AGE_SECONDS,
    READ_ORDER_SECONDS,
    SILENCE_OBJECTIVE_FRACTION,
    SILENCE_SECONDS,
    SILENT_CHECK_SECONDS,
    START_SECONDS,
    CrashDetector,
)
from dotterelpitch.routing.crash_suspects import CrashSuspects, CrashVerdict
from dotterelpitch.routing.engines import Engine
from dotterelpitch.routing.part_suspects import PartSuspects

FREE, ALONE, BANNED = CrashVerdict.FREE, CrashVerdict.ALONE, CrashVerdict.BANNED


@pytest.fixture
def clock():
    return ManualClock(100.0)


@pytest.fixture
def suspects(clock):
    return CrashSuspects(clock)


@pytest.fixture
def detector(clock, suspects):
    return CrashDetector("vm1", clock, suspects, PartSuspects(clock, suspects))


def engine(engine_id, started_ms=1, domain="a"):
    return Engine(engine_id, "calls", "10.0.0.1:1", domain, started_ms=started_ms)


def lose(detector, engine_id, fingerprint):
    """Send a request whose connection breaks at once."""
    attempt = detector.attempt_sent(engine(engine_id), fingerprint)
    detector.attempt_ended(attempt, is_broken=True)


def respond_for(detector, clock, attempt, seconds):
    """Send some of the response now and some after a time."""
    detector.output_received(attempt)
    clock.advance(seconds)
    detector.output_received(attempt)


def test_request_in_flight_in_two_crashes_is_banned(detector, suspects):
    for engine_id in ("e1", "e2"):
        lose(detector, engine_id, "bad")
        lose(detector, engine_id, f"neighbor at {engine_id}")
        assert detector.engine_ended(engine(engine_id))
    assert suspects.verdict("bad") is BANNED
    assert suspects.verdict("neighbor at e1") is ALONE


# Guards against: a chain of crashes in one failure domain counted as one outage.
def test_each_crash_of_a_chain_in_one_domain_counts(clock):
    suspects = CrashSuspects(clock, max_crashes=3)
    detector = CrashDetector("vm1", clock, suspects, PartSuspects(clock, suspects))
    for engine_id in ("e1", "e2", "e3"):
        assert suspects.verdict("bad") is not BANNED
        lose(detector, engine_id, "bad")
        clock.advance(0.2)
        detector.engine_ended(engine(engine_id, domain="b"))
    assert suspects.verdict("bad") is BANNED


def test_lost_responses_of_running_engines_are_no_crashes(detector, suspects, clock):
    for engine_id in ("e1", "e2", "e3"):
        lose(detector, engine_id, "unlucky")
        clock.advance(2 * READ_ORDER_SECONDS)
        detector.heard_from(engine_id)
        assert detector.engine_ended(engine(engine_id)) == []
    assert suspects.verdict("unlucky") is FREE


def test_response_lost_long_before_a_crash_is_not_its_cause(detector, suspects, clock):
    lose(detector, "e1", "unlucky")
    clock.advance(MAX_ATTEMPT_AGE_SECONDS + 0.1)
    assert detector.engine_ended(engine("e1")) == []
    assert suspects.verdict("unlucky") is FREE


def test_answered_request_is_not_the_cause_of_a_crash(detector, suspects):
    attempt = detector.attempt_sent(engine("e1"), "answered")
    detector.attempt_answered(attempt)
    assert detector.engine_ended(engine("e1")) == []


# Guards against: a silent engine's request whose caller has left isn't counted.
@pytest.mark.parametrize("has_ended", [False, True])
def test_unanswered_request_at_a_silent_engine_counts(detector, clock, has_ended):
    attempt = detector.attempt_sent(engine("e1"), "bad")
    clock.advance(0.3)
    if has_ended:
        detector.attempt_ended(attempt, is_broken=False)
    clock.advance(1.0)
    assert [c.suspect for c in detector.engine_ended(engine("e1"))] == ["bad"]


# Guards against: an engine that has too many connections and refuses one more makes
# the requests that run there suspect.
def test_request_in_flight_is_not_suspect_when_its_engine_refuses_another(
    detector, clock
):
    detector.attempt_sent(engine("e1"), "running")
    detector.heard_from("e1")
    clock.advance(0.2)
    lose(detector, "e1", "lost")
    assert [c.suspect for c in detector.engine_ended(engine("e1"))] == ["lost"]


# Guards against: the end of an engine is taken for the end of a complete response.
@pytest.mark.parametrize("lives_on", [True, False])
def test_response_that_ends_with_its_connection_is_complete_if_its_engine_lives_on(
    clock, suspects, detector, lives_on
):
    for engine_id in ("e1", "e2"):
        attempt = detector.attempt_sent(engine(engine_id), "bad")
        detector.output_received(attempt)
        detector.attempt_ended(attempt, is_broken=False, ended_with_connection=True)
        clock.advance(2 * READ_ORDER_SECONDS)
        if lives_on:
            detector.heard_from(engine_id)
        detector.record_survivals()
        clock.advance(SILENCE_SECONDS)
        assert bool(detector.silent_engines()) is not lives_on
        detector.engine_ended(engine(engine_id))
    assert (suspects.verdict("bad") is BANNED) is not lives_on


def test_request_that_completes_elsewhere_asks_for_no_check(detector, clock):
    lost = detector.attempt_sent(engine("e1"), "late")
    detector.attempt_ended(lost, is_broken=False)
    detector.request_completed("late", ())
    clock.advance(1.0)
    assert detector.silent_engines() == []
    assert detector.engine_ended(engine("e1")) == []


@pytest.mark.parametrize(
    ("silence_s", "heard", "listed"),
    [(0.3, False, False), (0.5, False, True), (0.5, True, False)],
)
def test_silent_engines_with_unanswered_requests_are_listed(
    detector, clock, silence_s, heard, listed
):
    detector.attempt_sent(engine("e1"), "bad")
    clock.advance(silence_s)
    if heard:
        detector.heard_from("e1")
    assert detector.silent_engines() == ([engine("e1")] if listed else [])


def test_crash_of_one_run_counts_once_however_often_it_is_detected(detector, suspects):
    for _ in range(2):
        lose(detector, "e1", "bad")
        detector.engine_ended(engine("e1"))
    assert suspects.verdict("bad") is ALONE


# Guards against: an engine that returns under its id hides its later crashes.
@pytest.mark.parametrize("started_ms", [0, 1], ids=["undated", "record not renewed"])
def test_later_crash_under_the_same_record_counts_again(
    detector, suspects, clock, started_ms
):
    for _ in range(2):
        lose(detector, "e1", "bad")
        detector.engine_ended(engine("e1", started_ms))
        clock.advance(1.0)
        detector.heard_from("e1")
        clock.advance(1.0)
    assert suspects.verdict("bad") is BANNED


def test_later_start_under_the_same_id_proves_the_crash_before(detector, suspects):
    lose(detector, "e1", "bad")
    detector.heard_from("e1")
    assert [c.suspect for c in detector.engine_restarted(engine("e1"))] == ["bad"]


def test_ban_is_replicated_by_digest(detector, suspects, clock):
    other = CrashSuspects(clock)
    for engine_id in ("e1", "e2"):
        lose(detector, engine_id, "bad")
        detector.engine_ended(engine(engine_id))
    other.merge(*suspects.digest())
    assert other.verdict("bad") is BANNED


@pytest.mark.parametrize(("crashes", "is_banned"), [(1, False), (2, False), (3, True)])
def test_max_crashes_is_configurable(clock, crashes, is_banned):
    suspects = CrashSuspects(clock, max_crashes=3)
    for n in range(crashes):
        suspects.engine_died(f"e{n}", "run1", ["bad"])
    assert (suspects.verdict("bad") is BANNED) is is_banned


# Guards against: a stream that met three crashes of another request is refused.
@pytest.mark.parametrize("output_s", [None, 0.1, START_SECONDS + 0.5])
def test_request_beside_every_crash_of_another_is_served(clock, output_s):
    suspects = CrashSuspects(clock, max_crashes=3)
    detector = CrashDetector("vm1", clock, suspects, PartSuspects(clock, suspects))
    lose(detector, "e0", "bad")
    detector.engine_ended(engine("e0"))
    for engine_id in ("e1", "e2", "e3"):
        beside = detector.attempt_sent(engine(engine_id), "beside")
        if output_s is not None:
            respond_for(detector, clock, beside, output_s)
        lose(detector, engine_id, "bad")
        detector.attempt_ended(beside, is_broken=True)
        detector.engine_ended(engine(engine_id))
    assert suspects.verdict("bad") is BANNED
    assert suspects.verdict("beside") is ALONE


# Guards against: the silence of an ended engine is taken for a response that goes on.
def test_request_after_whose_first_output_an_engine_falls_silent_is_banned(
    clock, suspects, detector
):
    for engine_id in ("e1", "e2"):
        attempt = detector.attempt_sent(engine(engine_id), "bad")
        respond_for(detector, clock, attempt, 0.2)
        clock.advance(2 * START_SECONDS)
        detector.record_survivals()
        [crash] = detector.engine_ended(engine(engine_id))
        assert not crash.was_running
    assert suspects.verdict("bad") is BANNED


def test_running_request_beside_as_many_crashes_is_served(clock):
    suspects = CrashSuspects(clock, max_crashes=3)
    detector = CrashDetector("vm1", clock, suspects, PartSuspects(clock, suspects))
    for engine_id in ("e1", "e2", "e3"):
        beside = detector.attempt_sent(engine(engine_id), "beside")
        respond_for(detector, clock, beside, START_SECONDS + 0.5)
        lose(detector, engine_id, "bad")
        detector.attempt_ended(beside, is_broken=True)
        detector.engine_ended(engine(engine_id))
    assert suspects.verdict("bad") is BANNED
    assert suspects.verdict("beside") is ALONE


# Guards against: a request that may take long has its engine asked for a sign of life
# before it could have responded.
@pytest.mark.parametrize(
    ("objective_s", "after_s", "is_silent"),
    [
        (0.1, SILENCE_SECONDS - 0.1, False),
        (0.1, SILENCE_SECONDS + 0.1, True),
        (1.5, SILENCE_SECONDS + 0.1, False),
        (1.5, SILENCE_OBJECTIVE_FRACTION * 1.5 + 0.1, True),
    ],
)
def test_when_an_engine_is_silent(clock, detector, objective_s, after_s, is_silent):
    detector.attempt_sent(engine("e1"), "long", objective_s=objective_s)
    clock.advance(after_s)
    assert bool(detector.silent_engines()) == is_silent


def fall_silent(detector, clock, ended):
    """Let a silent engine with a response in progress count as ended; return both."""
    beside = detector.attempt_sent(ended, "beside")
    clock.advance(SILENCE_SECONDS)
    lose(detector, ended.id, "lost")
    clock.advance(SILENT_CHECK_SECONDS)
    detector.engine_ended(ended, is_silence=True)
    return beside


# Guards against: what sound engines ran while they were silent is banned for an hour.
@pytest.mark.parametrize("started_ms", [0, 1])
def test_silent_engine_whose_response_goes_on_has_not_crashed(
    detector, suspects, clock, started_ms
):
    for engine_id in ("e1", "e2"):
        attempt = fall_silent(detector, clock, engine(engine_id, started_ms))
        clock.advance(1.0)
        assert detector.response_continued(attempt)
        assert not detector.response_continued(attempt)
    assert suspects.verdict("beside") is FREE
    assert suspects.verdict("lost") is FREE


# Guards against: a run that has ended is taken for the one that responds now.
@pytest.mark.parametrize(
    ("is_silence", "sent_before_check"), [(False, True), (True, False)]
)
def test_end_stays_unless_only_silence_shows_it_and_the_same_run_responds(
    detector, suspects, clock, is_silence, sent_before_check
):
    lose(detector, "e1", "bad")
    if not sent_before_check:
        clock.advance(SILENT_CHECK_SECONDS / 2)
    attempt = detector.attempt_sent(engine("e1"), "bad")
    clock.advance(SILENT_CHECK_SECONDS + (0.1 if sent_before_check else -0.1))
    detector.engine_ended(engine("e1"), is_silence)
    clock.advance(1.0)
    assert not detector.response_continued(attempt)
    assert suspects.verdict("bad") is ALONE


# Guards against: an engine that has been silent once may be crashed unseen.
@pytest.mark.parametrize("is_silence", [False, True])
@pytest.mark.parametrize("started_ms", [0, 1])
def test_later_end_of_a_run_that_was_silent_before_counts(
    detector, suspects, clock, started_ms, is_silence
):
    for _ in range(2):
        attempt = fall_silent(detector, clock, engine("e1", started_ms))
        clock.advance(1.0)
        detector.heard_from("e1")
        detector.response_continued(attempt)
        detector.attempt_answered(attempt)
    clock.advance(1.0)
    lose(detector, "e1", "bad")
    clock.advance(1.0)
    assert detector.engine_ended(engine("e1", started_ms), is_silence)
    assert suspects.verdict("bad") is ALONE
    assert suspects.verdict("beside") is FREE


# Guards against: one crash counts twice since two VMs name a run differently.
def test_vms_name_a_run_alike_after_its_silence(detector, suspects, clock):
    attempt = fall_silent(detector, clock, engine("e1"))
    clock.advance(1.0)
    [dismissal] = detector.response_continued(attempt)
    others = CrashSuspects(clock)
    others.dismissed_runs.merge([dismissal])
    other = CrashDetector("vm2", clock, others, PartSuspects(clock, others))
    names = set()
    for at_vm in (detector, other):
        lose(at_vm, "e1", "bad")
        names |= {c.engine_run for c in at_vm.engine_ended(engine("e1"))}
    assert len(names) == 1
