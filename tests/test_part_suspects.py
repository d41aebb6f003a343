"""Which prompt parts are banned, by the crashes of requests that held them."""

import time
from itertools import pairwise

import pytest

from dotterelpitch.clock import ManualClock
from dotterelpitch.routing.crash_detector import START_SECONDS, CrashDetector
from dotterelpitch.routing.crash_history import (
    MAX_RECENT_UPDATES,
    MAX_SUSPECTS,
    SAME_CRASH_SECONDS,
    SUSPICION_SECONDS,
)
from dotterelpitch.routing.crash_suspects import CrashSuspects, CrashVerdict
from dotterelpitch.routing.engines import Engine
from dotterelpitch.routing.part_candidates import (
    MIN_CRASHES,
    MIN_CRASHES_IF_SOUND,
)
from dotterelpitch.routing.part_suspects import (
    FIRST_TRIAL_SECONDS,
    FIRST_TRIAL_SECONDS_IF_SOUND,
    MAX_SOUND_PARTS,
    RECENTLY_SOUND_SECONDS,
    PartSuspects,
)

GAP_SECONDS = 0.3
REPORT_DELAY_SECONDS = 0.5
# Twenty judgements of sixty crashes, with forty requests in flight in each.
MAX_JUDGING_SECONDS = 4.0


class Vm:
    """One VM: what it has in flight, and what it takes for the cause of crashes."""

    def __init__(self, clock=None):
        self.clock = clock or ManualClock(1000.0)
        self.contents = CrashSuspects(
            self.clock, max_crashes=3, report_delay_s=REPORT_DELAY_SECONDS
        )
        self.parts = PartSuspects(self.clock, self.contents, REPORT_DELAY_SECONDS)
        self.detector = CrashDetector("vm1", self.clock, self.contents, self.parts)
        self._crash_count = 0

    def crash(self, *requests, gap_s=GAP_SECONDS):
        """End an engine with (content, parts) in flight, then wait for ``gap_s``."""
        self._crash_count += 1
        engine = Engine(
            f"e{self._crash_count}", "chat", "10.0.0.1:1", "a", started_ms=1
        )
        for content, parts in requests:
            attempt = self.detector.attempt_sent(engine, content, tuple(parts))
            self.detector.attempt_ended(attempt, is_broken=True)
        self.detector.engine_ended(engine)
        self.clock.advance(gap_s)

    def crash_chain(self, count, *parts):
        """End ``count`` engines under requests with these parts, no two alike."""
        for _ in range(count):
            self.crash((f"bad{self._crash_count}", parts))

    def wait_for_reports(self):
        """Wait until peers could have reported what was in flight."""
        self.clock.advance(REPORT_DELAY_SECONDS)

    def is_banned(self, *parts):
        """Return whether a request with these parts before its last is banned."""
        return bool(self.parts.banned_parts(parts))


@pytest.fixture
def vm():
    return Vm()


# Guards against: no two requests with the part are alike, so none is ever stopped.
def test_part_in_three_crashes_of_different_contents_is_banned(vm):
    vm.crash_chain(MIN_CRASHES - 1, "bad")
    vm.wait_for_reports()
    assert not vm.is_banned("bad")
    vm.crash_chain(1, "bad")
    vm.wait_for_reports()
    assert vm.is_banned("bad")
    assert vm.is_banned("other", "bad")
    assert not vm.is_banned("other")


# Guards against: the part that all requests share is banned beside the one at fault.
@pytest.mark.parametrize(
    "sound_between", [True, False], ids=["sound between crashes", "sound before"]
)
def test_shared_part_beside_a_crashing_part_is_not_banned(vm, sound_between):
    vm.parts.record_sound(["shared"])
    for _ in range(2 * MIN_CRASHES_IF_SOUND):
        vm.crash_chain(1, "shared", "bad")
        if sound_between:
            vm.parts.record_sound(["shared"])
    vm.wait_for_reports()
    assert vm.is_banned("shared", "bad")
    assert not vm.is_banned("shared")
    assert not vm.is_banned("shared", "sound sibling")


