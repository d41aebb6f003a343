"""How often each engine fails lately, from the outcomes of real calls.

An engine can fail a part of its requests while its own health check is good.
The part of work that it gets falls steeply with its failures, compared with the
best engine beside it: when all fail alike, none is avoided.
"""

import math
from collections.abc import Sequence

from attrs import define, field

from dotterelpitch.clock import Clock

# Outcomes count half after this time, so that a mended engine gets work again.
HALF_LIFE_SECONDS = 3.0
# Outcomes that an engine without history is taken to have had, all good.
PRIOR_OUTCOMES = 4.0
# How steeply the share of work falls with the part of requests that succeed.
STEEPNESS = 4


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
    """Failures of engines, decayed over time.

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
        """Count one outcome."""
        now = self._clock.monotonic()
        outcomes = self._outcomes_by_engine.setdefault(engine_id, _Outcomes(now))
        outcomes.decay(now)
        outcomes.total += 1.0
        outcomes.failed += failed

    def shares(self, engine_ids: Sequence[str]) -> dict[str, float]:
        """Return the share of usual work of each engine, at most 1.

        A difference from the best engine counts as far as it is larger than
        chance makes it, since one VM sees only few outcomes of an engine.
        """
        success_by_id = {
            engine_id: self._success(engine_id) for engine_id in engine_ids
        }
        best = max((success for success, _ in success_by_id.values()), default=1.0)
        return {
            engine_id: min(1.0, (success + error) / best) ** STEEPNESS
            for engine_id, (success, error) in success_by_id.items()
        }

    def _success(self, engine_id: str) -> tuple[float, float]:
        """Return the part that succeeds and its standard error."""
        outcomes = self._outcomes_by_engine.get(engine_id)
        if outcomes is None:
            return 1.0, 0.0
        outcomes.decay(self._clock.monotonic())
        total = outcomes.total + PRIOR_OUTCOMES
        success = 1.0 - outcomes.failed / total
        return success, math.sqrt(success * (1.0 - success) / total)

    def retain(self, engine_ids: set[str]) -> None:
        """Forget every engine that isn't in ``engine_ids``."""
        for engine_id in self._outcomes_by_engine.keys() - engine_ids:
            del self._outcomes_by_engine[engine_id]
