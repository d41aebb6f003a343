"""Error responses of the gateway itself, as RFC 9457 problem documents."""

import json
import random
from http import HTTPStatus

from attrs import frozen

from dotterelpitch.errors import DotterelpitchError
from dotterelpitch.gateway.call import ResponseWriter
from dotterelpitch.platform.headers import REQUEST_ID, RETRY_AFTER, Headers
from dotterelpitch.routing.attempt_outcomes import FinalResponse
from dotterelpitch.telemetry.events import Event, log_event

# Retry-After is at most about a third of the time that the caller has left.
RETRY_AFTER_SHARE = 0.3
MIN_RETRY_AFTER_SECONDS = 0.05
MAX_RETRY_AFTER_SECONDS = 1.0


class RefusedError(DotterelpitchError):
    """Raised for a request that is refused before it is forwarded.

    ``retry_after_s`` is in seconds, or None if a retry is of no use.
    """

    def __init__(
        self,
        status: HTTPStatus,
        reason: str,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s


@frozen
class Refusal:
    """A status and an outcome: ``not-run`` if the request has certainly not run."""

    status: HTTPStatus
    outcome: str


REFUSAL_BY_FINAL_RESPONSE = {
    FinalResponse.REFUSAL: Refusal(HTTPStatus.SERVICE_UNAVAILABLE, "not-run"),
    FinalResponse.BAD_GATEWAY: Refusal(HTTPStatus.BAD_GATEWAY, "unknown"),
    FinalResponse.TIMEOUT: Refusal(HTTPStatus.GATEWAY_TIMEOUT, "unknown"),
}


async def refuse(
    writer: ResponseWriter,
    final: FinalResponse,
    request_id: str,
    reason: str,
    remaining_s: float = 1.0,
    min_wait_s: float = 0.0,
) -> None:
    """Send an error response, with Retry-After if the request has not run.

    ``remaining_s`` is the time until the caller's deadline, and ``min_wait_s`` the time
    before which no retry can be served, both in seconds.
    """
    refusal = REFUSAL_BY_FINAL_RESPONSE[final]
    retry_after_s = None
    if refusal.status is HTTPStatus.SERVICE_UNAVAILABLE:
        retry_after_s = choose_retry_after(remaining_s, min_wait_s)
    await send_problem(
        writer, refusal.status, refusal.outcome, request_id, reason, retry_after_s
    )


def choose_retry_after(remaining_s: float, min_wait_s: float = 0.0) -> float:
    """Return a Retry-After in seconds, with jitter so that retries are spread out.

    It is at least ``min_wait_s``.
    """
    latest = min(MAX_RETRY_AFTER_SECONDS, RETRY_AFTER_SHARE * remaining_s)
    spread = max(MIN_RETRY_AFTER_SECONDS, latest * random.uniform(0.3, 1.0))
    return max(0.0, min_wait_s) + spread


async def send_problem(
    writer: ResponseWriter,
    status: HTTPStatus,
    outcome: str,
    request_id: str,
    reason: str,
    retry_after_s: float | None = None,
) -> None:
    """Send a problem document (RFC 9457) and log the refusal."""
    log_event(
        Event.REQUEST_REFUSED,
        request=request_id,
        status=int(status),
        outcome=outcome,
        reason=reason,
        retry_after_s=retry_after_s,
    )
    headers: Headers = [("Content-Type", "application/problem+json")]
    if request_id:
        headers.append((REQUEST_ID, request_id))
    if retry_after_s is not None:
        headers.append((RETRY_AFTER, f"{retry_after_s:.3f}"))
    problem = {"title": status.phrase, "outcome": outcome, "detail": reason}
    await writer.send_response(status, headers, json.dumps(problem).encode())
