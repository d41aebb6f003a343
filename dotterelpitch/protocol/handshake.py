"""Mutual authentication by a shared key, in the first three frames.

The listener sends Challenge, the dialer Hello, and the listener Welcome. Each
proof is an HMAC over both nonces, so that it can't be replayed on another
connection.
"""

import asyncio
import hashlib
import hmac
import secrets
from typing import Any

from attrs import frozen

from dotterelpitch.errors import (
    AuthenticationError,
    ConnectionLostError,
    ProtocolError,
)
from dotterelpitch.protocol.codec import FrameDecoder, encode_frame
from dotterelpitch.protocol.frames import PROTOCOL_VERSION, Challenge, Hello, Welcome

CONNECTION_STREAM = 0
READ_CHUNK_BYTES = 64 * 1024
# Bounds a frame of the handshake; names and proofs take some hundred bytes.
MAX_HANDSHAKE_FRAME_BYTES = 16 * 1024


@frozen
class Identity:
    """A process as it identifies itself to its peers, and the shared key.

    ``incarnation`` is a random id that changes with every start of the process.
    """

    vm: str
    role: str
    incarnation: str
    key: bytes

    @classmethod
    def create(cls, vm: str, role: str, key: str) -> "Identity":
        """Return an identity with a new incarnation."""
        return cls(vm, role, secrets.token_hex(8), key.encode())


async def handshake_as_dialer(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    decoder: FrameDecoder,
    identity: Identity,
) -> Welcome:
    """Perform the dialer's side of the handshake; return the listener's Welcome.

    Raises AuthenticationError when the keys or the protocol versions differ,
    ProtocolError on an invalid or unexpected frame, and ConnectionLostError when the
    listener closes the connection.
    """
    challenge = await _read_message(reader, decoder, Challenge)
    if challenge.version != PROTOCOL_VERSION:
        raise AuthenticationError(
            f"the peer uses protocol version {challenge.version}, "
            f"expected {PROTOCOL_VERSION}"
        )
    nonce = secrets.token_bytes(16)
    proof = _compute_proof(identity.key, b"dialer", challenge.nonce + nonce)
    hello = Hello(
        PROTOCOL_VERSION,
        identity.vm,
        identity.role,
        identity.incarnation,
        nonce,
        proof,
    )
    writer.write(encode_frame(CONNECTION_STREAM, hello))
    welcome = await _read_message(reader, decoder, Welcome)
    expected = _compute_proof(identity.key, b"listener", nonce + challenge.nonce)
    if not hmac.compare_digest(expected, welcome.proof):
        raise AuthenticationError("the peer doesn't hold the shared key")
    return welcome


async def handshake_as_listener(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    decoder: FrameDecoder,
    identity: Identity,
) -> Hello:
    """Perform the listener's side of the handshake; return the dialer's Hello.

    Raises AuthenticationError when the keys or the protocol versions differ,
    ProtocolError on an invalid or unexpected frame, and ConnectionLostError when the
    dialer closes the connection.
    """
    nonce = secrets.token_bytes(16)
    writer.write(encode_frame(CONNECTION_STREAM, Challenge(PROTOCOL_VERSION, nonce)))
    hello = await _read_message(reader, decoder, Hello)
    if hello.version != PROTOCOL_VERSION:
        raise AuthenticationError(
            f"the peer uses protocol version {hello.version}, "
            f"expected {PROTOCOL_VERSION}"
        )
    expected = _compute_proof(identity.key, b"dialer", nonce + hello.nonce)
    if not hmac.compare_digest(expected, hello.proof):
        raise AuthenticationError("the peer doesn't hold the shared key")
    proof = _compute_proof(identity.key, b"listener", hello.nonce + nonce)
    welcome = Welcome(identity.vm, identity.incarnation, proof)
    writer.write(encode_frame(CONNECTION_STREAM, welcome))
    return hello


async def _read_message(
    reader: asyncio.StreamReader, decoder: FrameDecoder, expected: type
) -> Any:
    while data := await reader.read(READ_CHUNK_BYTES):
        for _, content in decoder.feed(data):
            if type(content) is not expected:
                raise ProtocolError(
                    f"expected {expected.__name__}, got {type(content).__name__}"
                )
            return content
        if decoder.buffered_bytes > MAX_HANDSHAKE_FRAME_BYTES:
            raise ProtocolError("the first frame is too large")
    raise ConnectionLostError("connection closed during the handshake")


def _compute_proof(key: bytes, role: bytes, nonces: bytes) -> bytes:
    return hmac.digest(key, role + nonces, hashlib.sha256)
