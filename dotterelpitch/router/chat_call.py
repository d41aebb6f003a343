"""Parses and validates callers' chat completion requests."""

import hashlib
import json
import math
from datetime import datetime
from typing import Any

import uuid6
from attrs import frozen
from multidict import CIMultiDictProxy

from dotterelpitch.clock import Clock
from dotterelpitch.documents.model import ClientAccount, ServiceDocument
from dotterelpitch.router.accounts import authenticate
from dotterelpitch.router.problems import CallerError
from dotterelpitch.router.state import FleetView

CHAT_HEADER = "Dotterelpitch-Chat"
DEADLINE_HEADER = "Dotterelpitch-Deadline"
TIMEOUT_HEADER = "Request-Timeout"
LAST_EVENT_HEADER = "Last-Event-ID"
CHAT_ID_MESSAGES = 2
DEFAULT_MAX_TOKENS = 256


@frozen
class ResumePoint:
    """The position from which a caller resumes an event stream.

    ``request_id`` and ``engine`` identify the stream, and ``last_event`` is the
    number of the last event that the caller has received.
    """

    request_id: str
    engine: str
    last_event: int


@frozen
class ChatCall:
    """A validated chat completion request.

    ``chat`` identifies the conversation and ``fingerprint`` the content of the
    body. ``deadline`` is an instant in Unix seconds, 0 for none. ``cached_bytes``
    is the size of the part of the body that an engine has seen in an earlier turn,
    and ``max_tokens`` the longest completion that the caller accepts.
    """

    request_id: str
    document: ServiceDocument
    model: str
    account: ClientAccount
    chat: str
    deadline: float
    max_tokens: int
    cached_bytes: int
    fingerprint: str
    stream: bool
    body: bytes
    resume: ResumePoint | None = None


def new_request_id() -> str:
    """Return a new request id. Ids sort by creation time."""
    return str(uuid6.uuid7())


def parse_chat_call(
    request_id: str,
    headers: CIMultiDictProxy[str],
    body: bytes,
    view: FleetView,
    clock: Clock,
) -> ChatCall:
    """Return the validated request.

    Raises CallerError, with the invalid field in its detail, when the request is
    malformed, unauthorized, past its deadline, or for an unknown model.
    """
    content = _parse_body(body)
    service = view.service_by_model.get(content["model"])
    if service is None:
        raise CallerError(404, "Unknown model", f"model: {content['model']!r}")
    document = view.document_by_service[service]
    account = authenticate(document, headers.get("Authorization", ""))
    resume = parse_resume_point(headers.get(LAST_EVENT_HEADER, ""))
    return ChatCall(
        request_id=resume.request_id if resume else request_id,
        document=document,
        model=content["model"],
        account=account,
        chat=headers.get(CHAT_HEADER) or _chat_id_of(content["messages"]),
        deadline=parse_deadline(headers, clock),
        max_tokens=content.get("max_tokens", DEFAULT_MAX_TOKENS),
        cached_bytes=_cached_bytes(content["messages"]),
        fingerprint=hashlib.sha256(body).hexdigest()[:16],
        stream=bool(content.get("stream", False)),
        body=body,
        resume=resume,
    )


def parse_deadline(headers: CIMultiDictProxy[str], clock: Clock) -> float:
    """Return the caller's deadline in Unix seconds, 0 for none.

    Raises CallerError when a header can't be parsed, or when the deadline has
    passed already, so that such a request is refused before any dispatch.
    """
    if instant := headers.get(DEADLINE_HEADER):
        deadline = _parse_instant(instant)
    elif seconds := headers.get(TIMEOUT_HEADER):
        deadline = clock.wall() + _parse_seconds(seconds)
    else:
        return 0.0
    if deadline <= clock.wall():
        raise CallerError(504, "The deadline has passed", "nothing was sent")
    return deadline


def _parse_instant(text: str) -> float:
    try:
        instant = datetime.fromisoformat(text)
    except ValueError:
        instant = None
    if instant is None or instant.tzinfo is None:
        raise _bad_request(DEADLINE_HEADER, "must be RFC 3339 with an offset")
    return instant.timestamp()


def _parse_seconds(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not math.isfinite(seconds):
        raise _bad_request(TIMEOUT_HEADER, "must be seconds")
    return seconds


def parse_resume_point(last_event_id: str) -> ResumePoint | None:
    """Parse a ``Last-Event-ID`` of the form ``request~engine:number``.

    Returns None when the header is empty, and raises CallerError when it has
    another form.
    """
    if not last_event_id:
        return None
    stream_id, _, number = last_event_id.rpartition(":")
    request_id, separator, engine = stream_id.partition("~")
    if not separator or not number.isdigit():
        raise _bad_request(LAST_EVENT_HEADER, "isn't an id of this service")
    return ResumePoint(request_id, engine, int(number))


def _parse_body(body: bytes) -> dict[str, Any]:
    try:
        content = json.loads(body)
    except ValueError as error:
        raise _bad_request("body", f"isn't JSON: {error}") from None
    except RecursionError:
        raise _bad_request("body", "is nested too deeply") from None
    if not isinstance(content, dict):
        raise _bad_request("body", "must be an object")
    if not isinstance(content.get("model"), str):
        raise _bad_request("model", "must be a string")
    messages = content.get("messages")
    if not isinstance(messages, list) or not messages:
        raise _bad_request("messages", "must be a list with one message or more")
    if not all(isinstance(message, dict) for message in messages):
        raise _bad_request("messages", "each must be an object")
    max_tokens = content.get("max_tokens", DEFAULT_MAX_TOKENS)
    if type(max_tokens) is not int or max_tokens < 1:
        raise _bad_request("max_tokens", "must be a whole number above 0")
    return content


def _chat_id_of(messages: list[Any]) -> str:
    """Return a chat id for callers that send none: a hash of the first messages."""
    leading = json.dumps(messages[:CHAT_ID_MESSAGES], sort_keys=True)
    return hashlib.sha256(leading.encode()).hexdigest()[:32]


def _cached_bytes(messages: list[Any]) -> int:
    """Return the size in bytes of the messages up to the last completion."""
    roles = [m.get("role") if isinstance(m, dict) else None for m in messages]
    if "assistant" not in roles:
        return 0
    last_completion = len(roles) - 1 - roles[::-1].index("assistant")
    return len(json.dumps(messages[: last_completion + 1]))


def _bad_request(field: str, detail: str) -> CallerError:
    return CallerError(400, "Bad request", f"{field}: {detail}")
