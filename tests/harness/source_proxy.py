"""A fault proxy that tells the processes of this machine apart."""

import asyncio
from collections.abc import Callable

from tests.harness.proxy import FaultProxy, ProxiedConnection, reset_writer
from tests.harness.socket_owner import find_owner


class SourceProxy(FaultProxy):
    """A proxy whose sources are the processes that have opened the connections.

    ``name_by_pid`` returns their names. ``refused`` are the processes whose new
    connections are reset.
    """

    def __init__(
        self, target: str, name_by_pid: Callable[[], dict[int, str]], name: str = ""
    ) -> None:
        super().__init__(target, name)
        self.refused: set[str] = set()
        self._name_by_pid = name_by_pid

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        source = find_owner(
            writer.get_extra_info("peername"),
            writer.get_extra_info("sockname"),
            self._name_by_pid(),
        )
        if self.is_refusing or source in self.refused:
            reset_writer(writer)
            return
        connection = ProxiedConnection(self, reader, writer)
        connection.source = source
        self.connections.add(connection)
        try:
            await connection.run()
        finally:
            self.connections.discard(connection)
