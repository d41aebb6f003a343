"""Tracks callers' connections and closes those that are idle for too long."""

import contextlib
from collections.abc import Iterable, Iterator

from attrs import define, field

from dotterelpitch.clock import Clock
from dotterelpitch.gateway.caller_protocol import CallerProtocol, abort
from dotterelpitch.routing.route_table import CallerLimits

# A caller that reads nothing of a response for so long has its connection reset.
MAX_UNREAD_SECONDS = 5.0


@define
class CallerConnections:
    """Closes connections on which no request, or no reading, is in progress for long.

    A request begins once its head is complete. Before its first request, and while a
    head is incomplete, a connection is bounded by the header timeout; otherwise by the
    idle timeout.
    """

    _clock: Clock
    _served: set[CallerProtocol] = field(factory=set)
    _idle_since: dict[CallerProtocol, float] = field(factory=dict)

    @contextlib.contextmanager
    def track_request(self, connection: CallerProtocol) -> Iterator[None]:
        """Mark a connection as busy until a request on it is answered."""
        connection.is_handling = True
        self._served.add(connection)
        try:
            yield
        finally:
            connection.is_handling = False
            self._idle_since[connection] = self._clock.monotonic()

    def close_idle(
        self, open_connections: Iterable[CallerProtocol], limits: CallerLimits
    ) -> int:
        """Close the connections that exceed their idle limit; return their number."""
        now = self._clock.monotonic()
        open_connections = set(open_connections)
        self._served &= open_connections
        self._idle_since = {
            connection: self._idle_since.get(connection, now)
            for connection in open_connections
            if not connection.is_in_request
        }
        oldest_head = now - limits.header_timeout_s
        expired = [
            connection
            for connection, since in self._idle_since.items()
            if now - since > self._idle_limit_s(connection, limits)
            or (connection.head_since or now) < oldest_head
        ]
        for connection in expired:
            connection.force_close()
        return len(expired)

    def reset_unread(self, open_connections: Iterable[CallerProtocol]) -> int:
        """Reset the connections whose responses aren't read; return their number.

        A close would wait until what has been written is read.
        """
        oldest = self._clock.monotonic() - MAX_UNREAD_SECONDS
        unread = [
            connection
            for connection in open_connections
            if connection.unread_since is not None and connection.unread_since < oldest
        ]
        for connection in unread:
            abort(connection)
        return len(unread)

    def close_unused(self, open_connections: Iterable[CallerProtocol]) -> None:
        """Close the connections on which no request has come.

        aiohttp's own ``close`` leaves an idle connection open but unread.
        """
        for connection in list(open_connections):
            if not connection.is_in_request:
                connection.force_close()

    def _idle_limit_s(self, connection: CallerProtocol, limits: CallerLimits) -> float:
        if connection in self._served:
            return limits.idle_timeout_s
        return limits.header_timeout_s
