"""The transfer codings of responses that can be read."""

from collections.abc import Iterable

TRANSFER_ENCODING = "transfer-encoding"


def are_readable(values: Iterable[str]) -> bool:
    """Return whether ``values``, one a Transfer-Encoding field, are none or "chunked".

    Any other coding would be passed on as a part of the body.

    >>> are_readable(["Chunked"]), are_readable(["gzip, chunked"])
    (True, False)
    """
    return [value.strip().lower() for value in values] in ([], ["chunked"])
