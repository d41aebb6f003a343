"""Opens connections to engines, with time-outs for lost network paths."""

import asyncio
import select
import socket

from dotterelpitch.upstream.connection import EngineConnection
from dotterelpitch.upstream.errors import (
    ConnectFailedError,
    ConnectRefusedError,
    ConnectTimeoutError,
)

# Covers a few round trips between failure domains and one scheduling delay.
CONNECT_TIMEOUT_SECONDS = 0.1
# If sent data isn't acknowledged for this long, the network path counts as failed.
TCP_USER_TIMEOUT_MS = 500
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2


async def open_connection(
    address: str, timeout_s: float = CONNECT_TIMEOUT_SECONDS
) -> EngineConnection:
    """Return a new connection to the engine at ``address``, which is ``IP:port``.

    Raises ConnectTimeoutError after ``timeout_s`` seconds without an answer,
    ConnectRefusedError if nothing listens there, and ConnectFailedError otherwise.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    sock = _new_socket()
    try:
        await _connect(sock, (host, int(port)), timeout_s)
        _, connection = await loop.create_connection(EngineConnection, sock=sock)
    except TimeoutError as error:
        sock.close()
        raise ConnectTimeoutError(f"{address}: no answer") from error
    except ConnectionError as error:
        sock.close()
        raise ConnectRefusedError(f"{address}: {error}") from error
    except OSError as error:
        sock.close()
        raise ConnectFailedError(f"{address}: {error}") from error
    except BaseException:
        sock.close()
        raise
    return connection


async def _connect(
    sock: socket.socket, address: tuple[str, int], timeout_s: float
) -> None:
    """Connect a socket; a process that was starved meanwhile may do so late.

    Its timeout expires together with the news that the connection is there.
    """
    try:
        async with asyncio.timeout(timeout_s):
            await asyncio.get_running_loop().sock_connect(sock, address)
    except TimeoutError:
        if not _is_connected(sock):
            raise


def _is_connected(sock: socket.socket) -> bool:
    poll = select.poll()
    poll.register(sock, select.POLLOUT)
    is_decided = bool(poll.poll(0))
    return is_decided and not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)


def _new_socket() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    return sock
