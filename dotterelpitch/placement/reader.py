"""Reads engines' reports at a bounded rate, and tells which are fresh and live."""

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
    """The reports that one VM has read, of its own engines and of others'."""

    def __init__(self, vm_name: str, clock: Clock, control: EngineControl) -> None:
        self._vm_name = vm_name
        self._control = control
        self._book = EngineReportCache(clock)

    async def read_due(self, view: PlacementView) -> None:
        """Read the reports that are due, own engines and the longest due first."""
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
                waited = self._book.seconds_since_read(service, engine.name)
                if waited >= intervals[engine.name]:
                    is_foreign = engine.failure_domain not in own
                    due.append((is_foreign, -waited, service, engine))
        self._book.retain(keys)
        due.sort(key=lambda item: item[:2])
        chosen = due[:MAX_READS_PER_PASS]
        await asyncio.gather(
            *(self.read(service, engine) for _, _, service, engine in chosen)
        )

    async def read(self, service: str, engine: Endpoint) -> None:
        """Read one engine's report; silence shows in its age."""
        self._book.start_read(service, engine.name)
        try:
            self._book.put(service, await self._control.read(engine))
        except EngineUnavailableError:
            return

    def last(self, service: str, engine: str) -> EngineReport | None:
        """Return the newest report of an engine, however old."""
        return self._book.last(service, engine)

    def fresh(
        self, document: ServiceDocument, view: PlacementView
    ) -> dict[str, EngineReport]:
        """Return the reports that are recent enough to act on, by engine."""
        if document.service not in view.domains_by_service:
            return {}
        intervals = self.intervals(document, view)
        return self._book.fresh(document.service, intervals)

    def live(self, document: ServiceDocument, view: PlacementView) -> frozenset[str]:
        """Return the engines that are neither leaving nor silent for long."""
        intervals = self.intervals(document, view)
        return frozenset(
            engine.name
            for engine in view.present_engines(document)
            if self._book.is_live(document.service, engine.name, intervals[engine.name])
        )

    def intervals(
        self, document: ServiceDocument, view: PlacementView
    ) -> dict[str, float]:
        """Return the seconds between reads of each engine."""
        own_domains = view.own_domains(document.service, self._vm_name)
        own = {e.name: e.failure_domain in own_domains for e in document.engines()}
        count = sum(own.values())
        interval_by_own = {
            True: read_interval(count, own=True),
            False: read_interval(len(own) - count, own=False),
        }
        return {name: interval_by_own[is_own] for name, is_own in own.items()}
