"""Filters a server-sent event stream that is resumed across engines."""

EVENT_DELIMITER = b"\n\n"
_ID_FIELD = b"id:"


class EventStreamFilter:
    """Passes on complete events of a byte stream, and each event only once.

    Event ids are numbers that increase, so an event with an id up to ``last_id`` is
    a duplicate from a resumed stream. ``last_id`` is the id of the last event passed
    on, as text for the Last-Event-Id header that resumes the stream; it is empty
    before the first event with an id.

    >>> events = EventStreamFilter()
    >>> events.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    b'id: 1\\ndata: a\\n\\n'
    >>> events.last_id
    '1'
    """

    def __init__(self, last_id: str = "") -> None:
        self.last_id = last_id
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer holds the beginning of an incomplete event."""
        return bool(self._buffer)

    @property
    def partial_event_bytes(self) -> int:
        """The size of the incomplete event in the buffer."""
        return len(self._buffer)

    def restart(self) -> None:
        """Discard an incomplete event, before the stream of another engine is read."""
        self._buffer = b""

    def feed(self, data: bytes) -> bytes:
        """Return the new events that ``data`` completes, without duplicates."""
        data = self._buffer + data
        end = data.rfind(EVENT_DELIMITER)
        if end < 0:
            self._buffer = data
            return b""
        end += len(EVENT_DELIMITER)
        self._buffer = data[end:]
        events = data[:end].split(EVENT_DELIMITER)[:-1]
        return b"".join(
            event + EVENT_DELIMITER for event in events if self._is_new(event)
        )

    def _is_new(self, event: bytes) -> bool:
        event_id = _event_id(event)
        if event_id is None:
            return True
        if self.last_id.isdigit() and event_id <= int(self.last_id):
            return False
        self.last_id = str(event_id)
        return True


def _event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(_ID_FIELD):
            number = line[len(_ID_FIELD) :].strip()
            return int(number) if number.isdigit() else None
    return None
