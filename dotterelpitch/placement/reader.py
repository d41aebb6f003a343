"""Reads engine reports at a bounded rate, and tells which engines are live."""

import asyncio

from dotterelpitch.clock import Clock
from dotterelpitch.documents.model import Endpoint, ServiceDocument
from dotterelpitch.errors import EngineUnavailableError
from dotterelpitch.placement.engine_control import EngineControl
from dotterelpitch.placement.model import EngineReport
from dotterelpitch.placement.report_cache import EngineReportCache, read_interval
from dotterelpitch.placement.view import PlacementView

MAX_READS_PER_PASS = 16


class EngineReader:
    """Reads and caches the reports of engines for one VM.

    The engines that the VM itself places are its own; foreign engines, which
    other VMs place, are read less often.
    """

    def __init__(self, vm_name: str, clock: Clock, control: EngineControl) -> None:
        self._vm_name = vm_name
        self._control = control
        self._cache = EngineReportCache(clock)

    async def read_due(self, view: PlacementView) -> None:
        """Read at most MAX_READS_PER_PASS of the reports that are due.

        Own engines come before foreign ones, and within each group the engine
        whose last read is the longest ago comes first.
        """
        due: list[tuple[bool, float, str, Endpoint]] = []
        keys = set()
        for document in view.placed_documents:
            service = document.service
            own = view.own_domains(service, self._vm_name)
            if not own:
                continue
            intervals = self.intervals(document, view)
            for engine in document.engines():
                keys.add((service, engine.name))
                waited = self._cache.seconds_since_read(service, engine.name)
                if waited >= intervals[engine.name]:
                    is_foreign = engine.failure_domain not in own
                    due.append((is_foreign, -waited, service, engine))
        self._cache.retain(keys)
        due.sort(key=lambda item: item[:2])
        chosen = due[:MAX_READS_PER_PASS]
        await asyncio.gather(
            *(self.read(service, engine) for _, _, service, engine in chosen)
        )

    async def read(self, service: str, engine: Endpoint) -> None:
        """Read one engine's report.

        If the engine is unavailable the last report stays and gets older.
        """
        self._cache.start_read(service, engine.name)
        try:
            self._cache.put(service, await self._control.read(engine))
        except EngineUnavailableError:
            return

    def last(self, service: str, engine: str) -> EngineReport | None:
        """Return the newest report of an engine regardless of its age, or None."""
        return self._cache.last(service, engine)

    def fresh(
        self, document: ServiceDocument, view: PlacementView
    ) -> dict[str, EngineReport]:
        """Return the reports that are fresh enough to act on, by engine."""
        if document.service not in view.domains_by_service:
            return {}
        intervals = self.intervals(document, view)
        return self._cache.fresh(document.service, intervals)

    def live(self, document: ServiceDocument, view: PlacementView) -> frozenset[str]:
        """Return the names of the engines that are neither leaving nor down."""
        intervals = self.intervals(document, view)
        return frozenset(
            engine.name
            for engine in view.present_engines(document)
            if self._cache.is_live(
                document.service, engine.name, intervals[engine.name]
            )
        )

    def intervals(
        self, document: ServiceDocument, view: PlacementView
    ) -> dict[str, float]:
        """Return the interval between reads in seconds, by engine."""
        own_domains = view.own_domains(document.service, self._vm_name)
        own = {e.name: e.failure_domain in own_domains for e in document.engines()}
        count = sum(own.values())
        interval_by_own = {
            True: read_interval(count, own=True),
            False: read_interval(len(own) - count, own=False),
        }
        return {name: interval_by_own[is_own] for name, is_own in own.items()}
