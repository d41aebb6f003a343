"""Asks processes of the fleet over the inner protocol."""

import asyncio
from typing import Any

from dotterelpitch.cli.settings import OperatorSettings
from dotterelpitch.errors import DotterelpitchError, PeerUnreachableError
from dotterelpitch.membership.model import Vm, VmRole
from dotterelpitch.protocol.handshake import Identity
from dotterelpitch.protocol.operator_messages import StatusReport, StatusRequest
from dotterelpitch.protocol.peer_pool import PeerPool

OPERATOR = "operator"
MAX_ASKED_AT_ONCE = 32


class FleetClient:
    """Connections of one command; use it as an asynchronous context manager."""

    def __init__(self, settings: OperatorSettings) -> None:
        self._settings = settings
        identity = Identity.create(OPERATOR, OPERATOR, settings.cluster_key)
        self._peers = PeerPool(identity)
        self._turns = asyncio.Semaphore(MAX_ASKED_AT_ONCE)

    async def __aenter__(self) -> "FleetClient":
        return self

    async def __aexit__(self, *_: object) -> None:
        self._peers.close()

    async def ask(self, address: str, request: Any) -> Any:
        """Return the answer of the process at ``address``.

        Raises PeerError or AuthenticationError.
        """
        async with self._turns:
            connection = await self._peers.connection(address)
            try:
                return await connection.call(request, self._settings.timeout)
            except TimeoutError:
                seconds = f"{self._settings.timeout:g} s"
                raise PeerUnreachableError(
                    f"{address}: no answer within {seconds}"
                ) from None

    async def ask_all(
        self, addresses: list[str], request: Any
    ) -> list[Any | DotterelpitchError]:
        """Return an answer or the error for each address, in their order."""
        return await asyncio.gather(
            *(self._ask_safely(address, request) for address in addresses)
        )

    async def status(self) -> StatusReport:
        """Return the status of the process that the settings name."""
        return await self.ask(self._settings.connect, StatusRequest())

    async def entry_vms(self) -> list[Vm]:
        """Return the listed entry VMs, by name."""
        vms = [vm for vm in (await self.status()).vms if vm.role is VmRole.ENTRY]
        return sorted(vms, key=lambda vm: vm.name)

    async def _ask_safely(self, address: str, request: Any) -> Any:
        try:
            return await self.ask(address, request)
        except DotterelpitchError as error:
            return error
