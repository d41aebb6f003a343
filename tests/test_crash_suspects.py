"""Which requests are banned, by the crashes that they were in flight in."""

from itertools import permutations

import pytest

from dotterelpitch.clock import ManualClock
from dotterelpitch.routing.crash_history import MAX_RECENT_UPDATES, MAX_SUSPECTS, Crash
from dotterelpitch.routing.crash_suspects import CrashSuspects, CrashVerdict
from dotterelpitch.routing.dismissed_runs import (
    DISMISSAL_SECONDS,
    MAX_DISMISSALS,
    MAX_RECENT_DISMISSALS,
    Dismissal,
    DismissedRuns,
)

FREE, ALONE, BANNED = CrashVerdict.FREE, CrashVerdict.ALONE, CrashVerdict.BANNED
RUN = ("e1", "1")


@pytest.fixture
def clock():
    return ManualClock(100.0)


# Guards against: a request that met three crashes of another one is refused.
@pytest.mark.parametrize("own_crashes", [1, 2])
def test_request_beside_every_crash_of_another_is_not_banned(clock, own_crashes):
    suspects = CrashSuspects(clock, max_crashes=3)
    for n in range(own_crashes):
        suspects.engine_died(f"e{n}", "1", ["bad"])
    for n in range(3):
        suspects.engine_died(f"f{n}", "1", ["bad", "beside"])
    assert suspects.verdict("bad") is BANNED
    assert suspects.verdict("beside") is ALONE


@pytest.mark.parametrize(
    ("was_running", "delay_s"),
    [(True, 0.0), (False, 0.3)],
    ids=["running for long", "sent to an engine that had crashed"],
)
def test_unlikelier_cause_of_equally_many_crashes_is_not_banned(
    clock, was_running, delay_s
):
    suspects = CrashSuspects(clock, max_crashes=3)
    for n in range(3):
        now = clock.wall()
        crashes = [
            Crash("bad", f"e{n}", "1", now),
            Crash("beside", f"e{n}", "1", now + delay_s, was_running),
        ]
        suspects.merge(crashes, [])
    clock.advance(1.0)
    assert suspects.verdict("bad") is BANNED
    assert suspects.verdict("beside") is ALONE


def test_request_beside_one_crash_more_of_its_own_is_banned(clock):
    suspects = CrashSuspects(clock, max_crashes=3)
    for n in range(3):
        suspects.engine_died(f"e{n}", "1", ["worse", "bad"])
    suspects.engine_died("e3", "1", ["worse"])
    assert suspects.verdict("bad") is ALONE
    suspects.engine_died("e4", "1", ["bad"])
    assert suspects.verdict("bad") is BANNED


def test_two_requests_that_always_crash_together_are_both_banned(clock):
    suspects = CrashSuspects(clock, max_crashes=3)
    for n in range(3):
        suspects.engine_died(f"e{n}", "1", ["bad", "worse"])
    assert suspects.verdict("bad") is BANNED
    assert suspects.verdict("worse") is BANNED


# Guards against: a request is banned before peers could report what crashed with it.
def test_ban_waits_for_the_reports_of_peers(clock):
    suspects = CrashSuspects(clock, max_crashes=3, report_delay_s=0.5)
    for n in range(3):
        suspects.engine_died(f"e{n}", "1", ["bad"])
    assert suspects.verdict("bad") is ALONE
    clock.advance(0.5)
    assert suspects.verdict("bad") is BANNED


# Guards against: a request beside a chain is banned before its last crash is reported.
def test_ban_waits_for_the_reports_of_the_last_crash_that_it_needs(clock):
    suspects = CrashSuspects(clock, max_crashes=3, report_delay_s=0.5)
    for n in range(3):
        suspects.engine_died(f"e{n}", "1", ["bad", "beside"])
        clock.advance(0.3)
    assert suspects.verdict("beside") is ALONE
    suspects.engine_died("e3", "1", ["bad"])
    clock.advance(0.5)
    assert suspects.verdict("beside") is ALONE
    assert suspects.verdict("bad") is BANNED


