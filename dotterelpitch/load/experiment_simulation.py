"""Discrete-event simulation of routing decisions with simulated engines."""

import heapq
import itertools
import random
from abc import ABC, abstractmethod
from collections.abc import Callable

import attrs

from dotterelpitch.clock import ManualClock
from dotterelpitch.load.experiment_workload import (
    MEAN_OUTPUT_TOKENS,
    SECONDS_PER_TOKEN,
    Call,
    Deployment,
    ExperimentWorkload,
    SimulatedEngine,
)

SAMPLE_INTERVAL_SECONDS = 0.5
GOSSIP_INTERVAL_SECONDS = 1.0
CACHE_TOKENS_PER_ENGINE = 200_000
# Each router sees an engine's replacement after a random delay of up to this.
MAX_VIEW_DELAY_SECONDS = 3.0
SURGING_ACCOUNT = "account-0"


@attrs.frozen
class Scenario:
    """Parameters of a simulated run; times are in seconds.

    ``utilisation`` is the load relative to the capacity of engines that have every
    prefix cached. ``cold_ratio`` is the ratio of the mean service time without the
    cached prefix to that with it. ``churn`` is the share of engines replaced per
    minute. One account's traffic grows by the factor ``surge`` from second
    ``surge_from`` on.
    """

    deployment: Deployment
    utilisation: float = 0.6
    cold_ratio: float = 1.5
    seconds: float = 120.0
    warm_up: float = 30.0
    churn: float = 0.0
    seed: int = 1
    surge: float = 1.0
    surge_from: float = 60.0

    @property
    def rate(self) -> float:
        """Arrival rate in requests per second."""
        slots = self.deployment.engines * self.deployment.slots
        return self.utilisation * slots / (MEAN_OUTPUT_TOKENS * SECONDS_PER_TOKEN)


class Strategy(ABC):
    """Decides where calls run; the simulation calls its methods on each event."""

    name: str

    def attach(self, simulation: "Simulation") -> None:
        """Initialize the state for a run of ``simulation``."""
        self.simulation = simulation

    @abstractmethod
    def call_arrived(self, call: Call, vm: int) -> None:
        """Start, queue, or refuse a call that arrived at the router of ``vm``."""

    def call_finished(self, call: Call) -> None:  # noqa: B027
        """Update the state after a call has finished."""

    def gossip(self) -> None:  # noqa: B027
        """Exchange reports between the routers."""

    def engines_changed(self, vm: int) -> None:  # noqa: B027
        """Update the router of ``vm`` to the current list of live engines."""


