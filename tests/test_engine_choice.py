"""Engine choice under the load and failure patterns of production.

The docstring of a test names the pattern that it covers, with the name that the
load scenarios use for it.
"""

import random
from collections import Counter

import pytest
from attrs import evolve

from dotterelpitch.clock import ManualClock
from dotterelpitch.routing.cache_sources import CacheSources
from dotterelpitch.routing.domain_reachability import DomainReachability
from dotterelpitch.routing.engine_choice import ChoiceReason, EngineChooser
from dotterelpitch.routing.engine_pauses import EnginePauses
from dotterelpitch.routing.engine_speeds import EngineSpeeds
from dotterelpitch.routing.engines import Engine, EngineDirectory
from dotterelpitch.routing.error_rates import ErrorRates
from dotterelpitch.routing.fleet_loads import FleetLoads
from dotterelpitch.routing.fleet_rate_limits import FleetRateLimits
from dotterelpitch.routing.health import EngineHealth, FailureKind
from dotterelpitch.routing.prompt_cache_index import PromptCacheIndex

SERVICE = "chat"
DOMAINS = ("a", "b", "c")
# The deployments allow twice the mean load plus 3 requests.
ALLOWED_MULTIPLE = 2.0
ALLOWED_SLACK = 3.0


class Fleet:
    """The routing state of one VM, with engines in three failure domains."""

    def __init__(self, engines=9):
        self.clock = ManualClock(1000.0)
        self.directory = EngineDirectory(self.clock)
        self.loads = FleetLoads(self.clock)
        self.health = EngineHealth(self.clock)
        self.errors = ErrorRates(self.clock)
        self.reachability = DomainReachability(self.clock, "a")
        self.cache_index = PromptCacheIndex(self.clock)
        self.pauses = EnginePauses(self.clock)
        self.speeds = EngineSpeeds(self.clock)
        self.chooser = EngineChooser(
            self.directory,
            self.loads,
            self.health,
            self.errors,
            self.reachability,
            CacheSources(self.directory, self.cache_index),
            FleetRateLimits(self.clock).limiter,
            self.pauses,
            self.speeds,
            random.Random(7),
        )
        for n in range(engines):
            self.add(f"e{n}", DOMAINS[n % 3])
        self.directory.mark_settled()

    def add(self, engine_id, domain="a"):
        self.directory.put(Engine(engine_id, SERVICE, f"127.0.0.1:{id(self)}", domain))

    def choose(self, key="", **options):
        return self.chooser.choose(SERVICE, [key] if key else [], **options)

    def choose_id(self, key):
        return self.choose(key).engine.id


def test_returning_chats_go_to_the_same_engine_from_every_vm():
    first, second = Fleet(), Fleet()
    for n in range(200):
        choice = first.choose(f"chat-{n}")
        assert choice.reason is ChoiceReason.USUAL_ENGINE
        assert choice.cache_source is None
        assert second.choose_id(f"chat-{n}") == choice.engine.id


@pytest.mark.parametrize("hot_share", [0.2, 0.3, 0.5])
def test_hot_key_stays_within_the_load_bound(hot_share):
    """Pattern: one key gets a large share of the traffic (``hot_key``)."""
    fleet = Fleet()
    rng = random.Random(3)
    running = []
    for _ in range(3_000):
        is_hot = rng.random() < hot_share
        key = "hot" if is_hot else f"chat-{rng.randrange(142)}"
        choice = fleet.choose(key)
        fleet.loads.request_started(choice.engine.id)
        running.append(choice.engine.id)
        loads = fleet.loads.totals(f"e{n}" for n in range(9))
        mean = sum(loads.values()) / 9
        assert max(loads.values()) <= ALLOWED_MULTIPLE * mean + ALLOWED_SLACK
        if len(running) > 60:
            fleet.loads.request_ended(running.pop(rng.randrange(len(running))))


