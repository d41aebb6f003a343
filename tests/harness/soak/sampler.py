"""Samples the engines' load and records where it stays above the bound."""

import math

from tests.harness.fleet import Fleet
from tests.harness.soak.history import History
from tests.harness.waiting import pause

SAMPLE_SECONDS = 0.25
STREAM_SECONDS = 3.0
MAX_LOAD_BOUND = 1.5


class LoadSampler:
    """Compares each engine's requests in flight with the mean of all engines.

    Load above the bound is a violation only if it lasts longer than the longest
    stream: when an engine is removed, the mean drops at once, while the streams
    on the other engines still run.
    """

    def __init__(self, fleet: Fleet, history: History) -> None:
        self.samples = 0
        self.worst_ratio = 0.0
        self.violations: list[str] = []
        self._fleet = fleet
        self._history = history
        self._seconds_above_by_engine: dict[str, float] = {}

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            await pause(SAMPLE_SECONDS)
            try:
                stats = await self._fleet.engine_stats()
            except (OSError, TimeoutError):
                continue
            except Exception as error:
                if "client" not in type(error).__module__:
                    raise
                continue
            self.record_sample({name: s["in_flight"] for name, s in stats.items()})

    def record_sample(self, load_by_engine: dict[str, int]) -> None:
        """Record one sample of the requests in flight by engine."""
        if not load_by_engine:
            return
        self.samples += 1
        mean = sum(load_by_engine.values()) / len(load_by_engine)
        limit = max(1, math.ceil(MAX_LOAD_BOUND * mean))
        for name, load in load_by_engine.items():
            if mean >= 1:
                self.worst_ratio = max(self.worst_ratio, load / mean)
            above = self._seconds_above_by_engine.get(name, 0.0) + SAMPLE_SECONDS
            self._seconds_above_by_engine[name] = above if load > limit else 0.0
            if load > limit and above > STREAM_SECONDS:
                self.violations.append(f"{name}: {load} in flight, mean {mean:.1f}")
                self._seconds_above_by_engine[name] = 0.0
