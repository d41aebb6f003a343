"""Rendezvous hashing: every process ranks the same candidates in the same order."""

from collections.abc import Iterable

import xxhash


def rendezvous_score(key: str, candidate: str) -> int:
    """Return the 64-bit score of ``candidate`` for ``key``; the highest wins."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{candidate}".encode())


def rendezvous_rank(key: str, candidates: Iterable[str]) -> list[str]:
    """Return ``candidates`` sorted by their score for ``key``, the highest first.

    Removing one candidate keeps the order of the others, so only the keys
    that it owned are reassigned.

    >>> full = rendezvous_rank("chat-7", ["e1", "e2", "e3"])
    >>> rest = [name for name in full if name != full[0]]
    >>> rendezvous_rank("chat-7", rest) == full[1:]
    True
    """
    return sorted(
        candidates, key=lambda name: (rendezvous_score(key, name), name), reverse=True
    )


def rendezvous_best(key: str, candidates: Iterable[str]) -> str | None:
    """Return the candidate with the highest score for ``key``, or None if empty.

    Same as the first item of ``rendezvous_rank``, without sorting.
    """
    return max(
        candidates, key=lambda name: (rendezvous_score(key, name), name), default=None
    )
