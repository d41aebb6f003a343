"""HTTP client of the platform's configuration service."""

import json
import time
from typing import Any

import aiohttp
import cattrs
from attrs import define, field, frozen

from dotterelpitch.errors import PlatformError
from dotterelpitch.membership.model import VmList

REQUEST_TIMEOUT_SECONDS = 5.0


class NotPublishedError(PlatformError):
    """The platform responds, but has no document of this name."""


@frozen
class FetchedDocument:
    """A document as fetched; ``text`` is JSON with sorted keys, not validated.

    ``etag`` identifies the content: a later watch with this ``etag`` waits for
    different content.
    """

    revision: int
    text: str
    etag: str = ""


@define
class PlatformClient:
    """Reads documents and the VM list; ``calls`` counts the requests.

    ``reader`` is the name of this VM, sent with each request.
    ``confirmed_at_by_service`` holds the monotonic time in seconds of the last
    response for each service.
    """

    address: str
    session: aiohttp.ClientSession
    reader: str = ""
    calls: int = 0
    confirmed_at_by_service: dict[str, float] = field(factory=dict)

    def document_ages(self) -> list[tuple[str, float]]:
        """Return pairs of service and seconds since its last confirmed read."""
        now = time.monotonic()
        return [(s, now - at) for s, at in self.confirmed_at_by_service.items()]

    async def read_document(
        self, service: str, after: int = 0, wait: float = 0.0, etag: str = ""
    ) -> FetchedDocument | None:
        """Return the document of ``service``.

        With a ``wait`` above 0 this is a long poll: it returns once the document
        has a revision above ``after`` and content other than ``etag``, or None
        after ``wait`` seconds. Raises NotPublishedError when there is no
        document, and PlatformError on any other unusable response.
        """
        response = await self._get(f"/v1/documents/{service}", after, wait, etag)
        self.confirmed_at_by_service[service] = time.monotonic()
        if response is None:
            return None
        raw, response_etag = response
        text = json.dumps(
            raw.get("document"),
            sort_keys=True,
            separators=(",", ":"),
            ensure_ascii=False,
        )
        return FetchedDocument(raw["revision"], text, response_etag)

    async def read_vms(self, after: int = 0, wait: float = 0.0) -> VmList | None:
        """Return the VM list; ``after`` and ``wait`` are as in ``read_document``."""
        response = await self._get("/v1/vms", after, wait)
        if response is None:
            return None
        try:
            return cattrs.structure(response[0], VmList)
        except Exception as error:
            raise PlatformError(f"/v1/vms: {error}") from error

    async def _get(
        self, path: str, after: int, wait: float, etag: str = ""
    ) -> tuple[dict[str, Any], str] | None:
        self.calls += 1
        headers = {"If-None-Match": etag} if etag else {}
        params = {"reader": self.reader}
        if wait:
            params |= {"after": str(after), "wait": f"{wait:g}"}
        timeout = aiohttp.ClientTimeout(total=wait + REQUEST_TIMEOUT_SECONDS)
        url = f"http://{self.address}{path}"
        try:
            async with self.session.get(
                url, params=params, headers=headers, timeout=timeout
            ) as response:
                if response.status == 304:
                    return None
                if response.status == 404:
                    raise NotPublishedError(f"{path}: not published")
                if response.status != 200:
                    raise PlatformError(f"{path}: status {response.status}")
                raw = json.loads(await response.read())
                response_etag = response.headers.get("ETag", "")
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise PlatformError(f"{path}: {error or 'timeout'}") from error
        if not isinstance(raw, dict) or type(raw.get("revision")) is not int:
            raise PlatformError(f"{path}: the response has no revision")
        return raw, response_etag
