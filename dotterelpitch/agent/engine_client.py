"""HTTP client for the placement API of engines.

``GET /v1/orders`` returns what an engine has loaded, ``POST /v1/orders`` sets the
complete list of what it has to load. Both use the same JSON::

    {"fencing": 7, "role": "both",
     "models": [{"name": "m", "version": "2", "adapters": ["labels"]}]}

An engine responds to an order once it has carried it out, and with 409 if the
order's fencing number is older than one it has seen. An engine that doesn't keep
fencing numbers reports 0.
"""

import json
from collections.abc import Callable

import aiohttp
import cattrs
from attrs import field, frozen

from dotterelpitch.clock import Clock
from dotterelpitch.documents.model import Endpoint, EngineRole
from dotterelpitch.errors import (
    EngineUnavailableError,
    OrderDroppedError,
    OrderRefusedError,
)
from dotterelpitch.placement.engine_control import EngineControl
from dotterelpitch.placement.model import EngineOrder, EngineReport, ModelCopy

ORDERS_PATH = "/v1/orders"
READ_TIMEOUT_SECONDS = 1.0
# Covers the loading of the models: an engine responds once the order is done.
ORDER_TIMEOUT_SECONDS = 900.0
MAX_REPORT_BYTES = 256 * 1024
MAX_REASON_CHARACTERS = 200
STATUS_FENCED = 409


@frozen
class _ModelEntry:
    name: str
    version: str = ""
    adapters: list[str] = field(factory=list)


@frozen
class _ReportBody:
    """The JSON body of an engine report."""

    models: list[_ModelEntry]
    fencing: int = 0
    role: EngineRole = EngineRole.BOTH


class HttpEngineControl(EngineControl):
    """Reads reports of engines and sends them orders, over one HTTP client session."""

    def __init__(self, session: aiohttp.ClientSession, clock: Clock) -> None:
        self._session = session
        self._clock = clock

    async def read(self, engine: Endpoint) -> EngineReport:
        """Return what ``engine`` has loaded.

        Raises EngineUnavailableError if there is no valid response within
        ``READ_TIMEOUT_SECONDS``.
        """
        read_at = self._clock.monotonic()
        timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_SECONDS)
        try:
            async with self._session.get(_url(engine), timeout=timeout) as response:
                content = await _read_limited(response)
        except (aiohttp.ClientError, TimeoutError) as error:
            raise EngineUnavailableError(str(error) or "timeout") from error
        if response.status != 200:
            raise EngineUnavailableError(f"status {response.status}")
        report = _parse_report(content)
        copies = frozenset(
            ModelCopy(m.name, m.version, frozenset(m.adapters)) for m in report.models
        )
        return EngineReport(engine.name, read_at, copies, report.role, report.fencing)

    async def order(
        self, engine: Endpoint, order: EngineOrder, check: Callable[[], None]
    ) -> None:
        """Send ``order``, calling ``check`` right before the body is written.

        If ``check`` raises OrderDroppedError, the connection is closed before the
        announced body length is reached, so the engine never gets a complete order.
        Raises the OrderDroppedError of ``check``, OrderRefusedError on a 3xx or 4xx
        response, and EngineUnavailableError on any other failure.
        """
        payload = _encode_order(order)
        drop_errors: list[OrderDroppedError] = []

        async def body():
            try:
                check()
            except OrderDroppedError as error:
                drop_errors.append(error)
                raise
            yield payload

        try:
            async with self._session.post(
                _url(engine),
                data=body(),
                headers={
                    "Content-Type": "application/json",
                    "Content-Length": str(len(payload)),
                },
                timeout=aiohttp.ClientTimeout(
                    total=ORDER_TIMEOUT_SECONDS, sock_connect=READ_TIMEOUT_SECONDS
                ),
            ) as response:
                reason = await _read_limited(response)
        except (aiohttp.ClientError, TimeoutError, OrderDroppedError) as error:
            if drop_errors:
                raise drop_errors[0] from error
            raise EngineUnavailableError(str(error) or "timeout") from error
        _check_response(response.status, reason)


def _url(engine: Endpoint) -> str:
    return f"http://{engine.address}{ORDERS_PATH}"


async def _read_limited(response: aiohttp.ClientResponse) -> bytes:
    """Return the body; raises ClientPayloadError above ``MAX_REPORT_BYTES``."""
    content = bytearray()
    async for chunk in response.content.iter_any():
        content += chunk
        if len(content) > MAX_REPORT_BYTES:
            raise aiohttp.ClientPayloadError(
                f"body is larger than {MAX_REPORT_BYTES} bytes"
            )
    return bytes(content)


def _parse_report(content: bytes) -> _ReportBody:
    try:
        return cattrs.structure(json.loads(content), _ReportBody)
    except Exception as error:
        raise EngineUnavailableError(f"invalid report: {error}") from error


def _encode_order(order: EngineOrder) -> bytes:
    copies = sorted(order.copies, key=lambda copy: copy.key)
    models = [
        {"name": c.name, "version": c.version, "adapters": sorted(c.adapters)}
        for c in copies
    ]
    content = {"fencing": order.fencing, "models": models, "role": order.role.value}
    return json.dumps(content).encode()


def _check_response(status: int, reason: bytes) -> None:
    if status < 300:
        return
    text = reason[:MAX_REASON_CHARACTERS].decode(errors="replace")
    if status < 500:
        raise OrderRefusedError(f"status {status}: {text}", status == STATUS_FENCED)
    raise EngineUnavailableError(f"status {status}: {text}")
