"""Bounds the memory that the bodies of requests take together."""

import contextlib
from collections.abc import Iterator

from attrs import define, field

BYTES_PER_MB = 1024 * 1024
# Bodies may take this part of the VM's memory; a process without them takes a tenth.
BODY_MEMORY_SHARE = 0.4


@define
class BodyMemory:
    """The bytes of all bodies that are held now.

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
        """Return the bound for a VM with this much memory."""
        return cls(int(memory_mb * BYTES_PER_MB * BODY_MEMORY_SHARE))

    @contextlib.contextmanager
    def reserve(self) -> "Iterator[BodyReservation]":
        """Count one body until its request has ended."""
        reservation = BodyReservation(self)
        try:
            yield reservation
        finally:
            self.used -= reservation.size


@define
class BodyReservation:
    """The body of one request as it grows."""

    _memory: BodyMemory
    size: int = field(default=0, init=False)

    def grow(self, count: int) -> bool:
        """Count more bytes; return False, and count nothing, beyond the bound."""
        if self._memory.used + count > self._memory.limit:
            return False
        self._memory.used += count
        self.size += count
        return True
