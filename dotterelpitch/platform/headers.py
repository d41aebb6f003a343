"""The headers of the platform: what callers and engines say, and what they get.

Header names are compared in lower case. Those that concern one connection only
and those that are the product's to set are never passed on from a caller.
"""

from collections.abc import Iterable, Mapping
from enum import StrEnum

from attrs import frozen

REQUEST_ID = "Request-Id"
RETRY_AFTER = "Retry-After"

# The seal that an engine puts on each answer: proof that it is the engine's own.
_SEAL = "response-seal"
_NOT_RUN = "not-executed"
_LOAD = "server-load"

_CONNECTION_HEADERS = frozenset(
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
_SET_BY_PRODUCT = frozenset(
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
_NOT_FROM_CALLER = _CONNECTION_HEADERS | _SET_BY_PRODUCT
_NOT_FROM_ENGINE = _CONNECTION_HEADERS | {_LOAD}

_MISDIRECTED = 421

Headers = list[tuple[str, str]]


@frozen
class CallerHeaders:
    """What a caller's headers say.

    ``budget_s`` is the time that the caller will wait, or None. ``prompt_parts``
    are the ids of the parts of a prompt, in order; the same id means the same
    tokens after the same parts. ``passed_on`` holds the headers that go to the
    engine as they came.
    """

    request_id: str
    key: str
    budget_s: float | None
    last_event_id: str
    prompt_parts: tuple[str, ...]
    forwarded: Headers


@frozen
class EngineCall:
    """What an engine is told besides the caller's own headers.

    ``cache_source`` is the ``IP:port`` of an engine that may hold the prompt.
    """

    engine_id: str
    account: str
    budget_s: float
    last_event_id: str = ""
    cache_source: str = ""


@frozen
class ReportedLoad:
    """How busy an engine says that it is; requests and places, not tokens."""

    running: int
    waiting: int
    slots: int

    @property
    def is_crowded(self) -> bool:
        """Whether requests wait there, or half of its places are taken."""
        return self.waiting > 0 or 2 * self.running >= self.slots


class ResponseClass(StrEnum):
    """What an answer of an engine means for its request."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    MISDIRECTED = "other-engine"
    FAILED = "failed"
    NOT_AUTHENTIC = "not-its-own"


def decode_caller_headers(raw: Iterable[tuple[str, str]]) -> CallerHeaders:
    """Return what a caller's headers say; what can't be read counts as absent."""
    raw = list(raw)
    value_by_name = {name.lower(): value for name, value in raw}
    named = _connection_options(value_by_name)
    forwarded = [
        (name, value)
        for name, value in raw
        if name.lower() not in _NOT_FROM_CALLER and name.lower() not in named
    ]
    return CallerHeaders(
        request_id=value_by_name.get("request-id", ""),
        key=value_by_name.get("credential", ""),
        budget_s=_decode_budget(value_by_name.get("deadline-ms", "")),
        last_event_id=value_by_name.get("last-event-id", ""),
        prompt_parts=_decode_prompt(value_by_name.get("prompt-prefix", "")),
        forwarded=forwarded,
    )


def encode_engine_headers(host: str, forwarded: Headers, call: EngineCall) -> Headers:
    """Return the headers of one attempt, without those of framing."""
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
    """Return what the head of an engine's answer means."""
    if status == _MISDIRECTED:
        return ResponseClass.MISDIRECTED
    if _NOT_RUN in value_by_name:
        return ResponseClass.NOT_RUN
    if status >= 500:
        return ResponseClass.FAILED
    if 200 <= status < 300 and _SEAL not in value_by_name:
        return ResponseClass.NOT_AUTHENTIC
    if "content-encoding" in value_by_name:
        return ResponseClass.NOT_AUTHENTIC
    return ResponseClass.ANSWERED


def decode_load(value_by_name: Mapping[str, str]) -> ReportedLoad | None:
    """Return the load that an answer tells; None where engines don't tell it."""
    try:
        running, waiting, slots = map(int, value_by_name.get(_LOAD, "").split(","))
    except ValueError:
        return None
    return ReportedLoad(running, waiting, slots)


def response_headers(raw: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers of an engine's answer that its caller gets."""
    return [(n, v) for n, v in raw if n.lower() not in _NOT_FROM_ENGINE]


def _connection_options(value_by_name: Mapping[str, str]) -> set[str]:
    """Return the headers that a Connection header declares as hop-by-hop."""
    options = value_by_name.get("connection", "").split(",")
    return {option.strip().lower() for option in options} - {"request-id"}


def _decode_budget(text: str) -> float | None:
    try:
        return max(0.0, float(text) / 1000.0)
    except ValueError:
        return None


def _decode_prompt(text: str) -> tuple[str, ...]:
    """Return the part ids of entries such as ``5c1e07a2:800``."""
    entries = text.split(",") if text else ()
    return tuple(entry.strip().partition(":")[0] for entry in entries)
