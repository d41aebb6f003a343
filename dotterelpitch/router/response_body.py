"""Reads an endpoint's response, up to an end that is certain."""

from collections.abc import AsyncIterator

import aiohttp

from dotterelpitch.upstream.status_codes import is_final_status
from dotterelpitch.upstream.transfer_codings import TRANSFER_ENCODING, are_readable

_STATUSES_WITHOUT_BODY = frozenset({204, 304})


def check_head(response: aiohttp.ClientResponse) -> None:
    """Raise ClientPayloadError if the response can't be passed on.

    That is one with a status that HTTP doesn't have, or with a body in a coding that
    would stay in it.
    """
    if not is_final_status(response.status):
        raise aiohttp.ClientPayloadError(f"HTTP has no status {response.status:03}")
    codings = response.headers.getall(TRANSFER_ENCODING, [])
    if not are_readable(codings):
        raise aiohttp.ClientPayloadError(f"sent in transfer codings {codings}")


async def read_body(response: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    """Yield the body in pieces, as they come.

    A body without a length ends with its connection, and aiohttp takes it for whole
    even if that is reset. This raises ClientPayloadError then, as aiohttp does for any
    other body that breaks off, and as ``check_head`` does.
    """
    check_head(response)
    async for piece in response.content.iter_any():
        yield piece
    if _ends_with_connection(response) and _was_reset(response):
        raise aiohttp.ClientPayloadError("the connection was reset")


def _ends_with_connection(response: aiohttp.ClientResponse) -> bool:
    """Return whether nothing but the connection's end ends the body."""
    if response.method == "HEAD" or response.status in _STATUSES_WITHOUT_BODY:
        return False
    framing = ("Content-Length", TRANSFER_ENCODING)
    return not any(name in response.headers for name in framing)


def _was_reset(response: aiohttp.ClientResponse) -> bool:
    """Return whether the connection has failed; aiohttp has no public way to ask."""
    return isinstance(response._protocol.exception(), OSError)
