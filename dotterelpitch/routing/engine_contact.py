"""Whether this VM reaches engines at all.

An engine that doesn't respond may have ended, or the network path to it may have
failed; for one engine both look alike. If several engines fail and none responds
meanwhile, it is likely the path, and if peers still reach engines at that time, it is.
"""

from collections.abc import Callable, Collection
from enum import StrEnum

from attrs import define, field, frozen

from dotterelpitch.clock import Clock
from dotterelpitch.telemetry.events import Event, log_event

# So many engines must have failed, with no response since, for contact to be lost; all
# of them if there are fewer.
MIN_FAILED_ENGINES = 2
# A failure counts for this long.
FAILURE_TTL_SECONDS = 2.0
# A loss of contact that is younger than this may be a moment of silence.
UNCONFIRMED_SECONDS = 0.5
# In normal traffic another engine responds within this time of a failure.
DOUBT_SECONDS = 0.15


class ContactState(StrEnum):
    """What a VM believes of its path to the engines.

    IN_DOUBT means that an engine has failed and none has sent anything for a moment.
    """

    IN_CONTACT = "in contact"
    IN_DOUBT = "in doubt"
    LOST = "lost"


@frozen
class _Failure:
    """A failed call to an engine at a time of the monotonic clock, in seconds.

    ``is_connecting`` is whether its connection was a new one.
    """

    at: float
    is_connecting: bool


@define
class EngineContact:
    """The latest responses and failures of engines, from all calls of this VM.

    ``heard_at`` is when an engine last sent anything, a time of the monotonic clock.
    ``count_engines`` returns how many engines there are. ``near_ids`` returns those in
    the VM's own failure domain: a partition separates it from them last, so contact
    isn't lost before one of them has failed, if there are any.

    >>> from dotterelpitch.clock import ManualClock
    >>> clock = ManualClock(10.0)
    >>> contact = EngineContact(clock)
    >>> contact.record_failure("e1", is_connecting=True)
    >>> contact.record_failure("e2", is_connecting=True)
    >>> contact.state
    <ContactState.LOST: 'lost'>
    >>> contact.record_response(opened_at=10.0)
    >>> contact.state
    <ContactState.IN_CONTACT: 'in contact'>
    """

    _clock: Clock
    _count_engines: Callable[[], int] = lambda: MIN_FAILED_ENGINES
    _near_ids: Callable[[], Collection[str]] = tuple
    heard_at: float = float("-inf")
    _failure_by_engine: dict[str, _Failure] = field(factory=dict)
    _logged_state: ContactState = ContactState.IN_CONTACT

    @property
    def state(self) -> ContactState:
        """What is believed now."""
        now = self._clock.monotonic()
        recent = {
            engine_id: failure
            for engine_id, failure in self._failure_by_engine.items()
            if failure.at >= now - FAILURE_TTL_SECONDS
        }
        if recent and self._are_enough(recent.keys()):
            return ContactState.LOST
        if any(self._leaves_doubt(failure, now) for failure in recent.values()):
            return ContactState.IN_DOUBT
        return ContactState.IN_CONTACT

    def _leaves_doubt(self, failure: _Failure, now: float) -> bool:
        """Return whether nothing has been heard for a moment since a failure."""
        return failure.at <= now - DOUBT_SECONDS and failure.at >= self.heard_at

    @property
    def is_lost(self) -> bool:
        """Whether no engine seems to be reachable."""
        return self.state is ContactState.LOST

    @property
    def is_loss_confirmed(self) -> bool:
        """Whether contact is lost, and not only just now."""
        now = self._clock.monotonic()
        return self.is_lost and now - self.heard_at >= UNCONFIRMED_SECONDS

    def _are_enough(self, failed_ids: Collection[str]) -> bool:
        """Return whether contact is lost if these engines have failed."""
        if len(failed_ids) < min(MIN_FAILED_ENGINES, self._count_engines()):
            return False
        near_ids = self._near_ids()
        return not near_ids or any(i in failed_ids for i in near_ids)

    def record_response(self, opened_at: float) -> None:
        """Record a response on a connection that was opened at ``opened_at``.

        It doesn't show that new connections can be opened later than that.
        """
        self.heard_at = self._clock.monotonic()
        if not self._failure_by_engine:
            return
        self._failure_by_engine = {
            engine_id: failure
            for engine_id, failure in self._failure_by_engine.items()
            if failure.is_connecting and failure.at > opened_at
        }
        self.log_change()

    def record_data(self) -> None:
        """Record bytes of a response that has begun before."""
        self.heard_at = self._clock.monotonic()

    def record_failure(self, engine_id: str, is_connecting: bool) -> None:
        """Record that an engine didn't respond, or couldn't be connected to.

        ``is_connecting`` is whether nothing had ever come on the connection.
        """
        now = self._clock.monotonic()
        self._failure_by_engine = {
            failed_id: failure
            for failed_id, failure in self._failure_by_engine.items()
            if failure.at >= now - FAILURE_TTL_SECONDS
        }
        self._failure_by_engine[engine_id] = _Failure(now, is_connecting)
        self.log_change()

    def log_change(self) -> None:
        """Log whether contact was lost or is back since the last call."""
        state = self.state
        was_lost = self._logged_state is ContactState.LOST
        self._logged_state = state
        if was_lost is (state is ContactState.LOST):
            return
        log_event(
            Event.ENGINES_REACHED if was_lost else Event.ENGINES_UNREACHED,
            engines=sorted(self._failure_by_engine),
            heard_s=round(self._clock.monotonic() - self.heard_at, 3),
        )
