"""How much traffic suits each engine, learned from all VMs' responses.

The load is a queue at each engine without a network: engines of several speeds, chats
that return to their usual engine, and calls without a prompt.
"""

import heapq
import itertools
import math
import random

import attrs
import pytest

from dotterelpitch.clock import ManualClock
from dotterelpitch.gateway.engine_speed_exchange import (
    MIN_TELL_INTERVAL_SECONDS,
    EngineSpeedExchange,
)
from dotterelpitch.platform.engine_status import decode_engine_status
from dotterelpitch.protocol.gateway_messages import (
    ENGINE_SPEEDS_LINK_VERSION,
    EngineSpeed,
    EngineSpeedDigest,
    FleetVm,
)
from dotterelpitch.routing.engine_choice import ChoiceReason
from dotterelpitch.routing.engine_speeds import (
    MIN_SHARE,
    TOLERATED_FACTOR,
    EngineSpeeds,
)
from tests.harness.simulated_gateways import make_fleet
from tests.test_engine_choice import Fleet

ENGINES = [f"e{n}" for n in range(9)]
# A change of an engine's speed is to be followed within this time.
FOLLOWED_SECONDS = 2.0


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        ("3,1,64", (3, 1, 64, None)),
        ("3,1,64,100", (3, 1, 64, 1.0)),
        ("3, 1, 64, 250", (3, 1, 64, 2.5)),
        ("3,1,64,250,7,x", (3, 1, 64, 2.5)),
        ("3,1,64,x", (3, 1, 64, None)),
        ("3,1,64,-5", (3, 1, 64, None)),
        ("3,1,64,0", (3, 1, 64, None)),
        ("3,1", None),
        ("3,1,x,100", None),
        ("", None),
    ],
)
def test_load_that_an_engine_reports(value, expected):
    load = decode_engine_status(200, [("Server-Load", value)]).load
    assert (load and attrs.astuple(load)) == expected


def feed(speeds, clock, seconds, factor_by_id, per_s=3.0, rng=None, spread=0.5):
    """Record responses of all engines; an engine that isn't named has factor 1."""
    rng = rng or random.Random(1)
    step_s = 1.0 / per_s
    for _ in range(round(seconds * per_s)):
        clock.advance(step_s)
        for engine_id in ENGINES:
            factor = factor_by_id.get(engine_id, 1.0)
            seconds = 0.1 * factor * math.exp(rng.gauss(0.0, spread))
            speeds.record(engine_id, "chat", seconds)


# Guards against: load that goes to slow engines as to fast ones, differences by chance
# that move chats, and overload that is taken for slow engines.
@pytest.mark.parametrize(
    ("factor_by_id", "lower_ids"),
    [
        ({}, set()),
        ({"e1": 4.0}, {"e1"}),
        ({"e1": 2.5, "e2": 2.5}, {"e1", "e2"}),
        ({"e1": 1.1}, set()),
        (dict.fromkeys(ENGINES, 3.0), set()),
    ],
)
def test_share_follows_the_speed(factor_by_id, lower_ids):
    clock = ManualClock(10.0)
    speeds = EngineSpeeds(clock)
    feed(speeds, clock, 5.0, {})
    feed(speeds, clock, 2 * FOLLOWED_SECONDS, factor_by_id)
    shares = speeds.shares(ENGINES)
    assert {i for i, share in shares.items() if share < 0.9} == lower_ids
    assert all(MIN_SHARE <= share <= 1.0 for share in shares.values())


# Guards against: an engine that has turned slow, or fast again, goes unnoticed.
def test_change_is_followed_within_two_seconds():
    clock = ManualClock(10.0)
    speeds = EngineSpeeds(clock)
    feed(speeds, clock, 5.0, {})
    feed(speeds, clock, FOLLOWED_SECONDS, {"e1": 3.0})
    assert speeds.shares(ENGINES)["e1"] < 0.75
    feed(speeds, clock, 10.0, {"e1": 3.0})
    feed(speeds, clock, 2 * FOLLOWED_SECONDS, {})
    assert speeds.shares(ENGINES)["e1"] > 0.9