def test_engine_above_load_bound_is_cache_source_of_the_next():
    """Pattern: a hot key overflows to another engine, which copies the prompt."""
    fleet = Fleet()
    usual = fleet.choose_id("hot")
    for _ in range(20):
        fleet.loads.request_started(usual)
    choice = fleet.choose("hot")
    assert choice.engine.id != usual
    assert choice.reason is ChoiceReason.USUAL_ENGINE_FULL
    assert choice.cache_source.id == usual


def test_leaving_engine_is_cache_source_of_its_moved_chats():
    """Pattern: engines are replaced one by one (``release``)."""
    fleet = Fleet()
    keys = [f"chat-{n}" for n in range(300)]
    usual_by_key = {key: fleet.choose_id(key) for key in keys}
    fleet.add("new")
    leaving = Engine("e4", SERVICE, "127.0.0.1:4", "b", is_leaving=True)
    fleet.directory.put(leaving)
    for key in keys:
        choice = fleet.choose(key)
        assert choice.engine.id != "e4"
        moved = choice.engine.id != usual_by_key[key]
        source = choice.cache_source.id if choice.cache_source else None
        assert source == (usual_by_key[key] if moved else None)


def test_new_chat_copies_shared_prompt_part_from_its_reader():
    """Pattern: many chats on all engines start with a few shared prompt parts."""
    fleet = Fleet()
    parts = ["handbook", "chat-1"]
    first = fleet.chooser.choose(SERVICE, parts)
    assert first.cache_source is None
    fleet.cache_index.record(first.engine.run_id, parts)
    assert fleet.chooser.choose(SERVICE, parts).cache_source is None
    for n in range(2, 40):
        choice = fleet.chooser.choose(SERVICE, ["handbook", f"chat-{n}"])
        is_elsewhere = choice.engine.id != first.engine.id
        source = choice.cache_source.id if choice.cache_source else None
        assert source == (first.engine.id if is_elsewhere else None)


def test_restarted_engine_is_no_cache_source():
    """Pattern: an engine restarts with the same id (``reborn``)."""
    fleet = Fleet()
    parts = ["handbook", "chat-1"]
    first = fleet.chooser.choose(SERVICE, parts).engine
    fleet.cache_index.record(first.run_id, parts)
    fleet.directory.put(evolve(first, started_ms=5))
    choices = [fleet.chooser.choose(SERVICE, ["handbook", f"c{n}"]) for n in range(30)]
    assert not any(c.cache_source for c in choices if c.engine.id != first.id)


def test_suspect_engine_is_no_cache_source():
    """Pattern: an engine crashes; copying from it would delay the first token."""
    fleet = Fleet()
    usual = fleet.choose_id("chat")
    fleet.health.record_failure(usual, FailureKind.REFUSED)
    choice = fleet.choose("chat")
    assert choice.engine.id != usual
    assert choice.reason is ChoiceReason.USUAL_ENGINE_SUSPECT
    assert choice.cache_source is None
    fleet.clock.advance(1.1)  # It may be probed now, but not copied from yet.
    assert fleet.choose("chat").cache_source is None


def test_one_retryable_request_at_a_time_probes_a_suspect_engine():
    """Pattern: a crashed engine restarts while many callers wait for it."""
    fleet = Fleet()
    usual = fleet.choose_id("chat")
    fleet.health.record_failure(usual, FailureKind.REFUSED)
    fleet.clock.advance(1.1)
    assert fleet.choose_id("chat") != usual
    assert fleet.choose("chat", may_probe=True).engine.id == usual
    fleet.loads.request_started(usual)
    assert fleet.choose("chat", may_probe=True).engine.id != usual


