"""What a stream needs of the connection that carries it."""

from abc import ABC, abstractmethod
from typing import Any


class FrameSink(ABC):
    """Takes the frames of many streams, each under the stream's number."""

    @abstractmethod
    def write(self, number: int, content: Any) -> None:
        """Queue one frame."""

    @abstractmethod
    async def drain(self) -> None:
        """Wait while too much is queued."""

    @abstractmethod
    def forget(self, number: int) -> None:
        """Drop a finished stream."""
