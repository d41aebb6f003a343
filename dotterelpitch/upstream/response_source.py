"""The interface of what the body of a response is read from."""

from abc import ABC, abstractmethod


class ResponseSource(ABC):
    """Where a response comes from.

    ``has_ended_response`` is whether it was complete only by the connection's end.
    ``received_bytes`` counts what has come from there, on all requests.
    """

    has_ended_response = False
    received_bytes = 0

    @abstractmethod
    async def read_body(self) -> bytes:
        """Return the next bytes of the body, or ``b""`` at its regular end.

        Raises AnswerLostError if the body ends too early.
        """
