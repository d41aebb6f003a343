"""Tells how long a placer's view has stood still, and whether it was paused.

Two VMs may differ for seconds on who places a failure domain and on the
document in force. An order waits until a change of either is older than that.
"""

from attrs import define, field

from dotterelpitch.clock import Clock
from dotterelpitch.placement.view import PlacementView
from dotterelpitch.telemetry.events import Event, log_event

PAUSE_SECONDS = 3.0
SETTLE_SECONDS = 5.0


@define
class ViewStabilityTracker:
    """Notes changes of the view as one VM sees them; times are monotonic."""

    vm_name: str
    clock: Clock
    _ticked_at: float = field(init=False)
    _hold_until: float = 0.0
    _placer_by_domain: dict[str, str | None] = field(factory=dict)
    _placer_since: dict[str, float] = field(factory=dict)
    _revision_since: dict[tuple[str, int], float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._ticked_at = self.clock.monotonic()

    def tick(self) -> None:
        """Note that the process runs; holds orders back after a pause."""
        if self.was_paused():
            self._hold_until = self.clock.monotonic() + SETTLE_SECONDS
        self._ticked_at = self.clock.monotonic()

    def was_paused(self) -> bool:
        """Return whether the last tick is too long ago."""
        return self.clock.monotonic() - self._ticked_at > PAUSE_SECONDS

    def record_view(self, view: PlacementView) -> list[str]:
        """Note the placers in ``view``; return the domains new to this VM."""
        gained = []
        for domain, placer in view.placer_by_domain.items():
            if placer == self._placer_by_domain.get(domain, ""):
                continue
            self._placer_by_domain[domain] = placer
            self._placer_since[domain] = self.clock.monotonic()
            log_event(Event.PLACER_CHANGED, failure_domain=domain, placer=placer)
            if placer == self.vm_name:
                gained.append(domain)
        self._note_revisions(view)
        return gained

    def is_settling(
        self, domain: str, service: str, revision: int, depends_on_others: bool
    ) -> bool:
        """Return whether an order has to wait for the view to stand still.

        A new revision holds back only orders that rest on other engines.
        """
        now = self.clock.monotonic()
        if now < self._hold_until:
            return True
        if now - self._placer_since.get(domain, now) < SETTLE_SECONDS:
            return True
        revision_since = self._revision_since.get((service, revision), now)
        return depends_on_others and now - revision_since < SETTLE_SECONDS

    def _note_revisions(self, view: PlacementView) -> None:
        now = self.clock.monotonic()
        self._revision_since = {
            (d.service, d.revision): self._revision_since.get(
                (d.service, d.revision), now
            )
            for d in view.placed_documents
        }
