"""The frames that every connection of the inner protocol uses.

They stand apart from the messages of the programs, so that a process loads
only the types that it speaks.
"""

from dotterelpitch.protocol.codec import message

PROTOCOL_VERSION = 2


@message(1)
class Challenge:
    """The listener's first frame: a random nonce to prove the shared key on."""

    version: int
    nonce: bytes


@message(2)
class Hello:
    """The dialer's answer, with proof of the key and its own nonce."""

    version: int
    vm: str
    role: str
    incarnation: str
    nonce: bytes
    proof: bytes


@message(3)
class Welcome:
    """The listener's proof of the key; the connection is open."""

    vm: str
    incarnation: str
    proof: bytes


@message(4)
class Data:
    """A part of a body; it uses up the stream's credit."""

    payload: bytes


@message(5)
class Credit:
    """Allows the other side ``size`` more bytes of Data on this stream."""

    size: int


@message(6)
class End:
    """The sender has nothing more to send on this stream."""


@message(7)
class Reset:
    """The sender gives up on this stream."""

    code: str
    detail: str


@message(8)
class Ping:
    """Asks for a Pong, so that a silent peer is noticed."""


@message(9)
class Pong:
    """Answers a Ping."""
