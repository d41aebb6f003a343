"""Reads input that is costly to parse in small slices, so that others are served.

Most input is cheap for its size. Requests of very many short header fields, chunks of a
few bytes, and many requests sent ahead cost a process far more than they cost the
client. Such input is parsed slice by slice, each connection in turn, and only for a
share of the process's time.
"""

import asyncio
from abc import ABC, abstractmethod
from collections import deque

from dotterelpitch.clock import Clock

# More lines than this in one read make it costly; an ordinary request has a few dozen.
CHEAP_LINES = 160
# After each slice the others get this multiple of the time that it took.
PAUSE_FACTOR = 4.0
# A connection whose input can't be parsed yet, since a response is due first, is looked
# at again after this time.
MIN_PAUSE_SECONDS = 0.002


def is_costly(data: bytes) -> bool:
    """Return whether input has so many lines that parsing it takes long."""
    return data.count(b"\n") > CHEAP_LINES


class PacedInput(ABC):
    """A connection with input that is still to be parsed."""

    @abstractmethod
    def feed_slice(self) -> bool:
        """Parse a little; return whether input is left."""


class IntakePacer:
    """Parses the input of all paced connections in turn."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._waiting: deque[PacedInput] = deque()
        self._has_input = asyncio.Event()

    def add(self, connection: PacedInput) -> None:
        """Parse the input of a connection; it is added once until all is parsed."""
        self._waiting.append(connection)
        self._has_input.set()

    async def run(self) -> None:
        """Parse until cancelled."""
        while True:
            await self._has_input.wait()
            await asyncio.sleep(self.parse_next())

    def parse_next(self) -> float:
        """Parse one slice; return the seconds for which to leave the time to others.

        While a single connection waits, it gets each second turn.
        """
        connection = self._waiting.popleft()
        began = self._clock.monotonic()
        if connection.feed_slice():
            self._waiting.append(connection)
        if not self._waiting:
            self._has_input.clear()
        took_s = self._clock.monotonic() - began
        factor = PAUSE_FACTOR if len(self._waiting) > 1 else 1.0
        return max(MIN_PAUSE_SECONDS, factor * took_s)
