"""Keeps connections to engines and chooses which one a request may use."""

import asyncio
import socket

from attrs import define, field

from dotterelpitch.clock import Clock
from dotterelpitch.upstream.connection import EngineConnection
from dotterelpitch.upstream.errors import (
    ConnectRefusedError,
    ConnectTimeoutError,
    PoolFullError,
)

# A few round trips between failure domains and one processor turn.
CONNECT_SECONDS = 0.1
# Sent data without acknowledgement for this long means a dead path.
UNACKNOWLEDGED_MS = 500
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# A connection may be reused for this part of the idle time that its engine allows.
IDLE_SHARE = 0.6
# A path may have been cut since the last use; a new connection tells in a round trip.
MAX_IDLE_SECONDS = 0.6
# For a request that can't be sent twice the connection must have been used just now.
UNSAFE_IDLE_SECONDS = 0.15
SWEEP_INTERVAL_SECONDS = 1.0


@define
class _EngineConnections:
    idle: list[EngineConnection] = field(factory=list)
    busy: set[EngineConnection] = field(factory=set)

    def __len__(self) -> int:
        return len(self.idle) + len(self.busy)


class ConnectionPool:
    """The connections of this VM, by engine id."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._connections_by_engine: dict[str, _EngineConnections] = {}
        self.opened_count = 0

    async def acquire(
        self, engine_id: str, address: str, limit: int, is_unsafe: bool
    ) -> EngineConnection:
        """Return a connection that no other request uses; give it back after use.

        ``limit`` bounds the connections of this VM to the engine. Raises
        NotSentError.
        """
        connections = self._connections_by_engine.setdefault(
            engine_id, _EngineConnections()
        )
        connection = self._take_idle(connections, is_unsafe)
        if connection is None:
            if len(connections) >= limit and not self._drop_idle(connections):
                raise PoolFullError(f"{limit} connections to {engine_id} are in use")
            connection = await self._open(address)
        connections.busy.add(connection)
        return connection

    def release(self, engine_id: str, connection: EngineConnection) -> None:
        """Keep a connection for the next request, if it is fit for one."""
        connection.finish(self._clock.monotonic())
        connections = self._connections_by_engine[engine_id]
        connections.busy.discard(connection)
        if connection.is_reusable:
            connections.idle.append(connection)

    def sweep(self) -> None:
        """Close the connections that have been idle for too long."""
        now = self._clock.monotonic()
        for connections in self._connections_by_engine.values():
            keep = []
            for connection in connections.idle:
                if self._is_fresh(
                    connection, now, IDLE_SHARE * connection.idle_limit_s
                ):
                    keep.append(connection)
                else:
                    connection.close()
            connections.idle = keep

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
            limit_s = min(MAX_IDLE_SECONDS, IDLE_SHARE * connection.idle_limit_s)
            if not self._is_fresh(connection, now, limit_s):
                connections.idle.pop().close()
                continue
            if is_unsafe and not self._is_fresh(connection, now, UNSAFE_IDLE_SECONDS):
                return None
            return connections.idle.pop()
        return None

    @staticmethod
    def _drop_idle(connections: _EngineConnections) -> bool:
        """Make room for a new connection by closing the one idle for longest."""
        if not connections.idle:
            return False
        connections.idle.pop(0).close()
        return True

    @staticmethod
    def _is_fresh(connection: EngineConnection, now: float, limit_s: float) -> bool:
        if connection.is_closing or not connection.is_reusable:
            return False
        return now - connection.idle_since < limit_s

    async def _open(self, address: str) -> EngineConnection:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        sock = _new_socket()
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                await loop.sock_connect(sock, (host, int(port)))
            _, connection = await loop.create_connection(EngineConnection, sock=sock)
        except TimeoutError as error:
            sock.close()
            raise ConnectTimeoutError(f"{address}: no answer") from error
        except OSError as error:
            sock.close()
            raise ConnectRefusedError(f"{address}: {error}") from error
        except BaseException:
            sock.close()
            raise
        self.opened_count += 1
        return connection


def _new_socket() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    return sock
