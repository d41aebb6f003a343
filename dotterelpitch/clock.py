"""Clocks that are passed to time-dependent code, so that tests can control them."""

import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """Provides monotonic and wall-clock time, both in seconds."""

    @abstractmethod
    def monotonic(self) -> float:
        """Return seconds since an arbitrary start; never decreases."""

    @abstractmethod
    def wall(self) -> float:
        """Return seconds since the Unix epoch."""


class SystemClock(Clock):
    """The clocks of the operating system.

    The monotonic clock is ``CLOCK_BOOTTIME``, so that the time a VM spends
    suspended counts against leases.
    """

    def monotonic(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        return time.time()


class SteadyClock(SystemClock):
    """A clock whose wall time is its monotonic time, so it never jumps.

    For processes on VMs without a reliable time of day. Its wall time can't be
    compared with that of other machines.
    """

    def wall(self) -> float:
        return self.monotonic()


class ManualClock(Clock):
    """A clock that advances only when ``advance`` is called.

    >>> clock = ManualClock(10.0)
    >>> clock.advance(2.5)
    >>> clock.monotonic()
    12.5
    """

    def __init__(self, start: float = 0.0, wall_offset: float = 1.7e9) -> None:
        self._now = start
        self._wall_offset = wall_offset

    def advance(self, seconds: float) -> None:
        """Advance monotonic and wall-clock time by ``seconds``."""
        self._now += seconds

    def monotonic(self) -> float:
        return self._now

    def wall(self) -> float:
        return self._now + self._wall_offset
