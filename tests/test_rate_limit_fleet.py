"""Fleets of gateways without a network keep to the rate limits of engines."""

import random
from bisect import bisect_right
from collections import Counter, defaultdict

import attrs
import pytest

from dotterelpitch.routing.cache_sources import CacheSources
from dotterelpitch.routing.engine_choice import ChoiceReason, EngineChooser
from dotterelpitch.routing.engine_pauses import EnginePauses
from dotterelpitch.routing.engine_speeds import EngineSpeeds
from dotterelpitch.routing.engines import Engine
from tests.harness.rate_drill import (
    RATE_FACTOR,
    RATE_SLACK_REQUESTS,
    TOLD_SECONDS,
    WINDOW_SECONDS,
)
from tests.harness.simulated_gateways import PERIOD_SECONDS, make_fleet

SERVICE = "chat"
CONTACT_SECONDS = 3.0
SETTLE_SECONDS = 6.0
RESPONSE_SECONDS = 0.1
KEYS = [f"chat-{n}" for n in range(60)]


@attrs.define(slots=False)
class RateFleet:
    """Gateways and engines; each engine with a limit names it in its responses.

    ``arrivals_by_engine`` holds the time of each request at each engine,
    ``covered_by_engine`` those from VMs that have run for ``CONTACT_SECONDS``, and
    ``usual_count`` how many went to the usual engine of their prompt. ``outcomes``
    holds the time, the priority, and whether a request was sent.
    """

    vms: int
    limit_by_engine: dict
    calls_per_s: float
    engines: int = 6
    first_vm_share: float = 0.0
    priorities: tuple = (0,)
    seed: int = 1
    arrivals_by_engine: dict = attrs.field(factory=lambda: defaultdict(list))
    covered_by_engine: dict = attrs.field(factory=lambda: defaultdict(list))
    outcomes: list = attrs.field(factory=list)
    usual_count: int = 0

    def __attrs_post_init__(self):
        self.random = random.Random(self.seed)
        self.fleet = make_fleet(self.vms)
        self.clock = self.fleet.clock
        self.engine_by_id = {
            f"e{n}": Engine(f"e{n}", SERVICE, f"10.1.0.{n}:1", "a", started_ms=1)
            for n in range(self.engines)
        }
        self._responses = []
        self._chooser_by_gateway = {}
        self._restarted_at_by_vm = {}
        self.fleet.run(3.0)

    def run(self, seconds, before_step=lambda: None):
        """Send calls at random VMs; digests are exchanged each period."""
        for _ in range(int(seconds / PERIOD_SECONDS)):
            before_step()
            count = self._poisson(self.calls_per_s * PERIOD_SECONDS)
            for _ in range(count):
                self._send()
            self.fleet.run(PERIOD_SECONDS)
            self._respond()

    def restart(self, address):
        """Restart a VM, which then knows nothing."""
        self.fleet.restart(address)
        name = self.fleet.gateway_by_address[address].vm.name
        self._restarted_at_by_vm[name] = self.clock.monotonic()

    def _poisson(self, mean):
        count, at = 0, self.random.expovariate(1.0)
        while at < mean:
            count += 1
            at += self.random.expovariate(1.0)
        return count

    def _send(self):
        gateways = list(self.fleet.alive.values())
        gateway = self.random.choice(gateways)
        if self.random.random() < self.first_vm_share:
            gateway = gateways[0]
        priority = self.random.choice(self.priorities)
        engines = list(self.engine_by_id.values())
        now = self.clock.monotonic()
        admits = gateway.rate_limits.admits(SERVICE, priority, engines)
        key = self.random.choice(KEYS)
        choice = self._chooser(gateway).choose(SERVICE, [key]) if admits else None
        self.outcomes.append((now, priority, choice is not None))
        if choice is None:
            return
        self.usual_count += choice.reason is ChoiceReason.USUAL_ENGINE
        self.arrivals_by_engine[choice.engine.id].append(now)
        restarted_at = self._restarted_at_by_vm.get(gateway.vm.name, 0.0)
        if now - restarted_at >= CONTACT_SECONDS:
            self.covered_by_engine[choice.engine.id].append(now)
        due = now + RESPONSE_SECONDS
        self._responses.append((due, gateway, choice.engine))

    def _chooser(self, gateway):
        chooser = self._chooser_by_gateway.get(id(gateway))
        if chooser is None:
            directory = gateway.state.directory
            for engine in self.engine_by_id.values():
                directory.put(engine)
            tracker = gateway.engine_tracker
            chooser = EngineChooser(
                directory,
                gateway.loads,
                tracker.health,
                tracker.error_rates,
                tracker.domain_reachability,
                CacheSources(directory, tracker.prompt_cache),
                gateway.rate_limits.limiter,
                EnginePauses(gateway.clock),
                EngineSpeeds(gateway.clock),
                random.Random(len(self._chooser_by_gateway)),
            )
            self._chooser_by_gateway[id(gateway)] = chooser
        return chooser

    def _respond(self):
        now = self.clock.monotonic()
        due = [r for r in self._responses if r[0] <= now]
        self._responses = [r for r in self._responses if r[0] > now]
        for _, gateway, engine in due:
            limit = self.limit_by_engine.get(engine.id)
            gateway.rate_limits.registry.record_response(engine, limit)

    def worst_excess(self, named_at):
        """Return the most requests over the bound in a window, or 0."""
        worst = 0.0
        for engine_id, limit in self.limit_by_engine.items():
            allowed = RATE_FACTOR * WINDOW_SECONDS * limit + RATE_SLACK_REQUESTS
            arrivals = self.covered_by_engine[engine_id]
            counted = [at for at in arrivals if at > named_at + TOLD_SECONDS]
            for number, until in enumerate(counted, start=1):
                if until >= named_at + CONTACT_SECONDS:
                    count = number - bisect_right(counted, until - WINDOW_SECONDS)
                    worst = max(worst, count - allowed)
        return worst

    def rate(self, engine_id, since):
        """Return the requests per second at an engine since a time."""
        arrivals = self.arrivals_by_engine[engine_id]
        return sum(at >= since for at in arrivals) / (self.clock.monotonic() - since)

    def served_share(self, priority, since):
        """Return the share of the requests of a priority that were sent."""
        sent = [s for at, p, s in self.outcomes if p == priority and at >= since]
        return sum(sent) / len(sent)


