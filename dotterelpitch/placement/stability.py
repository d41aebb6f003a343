"""Tracks how long a placer's view has been stable, and pauses of the process.

Two VMs may disagree for seconds on which VM places a failure domain, and on the
document in force. An order waits until the last change of either is older than
such a disagreement lasts.
"""

from attrs import define, field

from dotterelpitch.clock import Clock
from dotterelpitch.placement.view import PlacementView
from dotterelpitch.telemetry.events import Event, log_event

PAUSE_SECONDS = 3.0
SETTLE_SECONDS = 5.0


@define
class ViewStabilityTracker:
    """Records changes of one VM's view; all times are monotonic."""

    vm_name: str
    clock: Clock
    _ticked_at: float = field(init=False)
    _hold_until: float = 0.0
    _placer_by_domain: dict[str, str | None] = field(factory=dict)
    _placer_since_by_domain: dict[str, float] = field(factory=dict)
    _revision_since_by_key: dict[tuple[str, int], float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._ticked_at = self.clock.monotonic()

    def tick(self) -> None:
        """Record that the process runs, and hold orders back after a pause."""
        if self.was_paused():
            self._hold_until = self.clock.monotonic() + SETTLE_SECONDS
        self._ticked_at = self.clock.monotonic()

    def was_paused(self) -> bool:
        """Return whether the last tick was more than PAUSE_SECONDS ago."""
        return self.clock.monotonic() - self._ticked_at > PAUSE_SECONDS

    def record_view(self, view: PlacementView) -> list[str]:
        """Record ``view``; return the failure domains that this VM now places."""
        gained = []
        for domain, placer in view.placer_by_domain.items():
            if placer == self._placer_by_domain.get(domain, ""):
                continue
            self._placer_by_domain[domain] = placer
            self._placer_since_by_domain[domain] = self.clock.monotonic()
            log_event(Event.PLACER_CHANGED, failure_domain=domain, placer=placer)
            if placer == self.vm_name:
                gained.append(domain)
        self._record_revisions(view)
        return gained

    def is_settling(
        self, domain: str, service: str, revision: int, depends_on_others: bool
    ) -> bool:
        """Return whether an order has to wait for the view to become stable.

        A new document revision delays only orders that depend on other engines.
        """
        now = self.clock.monotonic()
        if now < self._hold_until:
            return True
        if now - self._placer_since_by_domain.get(domain, now) < SETTLE_SECONDS:
            return True
        revision_since = self._revision_since_by_key.get((service, revision), now)
        return depends_on_others and now - revision_since < SETTLE_SECONDS

    def _record_revisions(self, view: PlacementView) -> None:
        now = self.clock.monotonic()
        self._revision_since_by_key = {
            (d.service, d.revision): self._revision_since_by_key.get(
                (d.service, d.revision), now
            )
            for d in view.placed_documents
        }
