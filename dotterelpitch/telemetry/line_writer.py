"""Writes log lines to standard output without ever waiting for its reader.

Lines are collected for a moment and written together. A reader that stops
reading fills the pipe; then whole lines are left out and counted. The number of
lines a second is bounded too: those of single requests are left out first, so
that a flood of requests can't hide a change of what the process believes.
"""

import asyncio
import json
import logging
import os
import time

# How long a line may wait to be written together with others.
FLUSH_SECONDS = 0.05
# What is kept for a reader that doesn't read.
MAX_WAITING_BYTES = 256 * 1024
# Lines that aren't about single requests may be this many times as many.
BELIEF_FACTOR = 4
STDOUT = 1


class LineWriter(logging.Handler):
    """A logging handler that bounds its volume and never blocks.

    ``lines_per_second`` bounds the lines that tell of single requests, which
    are those whose record has ``is_request`` set.
    """

    def __init__(self, lines_per_second: int, descriptor: int = STDOUT) -> None:
        super().__init__()
        self._limit = lines_per_second
        self._descriptor = descriptor
        self._waiting = bytearray()
        self._second = 0
        self._lines_this_second = 0
        self._dropped = 0
        self._flush_later: asyncio.TimerHandle | None = None
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Queue one line, or count it as dropped."""
        if not self._has_room(getattr(record, "is_request", False)):
            self._dropped += 1
            return
        line = {
            "at": round(record.created, 3),
            "level": record.levelname,
            **getattr(record, "values", {"message": record.getMessage()}),
        }
        self._waiting += json.dumps(line, default=str).encode() + b"\n"
        self._schedule()

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        self._flush_later = None
        while self._waiting:
            try:
                written = os.write(self._descriptor, self._waiting)
            except BlockingIOError:
                self._schedule()  # The reader is slow; nothing waits for it.
                return
            except OSError:
                self._waiting.clear()  # Nobody reads any more.
                return
            del self._waiting[:written]

    def _write_once(self) -> None:
        """Write before the event loop runs or after it has ended."""
        try:
            written = os.write(self._descriptor, self._waiting)
        except OSError:
            return  # The line stays queued for the next one.
        del self._waiting[:written]

    def _has_room(self, is_request: bool) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._lines_this_second = 0
            self._report_dropped()
        limit = self._limit if is_request else self._limit * BELIEF_FACTOR
        if self._lines_this_second >= limit:
            return False
        if len(self._waiting) >= MAX_WAITING_BYTES:
            return False
        self._lines_this_second += 1
        return True

    def _report_dropped(self) -> None:
        if self._dropped and len(self._waiting) < MAX_WAITING_BYTES:
            line = {"event": 106, "name": "lines_dropped", "lines": self._dropped}
            self._waiting += json.dumps(line).encode() + b"\n"
            self._dropped = 0

    def _schedule(self) -> None:
        if self._flush_later is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self._write_once()
            return
        self._flush_later = loop.call_later(FLUSH_SECONDS, self.flush)
