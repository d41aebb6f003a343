"""Follows the platform's store: lists all records once, then watches for changes."""

import asyncio
import random

from dotterelpitch.errors import PlatformError
from dotterelpitch.gateway.reader_selection import ReaderSelection, ReadReason
from dotterelpitch.gateway.state import GatewayState
from dotterelpitch.gateway.store_timing import OutageTiming
from dotterelpitch.platform.store import HistoryLostError, StoreClient
from dotterelpitch.telemetry.events import Event, log_event

ALL_KEYS_PREFIX = ""
# Back-off while the store refuses calls or is unreachable; each call is billed.
BASE_BACKOFF_SECONDS = 0.1
# Entries expire after three missed heartbeats, which takes about this long. After
# a longer outage a list may lack live engines.
ENTRY_TTL_SECONDS = 3.0


class StoreWatcher:
    """Keeps a GatewayState up to date from the store.

    ``outage_timing`` says how often a store that is away is tried.
    """

    def __init__(
        self,
        state: GatewayState,
        store: StoreClient,
        reader_selection: ReaderSelection,
        outage_timing: OutageTiming,
    ) -> None:
        self.outage_timing = outage_timing
        self._state = state
        self._store = store
        self._reader_selection = reader_selection
        self._is_reading = False
        self._needs_list = False
        self._failure_count = 0

    async def run(self) -> None:
        """Read the store until cancelled, with back-off after failures."""
        while True:
            if not self._should_read():
                self._reader_selection.record_no_own_read()
                await asyncio.sleep(self._reader_selection.timing.poll_s)
                continue
            try:
                await self._read_once()
            except HistoryLostError:
                self._needs_list = True
                log_event(Event.STORE_HISTORY_LOST, revision=self._state.revision)
            except PlatformError as error:
                await self._back_off(error)

    def _should_read(self) -> bool:
        """Return whether to read now; a gateway without any state always reads."""
        reason = self._reader_selection.reason_to_read()
        if not self._state.revision:
            reason = ReadReason.NO_STATE
        reads = reason is not None
        if reads != self._is_reading:
            self._is_reading = reads
            log_event(
                Event.STORE_READER,
                reads=reads,
                reason=reason or "",
                revision=self._state.revision,
                age_ms=self._state.age_ms,
            )
        return reads

    async def _read_once(self) -> None:
        age_s, was_outdated = self._state.age_s, self._is_outdated()
        asked_from = self._state.position
        is_watch = not self._must_list()
        if not is_watch:
            response = await self._store.read_all(ALL_KEYS_PREFIX)
            may_be_incomplete = was_outdated and self._state.revision > 0
            self._state.apply_list(response, may_be_incomplete)
            self._needs_list = False
        else:
            timing = self._reader_selection.timing
            response = await self._store.watch(
                ALL_KEYS_PREFIX,
                self._state.revision,
                timing.watch_s,
                timing.member_trust_s,
            )
            if response.era != self._state.position.era:
                raise HistoryLostError("the store was restored")
            if self._is_outdated():
                raise HistoryLostError("records of living engines may have expired")
            self._state.apply_changes(response)
        if response.position < asked_from:
            raise PlatformError("the store has answered from an older copy")
        # What a peer has told meanwhile may be newer; then this confirms nothing.
        if response.position == self._state.position:
            self._reader_selection.record_own_read()
        if self._failure_count:
            log_event(
                Event.PLATFORM_REACHED, failures=self._failure_count, away_s=age_s
            )
        self._failure_count = 0
        if is_watch and response.records:
            await asyncio.sleep(self._reader_selection.timing.batch_delay_s)

    def _must_list(self) -> bool:
        """Return whether changes alone wouldn't complete the state."""
        state = self._state
        is_incomplete = state.lacks_evacuations or not state.revision
        return self._needs_list or is_incomplete or self._is_outdated()

    def _is_outdated(self) -> bool:
        """Return whether entries may have expired since the state was confirmed."""
        return self._state.age_s > ENTRY_TTL_SECONDS

    async def _back_off(self, error: PlatformError) -> None:
        if not self._failure_count:
            log_event(Event.PLATFORM_UNREACHABLE, reason=str(error))
        self._failure_count += 1
        if self._reader_selection.record_no_own_read():
            self._state.notify_peers()
        backoff_s = BASE_BACKOFF_SECONDS * 2 ** min(self._failure_count, 6)
        await asyncio.sleep(
            min(self.outage_timing.max_backoff_s, backoff_s) * random.uniform(0.5, 1.0)
        )
