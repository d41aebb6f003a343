"""Limits of client accounts, enforced by all routers without shared state.

Each router enforces a part of each account's limit. The parts follow the
demand that the routers report to one another, so that an account whose calls
arrive at a single router still gets its full limit. A small part is divided
evenly, so that a router that receives the first call of an account has room
for it before the other routers have received its report.
"""

import math
from collections.abc import Iterable

from attrs import define, frozen

from dotterelpitch.clock import Clock
from dotterelpitch.documents.model import ClientAccount
from dotterelpitch.routing.admission_request import Rejected

# This share of a limit is divided evenly between the routers.
EVEN_SHARE = 0.1
# A token bucket holds what its rate adds in this time, at least MIN_BURST.
BURST_SECONDS = 2.0
MIN_BURST = 2.0
# Demand is averaged over about this time.
DEMAND_WINDOW_SECONDS = 5.0
MIN_RETRY_AFTER_SECONDS = 1.0
# The last report of a router expires after this time.
MAX_REPORT_AGE_SECONDS = 10.0


@frozen
class AccountUsage:
    """The recent demand of one account at one router.

    The rates include refused requests; ``in_flight`` counts running and queued
    ones.
    """

    account: str
    requests_per_second: float
    tokens_per_second: float
    in_flight: int


def limit_share(demand: float, fleet_demand: float, routers: int) -> float:
    """Return the share of a limit that one router enforces, between 0 and 1.

    The shares of all routers sum up to 1 if all know the same demands.

    >>> limit_share(demand=0.0, fleet_demand=0.0, routers=4)
    0.25
    >>> round(limit_share(demand=9.0, fleet_demand=10.0, routers=2), 3)
    0.86
    """
    even = 1.0 / max(1, routers)
    if fleet_demand <= 0.0:
        return even
    by_demand = min(1.0, demand / fleet_demand)
    return EVEN_SHARE * even + (1.0 - EVEN_SHARE) * by_demand


def rate_limit_part(
    limit: float, demand: float, fleet_demand: float, routers: int
) -> float:
    """Return the part of a rate limit that one router enforces, per second.

    While the demand of the fleet is below the limit, each router gets its own
    demand and an equal part of the rest. From there on, the limit is divided by
    ``limit_share``. In both cases the parts of all routers sum up to the limit.

    >>> rate_limit_part(limit=10.0, demand=1.0, fleet_demand=4.0, routers=3)
    3.0
    >>> round(rate_limit_part(limit=10.0, demand=10.0, fleet_demand=20.0, routers=2), 3)
    5.0
    """
    if fleet_demand < limit:
        return demand + (limit - fleet_demand) / max(1, routers)
    return limit * limit_share(demand, fleet_demand, routers)


@define
class _TokenBucket:
    """A token bucket whose level may go below zero for one large request."""

    level: float
    refilled_at: float

    def refill(self, now: float, rate: float) -> None:
        burst = max(MIN_BURST, rate * BURST_SECONDS)
        self.level = min(burst, self.level + rate * (now - self.refilled_at))
        self.refilled_at = now

    def wait(self, rate: float, min_level: float) -> float:
        """Return the seconds until the level reaches ``min_level``.

        The wait is ``MAX_REPORT_AGE_SECONDS`` if the rate is 0.
        """
        if self.level >= min_level:
            return 0.0
        return (min_level - self.level) / rate if rate > 0 else MAX_REPORT_AGE_SECONDS


@define
class _LocalUsage:
    requests: _TokenBucket
    tokens: _TokenBucket
    in_flight: int = 0
    window_start: float = 0.0
    window_requests: int = 0
    window_tokens: float = 0.0
    requests_per_second: float = 0.0
    tokens_per_second: float = 0.0


