"""A caller that keeps its connection to a gateway."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import attrs

# The later parts of a request come so much after the one before.
PART_SECONDS = 0.05
# Time for a response, or for the end of the connection.
ANSWER_SECONDS = 2.0


@attrs.frozen
class Response:
    """A whole response, and whether it announces that the connection is closed."""

    status: int
    announces_close: bool
    head: str
    body: bytes


@attrs.define
class KeptCaller:
    """A caller on one connection.

    >>> async with KeptCaller.connect(gateway.caller_address) as caller:
    ...     await caller.send(request_bytes("/safe/1", close=False))
    ...     response = await caller.read()
    """

    _reader: asyncio.StreamReader
    _writer: asyncio.StreamWriter

    @classmethod
    @contextlib.asynccontextmanager
    async def connect(cls, address: str) -> AsyncIterator["KeptCaller"]:
        """Yield a caller that is connected to ``IP:port``."""
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            yield cls(reader, writer)
        finally:
            writer.close()

    async def send(self, *parts: bytes) -> None:
        """Send the parts of a request, the later ones after a moment."""
        self._writer.write(parts[0])
        for part in parts[1:]:
            await asyncio.sleep(PART_SECONDS)
            with contextlib.suppress(ConnectionError):
                self._writer.write(part)

    async def read(self, within_s: float = ANSWER_SECONDS) -> Response:
        """Return the next response, which must have a length.

        Raises TimeoutError if it takes longer than ``within_s``.
        """
        async with asyncio.timeout(within_s):
            head = (await self._reader.readuntil(b"\r\n\r\n")).decode().lower()
            length = int(head.split("content-length:")[1].split("\r\n")[0])
            body = await self._reader.readexactly(length)
        announces_close = "connection: close" in head
        return Response(int(head.split(" ")[1]), announces_close, head, body)

    async def is_closed(self) -> bool:
        """Return whether the gateway closes the connection within the time."""
        with contextlib.suppress(TimeoutError, ConnectionError):
            async with asyncio.timeout(ANSWER_SECONDS):
                return await self._reader.read() == b""
        return False
