"""The signals of a process, from its first line to its last.

A signal that a process has no handler for ends it. So each program takes its signals
before its other imports, which are most of its start. What Python hasn't loaded by then
isn't imported here.
"""

import os
import signal
import sys
from collections.abc import Callable, Mapping

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
# SIGTERM is the last one taken, so whoever sees that it is knows of the others.
TAKEN_SIGNALS = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)

MAX_SIGNALS_AT_ONCE = 4096


class ProcessSignals:
    """Keeps the signals of a process until its event loop handles them.

    A stop signal that comes before ends the process with code 0, since there is nothing
    to drain yet; any other one is handled once the loop is there. After ``ignore`` no
    signal does anything, so the process ends with its own code.

    >>> signals = ProcessSignals.take()  # before other imports
    >>> signals.handle({signal.SIGTERM: stop.set})  # in a coroutine
    >>> signals.ignore()  # when nothing is left to do
    """

    def __init__(self) -> None:
        self._has_handlers = False
        self._callback_by_signal: Mapping[int, Callable[[], object]] = {}
        # Python writes the number of each signal here as it comes.
        self._read_end, self._write_end = os.pipe()
        os.set_blocking(self._read_end, False)
        os.set_blocking(self._write_end, False)

    @classmethod
    def take(cls) -> "ProcessSignals":
        """Take the signals of this process; to be called in its main thread."""
        signals = cls()
        signal.set_wakeup_fd(signals._write_end, warn_on_full_buffer=False)
        for number in TAKEN_SIGNALS:
            signal.signal(number, signals._received)
        return signals

    def handle(self, callback_by_signal: Mapping[int, Callable[[], object]]) -> None:
        """Call the callback of each signal in the running loop.

        Those that have come already are handled as well; a signal without a callback
        does nothing.
        """
        import asyncio  # Loaded by now.

        self._callback_by_signal = callback_by_signal
        asyncio.get_running_loop().add_reader(self._read_end, self._handle_received)
        self._has_handlers = True

    def ignore(self) -> None:
        """Ignore all signals from now on.

        Neither the end of a loop nor that of Python restores the default for these.
        """
        for number in TAKEN_SIGNALS:
            signal.signal(number, signal.SIG_IGN)

    def _received(self, number: int, frame: object) -> None:
        if number in STOP_SIGNALS and not self._has_handlers:
            self.ignore()
            sys.exit(0)

    def _handle_received(self) -> None:
        for number in os.read(self._read_end, MAX_SIGNALS_AT_ONCE):
            callback = self._callback_by_signal.get(number)
            if callback is not None:
                callback()