@pytest.mark.parametrize("key", ["", "chat"])
def test_domain_with_two_unreachable_engines_is_avoided(key):
    """Pattern: packets to a partitioned failure domain are lost (``zone_cut``)."""
    fleet = Fleet()
    for engine_id in ("e1", "e4"):
        fleet.reachability.record_unreachable("b", engine_id)
    domains = {
        fleet.choose(f"{key}{n}" if key else "").engine.failure_domain
        for n in range(100)
    }
    assert "b" not in domains
    fleet.reachability.record_response("b")
    assert any(fleet.choose(f"x{n}").engine.failure_domain == "b" for n in range(100))


def test_request_tries_each_unreachable_domain_only_once():
    """Pattern: this VM's failure domain was just partitioned off (``zone_cut``)."""
    fleet = Fleet()
    for n in range(50):
        tried, unreachable = [], set()
        for _ in range(2):
            choice = fleet.choose(
                f"chat-{n}", excluded=tried, unreachable_domains=unreachable
            )
            tried.append(choice.engine.id)
            if choice.engine.failure_domain != "a":
                unreachable.add(choice.engine.failure_domain)
        last = fleet.choose(f"chat-{n}", excluded=tried, unreachable_domains={"b", "c"})
        assert last.engine.failure_domain == "a"
        assert len(unreachable) == len(
            {e for e in tried if DOMAINS[int(e[1]) % 3] != "a"}
        )


def test_requests_are_still_sent_when_all_engines_are_suspect():
    """Pattern: this VM is partitioned off, or all engines fail at once."""
    fleet = Fleet()
    for n in range(9):
        fleet.health.record_failure(f"e{n}", FailureKind.REFUSED)
    assert fleet.choose("chat") is not None
    assert fleet.choose() is not None


def simulate_failures(fleet, failure_rate_by_engine, requests=3_000, in_flight=6):
    """Send requests of equal duration; return the number that each engine got."""
    rng = random.Random(5)
    counts = Counter()
    running_ids = []
    for _ in range(requests):
        fleet.clock.advance(0.02)
        engine_id = fleet.choose().engine.id
        counts[engine_id] += 1
        fleet.loads.request_started(engine_id)
        running_ids.append(engine_id)
        if len(running_ids) <= in_flight:
            continue
        ended = running_ids.pop(0)
        fleet.loads.request_ended(ended)
        fleet.errors.record(ended, rng.random() < failure_rate_by_engine.get(ended, 0))
    return counts


@pytest.mark.parametrize(
    "failure_rate_by_engine",
    [
        {"e0": 0.45},
        {"e1": 0.45},
        {"e0": 0.45, "e1": 0.14, "e2": 0.14},
        {"e0": 0.9},
    ],
)
def test_partially_failing_engine_gets_less_than_half_its_normal_share(
    failure_rate_by_engine,
):
    """Pattern: an engine fails some of its requests (``srv_grey`` errors)."""
    counts = simulate_failures(Fleet(engines=3), failure_rate_by_engine)
    failing_id = max(failure_rate_by_engine, key=failure_rate_by_engine.get)
    assert counts[failing_id] < 3_000 / 3 / 2


def test_no_engine_is_avoided_when_all_fail_alike():
    """Pattern: all engines fail at the same rate (``srv_grey`` all)."""
    counts = simulate_failures(Fleet(engines=3), {"e0": 0.45, "e1": 0.45, "e2": 0.45})
    assert min(counts.values()) > 3_000 / 3 / 2


# Guards against: an engine that wants a pause is chosen as the last one that is left.
@pytest.mark.parametrize("parts", [(), ("p",)])
def test_paused_engine_is_never_chosen(parts):
    fleet = Fleet(engines=3)
    for engine_id in ("e0", "e1"):
        fleet.pauses.record(fleet.directory.engine_by_id[engine_id], 3.0)
    for _ in range(20):
        assert fleet.chooser.choose("chat", parts).engine.id == "e2"
    assert fleet.chooser.choose("chat", parts, excluded=["e2"]) is None
    fleet.pauses.record(fleet.directory.engine_by_id["e2"], 3.0)
    assert fleet.chooser.choose("chat", parts) is None
