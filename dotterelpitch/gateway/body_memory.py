"""Bounds the total memory of the request bodies held at one time."""

import contextlib
from collections import Counter
from collections.abc import Callable, Iterator

from attrs import define, field

from dotterelpitch.clock import Clock, SteadyClock

BYTES_PER_MB = 1024 * 1024
# Share of the VM's memory that request bodies may take. While a body is sent on, the
# connection to the engine holds it a second time.
BODY_MEMORY_SHARE = 0.16
# One account may hold this share of the memory for bodies.
ACCOUNT_SHARE = 0.5
# An incomplete body that hasn't grown for so long, or that is so much slower over its
# time, makes room for others.
STALLED_SECONDS = 0.5
SLOW_AFTER_SECONDS = 1.0
SLOW_BYTES_PER_SECOND = 20_000.0


def _ignore() -> None:
    """Ignore that a reservation was taken back."""


@define(eq=False)
class BodyMemory:
    """Accounts for the bytes of all request bodies held now.

    ``limit`` and ``used`` are in bytes. If there is no room, the bodies that make no
    progress are given up, the largest first.

    >>> memory = BodyMemory(limit=10)
    >>> with memory.reserve() as reservation:
    ...     reservation.grow(8), reservation.grow(8)
    (True, False)
    >>> memory.used
    0
    """

    limit: int
    clock: Clock = field(factory=SteadyClock)
    used: int = field(default=0, init=False)
    used_by_account: Counter[str] = field(factory=Counter, init=False)
    _reservations: set["BodyReservation"] = field(factory=set, init=False)

    @classmethod
    def for_vm(cls, memory_mb: int) -> "BodyMemory":
        """Return an instance limited to a share of ``memory_mb`` megabytes."""
        return cls(int(memory_mb * BYTES_PER_MB * BODY_MEMORY_SHARE))

    @contextlib.contextmanager
    def reserve(
        self, on_evict: Callable[[], None] = _ignore
    ) -> "Iterator[BodyReservation]":
        """Yield an empty reservation for one body, and release it on exit.

        ``on_evict`` is called if it is taken back before the body is complete.
        """
        reservation = BodyReservation(self, on_evict)
        self._reservations.add(reservation)
        try:
            yield reservation
        finally:
            self._reservations.discard(reservation)
            reservation.release()

    def make_room(self, count: int, asking: "BodyReservation") -> bool:
        """Return whether ``count`` more bytes fit, after giving up stalled bodies."""
        if self.used + count <= self.limit:
            return True
        stalled = [r for r in self._reservations if r is not asking and r.is_stalled()]
        stalled.sort(key=lambda reservation: reservation.size)
        while stalled and self.used + count > self.limit:
            stalled.pop().evict()
        return self.used + count <= self.limit


@define(eq=False)
class BodyReservation:
    """The memory reserved for the body of one request; ``size`` is in bytes.

    ``account`` is the client account that holds it. The body is taken to be incomplete
    until ``complete`` is called.
    """

    _memory: BodyMemory
    _on_evict: Callable[[], None] = _ignore
    account: str = ""
    size: int = field(default=0, init=False)
    is_evicted: bool = field(default=False, init=False)
    _is_complete: bool = field(default=False, init=False)
    _began_at: float = field(init=False)
    _grown_at: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._began_at = self._grown_at = self._memory.clock.monotonic()

    def grow(self, count: int) -> bool:
        """Reserve ``count`` more bytes; return False if the limit doesn't allow it."""
        memory = self._memory
        if self.is_evicted or not self._is_within_account_share(count):
            return False
        if not memory.make_room(count, self):
            return False
        memory.used += count
        memory.used_by_account[self.account] += count
        self.size += count
        self._grown_at = memory.clock.monotonic()
        return True

    def complete(self) -> None:
        """Record that the body is complete; it isn't given up any more."""
        self._is_complete = True

    def is_stalled(self) -> bool:
        """Return whether the body is incomplete and makes no progress."""
        if self._is_complete or not self.size:
            return False
        now = self._memory.clock.monotonic()
        if now - self._grown_at >= STALLED_SECONDS:
            return True
        age_s = now - self._began_at
        is_slow = self.size < SLOW_BYTES_PER_SECOND * age_s
        return age_s >= SLOW_AFTER_SECONDS and is_slow

    def evict(self) -> None:
        """Take the memory back, for others."""
        self.release()
        self.is_evicted = True
        self._on_evict()

    def release(self) -> None:
        """Give all memory back."""
        self._memory.used -= self.size
        self._memory.used_by_account[self.account] -= self.size
        self.size = 0

    def _is_within_account_share(self, count: int) -> bool:
        if not self.account:
            return True
        used = self._memory.used_by_account[self.account]
        return used + count <= ACCOUNT_SHARE * self._memory.limit
