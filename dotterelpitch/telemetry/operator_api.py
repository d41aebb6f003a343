"""Serves operators' commands, in routers and in agents."""

import json
import time
from collections.abc import Callable
from pathlib import Path

from dotterelpitch.protocol.messages import Refused
from dotterelpitch.protocol.operator_messages import (
    DrainRequest,
    DrainStarted,
    EventLine,
    EventLines,
    EventsRequest,
    StatusReport,
    StatusRequest,
)
from dotterelpitch.protocol.server import HandlerTable
from dotterelpitch.protocol.stream import Stream
from dotterelpitch.telemetry.recent_events import (
    RECENT_EVENT_CAPACITY,
    EventRecord,
    RecentEvents,
)

# Bounds the JSON of an event's values in a reply; longer JSON is truncated.
MAX_VALUES_CHARACTERS = 4000

_STARTED_AT = time.monotonic()


class OperatorApi:
    """Serves the status, events, and drain requests of one process."""

    def __init__(
        self,
        vm_name: str,
        describe: Callable[[], StatusReport],
        request_stop: Callable[[], None],
    ) -> None:
        self._vm_name = vm_name
        self._describe = describe
        self._request_stop = request_stop
        self._recent = RecentEvents.observing()

    def register(self, handlers: HandlerTable) -> None:
        """Add the handlers of the commands' streams to ``handlers``."""
        handlers.add(StatusRequest, self._send_status)
        handlers.add(EventsRequest, self._send_events)
        handlers.add(DrainRequest, self._start_drain)

    async def _send_status(self, stream: Stream, request: StatusRequest) -> None:
        await stream.send(self._describe())

    async def _send_events(self, stream: Stream, request: EventsRequest) -> None:
        count = min(request.count, 2 * RECENT_EVENT_CAPACITY)
        records = self._recent.latest(count, request.level)
        await stream.send(EventLines([_event_line(record) for record in records]))

    async def _start_drain(self, stream: Stream, request: DrainRequest) -> None:
        if request.vm != self._vm_name:
            await stream.send(Refused(f"this is VM {self._vm_name}", 0.0))
            return
        report = self._describe()
        await stream.send(DrainStarted(self._vm_name, report.open_requests))
        # A second stop request would interrupt the open requests.
        if report.state != "stopping":
            self._request_stop()


def process_uptime() -> float:
    """Return the seconds since this module was loaded."""
    return time.monotonic() - _STARTED_AT


def resident_memory() -> int:
    """Return the resident memory of this process in bytes, or 0 if unknown."""
    try:
        pages = int(Path("/proc/self/statm").read_text().split()[1])
    except (OSError, IndexError, ValueError):
        return 0
    return pages * 4096


def _event_line(record: EventRecord) -> EventLine:
    values = json.dumps(record.values, default=str)[:MAX_VALUES_CHARACTERS]
    event = record.event
    return EventLine(
        record.wall_time, event.number, event.name.lower(), event.level, values
    )
