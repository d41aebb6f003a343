"""The calls to the platform's store: full lists and watches, both read-only."""

import base64
import binascii
from typing import Any

import aiohttp
from attrs import frozen

from dotterelpitch.errors import PlatformError
from dotterelpitch.platform._fields import read_field

# A watch is answered at the latest this long after its wait has passed.
ANSWER_SECONDS = 1.0
# The store answers in milliseconds; a list that takes longer is asked for again.
LIST_SECONDS = 2.0

_RANGE_PATH = "/v1/kv-range"
_WATCH_PATH = "/v1/kv-watch"


class HistoryLostError(PlatformError):
    """The store has dropped the changes since the revision asked for."""


@frozen
class StoreRecord:
    """One record; ``value`` is None when the record was deleted."""

    key: str
    value: bytes | None


@frozen
class StoreResponse:
    """Records, and the revision of the store that they bring a reader to."""

    records: tuple[StoreRecord, ...]
    revision: int


class StoreClient:
    """Reads the platform's store over one aiohttp session."""

    def __init__(self, address: str, session: aiohttp.ClientSession) -> None:
        self._session = session
        self.set_address(address)

    def set_address(self, address: str) -> None:
        """Send the calls from now on to ``address`` (``IP:port``)."""
        self._url = f"http://{address}"

    async def read_all(self, prefix: str) -> StoreResponse:
        """Return all records whose key begins with ``prefix``.

        The revision is that of the first page, since pages aren't a snapshot:
        a watch from there repeats what has changed meanwhile.
        """
        records: list[StoreRecord] = []
        query = {"path_prefix": prefix}
        revision = None
        while True:
            page = await self._get(_RANGE_PATH, query, LIST_SECONDS)
            if revision is None:
                revision = read_field(page, "store_revision", int)
            items = read_field(page, "items", list)
            records += [_decode_item(item) for item in items]
            if not read_field(page, "more_pages", bool, False) or not items:
                return StoreResponse(tuple(records), revision)
            query = {"path_prefix": prefix, "after": records[-1].key}

    async def watch(self, prefix: str, revision: int, wait_s: float) -> StoreResponse:
        """Return the changes after ``revision``, waiting up to ``wait_s`` for one.

        Raises HistoryLostError when a full list is needed instead.
        """
        query = {
            "path_prefix": prefix,
            "after": str(revision),
            "wait_ms": str(int(wait_s * 1000)),
        }
        content = await self._get(_WATCH_PATH, query, wait_s + ANSWER_SECONDS)
        changes = tuple(_decode_item(e) for e in read_field(content, "events", list))
        return StoreResponse(changes, read_field(content, "store_revision", int))

    async def _get(self, path: str, query: dict[str, str], timeout_s: float) -> Any:
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self._session.get(
                self._url + path, params=query, timeout=timeout
            ) as response:
                if response.status == 410:
                    raise HistoryLostError("the store has dropped its history")
                if response.status != 200:
                    raise PlatformError(f"the store answered {response.status}")
                return await response.json()
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise PlatformError(f"{type(error).__name__}: {error}") from error


def _decode_item(item: Any) -> StoreRecord:
    key = read_field(item, "key", str)
    if read_field(item, "deleted", bool, False):
        return StoreRecord(key, None)
    try:
        value = base64.b64decode(read_field(item, "value", str), validate=True)
    except binascii.Error as error:
        raise PlatformError(f"{key}: {error}") from error
    return StoreRecord(key, value)
