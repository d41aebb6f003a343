"""Whether this process has followed what happens in the fleet, without a gap, of late.

A process that stood still, or was cut off, believes what was true before. What has
waited for it in the sockets' buffers meanwhile looks new when it is read, but is as old
as the gap. So a gap counts for some time after its end.
"""

from attrs import define

from dotterelpitch.clock import Clock

# A process that runs records this about four times a second.
MAX_STANDSTILL_SECONDS = 1.0
# The store, or a peer that hears from it, confirms the state at least so often. A watch
# without changes lasts 1.5 s.
MAX_SILENCE_SECONDS = 1.75
# So long after a gap all that was missed has come, and what had waited is outdated.
SETTLING_SECONDS = 2.0


@define
class Continuity:
    """Records that the process runs and that its state is confirmed.

    ``confirmed_at`` is the latest time, of the monotonic clock in seconds, at which the
    state is known to have been current.

    >>> from dotterelpitch.clock import ManualClock
    >>> clock = ManualClock()
    >>> continuity = Continuity(clock)
    >>> continuity.record_running(), continuity.record_confirmed(0.0)
    (None, None)
    >>> clock.advance(3.0)
    >>> continuity.has_gap()
    True
    """

    _clock: Clock
    confirmed_at: float = float("-inf")
    _ran_at: float = float("-inf")
    _gap_ended_at: float = float("-inf")

    def record_running(self) -> None:
        """Record that the process runs now."""
        now = self._clock.monotonic()
        if self._is_stalled(now):
            self._gap_ended_at = now
        self._ran_at = now

    def record_confirmed(self, age_s: float) -> None:
        """Record that the state is said to have been current ``age_s`` seconds ago."""
        now = self._clock.monotonic()
        if self._is_silent(now) or self._is_stalled(now):
            self._gap_ended_at = now
        self.confirmed_at = max(self.confirmed_at, now - age_s)

    def has_gap(self) -> bool:
        """Return whether there is a gap now, or was until a moment ago."""
        now = self._clock.monotonic()
        is_settling = now - self._gap_ended_at < SETTLING_SECONDS
        return is_settling or self._is_stalled(now) or self._is_silent(now)

    def _is_stalled(self, now: float) -> bool:
        return now - self._ran_at > MAX_STANDSTILL_SECONDS

    def _is_silent(self, now: float) -> bool:
        return now - self.confirmed_at > MAX_SILENCE_SECONDS
