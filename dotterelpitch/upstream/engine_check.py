"""Asks an engine for a sign of life, on a connection of its own."""

import asyncio
from collections.abc import Awaitable, Callable
from enum import StrEnum

from attrs import frozen

from dotterelpitch.platform.engine_status import EngineStatus, decode_engine_status
from dotterelpitch.platform.headers import decode_engine_id
from dotterelpitch.upstream.connection import EngineConnection, HttpResponseHead
from dotterelpitch.upstream.errors import (
    AnswerLostError,
    ConnectFailedError,
    ConnectRefusedError,
    ConnectTimeoutError,
    PathLostError,
)
from dotterelpitch.upstream.opening import open_connection
from dotterelpitch.upstream.request_bytes import encode_request

CHECK_TIMEOUT_SECONDS = 1.0
# An engine that is busy, or that resets connections since it has too many, says
# something to another request within this time, which saves the health request.
PATIENCE_SECONDS = 0.1
# Several connection attempts fit in the timeout, since a packet may be lost.
CONNECT_TIMEOUT_SECONDS = 0.3


class CheckResult(StrEnum):
    """Result of a check; the values are logged.

    RESPONDED is any response but that of another engine, which is REPLACED; RETURNED
    is one after a connection attempt without an answer. REFUSED means that nothing
    listens, BROKEN that the connection ended without a response, and SILENT that
    there was no sign of life within the timeout. UNNEEDED means that the engine
    accepted a connection and had given a sign of life elsewhere, NOT_MADE that the
    check itself failed, and NOT_STARTED that there have been too many.
    """

    NOT_MADE = "not made"
    NOT_STARTED = "not started"

    UNNEEDED = "unneeded"
    RESPONDED = "responded"
    RETURNED = "returned"
    REPLACED = "replaced"
    REFUSED = "refused"
    BROKEN = "broken"
    SILENT = "silent"


def _ignore(status: EngineStatus) -> None:
    """Ignore what an engine says of itself."""


@frozen
class EngineCheck:
    """A check of one engine.

    ``is_needed`` returns whether the engine still hasn't given a sign of life
    elsewhere. ``on_status`` is called with what the engine says of itself. Times are in
    seconds.
    """

    engine_id: str
    address: str
    health_path: str
    is_needed: Callable[[], bool]
    patience_s: float = PATIENCE_SECONDS
    timeout_s: float = CHECK_TIMEOUT_SECONDS
    on_status: Callable[[EngineStatus], None] = _ignore

    async def run(self) -> CheckResult:
        """Return what a connection and a health request to the engine meet."""
        try:
            async with asyncio.timeout(self.timeout_s):
                return await self._run()
        except ConnectFailedError:
            return CheckResult.NOT_MADE
        except ConnectRefusedError:
            return CheckResult.REFUSED
        except (TimeoutError, PathLostError):
            return CheckResult.SILENT
        except AnswerLostError:
            return CheckResult.BROKEN

    async def _run(self) -> CheckResult:
        connection, failed_attempts = await self._connect()
        try:
            await asyncio.sleep(self.patience_s)
            if not self.is_needed():
                return CheckResult.UNNEEDED
            head = await self._request_health(connection)
        finally:
            connection.close()
        if decode_engine_id(head.value_by_name) not in ("", self.engine_id):
            return CheckResult.REPLACED
        self.on_status(decode_engine_status(head.status, head.headers))
        return CheckResult.RETURNED if failed_attempts else CheckResult.RESPONDED

    async def _connect(self) -> tuple[EngineConnection, int]:
        """Return a connection, and how many attempts before it had no answer."""
        failed_attempts = 0
        while True:
            try:
                connection = await open_connection(
                    self.address, CONNECT_TIMEOUT_SECONDS
                )
                return connection, failed_attempts
            except ConnectTimeoutError:
                failed_attempts += 1

    async def _request_health(self, connection: EngineConnection) -> HttpResponseHead:
        headers = [("Host", self.address), ("Connection", "close")]
        request = encode_request("GET", self.health_path, headers, b"")
        connection.send(request, request_id="")
        return await connection.read_head()


RunCheck = Callable[[EngineCheck], Awaitable[CheckResult]]
"""Runs a check, as ``EngineCheck.run`` does."""
