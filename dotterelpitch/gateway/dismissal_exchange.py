"""Tells peers which runs of engines counted as ended by silence and have gone on."""

from dotterelpitch.clock import Clock
from dotterelpitch.gateway.engine_tracker import EngineTracker
from dotterelpitch.gateway.link import Link
from dotterelpitch.gateway.peer_exchange import PeerExchange
from dotterelpitch.protocol.gateway_messages import (
    DISMISSALS_LINK_VERSION,
    DismissalDigest,
    RunDismissed,
)
from dotterelpitch.routing.dismissed_runs import Dismissal

MILLISECONDS_PER_SECOND = 1000


class DismissalExchange(PeerExchange[DismissalDigest]):
    """Creates this gateway's digests of dismissed runs and applies its peers'.

    What a peer has told is passed on, as crashes are.
    """

    message_type = DismissalDigest
    link_version = DISMISSALS_LINK_VERSION

    def __init__(self, clock: Clock, engine_tracker: EngineTracker) -> None:
        self._clock = clock
        self._engine_tracker = engine_tracker
        self._dismissed_runs = engine_tracker.suspects.dismissed_runs

    def make(self, link: Link) -> DismissalDigest | None:
        """Return the runs that a peer hasn't been told of; None without any."""
        link.dismissals_sent, dismissals = self._dismissed_runs.updates_after(
            link.dismissals_sent
        )
        if not dismissals:
            return None
        return DismissalDigest([self._report(dismissal) for dismissal in dismissals])

    def apply(self, link: Link, message: DismissalDigest) -> None:
        """Apply a peer's digest; what is known already changes nothing."""
        now = self._clock.wall()
        dismissals = [
            Dismissal(
                (run.engine, run.engine_run),
                now - max(0, run.age_ms) / MILLISECONDS_PER_SECOND,
            )
            for run in message.runs
        ]
        self._engine_tracker.record_dismissals(dismissals, link.peer.name)

    def _report(self, dismissal: Dismissal) -> RunDismissed:
        engine, run = dismissal.run_key
        age_s = max(0.0, self._clock.wall() - dismissal.at)
        return RunDismissed(engine, run, int(age_s * MILLISECONDS_PER_SECOND))
