"""Passes the events of a stream on whole, each one once, over several engines."""

EVENT_DELIMITER = b"\n\n"
_ID_FIELD = b"id:"


class EventStreamFilter:
    """Splits a byte stream into whole events and drops those already passed on.

    ``last_id`` is the id of the last event passed on, as text for the header
    that resumes the stream.

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
        """Whether bytes of an unfinished event wait for its end."""
        return bool(self._buffer)

    def restart(self) -> None:
        """Go on with another engine's stream."""
        self._buffer = b""

    def feed(self, data: bytes) -> bytes:
        """Return the whole new events that ``data`` completes."""
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
