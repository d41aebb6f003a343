"""The answers that the gateway gives itself, each with its reason and outcome."""

import json
import random
from http import HTTPStatus

from attrs import frozen

from dotterelpitch.gateway.call import ResponseWriter
from dotterelpitch.platform.headers import REQUEST_ID, RETRY_AFTER, Headers
from dotterelpitch.routing.attempt_outcomes import FinalResponse
from dotterelpitch.telemetry.events import Event, log_event

# A caller comes back within a third of the time it has left.
RETRY_AFTER_SHARE = 0.3
MIN_RETRY_AFTER_SECONDS = 0.05
MAX_RETRY_AFTER_SECONDS = 1.0


@frozen
class Refusal:
    """A status, and whether the request has certainly not run."""

    status: HTTPStatus
    outcome: str


REFUSAL_BY_FINAL_ANSWER = {
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
) -> None:
    """Answer with an error; one that wasn't run says when to come back."""
    refusal = REFUSAL_BY_FINAL_ANSWER[final]
    retry_after_s = None
    if refusal.status is HTTPStatus.SERVICE_UNAVAILABLE:
        retry_after_s = choose_retry_after(remaining_s)
    await send_problem(
        writer, refusal.status, refusal.outcome, request_id, reason, retry_after_s
    )


def choose_retry_after(remaining_s: float) -> float:
    """Return when to come back, in seconds, spread so that not all come at once."""
    latest = min(MAX_RETRY_AFTER_SECONDS, RETRY_AFTER_SHARE * remaining_s)
    return max(MIN_RETRY_AFTER_SECONDS, latest * random.uniform(0.3, 1.0))


async def send_problem(
    writer: ResponseWriter,
    status: HTTPStatus,
    outcome: str,
    request_id: str,
    reason: str,
    retry_after_s: float | None = None,
) -> None:
    """Send an RFC 9457 problem document and log it."""
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
