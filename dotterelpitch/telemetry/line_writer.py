"""Writes log lines to standard output without blocking on its reader.

Lines are buffered briefly and written in batches. When the reader stops reading, the
pipe fills; complete lines are then dropped and counted. The number of lines per
second is bounded as well. Lines about single requests are dropped first, so that a
flood of requests can't hide a change of the process's state.
"""

import asyncio
import json
import logging
import os
import time

# The longest time that a line is buffered for batching.
FLUSH_DELAY_SECONDS = 0.05
# Bounds the memory for lines that the reader doesn't read.
MAX_BUFFERED_BYTES = 256 * 1024
# Lines that aren't about a request are dropped only above this multiple of the limit.
STATE_EVENT_FACTOR = 4
STDOUT_DESCRIPTOR = 1


class LineWriter(logging.Handler):
    """A logging handler that never blocks and limits the rate of lines.

    ``lines_per_second`` limits the lines about single requests, whose records have
    ``is_request`` set.
    """

    def __init__(
        self, lines_per_second: int, descriptor: int = STDOUT_DESCRIPTOR
    ) -> None:
        super().__init__()
        self._max_request_lines = lines_per_second
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._current_second = 0
        self._lines_this_second = 0
        self._dropped = 0
        self._flush_timer: asyncio.TimerHandle | None = None
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer one line, or count it as dropped."""
        if not self._admits(getattr(record, "is_request", False)):
            self._dropped += 1
            return
        line = {
            "at": round(record.created, 3),
            "level": record.levelname,
            **getattr(record, "values", {"message": record.getMessage()}),
        }
        self._buffer += json.dumps(line, default=str).encode() + b"\n"
        self._schedule_flush()

    def flush(self) -> None:
        """Write the buffered lines until the pipe is full."""
        self._flush_timer = None
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                self._schedule_flush()  # The pipe is full; try again later.
                return
            except OSError:
                self._buffer.clear()  # The reader has closed the pipe.
                return
            del self._buffer[:written]

    def _write_once(self) -> None:
        """Write without a retry, for use at startup and after the event loop ended."""
        try:
            written = os.write(self._descriptor, self._buffer)
        except OSError:
            return  # The line stays buffered until the next write.
        del self._buffer[:written]

    def _admits(self, is_request: bool) -> bool:
        """Return whether the limits allow another line, and count it if so."""
        second = int(time.monotonic())
        if second != self._current_second:
            self._current_second = second
            self._lines_this_second = 0
            self._append_dropped_count()
        limit = (
            self._max_request_lines
            if is_request
            else self._max_request_lines * STATE_EVENT_FACTOR
        )
        if self._lines_this_second >= limit:
            return False
        if len(self._buffer) >= MAX_BUFFERED_BYTES:
            return False
        self._lines_this_second += 1
        return True

    def _append_dropped_count(self) -> None:
        if self._dropped and len(self._buffer) < MAX_BUFFERED_BYTES:
            line = {"event": 106, "name": "lines_dropped", "lines": self._dropped}
            self._buffer += json.dumps(line).encode() + b"\n"
            self._dropped = 0

    def _schedule_flush(self) -> None:
        if self._flush_timer is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self._write_once()
            return
        self._flush_timer = loop.call_later(FLUSH_DELAY_SECONDS, self.flush)
