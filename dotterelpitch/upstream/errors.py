"""Errors of calls to engines, by whether the request may have run."""

from dotterelpitch.errors import DotterelpitchError


class UpstreamError(DotterelpitchError):
    """Base class of errors of a call to an engine."""


class NotSentError(UpstreamError):
    """No byte of the request was sent, so the engine can't have run it."""


class ConnectRefusedError(NotSentError):
    """The engine's address refused or reset the connection."""


class ConnectFailedError(NotSentError):
    """The socket failed on this VM, or the network has no path to the engine."""


class ConnectTimeoutError(NotSentError):
    """The engine's address didn't answer the connection attempt in time."""


class PoolFullError(NotSentError):
    """All connections that this VM may hold to the engine are in use."""


class AnswerLostError(UpstreamError):
    """The request was sent and may have run; its response is missing or incomplete."""


class AnswerGarbledError(AnswerLostError):
    """The data received isn't HTTP or isn't the response to this request."""


class PathLostError(AnswerLostError):
    """Sent data wasn't acknowledged: the network path or the engine has failed."""
