"""Bounds the total memory of the request bodies held at one time."""

import contextlib
from collections.abc import Iterator

from attrs import define, field

BYTES_PER_MB = 1024 * 1024
# Share of the VM's memory that request bodies may take; the rest of the process takes
# a tenth of it.
BODY_MEMORY_SHARE = 0.4


@define
class BodyMemory:
    """Accounts for the bytes of all request bodies held now.

    ``limit`` and ``used`` are in bytes.

    >>> memory = BodyMemory(limit=10)
    >>> with memory.reserve() as reservation:
    ...     reservation.grow(8), reservation.grow(8)
    (True, False)
    >>> memory.used
    0
    """

    limit: int
    used: int = field(default=0, init=False)

    @classmethod
    def for_vm(cls, memory_mb: int) -> "BodyMemory":
        """Return an instance limited to a share of ``memory_mb`` megabytes."""
        return cls(int(memory_mb * BYTES_PER_MB * BODY_MEMORY_SHARE))

    @contextlib.contextmanager
    def reserve(self) -> "Iterator[BodyReservation]":
        """Yield an empty reservation for one body, and release it on exit."""
        reservation = BodyReservation(self)
        try:
            yield reservation
        finally:
            self.used -= reservation.size


@define
class BodyReservation:
    """The memory reserved for the body of one request; ``size`` is in bytes."""

    _memory: BodyMemory
    size: int = field(default=0, init=False)

    def grow(self, count: int) -> bool:
        """Reserve ``count`` more bytes; return False if the limit doesn't allow it."""
        if self._memory.used + count > self._memory.limit:
            return False
        self._memory.used += count
        self.size += count
        return True
