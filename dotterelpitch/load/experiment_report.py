"""Metrics of one simulated run, as a row of a table."""

import math
import statistics

import attrs

from dotterelpitch.load.experiment_simulation import SURGING_ACCOUNT, Simulation
from dotterelpitch.load.experiment_workload import Call

HEADINGS = (
    f"{'strategy':<32} {'calls':>6} {'skew':>5} {'p95':>5} {'long':>5} "
    f"{'reuse':>6} {'mean s':>7} {'p99 s':>7} {'wait99':>7} {'refused':>7} {'over':>5}"
)


@attrs.frozen
class Row:
    """Metrics of one strategy after the warm-up; times are in seconds.

    ``skew`` is the mean over time of the ratio of the highest to the mean engine
    load, ``skew_p95`` its 95th percentile, and ``long_skew`` the same ratio for the
    loads summed over time. ``reuse`` is the share of the prefix tokens cached on any
    live engine that the call found on its own engine. ``mean`` and ``p99`` are
    latencies, ``wait_p99`` is the 99th percentile of the queueing time.
    ``refused`` counts refused calls, and ``over_bound`` admissions above the load
    bound of the admission owner; both include the warm-up.
    """

    strategy: str
    calls: int
    skew: float
    skew_p95: float
    long_skew: float
    reuse: float
    mean: float
    p99: float
    wait_p99: float
    refused: int
    over_bound: int

    def line(self) -> str:
        """Return the row as text, aligned with ``HEADINGS``."""
        return (
            f"{self.strategy:<32} {self.calls:>6} {self.skew:>5.2f} "
            f"{self.skew_p95:>5.2f} {self.long_skew:>5.2f} {self.reuse:>6.3f} "
            f"{self.mean:>7.2f} {self.p99:>7.2f} {self.wait_p99:>7.2f} "
            f"{self.refused:>7} {self.over_bound:>5}"
        )


def summarize_run(simulation: Simulation) -> Row:
    """Return the metrics of a finished run."""
    calls = _calls_after_warm_up(simulation)
    latencies = [call.ended - call.arrived for call in calls]
    loads = list(simulation.load_sum_by_engine.values())
    reusable_tokens = sum(call.reusable_tokens for call in calls)
    return Row(
        strategy=simulation.strategy.name,
        calls=len(calls),
        skew=statistics.mean(simulation.load_skew_samples),
        skew_p95=quantile(simulation.load_skew_samples, 0.95),
        long_skew=max(loads) / statistics.mean(loads),
        reuse=sum(call.reused_tokens for call in calls) / max(1, reusable_tokens),
        mean=statistics.mean(latencies),
        p99=quantile(latencies, 0.99),
        wait_p99=quantile([call.started - call.arrived for call in calls], 0.99),
        refused=len(simulation.refused),
        over_bound=simulation.over_bound,
    )


@attrs.frozen
class OtherAccounts:
    """Metrics of all accounts but the surging one, since the surge began.

    ``p99`` and ``wait_p99`` are the latency and the queueing time in seconds of the
    calls that weren't refused.
    """

    calls: int
    refused: int
    p99: float
    wait_p99: float


def summarize_other_accounts(simulation: Simulation) -> OtherAccounts:
    """Return the metrics of the accounts that don't surge."""
    start = simulation.scenario.surge_from

    def is_counted(call: Call) -> bool:
        return call.arrived >= start and call.chat.account != SURGING_ACCOUNT

    served = [call for call in simulation.calls if is_counted(call)]
    refused = sum(is_counted(call) for call in simulation.refused)
    return OtherAccounts(
        calls=len(served) + refused,
        refused=refused,
        p99=quantile([call.ended - call.arrived for call in served], 0.99),
        wait_p99=quantile([call.started - call.arrived for call in served], 0.99),
    )


def quantile(values: list[float], share: float) -> float:
    """Return the quantile of ``values`` at ``share`` (0 to 1), or NaN without any."""
    if not values:
        return math.nan
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _calls_after_warm_up(simulation: Simulation) -> list[Call]:
    warm_up = simulation.scenario.warm_up
    return [call for call in simulation.calls if call.arrived >= warm_up]
