"""The messages by which a gateway has a peer send a caller's request to an engine.

A stream starts with ForwardCall; the body follows as Data, then End. The peer answers
with CallDeclined, or with ForwardedHead and the response's body as Data.

Text that comes from callers and engines is carried as bytes, since it needn't be UTF-8.
"""

from attrs import field, frozen

from dotterelpitch.protocol.codec import message


def encode_text(text: str) -> bytes:
    """Return the bytes of text that was decoded from untrusted bytes."""
    return text.encode("utf-8", "surrogateescape")


def decode_text(data: bytes) -> str:
    """Return the text that ``encode_text`` has encoded."""
    return data.decode("utf-8", "surrogateescape")


@frozen
class HeaderField:
    """One header of a request or response."""

    name: bytes
    value: bytes


@message(86)
class ForwardCall:
    """A request that the sender has authenticated and can't send to an engine itself.

    ``account`` is the client account, or empty. ``budget_ms`` is the time that is left.
    ``config_version`` is the sender's. ``last_event_id`` is the last event that the
    caller has, and ``version`` the engine version that began the stream; empty if none
    did. ``sent_count`` attempts have reached an engine before. ``headers`` are those
    for the engine.
    """

    method: str
    target: bytes
    host: bytes
    service: str
    account: str
    budget_ms: int
    config_version: int
    last_event_id: bytes
    version: str
    sent_count: int
    headers: list[HeaderField] = field(factory=list)


@message(87)
class ForwardedHead:
    """The head of the response for the caller."""

    status: int
    headers: list[HeaderField] = field(factory=list)


@message(88)
class CallDeclined:
    """The receiver doesn't take the request; it has not run and won't."""

    reason: str
