"""Routing experiment that compares the router's decisions with simpler strategies.

The decision code runs in one process with a simulated clock and simulated engines.
Every strategy gets the same seeded workload.
"""

import itertools
from collections.abc import Iterator

import attrs

from dotterelpitch.load.experiment_costs import costs
from dotterelpitch.load.experiment_limits import ROUTERS, TRAFFIC, admitted_ratio
from dotterelpitch.load.experiment_policies import POLICY_BY_NAME
from dotterelpitch.load.experiment_report import (
    HEADINGS,
    summarize_other_accounts,
    summarize_run,
)
from dotterelpitch.load.experiment_simulation import Scenario, Simulation, Strategy
from dotterelpitch.load.experiment_strategies import (
    BoundAtOwner,
    BoundPerRouter,
    PlainRendezvous,
    PowerOfTwoChoices,
    RandomChoice,
)
from dotterelpitch.load.experiment_workload import DEPLOYMENTS
from dotterelpitch.load.settings import ALL_PARTS, ExperimentSettings

UTILISATIONS = (0.2, 0.4, 0.6, 0.8, 0.95)
COLD_RATIOS = (1.1, 1.5, 2.0, 4.0)
STALLING_UTILISATIONS = (0.2, 0.35, 0.5, 0.65, 0.8, 0.95)
CHURN_PER_MINUTE = 0.1
SURGE_FACTOR = 50.0
SURGE_LIMIT_FACTOR = 3.0


def baselines(settings: ExperimentSettings) -> Iterator[str]:
    """Compare the strategies at several utilisations."""
    rows_by_strategy: dict[str, list] = {}
    for utilisation in UTILISATIONS:
        yield f"\n{settings.deployment}, utilisation {utilisation}\n{HEADINGS}"
        for strategy in _strategies():
            scenario = _scenario(settings, utilisation=utilisation)
            row = summarize_run(Simulation(scenario, strategy).run())
            rows_by_strategy.setdefault(strategy.name, []).append(row)
            yield row.line()
    if settings.plot:
        from dotterelpitch.load.experiment_plot import write_plot

        write_plot(settings.plot, UTILISATIONS, rows_by_strategy)
        yield f"plot: {settings.plot}"


def stalling(settings: ExperimentSettings) -> Iterator[str]:
    """Compare the stalling policies by mean latency in seconds and prefix reuse.

    A stalling policy decides whether a call waits for the busy engine that has its
    prefix cached, or starts on another one.
    """
    yield f"\n{settings.deployment}, mean seconds of a call / reuse"
    names = list(POLICY_BY_NAME)
    yield f"{'ratio':>5} {'util':>5} " + " ".join(f"{name:>16}" for name in names)
    for ratio, utilisation in itertools.product(COLD_RATIOS, STALLING_UTILISATIONS):
        cells = []
        for name in names:
            scenario = _scenario(settings, utilisation=utilisation, cold_ratio=ratio)
            row = summarize_run(Simulation(scenario, BoundAtOwner(name)).run())
            cells.append(f"{row.mean:.2f} / {row.reuse:.2f}")
        line = " ".join(f"{cell:>16}" for cell in cells)
        yield f"{ratio:>5} {utilisation:>5} {line}"


def churn(settings: ExperimentSettings) -> Iterator[str]:
    """Compare the strategies while 10% of the engines are replaced each minute."""
    yield f"\n{settings.deployment}, churn {CHURN_PER_MINUTE} a minute\n{HEADINGS}"
    for utilisation, strategy in itertools.product((0.4, 0.6, 0.8), _strategies()):
        scenario = _scenario(
            settings,
            utilisation=utilisation,
            churn=CHURN_PER_MINUTE,
            seconds=max(300.0, settings.seconds),
        )
        yield summarize_run(Simulation(scenario, strategy).run()).line()


def surge(settings: ExperimentSettings) -> Iterator[str]:
    """Show how a 50-fold increase of one account's traffic affects the others.

    Compares runs with and without a rate limit for each account.
    """
    yield f"\n{settings.deployment}, other accounts, before and in the surge"
    for label, factor in (("with limits", SURGE_LIMIT_FACTOR), ("without limits", 0.0)):
        for utilisation in (0.4, 0.6):
            baseline = _scenario(settings, utilisation=utilisation)
            surging = attrs.evolve(baseline, surge=SURGE_FACTOR)
            before, after = (
                summarize_other_accounts(
                    Simulation(scenario, BoundAtOwner(limit_factor=factor)).run()
                )
                for scenario in (baseline, surging)
            )
            yield (
                f"{label:<15} utilisation {utilisation}: "
                f"p99 {before.p99:.2f} s, {after.p99:.2f} s "
                f"(ratio {after.p99 / before.p99:.2f}); "
                f"p99 of the wait {before.wait_p99:.2f} s, {after.wait_p99:.2f} s; "
                f"refused {before.refused} of {before.calls}, "
                f"{after.refused} of {after.calls}"
            )


def limits(settings: ExperimentSettings) -> Iterator[str]:
    """Show the ratio of admitted rate to limit, by traffic and split of the limit."""
    yield f"\n{ROUTERS} routers, admitted rate over the limit"
    yield f"{'traffic':<14} {'demand':>6} {'even parts':>10} {'by demand':>10}"
    for traffic, factor in itertools.product(TRAFFIC, (0.8, 4.0)):
        even_share, shared = (
            admitted_ratio(traffic, factor, by_demand, settings.seed)
            for by_demand in (False, True)
        )
        yield f"{traffic.name:<14} {factor:>6} {even_share:>10.2f} {shared:>10.2f}"


PART_BY_NAME = {
    "baselines": baselines,
    "stalling": stalling,
    "churn": churn,
    "surge": surge,
    "limits": limits,
    "costs": lambda _: costs(),
}


def experiment_lines(settings: ExperimentSettings) -> Iterator[str]:
    """Run the selected parts and yield their tables line by line."""
    names = PART_BY_NAME if settings.part == ALL_PARTS else [settings.part]
    for name in names:
        yield from PART_BY_NAME[name](settings)


def experiment(settings: ExperimentSettings) -> None:
    """Print each line of the tables as soon as it is available."""
    for line in experiment_lines(settings):
        print(line, flush=True)


def _strategies() -> list[Strategy]:
    return [
        RandomChoice(),
        PowerOfTwoChoices(),
        PlainRendezvous(),
        BoundPerRouter(),
        BoundAtOwner(),
    ]


def _scenario(settings: ExperimentSettings, **values: float) -> Scenario:
    deployment = DEPLOYMENTS[settings.deployment]
    merged = {
        "cold_ratio": deployment.cold_ratio,
        "seconds": settings.seconds,
        "seed": settings.seed,
        **values,
    }
    return Scenario(deployment, **merged)
