"""A pool of connections to engines, with limits on count and idle time."""

from attrs import define, field

from dotterelpitch.clock import Clock
from dotterelpitch.upstream.connection import EngineConnection
from dotterelpitch.upstream.errors import PoolFullError
from dotterelpitch.upstream.opening import open_connection

# A connection is kept for this fraction of the idle time that its engine allows, so
# that it isn't reused while the engine closes it.
IDLE_LIMIT_FRACTION = 0.6
# The network path may have failed since the last use. A new connection detects that
# within a round trip, so connections idle for longer aren't reused.
MAX_IDLE_SECONDS = 0.6
# Stricter bound for requests that can't be retried.
MAX_UNSAFE_IDLE_SECONDS = 0.15
SWEEP_INTERVAL_SECONDS = 1.0


@define
class _EngineConnections:
    idle: list[EngineConnection] = field(factory=list)
    busy: set[EngineConnection] = field(factory=set)

    def __len__(self) -> int:
        return len(self.idle) + len(self.busy)


class ConnectionPool:
    """The connections of this VM, by engine id.

    ``opened_count`` is the number of connections opened since the start.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._connections_by_engine: dict[str, _EngineConnections] = {}
        self.opened_count = 0

    async def acquire(
        self, engine_id: str, address: str, limit: int, is_unsafe: bool
    ) -> EngineConnection:
        """Return an idle or a new connection; ``release`` it after use.

        ``limit`` bounds the connections of this VM to the engine. ``is_unsafe``
        marks requests that can't be retried, which need a recently used or new
        connection. Raises NotSentError if the limit is reached or the engine can't
        be connected to.
        """
        connections = self._connections_by_engine.setdefault(
            engine_id, _EngineConnections()
        )
        connection = self._take_idle(connections, is_unsafe)
        if connection is None:
            if len(connections) >= limit and not self._close_oldest_idle(connections):
                raise PoolFullError(f"{limit} connections to {engine_id} are in use")
            connection = await open_connection(address)
            connection.opened_at = self._clock.monotonic()
            self.opened_count += 1
        connections.busy.add(connection)
        return connection

    def release(self, engine_id: str, connection: EngineConnection) -> None:
        """End the exchange on a connection, and keep it for reuse if possible."""
        connection.finish(self._clock.monotonic())
        connections = self._connections_by_engine[engine_id]
        connections.busy.discard(connection)
        if connection.is_reusable:
            connections.idle.append(connection)

    def sweep(self) -> None:
        """Close the connections that have been idle for too long."""
        now = self._clock.monotonic()
        for connections in self._connections_by_engine.values():
            kept = []
            for connection in connections.idle:
                if self._is_fresh(
                    connection, now, IDLE_LIMIT_FRACTION * connection.idle_limit_s
                ):
                    kept.append(connection)
                else:
                    connection.close()
            connections.idle = kept

    def close(self) -> None:
        """Close every connection."""
        for connections in self._connections_by_engine.values():
            for connection in [*connections.idle, *connections.busy]:
                connection.close()

    def _take_idle(
        self, connections: _EngineConnections, is_unsafe: bool
    ) -> EngineConnection | None:
        now = self._clock.monotonic()
        while connections.idle:
            connection = connections.idle[-1]
            limit_s = min(
                MAX_IDLE_SECONDS, IDLE_LIMIT_FRACTION * connection.idle_limit_s
            )
            if not self._is_fresh(connection, now, limit_s):
                connections.idle.pop().close()
                continue
            if is_unsafe and not self._is_fresh(
                connection, now, MAX_UNSAFE_IDLE_SECONDS
            ):
                return None
            return connections.idle.pop()
        return None

    @staticmethod
    def _close_oldest_idle(connections: _EngineConnections) -> bool:
        """Close the connection idle for longest; return whether there was one."""
        if not connections.idle:
            return False
        connections.idle.pop(0).close()
        return True

    @staticmethod
    def _is_fresh(connection: EngineConnection, now: float, limit_s: float) -> bool:
        if connection.is_closing or not connection.is_reusable:
            return False
        return now - connection.idle_since < limit_s
