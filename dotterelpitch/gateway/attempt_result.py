"""The result of one attempt to send a request to an engine."""

from attrs import frozen

from dotterelpitch.platform.headers import Headers
from dotterelpitch.routing.attempt_outcomes import AttemptOutcome
from dotterelpitch.routing.health import FailureKind


@frozen
class AttemptResult:
    """Outcome of an attempt.

    ``status``, ``headers``, and ``body`` hold the engine's response if it was not
    delivered; of a delivered one only ``status`` is set. ``failure`` is what counts
    against the engine's health, or None. ``is_end_certain`` is False if the response
    ended with its connection, as it also does when an engine ends. ``connect_s`` is
    the time to get a connection and ``longest_pause_s`` the longest pause in a
    stream, in seconds.
    """

    outcome: AttemptOutcome
    reason: str = ""
    status: int = 0
    headers: Headers = ()
    body: bytes = b""
    failure: FailureKind | None = None
    is_end_certain: bool = True
    connect_s: float | None = None
    longest_pause_s: float | None = None
