"""Tells the death of an engine from the loss of single answers.

An answer can be lost while its engine lives on. An engine has died when it also
can't be connected to right after answers of it broke off; the requests that
broke off then are suspects. A cut looks the same at all engines of a failure
domain, so only the first of several at once counts.
"""

from attrs import define, field

from dotterelpitch.clock import Clock
from dotterelpitch.routing.crash_suspects import Crash, CrashSuspects

# A restart takes longer than this, so a break before it belongs to the death.
MAX_LOSS_AGE_SECONDS = 1.5
# Engines of one failure domain that go within this time go for one reason.
CUT_SECONDS = 3.0


@define
class _Break:
    at: float
    fingerprint: str


@define
class _Death:
    at: float
    engine_id: str


@define
class CrashDetector:
    """Answers that broke off lately, by engine."""

    _clock: Clock
    _suspects: CrashSuspects
    _breaks_by_engine: dict[str, list[_Break]] = field(factory=dict)
    _last_death_by_domain: dict[str, _Death] = field(factory=dict)

    def record_lost_response(self, engine_id: str, fingerprint: str) -> None:
        """Note that an answer broke off in the middle or before its start."""
        breaks = self._breaks_by_engine.setdefault(engine_id, [])
        breaks.append(_Break(self._clock.monotonic(), fingerprint))

    def record_refused_connection(
        self, engine_id: str, engine_run: str, domain: str
    ) -> list[Crash]:
        """Suspect the requests whose answers broke off just before.

        ``engine_id`` has just refused a connection; ``domain`` is its own.
        """
        now = self._clock.monotonic()
        breaks = self._breaks_by_engine.pop(engine_id, [])
        recent = [b.fingerprint for b in breaks if b.at >= now - MAX_LOSS_AGE_SECONDS]
        last = self._last_death_by_domain.get(domain)
        self._last_death_by_domain[domain] = _Death(now, engine_id)
        is_cut = (
            last is not None
            and last.engine_id != engine_id
            and now - last.at < CUT_SECONDS
        )
        if is_cut or not recent:
            return []
        return self._suspects.engine_died(engine_id, engine_run, recent)

    def expire(self) -> None:
        """Drop the breaks that no death has followed."""
        oldest = self._clock.monotonic() - MAX_LOSS_AGE_SECONDS
        for engine_id, breaks in list(self._breaks_by_engine.items()):
            kept = [b for b in breaks if b.at >= oldest]
            if kept:
                self._breaks_by_engine[engine_id] = kept
            else:
                del self._breaks_by_engine[engine_id]
