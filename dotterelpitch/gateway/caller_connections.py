"""The callers' connections: which are busy, and which have been idle for too long."""

import contextlib
from collections.abc import Iterable, Iterator

from aiohttp.web_protocol import RequestHandler
from attrs import define, field

from dotterelpitch.clock import Clock


@define
class CallerConnections:
    """Closes connections on which no request has been under way for long.

    A connection that sends the head of its request too slowly counts as idle:
    its request begins once the head is whole.
    """

    _clock: Clock
    _busy: set[RequestHandler] = field(factory=set)
    _idle_since: dict[RequestHandler, float] = field(factory=dict)

    @contextlib.contextmanager
    def request(self, connection: RequestHandler) -> Iterator[None]:
        """Count a connection as busy while a request is answered on it."""
        self._busy.add(connection)
        try:
            yield
        finally:
            self._busy.discard(connection)
            self._idle_since[connection] = self._clock.monotonic()

    def close_idle(self, open_now: Iterable[RequestHandler], limit_s: float) -> int:
        """Close those that have been idle for ``limit_s``; return how many."""
        now = self._clock.monotonic()
        self._idle_since = {
            connection: self._idle_since.get(connection, now)
            for connection in open_now
            if connection not in self._busy
        }
        expired = [c for c, since in self._idle_since.items() if now - since > limit_s]
        for connection in expired:
            connection.force_close()
        return len(expired)

    def close_all(self, open_now: Iterable[RequestHandler]) -> None:
        """Close idle connections now, and busy ones after their answer.

        aiohttp's own ``close`` leaves an idle connection open but unread.
        """
        for connection in list(open_now):
            if connection in self._busy:
                connection.close()
            else:
                connection.force_close()
