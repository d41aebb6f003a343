"""How slow each engine is beside the others, learned from the responses of all VMs.

Engines of one service differ in speed, some slow down under load, and their speed
changes. Each response says how long its engine took against what requests of its route
usually take. The samples of all VMs are merged, so that the estimate of an engine is
seconds old although one VM hardly hears of it.
"""

import math
import statistics
from collections.abc import Callable, Collection, Iterable

from attrs import define, field, frozen

from dotterelpitch.clock import Clock

# Samples lose half of their weight in this time, so that a change is followed.
HALF_LIFE_SECONDS = 1.5
# What a route usually takes is averaged over this time.
USUAL_HALF_LIFE_SECONDS = 20.0
# Fewer samples than this don't say what is usual.
MIN_USUAL_SAMPLES = 5.0
# An engine without samples counts as average; this many samples weigh as much.
PRIOR_SAMPLES = 1.0
# How far single samples spread around an engine's mean, as a natural logarithm.
SAMPLE_SPREAD = 0.6
# A single sample counts at most for a factor of about seven, as a natural logarithm.
MAX_LOG_RATIO = 2.0
# Differences below this factor aren't worth reading prompts again elsewhere.
TOLERATED_FACTOR = 1.25
# Even the slowest engine keeps this share of its traffic, so that its recovery is seen.
MIN_SHARE = 0.25
# The shares of a service are computed again after this time.
REFRESH_SECONDS = 0.2


@frozen
class SpeedSamples:
    """Samples of one engine: how many, and the sum of their log ratios."""

    count: int
    log_sum: float


@define
class _DecayingMean:
    """A mean of samples whose weight halves in each half-life."""

    half_life_s: float
    weight: float = 0.0
    total: float = 0.0
    at: float = 0.0

    def add(self, now: float, count: float, total: float) -> None:
        """Add ``count`` samples with a sum of ``total``."""
        self._decay(now)
        self.weight += count
        self.total += total

    def weight_at(self, now: float) -> float:
        """Return how many samples the mean is made of."""
        self._decay(now)
        return self.weight

    def _decay(self, now: float) -> None:
        factor = 0.5 ** (max(0.0, now - self.at) / self.half_life_s)
        self.weight *= factor
        self.total *= factor
        self.at = now


@frozen
class _Shares:
    """The shares of the engines of a service as of ``at``, with their ids."""

    at: float
    engine_ids: tuple[str, ...]
    share_by_id: dict[str, float]


def _ignore(engine_id: str, samples: SpeedSamples) -> None:
    """Ignore a sample."""


@define
class EngineSpeeds:
    """The estimated slowness of each engine, and the share of traffic that suits it.

    ``on_sample`` is called with each sample of this VM, for the peers. Unless
    ``is_learning``, samples are ignored and all engines get all of their traffic.

    >>> from dotterelpitch.clock import ManualClock
    >>> clock = ManualClock(10.0)
    >>> speeds = EngineSpeeds(clock)
    >>> for _ in range(20):
    ...     for engine_id, seconds in (("e1", 0.1), ("e2", 0.1), ("e3", 0.4)):
    ...         speeds.record(engine_id, "chat", seconds)
    >>> shares = speeds.shares(["e1", "e2", "e3"])
    >>> shares["e1"], shares["e3"] < 0.5
    (1.0, True)
    """

    _clock: Clock
    on_sample: Callable[[str, SpeedSamples], None] = _ignore
    is_learning: bool = True
    _mean_by_engine: dict[str, _DecayingMean] = field(factory=dict)
    _usual_by_route: dict[str, _DecayingMean] = field(factory=dict)
    _shares_by_first_id: dict[str, _Shares] = field(factory=dict)

    def record(self, engine_id: str, route: str, seconds: float) -> None:
        """Record that a response started ``seconds`` after its request was sent.

        Only requests at their usual engine are to be recorded; others may have their
        whole prompt read first.
        """
        if not self.is_learning:
            return
        now = self._clock.monotonic()
        log_seconds = math.log(max(seconds, 1e-4))
        usual = self._usual_by_route.get(route)
        if usual is None:
            usual = _DecayingMean(USUAL_HALF_LIFE_SECONDS)
            self._usual_by_route[route] = usual
        if usual.weight_at(now) >= MIN_USUAL_SAMPLES:
            log_ratio = log_seconds - usual.total / usual.weight
            log_ratio = min(MAX_LOG_RATIO, max(-MAX_LOG_RATIO, log_ratio))
            samples = SpeedSamples(1, log_ratio)
            self.merge(engine_id, samples)
            self.on_sample(engine_id, samples)
        usual.add(now, 1.0, log_seconds)

    def merge(self, engine_id: str, samples: SpeedSamples) -> None:
        """Add samples of this VM or of another one."""
        if not self.is_learning:
            return
        mean = self._mean_by_engine.get(engine_id)
        if mean is None:
            mean = self._mean_by_engine[engine_id] = _DecayingMean(HALF_LIFE_SECONDS)
        mean.add(self._clock.monotonic(), samples.count, samples.log_sum)

    def shares(self, engine_ids: Collection[str]) -> dict[str, float]:
        """Return the share of normal traffic by engine, from ``MIN_SHARE`` to 1.

        An engine that is surely slower than most of the others gets as much less as it
        is slower. If all are slow alike, that isn't for the choice among them to mend.
        """
        ids = tuple(engine_ids)
        if not self._mean_by_engine or not ids:
            return dict.fromkeys(ids, 1.0)
        now = self._clock.monotonic()
        known = self._shares_by_first_id.get(ids[0])
        if known and known.engine_ids == ids and now - known.at < REFRESH_SECONDS:
            return known.share_by_id
        share_by_id = self._compute(ids, now)
        self._shares_by_first_id[ids[0]] = _Shares(now, ids, share_by_id)
        return share_by_id

    def slowness(self, engine_ids: Iterable[str]) -> dict[str, float]:
        """Return by which factor each engine is slower than the average."""
        now = self._clock.monotonic()
        return {i: math.exp(self._estimate(i, now)[0]) for i in engine_ids}

    def known_ids(self) -> list[str]:
        """Return the engines of which there are samples."""
        return list(self._mean_by_engine)

    def retain(self, engine_ids: set[str]) -> None:
        """Forget all engines that aren't in ``engine_ids``."""
        for engine_id in self._mean_by_engine.keys() - engine_ids:
            del self._mean_by_engine[engine_id]
        self._shares_by_first_id.clear()

    def forget(self, engine_id: str) -> None:
        """Forget an engine whose run has ended; its next run may differ."""
        self._mean_by_engine.pop(engine_id, None)

    def _compute(self, engine_ids: tuple[str, ...], now: float) -> dict[str, float]:
        estimates = [self._estimate(engine_id, now) for engine_id in engine_ids]
        usual = statistics.median(mean for mean, _ in estimates)
        return {
            engine_id: _share(mean - error - usual)
            for engine_id, (mean, error) in zip(engine_ids, estimates, strict=True)
        }

    def _estimate(self, engine_id: str, now: float) -> tuple[float, float]:
        """Return the mean log ratio of an engine and its standard error."""
        mean = self._mean_by_engine.get(engine_id)
        if mean is None:
            return 0.0, SAMPLE_SPREAD
        count = mean.weight_at(now) + PRIOR_SAMPLES
        return mean.total / count, SAMPLE_SPREAD / math.sqrt(count)


def _share(log_excess: float) -> float:
    """Return the share of an engine that is slower by the given logarithm."""
    if log_excess <= math.log(TOLERATED_FACTOR):
        return 1.0
    return max(MIN_SHARE, math.exp(-log_excess))
