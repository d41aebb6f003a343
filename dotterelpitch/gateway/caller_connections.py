"""Tracks callers' connections and closes those that are idle for too long."""

import contextlib
from collections.abc import Iterable, Iterator

from attrs import define, field

from dotterelpitch.clock import Clock
from dotterelpitch.gateway.caller_protocol import CallerProtocol
from dotterelpitch.routing.route_table import CallerLimits


@define
class CallerConnections:
    """Closes connections on which no request has been in progress for too long.

    A request begins once its head is complete. Before its first request, and while a
    head is incomplete, a connection is bounded by the header timeout; otherwise by the
    idle timeout.
    """

    _clock: Clock
    _busy: set[CallerProtocol] = field(factory=set)
    _served: set[CallerProtocol] = field(factory=set)
    _idle_since: dict[CallerProtocol, float] = field(factory=dict)

    @contextlib.contextmanager
    def track_request(self, connection: CallerProtocol) -> Iterator[None]:
        """Mark a connection as busy while a request is handled on it."""
        self._busy.add(connection)
        self._served.add(connection)
        try:
            yield
        finally:
            self._busy.discard(connection)
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
            for connection in open_connections - self._busy
        }
        expired = [
            connection
            for connection, since in self._idle_since.items()
            if now - since > self._idle_limit_s(connection, limits)
        ]
        oldest_head = now - limits.header_timeout_s
        expired += [
            connection
            for connection in open_connections - self._busy
            if connection.head_since is not None and connection.head_since < oldest_head
        ]
        for connection in set(expired):
            connection.force_close()
        return len(set(expired))

    def close_all(self, open_connections: Iterable[CallerProtocol]) -> None:
        """Close idle connections now and busy ones after their response.

        aiohttp's own ``close`` leaves an idle connection open but unread.
        """
        for connection in list(open_connections):
            if connection in self._busy:
                connection.close()
            else:
                connection.force_close()

    def _idle_limit_s(self, connection: CallerProtocol, limits: CallerLimits) -> float:
        if connection in self._served:
            return limits.idle_timeout_s
        return limits.header_timeout_s