# Guards against: what two crashing parts share has more crashes than either.
def test_shared_part_of_two_crashing_parts_is_not_banned(vm):
    vm.parts.record_sound(["shared"])
    for _ in range(MIN_CRASHES):
        vm.crash_chain(1, "shared", "bad")
        vm.crash_chain(1, "shared", "worse")
    vm.wait_for_reports()
    assert vm.is_banned("shared", "bad")
    assert vm.is_banned("shared", "worse")
    assert not vm.is_banned("shared")


# Guards against: what was unheard of before the crashes is banned with the part.
def test_parts_that_always_crash_together_ban_only_requests_with_both(vm):
    vm.crash_chain(MIN_CRASHES, "shared", "bad")
    vm.wait_for_reports()
    assert vm.is_banned("shared", "bad")
    assert not vm.is_banned("shared")
    assert not vm.is_banned("bad", "other")
    vm.crash_chain(1, "bad", "other")
    vm.wait_for_reports()
    assert vm.is_banned("bad")
    assert not vm.is_banned("shared", "other")


# Guards against: one crashing content bans the chat that it belongs to.
def test_part_of_a_single_crashing_content_is_not_banned(vm):
    for _ in range(2 * MIN_CRASHES):
        vm.crash(("bad", ["shared", "chat"]))
    vm.wait_for_reports()
    assert not vm.is_banned("shared", "chat")
    verdict = vm.contents.verdict("bad", vm.parts.explains)
    assert verdict is CrashVerdict.BANNED


# Guards against: a sound request that met three crashes of a part is banned.
def test_content_beside_a_crashing_part_is_not_banned(vm):
    for n in range(MIN_CRASHES):
        vm.crash((f"bad{n}", ["bad"]), ("sound", ["chat"]))
    vm.crash(("worse", ["bad"]))
    vm.wait_for_reports()
    verdict = vm.contents.verdict("sound", vm.parts.explains)
    assert verdict is not CrashVerdict.BANNED
    assert not vm.is_banned("chat")


# Guards against: a sound request that met the crashes of two parts is banned.
def test_content_beside_two_crashing_parts_is_not_banned(vm):
    vm.crash_chain(MIN_CRASHES - 1, "bad")
    vm.crash(("last bad", ["bad"]), ("sound", ["chat"]))
    for n in range(MIN_CRASHES - 1):
        vm.crash((f"worse{n}", ["worse"]), ("sound", ["chat"]))
    vm.wait_for_reports()
    verdict = vm.contents.verdict("sound", vm.parts.explains)
    assert verdict is not CrashVerdict.BANNED


# Guards against: a rack or a release that ends all engines bans what all share.
def test_part_in_crashes_of_one_moment_is_not_banned(vm):
    vm.parts.record_sound(["shared"])
    for n in range(20):
        vm.crash((f"content{n}", ["shared"]), gap_s=0.002)
    vm.wait_for_reports()
    assert not vm.is_banned("shared")


# Guards against: a ban goes on though requests with the part complete.
@pytest.mark.parametrize("parts", [("shared",), ("shared", "chat")])
def test_ban_ends_when_the_part_is_sound(vm, parts):
    vm.crash_chain(MIN_CRASHES, *parts)
    vm.wait_for_reports()
    assert vm.is_banned(*parts)
    vm.parts.record_sound(parts)
    assert not vm.is_banned(*parts)
    vm.clock.advance(GAP_SECONDS)
    vm.crash_chain(MIN_CRASHES, *parts)
    vm.wait_for_reports()
    assert not vm.is_banned(*parts)
    vm.crash_chain(MIN_CRASHES_IF_SOUND - MIN_CRASHES, *parts)
    vm.wait_for_reports()
    assert vm.is_banned(*parts)


# Guards against: all requests to an engine that stays down make their parts suspect.
@pytest.mark.parametrize("started_ms", [0, 1], ids=["undated", "dated"])
def test_losses_at_an_engine_that_is_down_are_of_one_crash(vm, started_ms):
    engine = Engine("e1", "chat", "10.0.0.1:1", "a", started_ms=started_ms)
    for n in range(2 * MIN_CRASHES_IF_SOUND):
        attempt = vm.detector.attempt_sent(engine, f"content{n}", ("shared",))
        vm.detector.attempt_ended(attempt, is_broken=True)
        vm.detector.engine_ended(engine)
        vm.clock.advance(2 * SAME_CRASH_SECONDS)
    assert len(vm.parts.crashes_of("shared")) == 1
    assert not vm.is_banned("shared")


