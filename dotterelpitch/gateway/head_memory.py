"""Bounds the total memory of the request heads that callers' connections hold.

A parser bounds the lines of a head and their number, which allows a hundred megabytes
for each connection. What counts as a head here is all that isn't a body: a head until
its request is answered, also while it is incomplete, and fields after a body in chunks.
"""

from collections import deque
from collections.abc import Callable

from attrs import define, field

BYTES_PER_MB = 1024 * 1024
# Share of the VM's memory that heads may take. An ordinary head counts about 10 kB.
HEAD_MEMORY_SHARE = 0.15
# A head is held as it has come, and decoded.
COPIES = 2
# What a header field takes in memory besides the bytes of its name and value, about.
FIELD_OVERHEAD_BYTES = 512


def memory_of(head: bytes) -> int:
    """Return about how many bytes of memory a head, or a part of one, takes.

    >>> memory_of(b"Host: x") < memory_of(b"a: b") + FIELD_OVERHEAD_BYTES
    True
    """
    return COPIES * len(head) + FIELD_OVERHEAD_BYTES * head.count(b"\n")


@define(eq=False)
class HeadMemory:
    """Accounts for the heads of all connections; ``limit`` and ``used`` are in bytes.

    Beyond the limit the connection that holds most is given up.
    """

    limit: int
    used: int = field(default=0, init=False)
    _holders: set["ConnectionHeads"] = field(factory=set, init=False)

    @classmethod
    def for_vm(cls, memory_mb: int) -> "HeadMemory":
        """Return an instance limited to a share of ``memory_mb`` megabytes."""
        return cls(int(memory_mb * BYTES_PER_MB * HEAD_MEMORY_SHARE))

    def hold(
        self, count_open: Callable[[], int], on_evict: Callable[[], None]
    ) -> "ConnectionHeads":
        """Return the account of one connection; ``release`` it at its end.

        ``count_open`` returns how many of its requests aren't answered yet, and
        ``on_evict`` has to end the connection.
        """
        heads = ConnectionHeads(self, count_open, on_evict)
        self._holders.add(heads)
        return heads

    def add(self, count: int) -> None:
        """Count bytes, and make room for them."""
        self.used += count
        if self.used <= self.limit:
            return
        for heads in self._holders:
            heads.forget_answered()
        while self.used > self.limit:
            max(self._holders, key=lambda heads: heads.size).evict()

    def remove(self, heads: "ConnectionHeads") -> None:
        """Forget a connection that has given its memory back."""
        self._holders.discard(heads)


@define(eq=False)
class ConnectionHeads:
    """The heads that one connection holds; ``size`` is in bytes of memory."""

    _memory: HeadMemory
    _count_open: Callable[[], int]
    _on_evict: Callable[[], None]
    size: int = field(default=0, init=False)
    _incomplete: int = field(default=0, init=False)
    _complete: deque[int] = field(factory=deque, init=False)

    def grow(self, part: bytes) -> None:
        """Count a part of a head that is still incomplete."""
        self._incomplete += memory_of(part)
        self._add(memory_of(part))

    def complete(self, part: bytes, requests: int) -> None:
        """Count the last part of a head, which begins so many requests."""
        self._complete.append(self._incomplete + memory_of(part))
        self._complete.extend([0] * (requests - 1))
        self._incomplete = 0
        self._add(memory_of(part))
        self.forget_answered()

    def forget_answered(self) -> None:
        """Give back the memory of requests that have been answered."""
        while len(self._complete) > self._count_open():
            self._subtract(self._complete.popleft())

    def evict(self) -> None:
        """End the connection, for the others."""
        self.release()
        self._on_evict()

    def release(self) -> None:
        """Give all memory back, at the connection's end."""
        self._memory.remove(self)
        self._subtract(self.size)
        self._complete.clear()
        self._incomplete = 0

    def _add(self, count: int) -> None:
        self.size += count
        self._memory.add(count)

    def _subtract(self, count: int) -> None:
        self.size -= count
        self._memory.used -= count
