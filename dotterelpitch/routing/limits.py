"""Limits of client accounts, held over the whole fleet without shared state.

Each router enforces a part of each account's limit. The parts follow the
demand that the routers report to one another, so that an account whose calls
arrive at one router only still gets its whole limit. A small part is spread
evenly, so that a router which sees the first call of an account has room for
it before anybody has heard of that.
"""

import math
from collections.abc import Iterable

from attrs import define, frozen

from dotterelpitch.clock import Clock
from dotterelpitch.documents.model import ClientAccount
from dotterelpitch.routing.admission_request import Rejected

EVEN_PART = 0.1
BURST_SECONDS = 2.0
MIN_BURST = 2.0
DEMAND_SECONDS = 5.0
MIN_RETRY_AFTER_SECONDS = 1.0
# Reports of a router that has fallen silent count for this long.
REPORT_SECONDS = 10.0


@frozen
class AccountUsage:
    """One router's recent demand of one account, admitted or not.

    Rates are per second; ``in_flight`` counts running and queued requests.
    """

    account: str
    requests_per_second: float
    tokens_per_second: float
    in_flight: int


def share_of(demand: float, fleet_demand: float, routers: int) -> float:
    """Return the part of a limit that one router enforces.

    The parts of all routers sum up to 1 when all know the same demands.

    >>> share_of(demand=0.0, fleet_demand=0.0, routers=4)
    0.25
    >>> round(share_of(demand=9.0, fleet_demand=10.0, routers=2), 3)
    0.86
    """
    even = 1.0 / max(1, routers)
    if fleet_demand <= 0.0:
        return even
    by_demand = min(1.0, demand / fleet_demand)
    return EVEN_PART * even + (1.0 - EVEN_PART) * by_demand


def part_of(limit: float, demand: float, fleet_demand: float, routers: int) -> float:
    """Return the part of a rate limit that one router enforces.

    While the fleet's demand is below the limit, each router gets its demand
    and an equal part of what is left. The parts of all routers sum up to the
    limit in both cases.

    >>> part_of(limit=10.0, demand=1.0, fleet_demand=4.0, routers=3)
    3.0
    >>> round(part_of(limit=10.0, demand=10.0, fleet_demand=20.0, routers=2), 3)
    5.0
    """
    if fleet_demand < limit:
        return demand + (limit - fleet_demand) / max(1, routers)
    return limit * share_of(demand, fleet_demand, routers)


@define
class _Bucket:
    """A token bucket that may go into debt for one large request."""

    level: float
    filled_at: float

    def refill(self, now: float, rate: float) -> None:
        burst = max(MIN_BURST, rate * BURST_SECONDS)
        self.level = min(burst, self.level + rate * (now - self.filled_at))
        self.filled_at = now

    def wait(self, rate: float, least: float) -> float:
        """Return the seconds until the level reaches ``least``."""
        if self.level >= least:
            return 0.0
        return (least - self.level) / rate if rate > 0 else REPORT_SECONDS


@define
class _LocalUsage:
    requests: _Bucket
    tokens: _Bucket
    in_flight: int = 0
    window_start: float = 0.0
    window_requests: int = 0
    window_tokens: float = 0.0
    requests_per_second: float = 0.0
    tokens_per_second: float = 0.0