# Guards against: one crash that two VMs report is two, of which one lacks the cause.
def test_reports_of_one_crash_under_two_names_explain_each_other(vm):
    for n in range(2 * MIN_CRASHES_IF_SOUND):
        vm.parts.engine_crashed(f"e{n}", "vm1-1", vm.clock.wall(), ["bad", "shared"])
        vm.clock.advance(0.1)
        vm.parts.engine_crashed(f"e{n}", "vm2-1", vm.clock.wall(), ["shared"])
        vm.clock.advance(GAP_SECONDS)
    vm.parts.engine_crashed("e0", "vm2-2", vm.clock.wall(), ["bad"])
    vm.wait_for_reports()
    assert vm.is_banned("bad")
    assert not vm.is_banned("shared")


# Guards against: a ban goes on for as long as nothing else happens.
def test_ban_ends_when_its_crashes_are_too_old(vm):
    vm.crash_chain(MIN_CRASHES, "bad")
    vm.wait_for_reports()
    assert vm.is_banned("bad")
    vm.clock.advance(SUSPICION_SECONDS)
    assert not vm.is_banned("bad")


def test_part_that_was_sound_long_ago_is_banned_after_three_crashes(vm):
    vm.parts.record_sound(["bad"])
    vm.clock.advance(RECENTLY_SOUND_SECONDS)
    vm.crash_chain(MIN_CRASHES, "bad")
    vm.wait_for_reports()
    assert vm.is_banned("bad")


# Guards against: a long stream that breaks in a crash makes its parts suspect.
def test_part_of_a_running_request_is_sound(vm):
    engine = Engine("busy", "chat", "10.0.0.1:1", "a", started_ms=1)
    attempt = vm.detector.attempt_sent(engine, "long", ("shared",))
    vm.detector.output_received(attempt)
    vm.clock.advance(START_SECONDS + 0.1)
    vm.detector.output_received(attempt)
    for _ in range(2 * MIN_CRASHES_IF_SOUND):
        vm.crash_chain(1, "shared", "bad")
    vm.wait_for_reports()
    assert vm.is_banned("shared", "bad")
    assert vm.parts.crashes_of("shared") == []


# Guards against: an engine's silence after some output clears the part at fault.
def test_part_whose_requests_fall_silent_after_some_output_is_banned(vm):
    for n in range(MIN_CRASHES):
        engine = Engine(f"e{n}", "chat", "10.0.0.1:1", "a", started_ms=1)
        attempt = vm.detector.attempt_sent(engine, f"bad{n}", ("bad",))
        vm.detector.output_received(attempt)
        vm.clock.advance(2 * START_SECONDS)
        vm.detector.record_survivals()
        vm.detector.engine_ended(engine)
    vm.wait_for_reports()
    assert vm.is_banned("bad")


# Guards against: a ban that outlives its reason.
@pytest.mark.parametrize(
    ("was_sound", "crashes", "first_trial_s"),
    [
        (False, MIN_CRASHES, FIRST_TRIAL_SECONDS),
        (True, MIN_CRASHES_IF_SOUND, FIRST_TRIAL_SECONDS_IF_SOUND),
    ],
)
def test_trials_of_a_banned_part_become_rarer(vm, was_sound, crashes, first_trial_s):
    if was_sound:
        vm.parts.record_sound(["bad"])
    vm.crash_chain(crashes, "bad")
    assert not vm.parts.try_trial(["bad"])
    intervals = []
    for _ in range(4):
        began = vm.clock.wall()
        while not vm.parts.try_trial(["bad"]):
            vm.clock.advance(0.5)
        assert not vm.parts.try_trial(["bad"])
        intervals.append(vm.clock.wall() - began)
        vm.crash_chain(1, "bad")
    assert intervals[0] >= first_trial_s - GAP_SECONDS - 0.5
    assert all(b >= 1.5 * a for a, b in pairwise(intervals))


# Guards against: the trial of a part runs a request with one that is banned longer.
def test_trial_waits_for_all_banned_parts_of_a_request(vm):
    vm.parts.record_sound(["was sound"])
    vm.clock.advance(GAP_SECONDS)
    vm.crash_chain(MIN_CRASHES_IF_SOUND, "was sound", "bad")
    vm.clock.advance(FIRST_TRIAL_SECONDS_IF_SOUND * 4)
    banned = vm.parts.banned_parts(["was sound", "bad"])
    assert banned == ["was sound", "bad"]
    assert not vm.parts.try_trial(banned)
    assert vm.parts.try_trial(["was sound"])


