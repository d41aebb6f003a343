"""Bounds the total memory of the request bodies held at one time."""

import contextlib
from collections.abc import Iterator

from attrs import define, field

BYTES_PER_MB = 1024 * 1024
# Share of the VM's memory for bodies; the process without them takes a tenth.
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
        """Return the budget for a VM with ``memory_mb`` megabytes of memory."""
        return cls(int(memory_mb * BYTES_PER_MB * BODY_MEMORY_SHARE))

    @contextlib.contextmanager
    def reserve(self) -> "Iterator[BodyReservation]":
        """Return a reservation for one body, released when the request ends."""
        reservation = BodyReservation(self)
        try:
            yield reservation
        finally:
            self.used -= reservation.size


@define
class BodyReservation:
    """The bytes reserved for the body of one request; ``size`` in bytes."""

    _memory: BodyMemory
    size: int = field(default=0, init=False)

    def grow(self, count: int) -> bool:
        """Reserve ``count`` more bytes; return False if the limit doesn't allow it."""
        if self._memory.used + count > self._memory.limit:
            return False
        self._memory.used += count
        self.size += count
        return True