# Guards against: the VMs keep to a limit each for itself, and in sum are far over it.
@pytest.mark.parametrize("vms", [1, 2, 9, 60])
@pytest.mark.parametrize(("limit", "seconds"), [(0.3, 40), (2.5, 20), (40.0, 10)])
@pytest.mark.parametrize("first_vm_share", [0.0, 0.7])
def test_all_vms_together_keep_to_the_limits(vms, limit, seconds, first_vm_share):
    limits = {f"e{n}": limit for n in range(4)}
    calls_per_s = 6 * max(4.0, 2.5 * limit)
    fleet = RateFleet(vms, limits, calls_per_s, first_vm_share=first_vm_share)
    named_at = fleet.clock.monotonic()
    fleet.run(seconds)
    assert fleet.worst_excess(named_at) <= 0.0
    since = named_at + SETTLE_SECONDS
    assert fleet.served_share(0, since) == 1.0
    for engine_id in limits:
        rate = fleet.rate(engine_id, since)
        assert 0.6 * limit <= rate <= 1.25 * limit


@pytest.mark.parametrize("vms", [2, 9, 60])
def test_what_all_engines_refuse_goes_by_priority(vms):
    limits = {f"e{n}": 3.0 for n in range(6)}
    fleet = RateFleet(vms, limits, 40.0, priorities=(0, 1, 2))
    named_at = fleet.clock.monotonic()
    fleet.run(25.0)
    since = named_at + SETTLE_SECONDS
    shares = [fleet.served_share(priority, since) for priority in (0, 1, 2)]
    assert shares[0] > 1.5 * shares[1] > 2.0 * shares[2] > 0.2
    assert fleet.worst_excess(named_at) <= 0.0
    rates = sum(fleet.rate(engine_id, since) for engine_id in limits)
    assert rates >= 0.8 * sum(limits.values())
    assert fleet.usual_count > 0.6 * sum(map(len, fleet.arrivals_by_engine.values()))


# Guards against: a limit is held by VMs that are gone, or twice by restarted ones.
@pytest.mark.parametrize("vms", [4, 9, 60])
def test_limits_hold_while_vms_restart(vms):
    limits = {f"e{n}": 2.5 for n in range(4)}
    fleet = RateFleet(vms, limits, 40.0)
    addresses = iter(list(fleet.fleet.gateway_by_address) * 60)
    steps = Counter()

    def restart():
        steps["all"] += 1
        if steps["all"] % 8 == 0:
            fleet.restart(next(addresses))

    named_at = fleet.clock.monotonic()
    fleet.run(25.0, restart)
    assert fleet.worst_excess(named_at) <= 0.0
    since = named_at + SETTLE_SECONDS
    assert fleet.rate("e0", since) >= 0.6 * 2.5


# Guards against: a half that is cut off gives itself the whole limit at once.
@pytest.mark.parametrize("vms", [6, 60])
def test_limits_hold_in_sum_when_the_fleet_is_cut_in_two(vms):
    limits = {f"e{n}": 2.5 for n in range(4)}
    fleet = RateFleet(vms, limits, 40.0)
    named_at = fleet.clock.monotonic()
    fleet.run(20.0)
    fleet.fleet.partitioned |= set(list(fleet.fleet.gateway_by_address)[::2])
    cut_at = fleet.clock.monotonic()
    fleet.run(10.0)
    assert fleet.worst_excess(named_at) <= 0.0
    fleet.fleet.partitioned.clear()
    fleet.run(20.0)
    assert fleet.rate("e0", cut_at + 20.0) >= 0.6 * 2.5


# Guards against: the part of the limit that a lost VM used doesn't come back.
@pytest.mark.parametrize("vms", [2, 9])
def test_lone_vm_may_use_the_whole_limit(vms):
    fleet = RateFleet(vms, {"e0": 2.5}, 40.0)
    fleet.run(10.0)
    fleet.fleet.dead |= set(list(fleet.fleet.gateway_by_address)[1:])
    lost_at = fleet.clock.monotonic()
    fleet.run(60.0)
    assert fleet.rate("e0", lost_at + 30.0) >= 0.8 * 2.5


# Only a response can tell that a limit has ended, so a low one takes longer to end.
@pytest.mark.parametrize(("limit", "within_s"), [(0.3, 12.0), (2.5, 3.0), (40.0, 2.0)])
def test_engine_gets_its_share_soon_after_its_limit_has_ended(limit, within_s):
    fleet = RateFleet(9, {}, 40.0)
    fleet.run(25.0)
    usual = fleet.rate("e0", fleet.clock.monotonic() - 25.0)
    fleet.limit_by_engine = {"e0": limit}
    fleet.run(10.0)
    fleet.limit_by_engine = {}
    fleet.run(within_s)
    since = fleet.clock.monotonic()
    fleet.run(25.0)
    assert fleet.rate("e0", since) >= 0.75 * usual
