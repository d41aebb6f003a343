"""The frames that every connection of the inner protocol uses.

They are separate from the messages of the programs, so that a process imports
only the message types that it uses.
"""

from dotterelpitch.protocol.codec import message

PROTOCOL_VERSION = 2


@message(1)
class Challenge:
    """The listener's first frame, with the nonce for the dialer's proof."""

    version: int
    nonce: bytes


@message(2)
class Hello:
    """The dialer's reply, with its proof of the key and its own nonce."""

    version: int
    vm: str
    role: str
    incarnation: str
    nonce: bytes
    proof: bytes


@message(3)
class Welcome:
    """The listener's proof of the key; completes the handshake."""

    vm: str
    incarnation: str
    proof: bytes


@message(4)
class Data:
    """A chunk of a body; consumes the stream's credit."""

    payload: bytes


@message(5)
class Credit:
    """Allows the peer to send ``size`` more bytes of Data on this stream."""

    size: int


@message(6)
class End:
    """Ends the sender's direction of the stream."""


@message(7)
class Reset:
    """Aborts both directions of the stream."""

    code: str
    detail: str


@message(8)
class Ping:
    """Requests a Pong, so that an unresponsive peer is detected."""


@message(9)
class Pong:
    """Reply to a Ping."""
