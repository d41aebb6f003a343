"""Splits a byte stream into complete server-sent events and tracks the last one."""

EVENT_DELIMITER = b"\n\n"
ID_LINE_PREFIX = b"\nid: "
DONE_EVENT = b"data: [DONE]"


class EventStreamTracker:
    """Splits a byte stream into complete events and an incomplete remainder.

    Only complete events are relayed, so that a stream that breaks within an
    event can be resumed after the last complete one. Each event's id is prefixed
    with ``prefix`` and a colon, so that a caller can identify the stream to any
    router. ``done`` is set once the closing event has been relayed.

    >>> tracker = EventStreamTracker("r~e")
    >>> tracker.feed(b"id: 1\\ndata: {}\\n\\nid: 2")
    b'id: r~e:1\\ndata: {}\\n\\n'
    >>> tracker.last_number
    1
    """

    def __init__(self, prefix: str) -> None:
        self._prefixed_id_line = ID_LINE_PREFIX + prefix.encode() + b":"
        self._incomplete = b""
        self._last_number = 0
        self._latest_events_with_id = b""
        self.done = False

    @property
    def last_number(self) -> int:
        """The number of the last event that was relayed, 0 for none."""
        start = self._latest_events_with_id.rfind(ID_LINE_PREFIX)
        if start < 0:
            return self._last_number
        start += len(ID_LINE_PREFIX)
        end = self._latest_events_with_id.index(b"\n", start)
        number = self._latest_events_with_id[start:end].strip()
        return int(number) if number.isdigit() else self._last_number

    @last_number.setter
    def last_number(self, number: int) -> None:
        self._last_number = number
        self._latest_events_with_id = b""

    def set_prefix(self, prefix: str) -> None:
        """Continue with another stream, and drop the incomplete event."""
        self._prefixed_id_line = ID_LINE_PREFIX + prefix.encode() + b":"
        self._incomplete = b""

    def feed(self, chunk: bytes) -> bytes:
        """Return the events that ``chunk`` completes, empty if there are none."""
        data = self._incomplete + chunk if self._incomplete else chunk
        end = data.rfind(EVENT_DELIMITER)
        if end < 0:
            self._incomplete = data
            return b""
        complete, self._incomplete = b"\n" + data[: end + 2], data[end + 2 :]
        if complete.endswith(DONE_EVENT + EVENT_DELIMITER):
            self.done = True
        if ID_LINE_PREFIX not in complete:
            return complete[1:]
        self._latest_events_with_id = complete
        return complete.replace(ID_LINE_PREFIX, self._prefixed_id_line)[1:]
