"""Recent error rate of each engine, from the outcomes of real calls.

An engine can fail some of its requests while its health check passes. Its share
of traffic falls steeply with its error rate relative to the best engine of the
service, so no engine is avoided when all fail alike.
"""

import math
from collections.abc import Sequence

from attrs import define, field

from dotterelpitch.clock import Clock

# Outcomes decay with this half-life, so that a recovered engine gets traffic again.
HALF_LIFE_SECONDS = 3.0
# Assumed successes that are added to the counts of each engine: an engine without
# history counts as good, and a few outcomes don't dominate its rate.
PRIOR_OUTCOMES = 4.0
# The share of traffic is the relative success rate to this power.
SHARE_EXPONENT = 4


@define
class _Outcomes:
    at: float
    total: float = 0.0
    failed: float = 0.0

    def decay(self, now: float) -> None:
        factor = 0.5 ** ((now - self.at) / HALF_LIFE_SECONDS)
        self.total *= factor
        self.failed *= factor
        self.at = now


@define
class ErrorRates:
    """Success and failure counts by engine, decayed exponentially over time.

    >>> from dotterelpitch.clock import ManualClock
    >>> rates = ErrorRates(ManualClock())
    >>> for _ in range(8):
    ...     rates.record("e1", failed=True)
    >>> rates.shares(["e1", "e2"])["e2"]
    1.0
    >>> rates.shares(["e1", "e2"])["e1"] < 0.1
    True
    """

    _clock: Clock
    _outcomes_by_engine: dict[str, _Outcomes] = field(factory=dict)

    def record(self, engine_id: str, failed: bool) -> None:
        """Count the outcome of one call."""
        now = self._clock.monotonic()
        outcomes = self._outcomes_by_engine.setdefault(engine_id, _Outcomes(now))
        outcomes.decay(now)
        outcomes.total += 1.0
        outcomes.failed += failed

    def shares(self, engine_ids: Sequence[str]) -> dict[str, float]:
        """Return the share of normal traffic by engine, at most 1.

        One standard error is added to the success rate before it is compared with
        the best engine's, since one VM sees few outcomes of an engine and a small
        difference may be chance.
        """
        success_rate_by_id = {
            engine_id: self._success_rate(engine_id) for engine_id in engine_ids
        }
        best = max((rate for rate, _ in success_rate_by_id.values()), default=1.0)
        return {
            engine_id: min(1.0, (rate + error) / best) ** SHARE_EXPONENT
            for engine_id, (rate, error) in success_rate_by_id.items()
        }

    def _success_rate(self, engine_id: str) -> tuple[float, float]:
        """Return the success rate of an engine and its standard error."""
        outcomes = self._outcomes_by_engine.get(engine_id)
        if outcomes is None:
            return 1.0, 0.0
        outcomes.decay(self._clock.monotonic())
        total = outcomes.total + PRIOR_OUTCOMES
        rate = 1.0 - outcomes.failed / total
        return rate, math.sqrt(rate * (1.0 - rate) / total)

    def retain(self, engine_ids: set[str]) -> None:
        """Remove the counts of all engines that aren't in ``engine_ids``."""
        for engine_id in self._outcomes_by_engine.keys() - engine_ids:
            del self._outcomes_by_engine[engine_id]
