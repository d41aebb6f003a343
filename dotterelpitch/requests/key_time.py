"""Extracts the creation time from an idempotency key.

A UUIDv7 key contains its creation time in milliseconds. A caller without a
reliable clock can get a key with a signed issue time from a router instead. All
other keys are opaque: they have no time.
"""

import hashlib
import hmac
import secrets
import uuid

SIGNED_KEY_PREFIX = "dp1"
SIGNATURE_HEX_DIGITS = 32
MS_PER_SECOND = 1000.0
MAX_KEY_LENGTH = 255


def key_time(key: str, secret: bytes) -> float | None:
    """Return the creation time of ``key`` in Unix seconds, or None if it is opaque.

    A signed key counts as opaque unless it was signed with ``secret``.

    >>> key_time("01890a5d-ac96-774b-bcce-b302099a8057", b"")
    1688096058.518
    >>> key_time("order-17", b"") is None
    True
    """
    if key.startswith(SIGNED_KEY_PREFIX + "."):
        return _signed_time(key, secret)
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != 7 or str(parsed) != key:
        return None
    return (parsed.int >> 80) / MS_PER_SECOND


def issue_key(now: float, secret: bytes) -> str:
    """Return a new key with the issue time ``now``, signed with ``secret``.

    ``now`` is in Unix seconds.
    """
    stamp = f"{SIGNED_KEY_PREFIX}.{int(now * MS_PER_SECOND)}.{secrets.token_hex(10)}"
    return f"{stamp}.{_signature(stamp, secret)}"


def _signed_time(key: str, secret: bytes) -> float | None:
    stamp, _, signature = key.rpartition(".")
    expected = _signature(stamp, secret).encode()
    if not hmac.compare_digest(expected, signature.encode()):
        return None
    milliseconds = stamp.split(".")[1]
    return int(milliseconds) / MS_PER_SECOND


def _signature(stamp: str, secret: bytes) -> str:
    digest = hmac.new(secret, stamp.encode(), hashlib.sha256)
    return digest.hexdigest()[:SIGNATURE_HEX_DIGITS]
