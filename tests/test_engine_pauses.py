"""Pauses that engines want: which responses name one, how long, what follows."""

import pytest

from dotterelpitch.clock import ManualClock
from dotterelpitch.platform.engine_status import decode_engine_status
from dotterelpitch.routing.engine_pauses import (
    INITIAL_SHARE,
    MAX_PAUSE_SECONDS,
    RAMP_SECONDS,
    EnginePauses,
)
from dotterelpitch.routing.engines import Engine

FIRST = Engine("e1", "chat", "10.0.0.1:1", "a", started_ms=5)
SECOND = Engine("e2", "chat", "10.0.0.2:1", "a", started_ms=5)
NEXT_RUN = Engine("e1", "chat", "10.0.0.1:1", "a", started_ms=6)


@pytest.mark.parametrize(
    ("status", "values", "pause_s"),
    [
        (503, ["0.05"], 0.05),
        (503, ["3"], 3.0),
        (429, ["0.7"], 0.7),
        (503, [" 30 "], 30.0),
        (503, [], None),
        (503, [""], None),
        (503, ["-1"], None),
        (503, ["nan"], None),
        (503, ["1e9"], None),
        (503, ["Wed, 21 Oct 2026 07:28:00 GMT"], None),
        (503, ["3", "3"], None),
        (500, ["3"], None),
        (200, ["3"], None),
    ],
)
def test_only_a_number_of_seconds_with_a_rejection_is_a_pause(status, values, pause_s):
    headers = [("Retry-After", value) for value in values]
    assert decode_engine_status(status, headers).pause_s == pause_s


def make_pauses():
    clock = ManualClock(100.0)
    return EnginePauses(clock), clock


# Guards against: a later rejection with a shorter time ends the pause too early.
@pytest.mark.parametrize(
    ("named", "paused_s"),
    [
        ([(0.0, 3.0)], 3.0),
        ([(0.0, 3.0), (0.2, 0.5)], 3.0),
        ([(0.0, 0.5), (0.2, 3.0)], 3.2),
        ([(0.0, 999_999_999.0)], MAX_PAUSE_SECONDS),
        ([(0.0, 0.0)], 0.0),
    ],
)
def test_pause_lasts_until_the_latest_end_that_was_named(named, paused_s):
    pauses, clock = make_pauses()
    for at, pause_s in named:
        clock.advance(100.0 + at - clock.monotonic())
        pauses.record(FIRST, pause_s)
    assert pauses.is_paused(FIRST) == (paused_s > 0.0)
    clock.advance(100.0 + paused_s + 0.001 - clock.monotonic())
    assert not pauses.is_paused(FIRST)


def test_pause_is_that_of_one_run_of_one_engine():
    pauses, _ = make_pauses()
    pauses.record(FIRST, 3.0)
    assert pauses.is_paused(FIRST)
    assert not pauses.is_paused(SECOND)
    assert not pauses.is_paused(NEXT_RUN)


# Guards against: all requests that stayed away come at the end of the pause at once.
def test_traffic_grows_after_a_pause():
    pauses, clock = make_pauses()
    pauses.record(FIRST, 3.0)
    shares = []
    for _ in range(17):
        shares.append(pauses.share(FIRST))
        clock.advance(0.25)
    assert shares[:12] == [0.0] * 12
    assert shares[12] == pytest.approx(INITIAL_SHARE)
    assert shares[12:] == sorted(shares[12:])
    assert clock.monotonic() >= 103.0 + RAMP_SECONDS
    assert pauses.share(FIRST) == 1.0


@pytest.mark.parametrize(
    ("engines", "remaining_s"),
    [([], None), ([FIRST], 3.0), ([FIRST, SECOND], 0.7), ([FIRST, NEXT_RUN], None)],
)
def test_time_until_the_first_engine_takes_requests_again(engines, remaining_s):
    pauses, _ = make_pauses()
    pauses.record(FIRST, 3.0)
    pauses.record(SECOND, 0.7)
    assert pauses.remaining_s(engines) == (
        None if remaining_s is None else pytest.approx(remaining_s)
    )


def test_ended_pauses_and_those_of_gone_engines_are_forgotten():
    pauses, clock = make_pauses()
    pauses.record(FIRST, 3.0)
    pauses.record(SECOND, 3.0)
    pauses.retain({"e1"})
    assert pauses.is_paused(FIRST)
    assert not pauses.is_paused(SECOND)
    clock.advance(3.0 + RAMP_SECONDS + 0.1)
    pauses.retain({"e1"})
    assert pauses.share(FIRST) == 1.0
