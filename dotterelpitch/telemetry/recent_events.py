"""The most recent events of the process, kept in memory for operators' commands."""

import logging
import time
from collections import deque
from typing import Any

from attrs import frozen

from dotterelpitch.telemetry.events import Event, observe_events

RECENT_EVENT_CAPACITY = 500


@frozen
class EventRecord:
    """One logged event with its values; ``wall_time`` is in Unix seconds."""

    wall_time: float
    event: Event
    values: dict[str, Any]


class RecentEvents:
    """Two bounded buffers of events, which discard the oldest first.

    Warnings and errors have a separate buffer, so that the routine events of a busy
    router don't displace them.

    >>> recent = RecentEvents(capacity=1)
    >>> recent.append(EventRecord(0.0, Event.PEER_LOST, {"peer": "vm-1"}))
    >>> recent.append(EventRecord(1.0, Event.PEER_CONNECTED, {"peer": "vm-2"}))
    >>> [record.values["peer"] for record in recent.latest(10)]
    ['vm-1', 'vm-2']
    """

    def __init__(self, capacity: int = RECENT_EVENT_CAPACITY) -> None:
        self._routine_events: deque[EventRecord] = deque(maxlen=capacity)
        self._warnings_and_errors: deque[EventRecord] = deque(maxlen=capacity)

    @classmethod
    def observing(cls) -> "RecentEvents":
        """Return an instance that records each event logged from now on."""
        recent = cls()
        observe_events(
            lambda event, values: recent.append(EventRecord(time.time(), event, values))
        )
        return recent

    def append(self, record: EventRecord) -> None:
        """Add an event, which may displace the oldest one."""
        is_warning = record.event.level >= logging.WARNING
        (self._warnings_and_errors if is_warning else self._routine_events).append(
            record
        )

    def latest(self, count: int, minimum_level: int = 0) -> list[EventRecord]:
        """Return the latest events of at least a level, oldest first.

        At most ``count`` events are returned.
        """
        found = [
            record
            for buffer in (self._routine_events, self._warnings_and_errors)
            for record in buffer
            if record.event.level >= minimum_level
        ]
        found.sort(key=lambda record: record.wall_time)
        return found[-count:] if count > 0 else []
