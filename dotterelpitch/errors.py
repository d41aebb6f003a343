"""The exception hierarchy of this package."""


class DotterelpitchError(Exception):
    """The base class of all exceptions of this package."""


class SettingsError(DotterelpitchError):
    """A flag or an environment variable is unknown, missing, or invalid."""


class DocumentError(DotterelpitchError):
    """A service document is invalid; ``problems`` holds one line per problem."""

    def __init__(self, problems: list[str]) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems


class PlatformError(DotterelpitchError):
    """The platform's configuration service gave no usable response."""


class ProtocolError(DotterelpitchError):
    """A peer sent bytes that violate the inner protocol."""


class AuthenticationError(ProtocolError):
    """A peer lacks the shared key or uses another protocol version."""


class PeerError(DotterelpitchError):
    """The base class of communication failures with another process of the fleet."""


class PeerUnreachableError(PeerError):
    """No connection to the peer could be opened; nothing was sent."""


class ConnectionLostError(PeerError):
    """The connection broke; the peer may or may not have processed the request."""


class StreamResetError(PeerError):
    """The peer reset one stream; ``code`` is the reason."""

    def __init__(self, code: str, detail: str = "") -> None:
        super().__init__(f"{code}: {detail}" if detail else code)
        self.code = code
        self.detail = detail


class PlacementError(DotterelpitchError):
    """The base class of failures to send an order to an engine."""


class EngineUnavailableError(PlacementError):
    """The engine gave no usable response; an order may or may not have arrived."""


class OrderRefusedError(PlacementError):
    """The engine refused an order.

    ``fenced`` is true if it has seen an order with a newer fencing number.
    """

    def __init__(self, reason: str, fenced: bool) -> None:
        super().__init__(reason)
        self.fenced = fenced


class OrderDroppedError(PlacementError):
    """An order was dropped before any byte of its body was sent."""
