"""Keeps the last events of the process in memory, for the operators' commands."""

import logging
import time
from collections import deque
from typing import Any

from attrs import frozen

from dotterelpitch.telemetry.events import Event, observe_events

RECENT_EVENTS = 500


@frozen
class EventRecord:
    """One logged event; ``wall`` is in Unix seconds."""

    wall: float
    event: Event
    values: dict[str, Any]


class RecentEvents:
    """A bounded ring of events; the oldest fall out first.

    Warnings and errors have a ring of their own, so that a busy router's
    routine lines don't push them out.

    >>> recent = RecentEvents(capacity=1)
    >>> recent.append(EventRecord(0.0, Event.PEER_LOST, {"peer": "vm-1"}))
    >>> recent.append(EventRecord(1.0, Event.PEER_CONNECTED, {"peer": "vm-2"}))
    >>> [record.values["peer"] for record in recent.latest(10)]
    ['vm-1', 'vm-2']
    """

    def __init__(self, capacity: int = RECENT_EVENTS) -> None:
        self._routine: deque[EventRecord] = deque(maxlen=capacity)
        self._warnings: deque[EventRecord] = deque(maxlen=capacity)

    @classmethod
    def observing(cls) -> "RecentEvents":
        """Return a ring that takes in every event from now on."""
        recent = cls()
        observe_events(
            lambda event, values: recent.append(EventRecord(time.time(), event, values))
        )
        return recent

    def append(self, record: EventRecord) -> None:
        """Keep one more event."""
        is_warning = record.event.level >= logging.WARNING
        (self._warnings if is_warning else self._routine).append(record)

    def latest(self, count: int, minimum_level: int = 0) -> list[EventRecord]:
        """Return up to ``count`` events of at least a level, oldest first."""
        found = [
            record
            for ring in (self._routine, self._warnings)
            for record in ring
            if record.event.level >= minimum_level
        ]
        found.sort(key=lambda record: record.wall)
        return found[-count:] if count > 0 else []
