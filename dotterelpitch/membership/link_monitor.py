"""Detects failed links and pauses of this process, with hysteresis.

A link goes down after a period of silence, or shortly after its connection is
lost. It comes up again only after data has arrived from the peer for a while, and
that recovery time doubles for a link that keeps flapping.
"""

from enum import StrEnum

from dotterelpitch.clock import Clock

HEARTBEAT_SECONDS = 1.0
SILENCE_SECONDS = 2.5
RECONNECT_GRACE_SECONDS = 1.0
RECOVERY_SECONDS = 0.5
MAX_RECOVERY_SECONDS = 8.0
STABLE_SECONDS = 60.0
PAUSE_SECONDS = 2.0


class LinkState(StrEnum):
    """The state of the link to one peer."""

    UP = "up"
    RECOVERING = "recovering"
    DOWN = "down"


class LinkMonitor:
    """Tracks the state of one link; a new link is up once data has arrived.

    >>> from dotterelpitch.clock import ManualClock
    >>> clock = ManualClock()
    >>> monitor = LinkMonitor(clock)
    >>> monitor.record_received()
    >>> clock.advance(3.0)
    >>> monitor.state.value
    'down'
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._state = LinkState.DOWN
        self._ever_received = False
        self._received_at = float("-inf")
        self._disconnected_at: float | None = None
        self._changed_at = float("-inf")
        self._recovery_seconds = RECOVERY_SECONDS

    @property
    def state(self) -> LinkState:
        """The state now, with all timeouts applied."""
        now = self._clock.monotonic()
        if self._state is not LinkState.DOWN and self._is_silent(now):
            self._mark_down(now)
        elif self._state is LinkState.RECOVERING:
            self._mark_up_if_recovered(now)
        return self._state

    def record_received(self) -> None:
        """Record that data has arrived from the peer."""
        state = self.state
        now = self._clock.monotonic()
        self._received_at = now
        self._disconnected_at = None
        if state is LinkState.UP:
            self._reset_recovery_if_stable(now)
        elif not self._ever_received:
            self._ever_received = True
            self._set_state(LinkState.UP, now)
        elif state is LinkState.DOWN:
            self._set_state(LinkState.RECOVERING, now)

    def record_disconnect(self) -> None:
        """Record that the connection was lost; data from the peer cancels this."""
        if self._disconnected_at is None:
            self._disconnected_at = self._clock.monotonic()

    def reset_silence(self) -> None:
        """Restart the silence timeout, after this process itself has been paused."""
        now = self._clock.monotonic()
        if self._state is not LinkState.DOWN:
            self._received_at = max(self._received_at, now)

    def _is_silent(self, now: float) -> bool:
        if now - self._received_at >= SILENCE_SECONDS:
            return True
        return (
            self._disconnected_at is not None
            and now - self._disconnected_at >= RECONNECT_GRACE_SECONDS
        )

    def _mark_down(self, now: float) -> None:
        if now - self._changed_at < STABLE_SECONDS:
            self._recovery_seconds = min(
                self._recovery_seconds * 2, MAX_RECOVERY_SECONDS
            )
        self._set_state(LinkState.DOWN, now)

    def _mark_up_if_recovered(self, now: float) -> None:
        if now - self._changed_at >= self._recovery_seconds:
            self._set_state(LinkState.UP, now)

    def _reset_recovery_if_stable(self, now: float) -> None:
        if now - self._changed_at >= STABLE_SECONDS:
            self._recovery_seconds = RECOVERY_SECONDS

    def _set_state(self, state: LinkState, now: float) -> None:
        self._state = state
        self._changed_at = now


class PauseDetector:
    """Detects that this process was suspended for a while.

    After a pause the process can't tell whether its peers were silent or it was
    unable to receive, so it must not count that time as silence of any peer.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._ticked_at = clock.monotonic()

    def tick(self) -> float:
        """Return the length in seconds of a pause that has just ended, or 0."""
        now = self._clock.monotonic()
        gap = now - self._ticked_at
        self._ticked_at = now
        return gap if gap >= PAUSE_SECONDS else 0.0