class AccountLimits:
    """One router's part of the limits of all accounts of a service.

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
        """Set how many routers are listed as live, this one included."""
        self._routers = max(1, count)

    def receive_report(self, vm: str, usages: Iterable[AccountUsage]) -> None:
        """Take in another router's report."""
        if vm != self._vm:
            by_account = {usage.account: usage for usage in usages}
            self._report_by_vm[vm] = (self._clock.monotonic(), by_account)

    def try_start(self, account: ClientAccount, weight: float) -> Rejected | None:
        """Count one request, or say why and for how long it is refused."""
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
        """Count the end of a request; correct its tokens when ``used`` is known."""
        usage = self._usage(account, self._clock.monotonic())
        usage.in_flight = max(0, usage.in_flight - 1)
        if used > 0.0:
            usage.tokens.level += expected - used

    def report(self) -> list[AccountUsage]:
        """Return this router's usage of the accounts that it sees."""
        now = self._clock.monotonic()
        reports = []
        for name in list(self._usage_by_account):
            usage = self._usage(name, now)
            self._close_window(usage, now)
            if usage.requests_per_second < 0.01 and not usage.in_flight:
                del self._usage_by_account[name]
                continue
            reports.append(_report(name, usage))
        return reports

    def share(self, account: str) -> float:
        """Return the part of the account's limits that holds here."""
        now = self._clock.monotonic()
        usage = self._usage(account, now)
        others = self._heard_of(account, now)
        own = _report(account, usage)
        demand = own.requests_per_second + own.in_flight
        fleet = demand + sum(o.requests_per_second + o.in_flight for o in others)
        heard = self._heard_part(now)
        return heard * share_of(demand, fleet, max(1, round(self._routers * heard)))

    def _check(
        self, account: ClientAccount, usage: _LocalUsage, now: float
    ) -> Rejected | None:
        share = self.share(account.name)
        if not self._has_place(account, usage, share, now):
            return Rejected("", "concurrency limit", MIN_RETRY_AFTER_SECONDS)
        others = self._heard_of(account.name, now)
        for limit, demand, name, bucket, least, reason in (
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
            if (wait := bucket.wait(rate, least)) > 0.0:
                return Rejected("", reason, max(MIN_RETRY_AFTER_SECONDS, wait))
        return None

    def _rate(self, limit: float, demand: float, fleet: float, now: float) -> float:
        heard = self._heard_part(now)
        routers = max(1, round(self._routers * heard))
        return part_of(limit * heard, demand, fleet, routers)

    def _heard_part(self, now: float) -> float:
        """Return the share of the listed routers that are heard, with this one.

        The side of a cut that has a third of the routers enforces a third of
        each limit.
        """
        oldest = now - REPORT_SECONDS
        heard = sum(at >= oldest for at, _ in self._report_by_vm.values())
        return min(1.0, (1 + heard) / self._routers)

    def _has_place(
        self, account: ClientAccount, usage: _LocalUsage, share: float, now: float
    ) -> bool:
        """Whether one more request stays within the concurrency limit.

        A router whose part is below one request still takes one while the
        reported ones leave room; that is what the routers can overshoot by.
        """
        if not account.concurrency:
            return True
        if usage.in_flight < int(account.concurrency * share):
            return True
        others = sum(o.in_flight for o in self._heard_of(account.name, now))
        return usage.in_flight == 0 and others < account.concurrency

    def _usage(self, account: str, now: float) -> _LocalUsage:
        usage = self._usage_by_account.get(account)
        if usage is None:
            usage = _LocalUsage(
                _Bucket(math.inf, now), _Bucket(math.inf, now), window_start=now
            )
            self._usage_by_account[account] = usage
        if now - usage.window_start >= DEMAND_SECONDS:
            self._close_window(usage, now)
        return usage

    def _close_window(self, usage: _LocalUsage, now: float) -> None:
        """Fold the counts since the last report into the demand."""
        passed = now - usage.window_start
        if passed <= 0.0:
            return
        part = min(1.0, passed / DEMAND_SECONDS)
        for counted, rate in (
            ("window_requests", "requests_per_second"),
            ("window_tokens", "tokens_per_second"),
        ):
            old = getattr(usage, rate)
            sample = getattr(usage, counted) / passed
            setattr(usage, rate, old + part * (sample - old))
            setattr(usage, counted, 0)
        usage.window_start = now

    def _heard_of(self, account: str, now: float) -> list[AccountUsage]:
        oldest = now - REPORT_SECONDS
        for vm in [v for v, (at, _) in self._report_by_vm.items() if at < oldest]:
            del self._report_by_vm[vm]
        return [
            by_account[account]
            for _, by_account in self._report_by_vm.values()
            if account in by_account
        ]


def _report(name: str, usage: _LocalUsage) -> AccountUsage:
    return AccountUsage(
        name,
        round(usage.requests_per_second, 2),
        round(usage.tokens_per_second, 1),
        usage.in_flight,
    )
