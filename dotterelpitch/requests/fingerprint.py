"""Fingerprints of keyed calls, which detect a reused idempotency key."""

import hashlib


def call_fingerprint(account: str, method: str, path: str, body: bytes) -> str:
    """Return a hex digest of the content of a keyed call.

    A repeated call has the same fingerprint. A call with a known key but another
    fingerprint is a mistake of the caller and is refused with status 422.

    >>> first = call_fingerprint("depot", "POST", "/swaps", b"{}")
    >>> first == call_fingerprint("depot", "POST", "/swaps", b"{ }")
    False
    """
    digest = hashlib.sha256()
    for part in (account.encode(), method.upper().encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
