"""The status codes of HTTP responses."""

from http import HTTPStatus

MIN_STATUS = 100
MIN_FINAL_STATUS = 200
MAX_STATUS = 599

# Each of these tells a caller that its request has not run and never will.
_NOT_RUN_STATUSES = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)


def is_valid_status(status: int) -> bool:
    """Return whether HTTP has such a status, final or not.

    >>> is_valid_status(0), is_valid_status(103), is_valid_status(600)
    (False, True, False)
    """
    return MIN_STATUS <= status <= MAX_STATUS


def is_final_status(status: int) -> bool:
    """Return whether a response with this status is the last one to its request."""
    return MIN_FINAL_STATUS <= status <= MAX_STATUS


def states_not_run(status: int) -> bool:
    """Return whether a caller takes a status for a statement that nothing has run.

    >>> states_not_run(503), states_not_run(502)
    (True, False)
    """
    return status in _NOT_RUN_STATUSES