# Guards against: a peer bans a part because it doesn't know that it is sound elsewhere.
def test_peers_learn_that_a_part_is_sound_at_one_of_them():
    clock = ManualClock(1000.0)
    one, other = Vm(clock), Vm(clock)
    for _ in range(2 * MIN_CRASHES_IF_SOUND):
        one.crash_chain(1, "shared")
        other.parts.record_sound(["shared"])
        for sender, receiver in ((one, other), (other, one)):
            _, crashes, cleared = sender.parts.updates_after(0)
            receiver.parts.merge(crashes, cleared)
    one.wait_for_reports()
    assert not one.is_banned("shared")
    assert not other.is_banned("shared")


def test_order_of_reports_does_not_matter():
    clock = ManualClock(1000.0)
    vm = Vm(clock)
    vm.crash_chain(MIN_CRASHES, "shared", "bad")
    vm.parts.record_sound(["shared"])
    vm.clock.advance(GAP_SECONDS)
    vm.crash_chain(1, "shared", "bad")
    vm.wait_for_reports()
    _, crashes, cleared = vm.parts.updates_after(0)
    peers = [PartSuspects(clock, vm.contents) for _ in range(2)]
    peers[0].merge([], cleared)
    peers[0].merge(crashes[::-1], [])
    peers[1].merge(crashes, [])
    peers[1].merge([], cleared)
    for peer in peers:
        assert len(peer.crashes_of("shared")) == 1
        assert len(peer.crashes_of("bad")) == MIN_CRASHES + 1
        assert peer.banned_parts(["shared", "bad"]) == ["bad"]


# Guards against: a part is banned since engines were silent and then went on.
@pytest.mark.parametrize("goes_on", [False, True])
def test_part_of_requests_at_silent_engines_is_not_banned_once_they_go_on(vm, goes_on):
    for number in range(MIN_CRASHES):
        engine = Engine(f"e{number}", "chat", "10.0.0.1:1", "a", started_ms=1)
        attempt = vm.detector.attempt_sent(engine, f"call {number}", ("shared",))
        vm.clock.advance(1.5)
        vm.detector.engine_ended(engine, is_silence=True)
        vm.wait_for_reports()
        if goes_on:
            vm.detector.response_continued(attempt)
    assert vm.is_banned("shared") is not goes_on


# Guards against: requests wait while the parts of a large failure are judged.
def test_many_crashes_of_long_prompts_are_judged_quickly(vm):
    for n in range(60):
        requests = [
            (
                f"c{n}-{m}",
                ["shared", *(f"chat{(7 * n + m) % 200}-{k}" for k in range(9))],
            )
            for m in range(40)
        ]
        vm.crash(*requests, gap_s=0.1)
        if n % 10 == 0:
            vm.crash_chain(1, "shared", "bad")
    vm.wait_for_reports()
    began = time.process_time()
    for n in range(20):
        vm.parts.record_sound([f"chat{n}-0"])
        assert vm.is_banned("shared", "bad")
    assert time.process_time() - began < MAX_JUDGING_SECONDS


# Guards against: memory or messages that grow with the length and number of prompts.
def test_records_and_updates_are_bounded(vm):
    vm.crash_chain(MIN_CRASHES, "bad")
    for n in range(60):
        requests = [
            (f"c{n}-{m}", [f"p{n}-{m}-{k}" for k in range(29)]) for m in range(40)
        ]
        vm.crash(*requests, gap_s=0.01)
    vm.parts.record_sound(f"sound{n}" for n in range(MAX_SOUND_PARTS + 10))
    _, crashes, cleared = vm.parts.updates_after(0)
    assert len(crashes) + len(cleared) <= MAX_RECENT_UPDATES
    assert "bad" in {crash.suspect for crash in crashes}
    assert len(vm.parts._record_by_suspect) <= MAX_SUSPECTS
    assert len(vm.parts._sound_at_by_part) <= MAX_SOUND_PARTS
    vm.wait_for_reports()
    assert vm.is_banned("bad")
