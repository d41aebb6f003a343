"""Overload and crash protection: limits, retry budgets, and crash suspects."""

import random

import pytest

from dotterelpitch.clock import ManualClock
from dotterelpitch.documents.model import ClientAccount
from dotterelpitch.errors import ProtocolError
from dotterelpitch.membership.gossip import MAX_PAYLOAD_BYTES
from dotterelpitch.protocol.digest_messages import (
    CrashDigest,
    EngineShare,
    HealthDigest,
    LoadDigest,
    ServiceHealth,
    ServiceLoad,
    ServiceUsage,
    UsageDigest,
)
from dotterelpitch.router.routing_hub import RoutingHub
from dotterelpitch.router.state import FleetState
from dotterelpitch.routing.crash_history import MAX_SUSPECTS, SUSPICION_SECONDS
from dotterelpitch.routing.crash_suspects import CrashSuspects, CrashVerdict
from dotterelpitch.routing.digests import Topic, decode_digest, encode_digest
from dotterelpitch.routing.engine_load import EngineLoad
from dotterelpitch.routing.limits import AccountLimits, AccountUsage
from dotterelpitch.routing.retry_budget import RetryBudget

ROUTERS = 9


def run_limited(account, weight_by_router, demand_per_second, seconds, seed=1):
    """Return the requests per second that are admitted after a warm-up.

    The requests of one account arrive at routers that exchange usage reports every
    second.
    """
    rng = random.Random(seed)
    clock = ManualClock()
    limits = [AccountLimits(clock, f"vm-{n}") for n in range(ROUTERS)]
    for limit in limits:
        limit.set_router_count(ROUTERS)
    admitted = 0
    warm_up_seconds = 10
    for tick in range(seconds * 10):
        if tick % 10 == 0:
            reports = [limit.report() for limit in limits]
            for limit in limits:
                for m, report in enumerate(reports):
                    limit.receive_report(f"vm-{m}", report)
        for _ in range(demand_per_second // 10):
            (n,) = rng.choices(range(ROUTERS), weight_by_router)
            if limits[n].try_start(account, 100.0) is None:
                limits[n].finish(account.name)
                admitted += tick >= warm_up_seconds * 10
        clock.advance(0.1)
    return admitted / (seconds - warm_up_seconds)


@pytest.mark.parametrize(
    "weight_by_router",
    [[1] * ROUTERS, [1] + [0] * (ROUTERS - 1), [20, 5] + [1] * (ROUTERS - 2)],
    ids=["spread", "one router", "skewed"],
)
@pytest.mark.parametrize("limit", [20.0, 100.0])
def test_a_rate_limit_holds_over_all_routers(weight_by_router, limit):
    account = ClientAccount("packers", "", requests_per_second=limit)
    rate = run_limited(account, weight_by_router, 500, 40)
    assert rate == pytest.approx(limit, rel=0.12)


@pytest.mark.parametrize("demand", [10, 50])
def test_demand_below_the_limit_is_rarely_refused(demand):
    account = ClientAccount("packers", "", requests_per_second=demand * 2.0)
    assert run_limited(account, [1] * ROUTERS, demand, 40) >= 0.98 * demand


def test_a_token_limit_holds():
    account = ClientAccount("packers", "", tokens_per_second=2000.0)
    rate = run_limited(account, [1] * ROUTERS, 200, 40)
    assert rate * 100.0 == pytest.approx(2000.0, rel=0.15)


@pytest.mark.parametrize(("concurrency", "calls"), [(1, 5), (8, 40), (30, 100)])
def test_a_concurrency_limit_holds_at_one_router(concurrency, calls):
    clock = ManualClock()
    limits = AccountLimits(clock, "vm-1")
    account = ClientAccount("packers", "", concurrency=concurrency)
    results = [limits.try_start(account, 1.0) for _ in range(calls)]
    assert results.count(None) == concurrency
    assert results[-1].retry_after >= 1.0
    limits.finish("packers")
    assert limits.try_start(account, 1.0) is None


@pytest.mark.parametrize("share", [0.2, 0.1])
@pytest.mark.parametrize("failure_rate", [0.33, 1.0])
def test_retries_stay_within_their_share(share, failure_rate):
    rng = random.Random(3)
    budget = RetryBudget(share=share, saved=0.0)
    attempts = 0
    for _ in range(10_000):
        budget.request_started()
        attempts += 1
        while rng.random() < failure_rate and budget.try_spend():
            attempts += 1
    assert attempts <= (1 + share) * 10_000


class Fleet:
    """Admission owners that exchange their digests of crash suspects on demand."""

    def __init__(self, owners):
        self.clock = ManualClock()
        self.owners = [CrashSuspects(self.clock) for _ in range(owners)]

    def exchange_digests(self):
        for source in self.owners:
            for target in self.owners:
                target.merge(*source.digest())


def test_a_crashing_request_crashes_two_engines_and_bans_no_neighbor():
    fleet = Fleet(5)
    crashed = 0
    for attempt in range(20):
        owner = fleet.owners[attempt % 5]
        verdict = owner.verdict("bad")
        if verdict is CrashVerdict.BANNED:
            continue
        neighbors = ["n1", "n2"] if verdict is CrashVerdict.FREE else []
        owner.engine_died(f"e{attempt}", "1", ["bad", *neighbors])
        crashed += 1
        fleet.clock.advance(0.5)
        fleet.exchange_digests()
    assert crashed == 2
    for owner in fleet.owners:
        assert owner.verdict("bad") is CrashVerdict.BANNED
        assert owner.verdict("n1") is CrashVerdict.ALONE
    fleet.owners[3].record_completion("n1")
    fleet.exchange_digests()
    assert {owner.verdict("n1") for owner in fleet.owners} == {CrashVerdict.FREE}


def test_one_crash_reported_twice_counts_once():
    suspects = CrashSuspects(ManualClock())
    suspects.engine_died("e1", "run-1", ["a"])
    suspects.engine_died("e1", "run-1", ["a"])
    assert suspects.verdict("a") is CrashVerdict.ALONE


@pytest.mark.parametrize(
    ("elapsed_seconds", "verdict"),
    [
        (SUSPICION_SECONDS - 1, CrashVerdict.BANNED),
        (SUSPICION_SECONDS + 1, CrashVerdict.FREE),
    ],
)
def test_a_ban_expires(elapsed_seconds, verdict):
    clock = ManualClock()
    suspects = CrashSuspects(clock)
    for engine in ("e1", "e2"):
        suspects.engine_died(engine, "1", ["a"])
    clock.advance(elapsed_seconds)
    assert suspects.verdict("a") is verdict


def test_suspects_are_bounded():
    suspects = CrashSuspects(ManualClock())
    suspects.engine_died("e", "1", [str(n) for n in range(MAX_SUSPECTS + 500)])
    crashes, _ = suspects.digest()
    assert len(crashes) == MAX_SUSPECTS


def _crash_digest():
    suspects = CrashSuspects(ManualClock())
    suspects.engine_died("e", "1", ["a", "b"])
    suspects.record_completion("b")
    return CrashDigest("vm", *suspects.digest())


USAGE = AccountUsage("packers", 1.5, 200.0, 3)
DIGESTS = [
    (
        Topic.LOAD,
        LoadDigest("vm", 3, [ServiceLoad("s", [EngineLoad("e1", 12.5, 16, 2, 1)])]),
    ),
    (Topic.USAGE, UsageDigest("vm", [ServiceUsage("s", [USAGE])])),
    (Topic.HEALTH, HealthDigest("vm", [ServiceHealth("s", [EngineShare("e", 0.5)])])),
    (Topic.CRASH, _crash_digest()),
]


@pytest.mark.parametrize(("topic", "digest"), DIGESTS)
def test_digest_round_trip(topic, digest):
    assert decode_digest(topic, encode_digest(digest)) == digest


def test_a_full_digest_of_suspects_fits_a_gossip_payload():
    clock = ManualClock()
    hub = RoutingHub("failure-domain-1-vm-1", clock, FleetState())
    for n in range(40):
        names = [f"{n:08x}{m:08x}" for m in range(16)]
        hub.suspects.engine_died(f"failure-domain-1-engine-{n}", f"vm-{n}", names)
        hub.suspects.record_completion(names[0])
        clock.advance(1.0)
    assert len(hub.crash_payload()) <= MAX_PAYLOAD_BYTES


@pytest.mark.parametrize("payload", [b"", b"\xc1", b"\x93\x00\x05\x01"])
def test_malformed_digests_are_rejected(payload):
    with pytest.raises(ProtocolError):
        decode_digest(Topic.LOAD, payload)
    with pytest.raises(ProtocolError):
        decode_digest("load", encode_digest(DIGESTS[2][1]))
