"""The status codes of HTTP responses."""

MIN_STATUS = 100
MIN_FINAL_STATUS = 200
MAX_STATUS = 599


def is_valid_status(status: int) -> bool:
    """Return whether HTTP has such a status, final or not.

    >>> is_valid_status(0), is_valid_status(103), is_valid_status(600)
    (False, True, False)
    """
    return MIN_STATUS <= status <= MAX_STATUS


def is_final_status(status: int) -> bool:
    """Return whether a response with this status is the last one to its request."""
    return MIN_FINAL_STATUS <= status <= MAX_STATUS
