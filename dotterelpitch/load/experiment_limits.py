"""Deviation from an account's rate limit, by how routers split the limit."""

import random

import attrs

from dotterelpitch.clock import ManualClock
from dotterelpitch.documents.model import ClientAccount
from dotterelpitch.routing.limits import AccountLimits

ROUTERS = 9
LIMIT_PER_SECOND = 50.0
DURATION_SECONDS = 60
WARM_UP_SECONDS = 20
TICKS_PER_SECOND = 10


@attrs.frozen
class Traffic:
    """Distribution of one account's calls over the routers.

    ``weights`` are the relative shares of the routers. ``partitions`` are groups of
    routers that receive one another's reports.
    """

    name: str
    weights: tuple[int, ...]
    partitions: tuple[range, ...] = (range(ROUTERS),)


TRAFFIC = (
    Traffic("spread", (1,) * ROUTERS),
    Traffic("one router", (1, *(0,) * (ROUTERS - 1))),
    Traffic("skewed", (20, 5, *(1,) * (ROUTERS - 2))),
    Traffic("spread, cut", (1,) * ROUTERS, (range(3), range(3, ROUTERS))),
    Traffic("skewed, cut", (20, 5, *(1,) * 7), (range(3), range(3, ROUTERS))),
)


def admitted_ratio(
    traffic: Traffic, demand_factor: float, shared: bool, seed: int
) -> float:
    """Return the ratio of the admitted rate to the limit.

    The account demands ``demand_factor`` times its limit. With ``shared`` the
    routers report their demand to one another each second and split the limit by
    it; otherwise each router has an equal part of the limit.
    """
    rng = random.Random(seed)
    clock = ManualClock()
    limits = [AccountLimits(clock, str(n)) for n in range(ROUTERS)]
    for limit in limits:
        limit.set_router_count(ROUTERS if shared else 1)
    account = ClientAccount("account", "", requests_per_second=LIMIT_PER_SECOND)
    even_share_account = attrs.evolve(
        account, requests_per_second=LIMIT_PER_SECOND / ROUTERS
    )
    admitted = 0
    for tick in range(DURATION_SECONDS * TICKS_PER_SECOND):
        if shared and tick % TICKS_PER_SECOND == 0:
            _exchange_reports(limits, traffic)
        calls = int(demand_factor * LIMIT_PER_SECOND / TICKS_PER_SECOND)
        for n in rng.choices(range(ROUTERS), traffic.weights, k=calls):
            refusal = limits[n].try_start(
                account if shared else even_share_account, 1.0
            )
            admitted += refusal is None and tick >= WARM_UP_SECONDS * TICKS_PER_SECOND
            if refusal is None:
                limits[n].finish("account")
        clock.advance(1.0 / TICKS_PER_SECOND)
    return admitted / (DURATION_SECONDS - WARM_UP_SECONDS) / LIMIT_PER_SECOND


def _exchange_reports(limits: list[AccountLimits], traffic: Traffic) -> None:
    reports = [limit.report() for limit in limits]
    for partition in traffic.partitions:
        for receiver in partition:
            for source in partition:
                limits[receiver].receive_report(str(source), reports[source])