# Guards against: all VMs jump away from an engine that a neighbour slows for a moment.
def test_slowness_that_flickers_moves_little():
    clock, rng = ManualClock(10.0), random.Random(3)
    speeds = EngineSpeeds(clock)
    feed(speeds, clock, 5.0, {})
    lowered = []
    for _ in range(50):
        slow = {i: 2.5 for i in ENGINES if rng.random() < 0.15}
        feed(speeds, clock, 0.6, slow, rng=rng)
        shares = speeds.shares(ENGINES)
        lowered += [share < 1 / TOLERATED_FACTOR for share in shares.values()]
    assert sum(lowered) / len(lowered) < 0.1


# Guards against: a setting that is off has an effect all the same.
def test_nothing_is_learned_unless_it_is_set():
    clock = ManualClock(10.0)
    speeds = EngineSpeeds(clock, is_learning=False)
    feed(speeds, clock, 5.0, {"e1": 5.0})
    assert set(speeds.shares(ENGINES).values()) == {1.0}
    assert speeds.known_ids() == []


# Guards against: an engine that gets nothing is never tried again.
def test_slow_engine_without_samples_is_tried_again():
    clock = ManualClock(10.0)
    speeds = EngineSpeeds(clock)
    feed(speeds, clock, 8.0, {"e1": 5.0})
    clock.advance(10.0)
    assert speeds.shares(ENGINES)["e1"] == 1.0


# Guards against: a run that has ended leaves its slowness to the next one.
def test_slowness_ends_with_the_run():
    clock = ManualClock(10.0)
    speeds = EngineSpeeds(clock)
    feed(speeds, clock, 8.0, {"e1": 5.0})
    speeds.forget("e1")
    clock.advance(0.3)
    assert speeds.shares(ENGINES)["e1"] == 1.0


# Guards against: one VM hears too little of an engine to know its speed.
@pytest.mark.parametrize("vms", [2, 9, 60])
def test_vms_estimate_together(vms):
    fleet = make_fleet(vms)
    fleet.run(3.0)
    gateways = list(fleet.alive.values())
    for gateway in gateways:
        for _ in range(20):
            gateway.speeds.record("e0", "chat", 0.1)
    rng = random.Random(1)
    for _ in range(24):
        for engine_id in ENGINES:
            gateway = rng.choice(gateways)
            seconds = 0.4 if engine_id == "e1" else 0.1
            gateway.speeds.record(engine_id, "chat", seconds)
        fleet.run(0.25)
    shares = [gateway.speeds.shares(ENGINES) for gateway in gateways]
    assert all(share["e1"] < 0.5 for share in shares)
    assert all(share["e2"] > 0.9 for share in shares)
    counts = [gateway.speeds.slowness(["e1"])["e1"] for gateway in gateways]
    assert max(counts) < 1.3 * min(counts)


class TopologyStub:
    """A topology in which all is passed on and accepted."""

    def passes_on(self, link, source):
        return True

    def accepts_reports_from(self, link):
        return True


@attrs.define
class LinkStub:
    peer: FleetVm
    speeds_sent: int = 0
    speeds_sent_at: float = float("-inf")


# Guards against: a peer of an earlier build is sent what it can't read, or is sent the
# same samples twice.
@pytest.mark.parametrize(
    ("link_version", "told"),
    [(ENGINE_SPEEDS_LINK_VERSION - 1, 0), (ENGINE_SPEEDS_LINK_VERSION, 1)],
)
def test_samples_are_told_once(link_version, told):
    clock = ManualClock(10.0)
    speeds = EngineSpeeds(clock)
    exchange = EngineSpeedExchange(clock, TopologyStub(), speeds, lambda: 1)
    for _ in range(10):
        speeds.record("e1", "chat", 0.1)
    link = LinkStub(FleetVm("vm2", "a", "10.0.0.2:1", 10, link_version))
    messages = []
    for _ in range(4):
        messages.append(exchange.message_for(link))
        clock.advance(MIN_TELL_INTERVAL_SECONDS)
    assert sum(message is not None for message in messages) == told


