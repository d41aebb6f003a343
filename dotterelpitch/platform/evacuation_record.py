"""Decodes the records by which an operator has a failure domain evacuated."""

from dotterelpitch.errors import PlatformError
from dotterelpitch.platform._fields import check_text

EVACUATION_PREFIX = "op/evacuate/"

MAX_NAME_CHARS = 200


def decode_evacuated_domain(key: str) -> str:
    """Return the failure domain that a record names by its key.

    The value of the record carries nothing and isn't read. Raises PlatformError when
    the key names no failure domain.

    >>> decode_evacuated_domain("op/evacuate/a")
    'a'
    """
    name = key.removeprefix(EVACUATION_PREFIX)
    if not name or len(name) > MAX_NAME_CHARS:
        raise PlatformError(f"{key!a}: names no failure domain")
    check_text("failure domain", name)
    return name
