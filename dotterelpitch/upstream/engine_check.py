"""Asks an engine for a sign of life, on a connection of its own."""

import asyncio
from enum import StrEnum

from dotterelpitch.platform.headers import decode_engine_id
from dotterelpitch.upstream.connection import EngineConnection
from dotterelpitch.upstream.errors import (
    AnswerLostError,
    ConnectRefusedError,
    ConnectTimeoutError,
    PathLostError,
)
from dotterelpitch.upstream.opening import open_connection
from dotterelpitch.upstream.request_bytes import encode_request

CHECK_TIMEOUT_SECONDS = 1.0
# Several connection attempts fit in the timeout, since a packet may be lost.
CONNECT_TIMEOUT_SECONDS = 0.3


class CheckResult(StrEnum):
    """Result of a check; the values are logged.

    RESPONDED is any response but that of another engine, which is REPLACED. REFUSED
    means that nothing listens, BROKEN that the connection ended without a response,
    and SILENT that there was no sign of life within the timeout.
    """

    RESPONDED = "responded"
    REPLACED = "replaced"
    REFUSED = "refused"
    BROKEN = "broken"
    SILENT = "silent"


async def check_engine(
    engine_id: str,
    address: str,
    health_path: str,
    timeout_s: float = CHECK_TIMEOUT_SECONDS,
) -> CheckResult:
    """Return what a health request to the engine at ``address`` meets."""
    try:
        async with asyncio.timeout(timeout_s):
            connection = await _connect(address)
            try:
                return await _request_health(
                    connection, engine_id, address, health_path
                )
            finally:
                connection.close()
    except ConnectRefusedError:
        return CheckResult.REFUSED
    except (TimeoutError, PathLostError):
        return CheckResult.SILENT
    except AnswerLostError:
        return CheckResult.BROKEN


async def _connect(address: str) -> EngineConnection:
    """Return a connection, trying until cancelled while there is no answer."""
    while True:
        try:
            return await open_connection(address, CONNECT_TIMEOUT_SECONDS)
        except ConnectTimeoutError:
            continue


async def _request_health(
    connection: EngineConnection, engine_id: str, address: str, health_path: str
) -> CheckResult:
    headers = [("Host", address), ("Connection", "close")]
    request = encode_request("GET", health_path, headers, b"")
    connection.send(request, request_id="")
    head = await connection.read_head()
    answering_id = decode_engine_id(head.value_by_name)
    if answering_id and answering_id != engine_id:
        return CheckResult.REPLACED
    return CheckResult.RESPONDED
