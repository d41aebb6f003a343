"""Matches plain calls to the routes of a document.

A path pattern consists of literal segments and ``*``, which matches one or
more segments. The first matching route in document order applies.
"""

import re
from functools import lru_cache

from dotterelpitch.documents.model import Route, ServiceDocument

ANY_METHOD = "*"
METHODS = ("DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT")


def match_route(document: ServiceDocument, method: str, path: str) -> Route | None:
    """Return the first route for ``method`` and ``path``, or None.

    A call without a route is refused, because the document doesn't define
    whether it may be retried. ``path`` is the part after the service's name,
    without a query.

    >>> swaps = Route("POST", "/swaps/*", idempotent=False)
    >>> document = ServiceDocument("s", routes=[swaps, Route("GET", "/*")])
    >>> match_route(document, "POST", "/swaps/7/cancel").idempotent
    False
    >>> match_route(document, "DELETE", "/swaps/7") is None
    True
    """
    for route in document.routes:
        if route.method not in (ANY_METHOD, method):
            continue
        if _compile_pattern(route.path).fullmatch(path):
            return route
    return None


def check_path_pattern(pattern: str) -> str | None:
    """Return what is wrong with ``pattern``, or None if it is valid."""
    if not pattern.startswith("/"):
        return "must start with /"
    if any(character in pattern for character in "?# \t\r\n"):
        return "must not contain a query, a fragment, or white space"
    if any("*" in segment and segment != "*" for segment in pattern.split("/")):
        return "* must be a whole segment"
    if "//" in pattern:
        return "must not have an empty segment"
    return None


@lru_cache(maxsize=10_000)
def _compile_pattern(pattern: str) -> re.Pattern[str]:
    segments = [
        "[^/]+(?:/[^/]+)*" if segment == "*" else re.escape(segment)
        for segment in _split_segments(pattern)
    ]
    return re.compile("/" + "/".join(segments))


def _split_segments(pattern: str) -> list[str]:
    return pattern.removeprefix("/").split("/")
