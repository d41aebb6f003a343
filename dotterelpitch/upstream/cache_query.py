"""Asks an engine which prompt parts it has in its cache, on a connection of its own."""

import asyncio

from dotterelpitch.errors import PlatformError
from dotterelpitch.platform.cache_list import CACHE_LIST_PATH, decode_cache_list
from dotterelpitch.upstream.connection import EngineConnection
from dotterelpitch.upstream.opening import open_connection
from dotterelpitch.upstream.request_bytes import encode_request

QUERY_TIMEOUT_SECONDS = 0.3
MAX_LIST_BYTES = 4 * 1024 * 1024


async def read_cached_parts(
    engine_id: str, address: str, timeout_s: float = QUERY_TIMEOUT_SECONDS
) -> frozenset[str]:
    """Return the prompt parts that the engine at ``address`` has in its cache.

    Raises UpstreamError or TimeoutError if the engine doesn't respond within
    ``timeout_s`` seconds, and PlatformError if it doesn't say.
    """
    async with asyncio.timeout(timeout_s):
        connection = await open_connection(address)
        try:
            return decode_cache_list(await _get(connection, engine_id, address))
        finally:
            connection.close()


async def _get(connection: EngineConnection, engine_id: str, address: str) -> bytes:
    headers = [
        ("Host", address),
        ("Expect-Instance", engine_id),
        ("Connection", "close"),
    ]
    request = encode_request("GET", CACHE_LIST_PATH, headers, b"")
    connection.send(request, request_id="")
    head = await connection.read_head()
    if head.status != 200:
        raise PlatformError(f"{CACHE_LIST_PATH}: status {head.status}")
    body = bytearray()
    while data := await connection.read_body():
        body += data
        if len(body) > MAX_LIST_BYTES:
            raise PlatformError(f"{CACHE_LIST_PATH}: over {MAX_LIST_BYTES} bytes")
    return bytes(body)
