"""Decodes the list of the prompt parts that an engine has in its cache."""

from dotterelpitch.platform._fields import decode_json, read_field

CACHE_LIST_PATH = "/v1/kv-list"

_PART_FIELD = 1


def decode_cache_list(body: bytes) -> frozenset[str]:
    """Return the ids of the cached prompt parts.

    Raises PlatformError if the body isn't such a list; an entry that isn't a proper
    one is left out.

    >>> sorted(decode_cache_list(b'{"held": [["", "5c1e07a2", 800, "m"]]}'))
    ['5c1e07a2']
    """
    entries = read_field(decode_json(body), "held", list)
    return frozenset(entry[_PART_FIELD] for entry in entries if _is_entry(entry))


def _is_entry(entry: object) -> bool:
    is_long_enough = isinstance(entry, list) and len(entry) > _PART_FIELD
    return is_long_enough and isinstance(entry[_PART_FIELD], str)
