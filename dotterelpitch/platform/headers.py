"""The platform's headers, on the requests of callers and the responses of engines.

Header names are compared in lower case. Hop-by-hop headers and headers that only the
product may set are never forwarded from a caller.
"""

from collections.abc import Iterable, Mapping
from enum import StrEnum
from http import HTTPStatus

from attrs import frozen

REQUEST_ID = "Request-Id"
RETRY_AFTER = "Retry-After"

# Every engine sets the seal on its responses, as proof that it sent the response.
_RESPONSE_SEAL = "response-seal"
_NOT_EXECUTED = "not-executed"
_SERVER_LOAD = "server-load"
_INSTANCE_ID = "instance-id"

_HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "http2-settings",
    }
)
_RESERVED_HEADERS = frozenset(
    {
        "content-length",
        "credential",
        "deadline-ms",
        "expect",
        "expect-instance",
        "expect-version",
        "hold",
        "host",
        "kv-backup",
        "kv-fetch",
        "kv-from",
        "pin-ms",
        "request-priority",
        "tenant",
    }
)
_NOT_FORWARDED_TO_ENGINE = _HOP_BY_HOP_HEADERS | _RESERVED_HEADERS
_NOT_FORWARDED_TO_CALLER = _HOP_BY_HOP_HEADERS | {_SERVER_LOAD}

Headers = list[tuple[str, str]]


@frozen
class CallerHeaders:
    """The decoded headers of a caller's request.

    ``budget_s`` is the time that the caller is willing to wait, or None.
    ``resumes`` is the request id of the attempt that brought the first event of the
    stream that is taken up again after ``last_event_id``, if the caller names it.
    ``prompt_parts`` are the ids of the parts of a prompt, in order; equal ids after
    equal preceding parts stand for the same tokens. ``forwarded`` holds the headers
    that are sent to the engine unchanged.
    """

    request_id: str
    key: str
    budget_s: float | None
    last_event_id: str
    resumes: str
    prompt_parts: tuple[str, ...]
    forwarded: Headers


@frozen
class EngineCall:
    """The values of the headers that are added to a request to an engine.

    ``cache_source`` is the ``IP:port`` of an engine whose cache may hold the prompt.
    """

    engine_id: str
    account: str
    budget_s: float
    last_event_id: str = ""
    cache_source: str = ""


class ResponseClass(StrEnum):
    """What the head of an engine's response means for the request.

    NOT_RUN means that the engine has not executed the request, and MISDIRECTED that
    another engine is at the address. A NOT_AUTHENTIC response lacks the engine's
    seal or carries a content encoding.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    MISDIRECTED = "other-engine"
    FAILED = "failed"
    NOT_AUTHENTIC = "not-its-own"


def decode_caller_headers(raw: Iterable[tuple[str, str]]) -> CallerHeaders:
    """Decode a caller's headers; an invalid value is treated as absent."""
    raw = list(raw)
    value_by_name = {name.lower(): value for name, value in raw}
    connection_options = _connection_options(value_by_name)
    forwarded = [
        (name, value)
        for name, value in raw
        if name.lower() not in _NOT_FORWARDED_TO_ENGINE
        and name.lower() not in connection_options
    ]
    return CallerHeaders(
        request_id=value_by_name.get("request-id", ""),
        key=value_by_name.get("credential", ""),
        budget_s=_decode_budget(value_by_name.get("deadline-ms", "")),
        last_event_id=value_by_name.get("last-event-id", ""),
        resumes=value_by_name.get("resumes", ""),
        prompt_parts=_decode_prompt_parts(value_by_name.get("prompt-prefix", "")),
        forwarded=forwarded,
    )


def encode_engine_headers(host: str, forwarded: Headers, call: EngineCall) -> Headers:
    """Return the headers of one attempt, without those for message framing."""
    headers = [("Host", host)]
    resumes = bool(call.last_event_id)
    for name, value in forwarded:
        if not (resumes and name.lower() == "last-event-id"):
            headers.append((name, value))
    if resumes:
        headers.append(("Last-Event-Id", call.last_event_id))
    headers.append(("Deadline-Ms", str(max(1, int(call.budget_s * 1000)))))
    headers.append(("Expect-Instance", call.engine_id))
    if call.account:
        headers.append(("Tenant", call.account))
    if call.cache_source:
        headers.append(("Kv-Fetch", call.cache_source))
    return headers


def classify_response(status: int, value_by_name: Mapping[str, str]) -> ResponseClass:
    """Classify an engine's response by its status and headers.

    The names in ``value_by_name`` are in lower case.
    """
    if status == HTTPStatus.MISDIRECTED_REQUEST:
        return ResponseClass.MISDIRECTED
    if _NOT_EXECUTED in value_by_name:
        return ResponseClass.NOT_RUN
    if status >= 500:
        return ResponseClass.FAILED
    is_unproved = 200 <= status < 300 and not is_sealed(value_by_name)
    if is_unproved or "content-encoding" in value_by_name:
        return ResponseClass.NOT_AUTHENTIC
    return ResponseClass.ANSWERED


def is_sealed(value_by_name: Mapping[str, str]) -> bool:
    """Return whether an engine has sent a response, which its seal proves."""
    return _RESPONSE_SEAL in value_by_name


def decode_engine_id(value_by_name: Mapping[str, str]) -> str:
    """Return the id in an engine's response to a health request, or ""."""
    return value_by_name.get(_INSTANCE_ID, "")


def response_headers(raw: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers of an engine's response that are sent to the caller."""
    return [(n, v) for n, v in raw if n.lower() not in _NOT_FORWARDED_TO_CALLER]


def _connection_options(value_by_name: Mapping[str, str]) -> set[str]:
    """Return the names that the Connection header declares as hop-by-hop.

    ``request-id`` is always forwarded.
    """
    options = value_by_name.get("connection", "").split(",")
    return {option.strip().lower() for option in options} - {"request-id"}


def _decode_budget(text: str) -> float | None:
    try:
        return max(0.0, float(text) / 1000.0)
    except ValueError:
        return None


def _decode_prompt_parts(text: str) -> tuple[str, ...]:
    """Return the part ids of comma-separated entries such as ``5c1e07a2:800``.

    Bytes that aren't UTF-8 are escaped, since peers and engines' records are in UTF-8.
    """
    text = text.encode("utf-8", "surrogateescape").decode("utf-8", "backslashreplace")
    entries = text.split(",") if text else ()
    return tuple(entry.strip().partition(":")[0] for entry in entries)
