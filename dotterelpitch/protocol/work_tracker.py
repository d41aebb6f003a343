"""Tracks work in progress, so that a planned stop can wait for its completion."""

import asyncio
import itertools
from collections.abc import Iterator
from contextlib import contextmanager


class WorkTracker:
    """The names of the work items in progress.

    >>> work = WorkTracker()
    >>> with work.track("request r1"):
    ...     work.names()
    ['request r1']
    >>> work.names()
    []
    """

    def __init__(self) -> None:
        self._name_by_number: dict[int, str] = {}
        self._numbers = itertools.count()
        self._idle = asyncio.Event()
        self._idle.set()

    def names(self) -> list[str]:
        """Return the names of the work items in progress, oldest first."""
        return list(self._name_by_number.values())

    @contextmanager
    def track(self, name: str) -> Iterator[None]:
        """Register a work item for the duration of the ``with`` block."""
        number = next(self._numbers)
        self._name_by_number[number] = name
        self._idle.clear()
        try:
            yield
        finally:
            del self._name_by_number[number]
            if not self._name_by_number:
                self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until no work is in progress."""
        await self._idle.wait()
