"""Client for requests to agents and routers over the inner protocol."""

import asyncio
from typing import Any

from dotterelpitch.cli.settings import OperatorSettings
from dotterelpitch.errors import DotterelpitchError, PeerUnreachableError
from dotterelpitch.membership.model import Vm, VmRole
from dotterelpitch.protocol.handshake import Identity
from dotterelpitch.protocol.operator_messages import StatusReport, StatusRequest
from dotterelpitch.protocol.peer_pool import PeerPool

OPERATOR_NAME = "operator"
MAX_CONCURRENT_CALLS = 32


class FleetClient:
    """Connections of one command to processes of the fleet.

    As an asynchronous context manager, it closes the connections on exit.
    """

    def __init__(self, settings: OperatorSettings) -> None:
        self._settings = settings
        identity = Identity.create(OPERATOR_NAME, OPERATOR_NAME, settings.cluster_key)
        self._peers = PeerPool(identity)
        self._call_limiter = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

    async def __aenter__(self) -> "FleetClient":
        return self

    async def __aexit__(self, *_: object) -> None:
        self._peers.close()

    async def call(self, address: str, request: Any) -> Any:
        """Send ``request`` to the process at ``address`` and return its answer.

        Raises PeerError if the process can't be reached or doesn't answer within
        the timeout of the settings, and AuthenticationError if the cluster key is
        wrong.
        """
        async with self._call_limiter:
            connection = await self._peers.connection(address)
            try:
                return await connection.call(request, self._settings.timeout)
            except TimeoutError:
                seconds = f"{self._settings.timeout:g} s"
                raise PeerUnreachableError(
                    f"{address}: no answer within {seconds}"
                ) from None

    async def call_all(
        self, addresses: list[str], request: Any
    ) -> list[Any | DotterelpitchError]:
        """Send ``request`` to all ``addresses`` concurrently.

        Returns the answer or the error of each address, in the given order.
        """
        return await asyncio.gather(
            *(self._call_or_error(address, request) for address in addresses)
        )

    async def status(self) -> StatusReport:
        """Return the status of the process at the ``connect`` address."""
        return await self.call(self._settings.connect, StatusRequest())

    async def entry_vms(self) -> list[Vm]:
        """Return the entry VMs of the VM list, sorted by name."""
        vms = [vm for vm in (await self.status()).vms if vm.role is VmRole.ENTRY]
        return sorted(vms, key=lambda vm: vm.name)

    async def _call_or_error(self, address: str, request: Any) -> Any:
        try:
            return await self.call(address, request)
        except DotterelpitchError as error:
            return error