# Guards against: odd samples of a peer spoil the estimates.
@pytest.mark.parametrize("speed", [EngineSpeed("e1", 0, 5), EngineSpeed("e1", -3, 5)])
def test_odd_samples_are_ignored(speed):
    clock = ManualClock(10.0)
    speeds = EngineSpeeds(clock)
    exchange = EngineSpeedExchange(clock, TopologyStub(), speeds, lambda: 1)
    exchange.apply(LinkStub(FleetVm("vm2", "a", "a:1", 10)), EngineSpeedDigest([speed]))
    assert speeds.known_ids() == []


SLOTS = 4
WORK_SECONDS = 0.05


class Load:
    """Engines with queues, and callers at a share of what the engines can do.

    With ``learns`` the chooser hears how long responses took.
    """

    def __init__(self, factors, load, learns, chats, seed=1):
        self.fleet = Fleet(len(factors))
        self.factors = dict(zip(ENGINES, factors, strict=True))
        self.rng = random.Random(seed)
        self.per_s = load * SLOTS / WORK_SECONDS * sum(1 / f for f in factors)
        self.learns = learns
        self.chats = [f"chat-{n}" for n in range(chats)]
        self.free_at = {i: [0.0] * SLOTS for i in self.factors}
        self.ends = []
        self.numbers = itertools.count()

    def run(self, seconds, warm_up_s=10.0):
        """Return the times to the response, and the share at the usual engine."""
        clock = self.fleet.clock
        began = clock.monotonic()
        waits, usual = [], 0
        while clock.monotonic() < began + seconds:
            clock.advance(self.rng.expovariate(self.per_s))
            now = clock.monotonic()
            self._end_until(now)
            choice = self.fleet.choose(
                self.rng.choice(self.chats) if self.chats else ""
            )
            wait_s = self._serve(choice, now)
            if now > began + warm_up_s:
                waits.append(wait_s)
                usual += choice.reason is ChoiceReason.USUAL_ENGINE
        return sorted(waits), usual / len(waits)

    def _serve(self, choice, now):
        engine_id = choice.engine.id
        self.fleet.loads.request_started(engine_id)
        factor = self.factors[engine_id]
        work_s = factor * WORK_SECONDS * self.rng.uniform(0.6, 1.4)
        slots = self.free_at[engine_id]
        end = max(now, slots[0]) + work_s
        heapq.heapreplace(slots, end)
        heapq.heappush(self.ends, (end, next(self.numbers), choice, end - now))
        return end - now

    def _end_until(self, now):
        while self.ends and self.ends[0][0] <= now:
            _, _, choice, seconds = heapq.heappop(self.ends)
            self.fleet.loads.request_ended(choice.engine.id)
            if self.learns:
                self.fleet.speeds.record(choice.engine.id, "chat", seconds)


def p99(waits):
    return waits[int(0.99 * len(waits))]


def compare(factors, load, chats):
    """Return the 99th percentiles without and with learning."""
    results = [Load(factors, load, learns, chats).run(40.0) for learns in (False, True)]
    return [p99(waits) for waits, _ in results]


THREE_SPEEDS = [1.0, 1.3, 2.5] * 3


# Guards against: chats that return to a slow engine wait there, at 0.7 of what all
# engines can do, while fast ones have room.
def test_chats_on_engines_of_three_speeds_wait_a_third_less():
    before, after = compare(THREE_SPEEDS, 0.7, chats=200)
    assert after <= 2 / 3 * before


@pytest.mark.parametrize("chats", [0, 200])
@pytest.mark.parametrize("load", [0.3, 0.7])
def test_equal_engines_serve_as_before(load, chats):
    before, after = compare([1.0] * 9, load, chats)
    assert after <= 1.03 * before


def test_calls_without_a_prompt_wait_no_longer_on_engines_of_three_speeds():
    before, after = compare(THREE_SPEEDS, 0.7, chats=0)
    assert after <= 1.03 * before