class AccountLimits:
    """Enforces one router's part of the limits of a service's accounts.

    >>> from dotterelpitch.clock import ManualClock
    >>> clock = ManualClock()
    >>> limits = AccountLimits(clock, "vm-1")
    >>> account = ClientAccount("packers", "", concurrency=1)
    >>> limits.try_start(account, weight=10.0) is None
    True
    >>> limits.try_start(account, weight=10.0).reason
    'concurrency limit'
    """

    def __init__(self, clock: Clock, vm: str) -> None:
        self._clock = clock
        self._vm = vm
        self._routers = 1
        self._usage_by_account: dict[str, _LocalUsage] = {}
        self._report_by_vm: dict[str, tuple[float, dict[str, AccountUsage]]] = {}

    def set_router_count(self, count: int) -> None:
        """Set the number of routers listed as live, including this one."""
        self._routers = max(1, count)

    def receive_report(self, vm: str, usages: Iterable[AccountUsage]) -> None:
        """Store the report of another router; one from this router is ignored."""
        if vm != self._vm:
            by_account = {usage.account: usage for usage in usages}
            self._report_by_vm[vm] = (self._clock.monotonic(), by_account)

    def try_start(self, account: ClientAccount, weight: float) -> Rejected | None:
        """Count one request, and return its rejection, or None if it may start."""
        now = self._clock.monotonic()
        usage = self._usage(account.name, now)
        usage.window_requests += 1
        usage.window_tokens += weight
        refusal = self._check(account, usage, now)
        if refusal is None:
            usage.requests.level -= 1.0
            usage.tokens.level -= weight
            usage.in_flight += 1
        return refusal

    def finish(self, account: str, expected: float = 0.0, used: float = 0.0) -> None:
        """Count the end of a request.

        If the number of tokens ``used`` is known, it replaces the ``expected``
        number in the account's token rate limit.
        """
        usage = self._usage(account, self._clock.monotonic())
        usage.in_flight = max(0, usage.in_flight - 1)
        if used > 0.0:
            usage.tokens.level += expected - used

    def report(self) -> list[AccountUsage]:
        """Return the usage of the active accounts, and remove the idle ones."""
        now = self._clock.monotonic()
        reports = []
        for name in list(self._usage_by_account):
            usage = self._usage(name, now)
            self._close_window(usage, now)
            if usage.requests_per_second < 0.01 and not usage.in_flight:
                del self._usage_by_account[name]
                continue
            reports.append(_usage_report(name, usage))
        return reports

    def share(self, account: str) -> float:
        """Return the share of the account's limits that this router enforces."""
        now = self._clock.monotonic()
        usage = self._usage(account, now)
        others = self._reported_usages(account, now)
        own = _usage_report(account, usage)
        demand = own.requests_per_second + own.in_flight
        fleet = demand + sum(o.requests_per_second + o.in_flight for o in others)
        reporting_share = self._reporting_share(now)
        return reporting_share * limit_share(
            demand, fleet, max(1, round(self._routers * reporting_share))
        )

    def _check(
        self, account: ClientAccount, usage: _LocalUsage, now: float
    ) -> Rejected | None:
        share = self.share(account.name)
        if not self._fits_concurrency(account, usage, share, now):
            return Rejected("", "concurrency limit", MIN_RETRY_AFTER_SECONDS)
        others = self._reported_usages(account.name, now)
        for limit, demand, name, bucket, min_level, reason in (
            (
                account.requests_per_second,
                usage.requests_per_second,
                "requests_per_second",
                usage.requests,
                1.0,
                "request rate limit",
            ),
            (
                account.tokens_per_second,
                usage.tokens_per_second,
                "tokens_per_second",
                usage.tokens,
                0.0,
                "token rate limit",
            ),
        ):
            if not limit:
                continue
            fleet = demand + sum(getattr(other, name) for other in others)
            rate = self._rate(limit, demand, fleet, now)
            bucket.refill(now, rate)
            if (wait := bucket.wait(rate, min_level)) > 0.0:
                return Rejected("", reason, max(MIN_RETRY_AFTER_SECONDS, wait))
        return None

    def _rate(self, limit: float, demand: float, fleet: float, now: float) -> float:
        reporting_share = self._reporting_share(now)
        routers = max(1, round(self._routers * reporting_share))
        return rate_limit_part(limit * reporting_share, demand, fleet, routers)

    def _reporting_share(self, now: float) -> float:
        """Return the share of the listed routers that report, including this one.

        A third of the routers, cut off from the others by a network partition,
        enforces a third of each limit.
        """
        oldest = now - MAX_REPORT_AGE_SECONDS
        reporting = sum(at >= oldest for at, _ in self._report_by_vm.values())
        return min(1.0, (1 + reporting) / self._routers)

    def _fits_concurrency(
        self, account: ClientAccount, usage: _LocalUsage, share: float, now: float
    ) -> bool:
        """Return whether one more request stays within the concurrency limit.

        A router whose part is below one request still accepts one while the
        requests reported by the others leave room. Together, the routers can
        exceed the limit by these requests.
        """
        if not account.concurrency:
            return True
        if usage.in_flight < int(account.concurrency * share):
            return True
        others = sum(o.in_flight for o in self._reported_usages(account.name, now))
        return usage.in_flight == 0 and others < account.concurrency

    def _usage(self, account: str, now: float) -> _LocalUsage:
        usage = self._usage_by_account.get(account)
        if usage is None:
            usage = _LocalUsage(
                _TokenBucket(math.inf, now),
                _TokenBucket(math.inf, now),
                window_start=now,
            )
            self._usage_by_account[account] = usage
        if now - usage.window_start >= DEMAND_WINDOW_SECONDS:
            self._close_window(usage, now)
        return usage

    def _close_window(self, usage: _LocalUsage, now: float) -> None:
        """Update the demand with the counts since the window started."""
        elapsed = now - usage.window_start
        if elapsed <= 0.0:
            return
        part = min(1.0, elapsed / DEMAND_WINDOW_SECONDS)
        for count_field, rate in (
            ("window_requests", "requests_per_second"),
            ("window_tokens", "tokens_per_second"),
        ):
            old = getattr(usage, rate)
            sample = getattr(usage, count_field) / elapsed
            setattr(usage, rate, old + part * (sample - old))
            setattr(usage, count_field, 0)
        usage.window_start = now

    def _reported_usages(self, account: str, now: float) -> list[AccountUsage]:
        oldest = now - MAX_REPORT_AGE_SECONDS
        for vm in [v for v, (at, _) in self._report_by_vm.items() if at < oldest]:
            del self._report_by_vm[vm]
        return [
            by_account[account]
            for _, by_account in self._report_by_vm.values()
            if account in by_account
        ]


def _usage_report(name: str, usage: _LocalUsage) -> AccountUsage:
    return AccountUsage(
        name,
        round(usage.requests_per_second, 2),
        round(usage.tokens_per_second, 1),
        usage.in_flight,
    )
