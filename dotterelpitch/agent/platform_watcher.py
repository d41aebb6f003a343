"""Watches the platform for the services that this VM is a reader of."""

import asyncio
import random

from dotterelpitch.agent.platform_client import NotPublishedError, PlatformClient
from dotterelpitch.agent.settings import AgentSettings
from dotterelpitch.agent.state import AgentState
from dotterelpitch.documents.registry import OfferResult
from dotterelpitch.errors import PlatformError
from dotterelpitch.membership.readers import is_reader
from dotterelpitch.membership.vm_list_registry import VM_LIST_NAME
from dotterelpitch.telemetry.events import Event, log_event

UNREACHABLE_AFTER_FAILURES = 3
# Pause after a read that found nothing newer, for example because the platform
# serves a stale revision or no document.
REREAD_PAUSE_SECONDS = 2.0
PROBE_INTERVAL_SECONDS = 10.0


class PlatformWatcher:
    """Watches the platform with one task per service and one for the VM list."""

    def __init__(
        self, state: AgentState, client: PlatformClient, settings: AgentSettings
    ) -> None:
        self._state = state
        self._client = client
        self._settings = settings
        self._consecutive_failures = 0
        self._missing_services: set[str] = set()
        self._refused_etag_by_service: dict[str, str] = {}

    async def run(self) -> None:
        """Watch until cancelled."""
        async with asyncio.TaskGroup() as group:
            for service in self._settings.services:
                group.create_task(self._watch(service))
            group.create_task(self._watch(VM_LIST_NAME))
            group.create_task(self._probe_while_unreachable())

    async def read_vm_list(self) -> bool:
        """Read the VM list once; return whether the platform responded."""
        try:
            vm_list = await self._client.read_vms()
        except PlatformError as error:
            self._record_failure(error)
            return False
        self._record_success()
        self._state.offer_vm_list(vm_list, "platform")
        return True

    async def _watch(self, service: str) -> None:
        """Read ``service`` in a loop while this VM is a reader of it."""
        while True:
            await self._wait_until_reader(service)
            try:
                pause = await self._read(service)
                self._record_success()
            except NotPublishedError:
                self._record_missing(service)
                pause = REREAD_PAUSE_SECONDS
            except PlatformError as error:
                self._record_failure(error)
                pause = self._settings.retry_seconds
            if pause:
                await asyncio.sleep(pause * random.uniform(0.75, 1.25))

    async def _read(self, service: str) -> float:
        """Do one long poll; return the seconds to pause before the next."""
        wait = self._settings.watch_seconds
        if service == VM_LIST_NAME:
            return await self._read_vms(wait)
        after = self._state.documents.revision(service)
        refused_etag = self._refused_etag_by_service.pop(service, "")
        fetched = await self._client.read_document(service, after, wait, refused_etag)
        if fetched is None:
            if refused_etag:
                self._refused_etag_by_service[service] = refused_etag
            return 0.0
        self._missing_services.discard(service)
        result = self._state.offer_document(
            service, fetched.revision, fetched.text, "platform"
        )
        if result is OfferResult.REFUSED:
            self._refused_etag_by_service[service] = fetched.etag
            return 0.0 if fetched.etag != refused_etag else REREAD_PAUSE_SECONDS
        return 0.0 if fetched.revision > after else REREAD_PAUSE_SECONDS

    async def _read_vms(self, wait: float) -> float:
        before = self._state.vm_list.revision
        vm_list = await self._client.read_vms(before, wait)
        if vm_list is None:
            return 0.0
        self._state.offer_vm_list(vm_list, "platform")
        return 0.0 if vm_list.revision > before else REREAD_PAUSE_SECONDS

    async def _wait_until_reader(self, service: str) -> None:
        if self._is_reader(service):
            return
        changed = asyncio.Event()
        subscription = self._state.changes().subscribe(lambda _: changed.set())
        try:
            while not self._is_reader(service):
                changed.clear()
                await changed.wait()
        finally:
            subscription.dispose()
        log_event(Event.READER_CHANGED, service=service or "vms", reads=True)

    def _is_reader(self, service: str) -> bool:
        view = self._state.view.value
        return self._state.settled.is_set() and is_reader(
            self._state.vm,
            service,
            self._state.failure_domain,
            self._state.entry_vms,
            view.suspected | (view.leaving - {self._state.vm}),
            view.platform_unreachable,
        )

    async def _probe_while_unreachable(self) -> None:
        """Read the VM list periodically while the platform is unreachable.

        A successful read makes this VM eligible as a reader again.
        """
        while True:
            await asyncio.sleep(PROBE_INTERVAL_SECONDS * random.uniform(0.75, 1.25))
            if not self._state.own_report.platform_reachable:
                await self.read_vm_list()

    def _record_failure(self, error: PlatformError) -> None:
        self._consecutive_failures += 1
        if self._consecutive_failures == UNREACHABLE_AFTER_FAILURES:
            log_event(Event.PLATFORM_UNREACHABLE, reason=str(error))
            self._state.update_own_report(platform_reachable=False)

    def _record_success(self) -> None:
        if self._consecutive_failures >= UNREACHABLE_AFTER_FAILURES:
            log_event(Event.PLATFORM_REACHED, after_failures=self._consecutive_failures)
        self._consecutive_failures = 0
        self._state.update_own_report(platform_reachable=True)

    def _record_missing(self, service: str) -> None:
        self._record_success()
        if service not in self._missing_services:
            self._missing_services.add(service)
            log_event(Event.DOCUMENT_MISSING, service=service)
