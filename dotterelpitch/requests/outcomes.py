"""The outcomes of a request that are reported to callers."""

from enum import StrEnum


class Outcome(StrEnum):
    """The value of the ``Dotterelpitch-Outcome`` header of a response.

    For a keyed call each is a statement about the *key*: ``NOT_RUN`` guarantees
    that no byte of any call with this key has reached an endpoint, and that none
    will. A router that can't guarantee this reports ``UNKNOWN``.
    """

    COMPLETED = "completed"
    FAILED = "failed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


MIN_ERROR_STATUS = 400


def outcome_of_status(status: int) -> Outcome:
    """Return the outcome for a complete response of an endpoint.

    A 503 from the endpoint itself is ``FAILED``: the request reached it, so
    ``NOT_RUN`` would be wrong.

    >>> outcome_of_status(201).value, outcome_of_status(503).value
    ('completed', 'failed')
    """
    return Outcome.COMPLETED if status < MIN_ERROR_STATUS else Outcome.FAILED


def outcome_after_disconnect(may_have_sent: bool) -> Outcome:
    """Return the outcome when the connection to the endpoint was lost.

    ``may_have_sent`` tells whether any byte of the request may have been sent.
    """
    return Outcome.UNKNOWN if may_have_sent else Outcome.NOT_RUN
