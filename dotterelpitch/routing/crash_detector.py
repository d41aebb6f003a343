"""Distinguishes the crash of an engine from the loss of single responses.

A response can be lost while its engine keeps running. An engine has crashed if it
also refuses a connection right after responses from it were lost; the requests of
those responses become crash suspects. When a failure domain is cut off, all its
engines show the same signs, so of those that fail at nearly the same time only the
first counts as crashed.
"""

from enum import StrEnum

from attrs import define, field, frozen

from dotterelpitch.clock import Clock
from dotterelpitch.routing.crash_suspects import Crash, CrashSuspects

# A restart takes longer than this, so a response that was lost within this time
# before a refused connection was lost in the same crash.
MAX_LOSS_AGE_SECONDS = 1.5
# Engines of one failure domain that fail within this time share one cause.
DOMAIN_OUTAGE_SECONDS = 3.0


class Dismissal(StrEnum):
    """Why lost responses weren't taken for a crash; the values are logged."""

    NO_REFUSAL = "no connection was refused in time"
    DOMAIN_OUTAGE = "another engine of the domain refused just before"


@frozen
class DismissedLoss:
    """Lost responses of one engine that weren't taken for a crash."""

    engine_id: str
    fingerprints: tuple[str, ...]
    reason: Dismissal


@define
class _LostResponse:
    at: float
    fingerprint: str


@define
class _RefusedConnection:
    at: float
    engine_id: str


@define
class CrashDetector:
    """Detects crashes from lost responses and refused connections.

    Holds the recently lost responses by engine, and the last refused connection by
    failure domain. Crashes are recorded in ``suspects``.
    """

    _clock: Clock
    _suspects: CrashSuspects
    _losses_by_engine: dict[str, list[_LostResponse]] = field(factory=dict)
    _last_refusal_by_domain: dict[str, _RefusedConnection] = field(factory=dict)
    _dismissed: list[DismissedLoss] = field(factory=list)

    def record_lost_response(self, engine_id: str, fingerprint: str) -> None:
        """Record a response that was lost before its start or in the middle."""
        losses = self._losses_by_engine.setdefault(engine_id, [])
        losses.append(_LostResponse(self._clock.monotonic(), fingerprint))

    def record_refused_connection(
        self, engine_id: str, engine_run: str, domain: str
    ) -> list[Crash]:
        """Record a refused connection and return the crashes that it reveals.

        Requests whose responses from the engine were lost just before become
        suspects. ``domain`` is the failure domain of the engine. Returns an empty
        list if no response was lost or the whole domain seems cut off.
        """
        now = self._clock.monotonic()
        losses = self._losses_by_engine.pop(engine_id, [])
        recent = [
            loss.fingerprint for loss in losses if loss.at >= now - MAX_LOSS_AGE_SECONDS
        ]
        last = self._last_refusal_by_domain.get(domain)
        self._last_refusal_by_domain[domain] = _RefusedConnection(now, engine_id)
        is_domain_outage = (
            last is not None
            and last.engine_id != engine_id
            and now - last.at < DOMAIN_OUTAGE_SECONDS
        )
        if is_domain_outage and recent:
            self._dismiss(engine_id, recent, Dismissal.DOMAIN_OUTAGE)
        if is_domain_outage or not recent:
            return []
        return self._suspects.engine_died(engine_id, engine_run, recent)

    def expire(self) -> None:
        """Remove lost responses that are too old to belong to a crash."""
        oldest = self._clock.monotonic() - MAX_LOSS_AGE_SECONDS
        for engine_id, losses in list(self._losses_by_engine.items()):
            kept = [loss for loss in losses if loss.at >= oldest]
            expired = [loss.fingerprint for loss in losses if loss.at < oldest]
            if expired:
                self._dismiss(engine_id, expired, Dismissal.NO_REFUSAL)
            if kept:
                self._losses_by_engine[engine_id] = kept
            else:
                del self._losses_by_engine[engine_id]

    def take_dismissed(self) -> list[DismissedLoss]:
        """Return the losses dismissed since the last call."""
        dismissed, self._dismissed = self._dismissed, []
        return dismissed

    def _dismiss(
        self, engine_id: str, fingerprints: list[str], reason: Dismissal
    ) -> None:
        self._dismissed.append(DismissedLoss(engine_id, tuple(fingerprints), reason))
