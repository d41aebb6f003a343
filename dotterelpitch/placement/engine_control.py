"""The interface through which a placer reads engines and sends them orders."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from dotterelpitch.documents.model import Endpoint
from dotterelpitch.placement.model import EngineOrder, EngineReport


class EngineControl(ABC):
    """Reads engine reports and sends orders, over whatever transport."""

    @abstractmethod
    async def read(self, engine: Endpoint) -> EngineReport:
        """Return the report of what ``engine`` has loaded now.

        Raises EngineUnavailableError if the engine can't be read.
        """

    @abstractmethod
    async def order(
        self, engine: Endpoint, order: EngineOrder, check: Callable[[], None]
    ) -> None:
        """Send ``order`` and return once the engine has applied it.

        ``check`` is called directly before the body of the order is written,
        without an ``await`` in between. If it raises, the exception propagates and
        the engine never gets a complete order. Also raises OrderRefusedError if
        the engine refuses the order, and EngineUnavailableError.
        """
