"""Follows the platform's store: one full list, then one watch after the other."""

import asyncio
import random

from dotterelpitch.errors import PlatformError
from dotterelpitch.gateway.state import GatewayState
from dotterelpitch.platform.store import HistoryLostError, StoreClient
from dotterelpitch.telemetry.events import Event, log_event

ALL_KEYS = ""
# A store that refuses or is away is asked this often; the calls are paid for.
FIRST_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 1.0
# Entries run out after three missed heartbeats of about this length.
LAPSE_SECONDS = 3.0


class StoreFeed:
    """Keeps a GatewayState up to date; its one task is ``run``."""

    def __init__(self, state: GatewayState, store: StoreClient, wait_s: float) -> None:
        self._state = state
        self._store = store
        self._wait_s = wait_s
        self._needs_list = True
        self._failures = 0
        self.calls = 0

    async def run(self) -> None:
        """Read until cancelled; no failure of the store ends it."""
        while True:
            try:
                await self._read_once()
            except HistoryLostError:
                self._needs_list = True
                log_event(Event.STORE_HISTORY_LOST, revision=self._state.revision)
            except PlatformError as error:
                await self._note_failure(error)
            self._state.expire()

    async def _read_once(self) -> None:
        away_s = self._state.age_s
        self.calls += 1
        if self._needs_list:
            answer = await self._store.read_all(ALL_KEYS)
            may_be_incomplete = away_s > LAPSE_SECONDS and self._state.revision > 0
            self._state.take_list(answer, may_be_incomplete)
            self._needs_list = False
        else:
            answer = await self._store.watch(
                ALL_KEYS, self._state.revision, self._wait_s
            )
            self._state.take_changes(answer)
        if self._failures:
            log_event(Event.PLATFORM_REACHED, failures=self._failures, away_s=away_s)
        self._failures = 0

    async def _note_failure(self, error: PlatformError) -> None:
        if not self._failures:
            log_event(Event.PLATFORM_UNREACHABLE, reason=str(error))
        self._failures += 1
        if self._state.age_s > LAPSE_SECONDS:
            self._needs_list = True
        pause = FIRST_PAUSE_SECONDS * 2 ** min(self._failures, 6)
        await asyncio.sleep(min(MAX_PAUSE_SECONDS, pause) * random.uniform(0.5, 1.0))
