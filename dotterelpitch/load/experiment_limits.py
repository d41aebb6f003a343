"""How far an account's rate limit is missed, by the way that it is split."""

import random

import attrs

from dotterelpitch.clock import ManualClock
from dotterelpitch.documents.model import ClientAccount
from dotterelpitch.routing.limits import AccountLimits

ROUTERS = 9
LIMIT_PER_SECOND = 50.0
SECONDS = 60
WARM_UP_SECONDS = 20
TICKS_PER_SECOND = 10


@attrs.frozen
class Traffic:
    """How one account's calls spread; ``sides`` are groups that hear each other."""

    name: str
    weights: tuple[int, ...]
    sides: tuple[range, ...] = (range(ROUTERS),)


TRAFFIC = (
    Traffic("spread", (1,) * ROUTERS),
    Traffic("one router", (1, *(0,) * (ROUTERS - 1))),
    Traffic("skewed", (20, 5, *(1,) * (ROUTERS - 2))),
    Traffic("spread, cut", (1,) * ROUTERS, (range(3), range(3, ROUTERS))),
    Traffic("skewed, cut", (20, 5, *(1,) * 7), (range(3), range(3, ROUTERS))),
)


def admitted_share(traffic: Traffic, factor: float, shared: bool, seed: int) -> float:
    """Return the admitted rate over the limit, for ``factor`` times its demand.

    With ``shared`` the routers report their demand to one another each
    second; without, each keeps an even part.
    """
    rng = random.Random(seed)
    clock = ManualClock()
    limits = [AccountLimits(clock, str(n)) for n in range(ROUTERS)]
    for limit in limits:
        limit.set_router_count(ROUTERS if shared else 1)
    account = ClientAccount("account", "", requests_per_second=LIMIT_PER_SECOND)
    even = attrs.evolve(account, requests_per_second=LIMIT_PER_SECOND / ROUTERS)
    admitted = 0
    for tick in range(SECONDS * TICKS_PER_SECOND):
        if shared and tick % TICKS_PER_SECOND == 0:
            _trade_reports(limits, traffic)
        calls = int(factor * LIMIT_PER_SECOND / TICKS_PER_SECOND)
        for n in rng.choices(range(ROUTERS), traffic.weights, k=calls):
            refusal = limits[n].try_start(account if shared else even, 1.0)
            admitted += refusal is None and tick >= WARM_UP_SECONDS * TICKS_PER_SECOND
            if refusal is None:
                limits[n].finish("account")
        clock.advance(1.0 / TICKS_PER_SECOND)
    return admitted / (SECONDS - WARM_UP_SECONDS) / LIMIT_PER_SECOND


def _trade_reports(limits: list[AccountLimits], traffic: Traffic) -> None:
    reports = [limit.report() for limit in limits]
    for side in traffic.sides:
        for hearer in side:
            for source in side:
                limits[hearer].receive_report(str(source), reports[source])