# Guards against: later crashes push a ban out of what a new peer is sent.
def test_new_peer_is_sent_bans_before_other_crashes(clock):
    suspects = CrashSuspects(clock, max_crashes=3)
    other = CrashSuspects(clock, max_crashes=3)
    for n in range(3):
        suspects.engine_died(f"e{n}", "1", ["bad"])
    for n in range(MAX_RECENT_UPDATES):
        suspects.engine_died(f"f{n}", "1", [f"other {n}", f"another {n}"])
    _, crashes, cleared = suspects.updates_after(0)
    other.merge(crashes, cleared)
    assert other.verdict("bad") is BANNED


# Guards against: a flood of other suspects evicts the record of a banned request.
def test_ban_outlives_a_flood_of_other_suspects(clock):
    suspects = CrashSuspects(clock, max_crashes=3)
    for n in range(3):
        suspects.engine_died(f"e{n}", "1", ["bad"])
    for n in range(3):
        names = [f"{n}-{m}" for m in range(MAX_SUSPECTS)]
        suspects.engine_died(f"f{n}", "1", names)
    assert suspects.verdict("bad") is CrashVerdict.BANNED


# Guards against: the verdict on a silent engine depends on which peer reports first.
@pytest.mark.parametrize(
    ("evidence", "verdict"), [("silence", FREE), ("silence and refusal", ALONE)]
)
def test_dismissal_takes_back_a_silence_in_any_order(clock, evidence, verdict):
    now = clock.wall()
    silence = Crash("bad", *RUN, now - 3.0, is_silence=True)
    refusal = Crash("bad", *RUN, now - 1.0)
    dismissal = Dismissal(RUN, now - 2.0)
    reports = [silence, dismissal] + [refusal] * ("refusal" in evidence)
    for order in permutations(reports):
        suspects = CrashSuspects(clock)
        for report in [*order, *order]:
            if isinstance(report, Dismissal):
                suspects.dismissed_runs.merge([report])
            else:
                suspects.merge([report], [])
        assert suspects.verdict("bad") is verdict


# Guards against: a request that engines have survived explains the crashes of another.
def test_dismissed_silence_explains_no_crash(clock):
    suspects = CrashSuspects(clock, max_crashes=3)
    for n in range(3):
        suspects.engine_died(f"e{n}", "1", ["bad"])
        silence = Crash("sound", f"e{n}", "1", clock.wall(), is_silence=True)
        suspects.merge([silence], [])
        suspects.dismissed_runs.merge([Dismissal((f"e{n}", "1"), clock.wall())])
    for n in range(4):
        suspects.engine_died(f"f{n}", "1", ["sound"])
    assert suspects.verdict("bad") is BANNED


# Guards against: peers that were told of a silence never learn of the refusal.
def test_certain_end_is_told_after_a_silence(clock):
    suspects = CrashSuspects(clock)
    suspects.merge([Crash("bad", *RUN, clock.wall(), is_silence=True)], [])
    told, _, _ = suspects.updates_after(0)
    suspects.merge([Crash("bad", *RUN, clock.wall())], [])
    _, [crash], _ = suspects.updates_after(told)
    assert not crash.is_silence


def test_dismissals_are_bounded_and_expire(clock):
    runs = DismissedRuns(clock)
    runs.merge(
        Dismissal((f"e{n}", "1"), clock.wall()) for n in range(MAX_DISMISSALS + 5)
    )
    told, recent = runs.updates_after(0)
    assert len(recent) == MAX_RECENT_DISMISSALS
    assert runs.updates_after(told) == (told, [])
    assert ("e0", "1") not in runs
    assert ("e5", "1") in runs
    clock.advance(DISMISSAL_SECONDS)
    assert ("e5", "1") not in runs
