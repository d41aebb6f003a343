"""Error responses to callers, as RFC 9457 problem documents."""

import json
import math
from enum import StrEnum

from aiohttp import web
from attrs import field, frozen

from dotterelpitch.errors import DotterelpitchError
from dotterelpitch.telemetry.events import Event

OUTCOME_HEADER = "Dotterelpitch-Outcome"
REQUEST_ID_HEADER = "Dotterelpitch-Request-Id"


class Outcome(StrEnum):
    """The outcome of a request as reported to the caller."""

    COMPLETED = "completed"
    FAILED = "failed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


_FINAL_OUTCOME = "outcome"


def set_final_outcome(response: web.StreamResponse, outcome: Outcome) -> None:
    """Store the outcome of a response whose head has been sent already."""
    response[_FINAL_OUTCOME] = outcome.value


def final_outcome(response: web.StreamResponse) -> str:
    """Return the outcome of a response for logs and metrics, empty if not known."""
    return response.get(_FINAL_OUTCOME) or response.headers.get(OUTCOME_HEADER, "")


@frozen(slots=False)
class CallerError(DotterelpitchError):
    """An error response to a caller.

    ``status`` is the HTTP status. ``retry_after`` is in seconds, 0 for no
    ``Retry-After`` header. ``event`` is the event whose number the document carries.
    """

    status: int
    title: str
    detail: str = ""
    outcome: Outcome = Outcome.NOT_RUN
    retry_after: float = 0.0
    event: Event = Event.REQUEST_ENDED
    extra_headers: dict[str, str] = field(factory=dict)

    def __str__(self) -> str:
        return f"{self.title}: {self.detail}" if self.detail else self.title

    def body(self, request_id: str) -> bytes:
        """Return the problem document as JSON."""
        content = {
            "type": "about:blank",
            "title": self.title,
            "status": self.status,
            "detail": self.detail,
            "outcome": self.outcome.value,
            "event": self.event.number,
            "request_id": request_id,
        }
        return json.dumps(content).encode()

    def response(self, request_id: str) -> web.Response:
        """Return the problem document as an HTTP response."""
        headers = {
            OUTCOME_HEADER: self.outcome.value,
            REQUEST_ID_HEADER: request_id,
            **self.extra_headers,
        }
        if self.retry_after > 0:
            headers["Retry-After"] = str(math.ceil(self.retry_after))
        return web.Response(
            status=self.status,
            body=self.body(request_id),
            headers=headers,
            content_type="application/problem+json",
        )
