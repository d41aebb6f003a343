"""Whether the link to one peer counts as up, with hysteresis.

A link goes down after a silence, or shortly after its connection broke. It
comes up again only when the peer has been heard for a while, and the wait
doubles for a peer that keeps going up and down.
"""

from enum import StrEnum

from dotterelpitch.clock import Clock

HEARTBEAT_SECONDS = 1.0
SILENCE_SECONDS = 2.5
RECONNECT_SECONDS = 1.0
RECOVERY_SECONDS = 0.5
MAX_RECOVERY_SECONDS = 8.0
STEADY_SECONDS = 60.0
PAUSE_SECONDS = 2.0


class LinkState(StrEnum):
    """What the process believes of one link."""

    UP = "up"
    RECOVERING = "recovering"
    DOWN = "down"


class LinkMonitor:
    """The state of one link; a new peer counts as up when first heard.

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
        self._known = False
        self._heard_at = float("-inf")
        self._lost_at: float | None = None
        self._changed_at = float("-inf")
        self._recovery_seconds = RECOVERY_SECONDS

    @property
    def state(self) -> LinkState:
        """The present state, after the passing of time."""
        now = self._clock.monotonic()
        if self._state is not LinkState.DOWN and self._is_silent(now):
            self._go_down(now)
        elif self._state is LinkState.RECOVERING:
            self._try_to_go_up(now)
        return self._state

    def record_received(self) -> None:
        """Note that anything arrived from the peer."""
        state = self.state
        now = self._clock.monotonic()
        self._heard_at = now
        self._lost_at = None
        if state is LinkState.UP:
            self._forgive(now)
        elif not self._known:
            self._known = True
            self._enter(LinkState.UP, now)
        elif state is LinkState.DOWN:
            self._enter(LinkState.RECOVERING, now)

    def record_disconnect(self) -> None:
        """Note that the connection broke; hearing the peer again cancels it."""
        if self._lost_at is None:
            self._lost_at = self._clock.monotonic()

    def reset_silence(self) -> None:
        """Start the silence anew, after this process itself has been paused."""
        now = self._clock.monotonic()
        if self._state is not LinkState.DOWN:
            self._heard_at = max(self._heard_at, now)

    def _is_silent(self, now: float) -> bool:
        if now - self._heard_at >= SILENCE_SECONDS:
            return True
        return self._lost_at is not None and now - self._lost_at >= RECONNECT_SECONDS

    def _go_down(self, now: float) -> None:
        if now - self._changed_at < STEADY_SECONDS:
            self._recovery_seconds = min(
                self._recovery_seconds * 2, MAX_RECOVERY_SECONDS
            )
        self._enter(LinkState.DOWN, now)

    def _try_to_go_up(self, now: float) -> None:
        if now - self._changed_at >= self._recovery_seconds:
            self._enter(LinkState.UP, now)

    def _forgive(self, now: float) -> None:
        if now - self._changed_at >= STEADY_SECONDS:
            self._recovery_seconds = RECOVERY_SECONDS

    def _enter(self, state: LinkState, now: float) -> None:
        self._state = state
        self._changed_at = now


class PauseDetector:
    """Notices that this process has not run for a while.

    After a pause the process can't tell whether its peers were silent or
    itself deaf, so it must not suspect anyone on the strength of that time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._ran_at = clock.monotonic()

    def tick(self) -> float:
        """Return the seconds of the pause that has just ended, 0 for none."""
        now = self._clock.monotonic()
        gap = now - self._ran_at
        self._ran_at = now
        return gap if gap >= PAUSE_SECONDS else 0.0
