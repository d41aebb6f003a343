"""Encoding of digests for gossip, which carries them as opaque bytes."""

from enum import StrEnum
from typing import Any

from dotterelpitch.errors import ProtocolError
from dotterelpitch.protocol.codec import FrameDecoder, encode_frame
from dotterelpitch.protocol.digest_messages import (
    CrashDigest,
    HealthDigest,
    LoadDigest,
    UsageDigest,
)

# The stream id in the frame of a digest, which belongs to no stream.
NO_STREAM = 0


class Topic(StrEnum):
    """The gossip topics of routing; the values are sent on the wire."""

    LOAD = "load"
    USAGE = "usage"
    HEALTH = "health"
    CRASH = "suspects"


TYPE_BY_TOPIC: dict[Topic, type] = {
    Topic.LOAD: LoadDigest,
    Topic.USAGE: UsageDigest,
    Topic.HEALTH: HealthDigest,
    Topic.CRASH: CrashDigest,
}


def encode_digest(digest: Any) -> bytes:
    """Return ``digest`` encoded as a gossip payload."""
    return encode_frame(NO_STREAM, digest)


def decode_digest(topic: str, payload: bytes) -> Any:
    """Return the digest encoded in ``payload``.

    Raises ProtocolError unless the payload is exactly one digest of ``topic``.
    """
    contents = [content for _, content in FrameDecoder().feed(payload)]
    if len(contents) != 1 or type(contents[0]) is not TYPE_BY_TOPIC.get(topic):
        raise ProtocolError(f"not a digest of topic {topic!r}")
    return contents[0]
