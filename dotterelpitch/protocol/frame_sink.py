"""The interface of a connection that streams use."""

from abc import ABC, abstractmethod
from typing import Any


class FrameSink(ABC):
    """Accepts the frames of many streams, identified by stream number."""

    @abstractmethod
    def write(self, number: int, content: Any) -> None:
        """Queue one frame."""

    @abstractmethod
    async def drain(self) -> None:
        """Wait while the write buffer is above its limit."""

    @abstractmethod
    def remove_stream(self, number: int) -> None:
        """Remove an ended stream."""