class Simulation:
    """One run of a strategy in a scenario, with the calls and loads it recorded.

    ``load_skew_samples`` are ratios of the highest to the mean engine load.
    """

    def __init__(self, scenario: Scenario, strategy: Strategy) -> None:
        self.scenario = scenario
        self.deployment = scenario.deployment
        self.clock = ManualClock()
        self.random = random.Random(scenario.seed + 1)
        self.engine_by_name: dict[str, SimulatedEngine] = {}
        self.calls: list[Call] = []
        self.refused: list[Call] = []
        self.load_skew_samples: list[float] = []
        self.load_sum_by_engine: dict[str, float] = {}
        self.over_bound = 0
        self._event_numbers = itertools.count()
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._engine_numbers = itertools.count()
        self.workload = ExperimentWorkload(
            self.deployment, scenario.rate, scenario.seconds, scenario.seed
        )
        if scenario.surge > 1.0:
            self.workload.surging_account = SURGING_ACCOUNT
            self.workload.surge_factor = scenario.surge
            self.workload.surge_from = scenario.surge_from
        for _ in range(self.deployment.engines):
            self._add_engine()
        self.strategy = strategy
        strategy.attach(self)

    def run(self) -> "Simulation":
        """Run until the workload is finished and return self.

        Calls that are unfinished 60 seconds after ``scenario.seconds`` are left out.
        """
        self._schedule_timers()
        calls = self.workload.calls()
        self._schedule_next(calls)
        while self._events:
            at, _, action, arguments = heapq.heappop(self._events)
            self.clock.advance(max(0.0, at - self.clock.monotonic()))
            if self.clock.monotonic() > self.scenario.seconds + 60.0:
                break
            action(*arguments)
        return self

    def schedule(self, time: float, action: Callable, *arguments: object) -> None:
        """Schedule ``action`` for ``time``, in seconds since the start."""
        heapq.heappush(
            self._events, (time, next(self._event_numbers), action, arguments)
        )

    @property
    def now(self) -> float:
        """Simulated time in seconds since the start."""
        return self.clock.monotonic()

    def live_engines(self) -> list[SimulatedEngine]:
        """Return the engines that accept new calls."""
        return [e for e in self.engine_by_name.values() if e.is_live]

    def add_load(self, call: Call, engine: str, weight: float) -> None:
        """Assign a call to an engine and add ``weight`` to the engine's load."""
        call.engine, call.weight = engine, weight
        self.engine_by_name[engine].load += weight

    def start(self, call: Call) -> None:
        """Start a call on its engine and schedule its end."""
        engine = self.engine_by_name[call.engine]
        engine.running += 1
        call.started = self.now
        call.reusable_tokens = max(
            e.cached_tokens(call.chat) for e in self.live_engines()
        )
        call.reused_tokens = engine.cached_tokens(call.chat)
        self.schedule(
            self.now + self._service_seconds(call, engine), self._finish, call
        )

    def expected_cold_ratio(self, call: Call) -> float:
        """Return the expected ratio of service times without and with the prefix."""
        extra = MEAN_OUTPUT_TOKENS * (self.scenario.cold_ratio - 1.0)
        return 1.0 + extra / call.expected_tokens

    def refuse(self, call: Call) -> None:
        """Record a call as refused; it isn't run."""
        self.refused.append(call)

    def _service_seconds(self, call: Call, engine: SimulatedEngine) -> float:
        decode = call.output_tokens * SECONDS_PER_TOKEN
        if call.chat.history_tokens == 0:
            return decode
        missing = 1.0 - call.reused_tokens / call.chat.history_tokens
        extra = MEAN_OUTPUT_TOKENS * (self.scenario.cold_ratio - 1.0)
        return decode + missing * extra * SECONDS_PER_TOKEN

    def _finish(self, call: Call) -> None:
        engine = self.engine_by_name[call.engine]
        engine.running -= 1
        engine.load = max(0.0, engine.load - call.weight)
        call.ended = self.now
        self.calls.append(call)
        tokens = call.chat.history_tokens + call.prompt_tokens + call.output_tokens
        engine.cache_prefix(call.chat, tokens)
        self.workload.record_end(call)
        self.strategy.call_finished(call)

    def _schedule_next(self, calls) -> None:
        call = next(calls, None)
        if call is not None:
            self.schedule(call.arrived, self._arrive, call, calls)

    def _arrive(self, call: Call, calls) -> None:
        self._schedule_next(calls)
        call.is_returning = call.chat.history_tokens > 0
        self.strategy.call_arrived(call, self.random.randrange(self.deployment.vms))

    def _schedule_timers(self) -> None:
        scenario = self.scenario
        ticks = int(scenario.seconds / SAMPLE_INTERVAL_SECONDS)
        for tick in range(ticks):
            at = tick * SAMPLE_INTERVAL_SECONDS
            if at >= scenario.warm_up:
                self.schedule(at, self._sample)
        for tick in range(int(scenario.seconds / GOSSIP_INTERVAL_SECONDS) + 60):
            self.schedule(tick * GOSSIP_INTERVAL_SECONDS, self.strategy.gossip)
        if scenario.churn:
            gap = 60.0 / (scenario.churn * self.deployment.engines)
            for tick in range(1, int(scenario.seconds / gap)):
                self.schedule(tick * gap, self._replace_engine)

    def _sample(self) -> None:
        loads = [engine.load for engine in self.live_engines()]
        mean = sum(loads) / len(loads)
        if mean > 0:
            self.load_skew_samples.append(max(loads) / mean)
        for engine in self.live_engines():
            total = self.load_sum_by_engine.get(engine.name, 0.0)
            self.load_sum_by_engine[engine.name] = total + engine.load

    def _add_engine(self) -> SimulatedEngine:
        name = f"engine-{next(self._engine_numbers)}"
        engine = SimulatedEngine(name, self.deployment.slots, CACHE_TOKENS_PER_ENGINE)
        self.engine_by_name[name] = engine
        return engine

    def _replace_engine(self) -> None:
        self.random.choice(self.live_engines()).is_live = False
        self._add_engine()
        for vm in range(self.deployment.vms):
            delay = self.random.uniform(0.0, MAX_VIEW_DELAY_SECONDS)
            self.schedule(self.now + delay, self.strategy.engines_changed, vm)
