"""What a gateway takes from the store's answers after an outage."""

import asyncio
import contextlib

import pytest

from dotterelpitch.clock import ManualClock
from dotterelpitch.errors import PlatformError
from dotterelpitch.gateway.reader_selection import ReaderSelection
from dotterelpitch.gateway.state import GatewayState
from dotterelpitch.gateway.store_watcher import ENTRY_TTL_SECONDS, StoreWatcher
from dotterelpitch.platform.store import StoreRecord, StoreResponse
from tests.harness.store_records import config_record, engine_record

ENGINE_GONE = StoreRecord("servers/e2", None)


class ScriptedStore:
    """A store whose answers to watches take time; after the last one it hangs.

    ``watches`` holds for each watch the seconds that it takes, and its answer or error.
    Lists lack the engine that the watches report as gone.
    """

    def __init__(self, clock, watches):
        self._clock = clock
        self._watches = list(watches)
        self.lists = 0

    async def read_all(self, prefix):
        self.lists += 1
        return StoreResponse((config_record(1), engine_record("e1")), 12)

    async def watch(self, prefix, revision, *times):
        if not self._watches:
            await asyncio.Event().wait()
        seconds, answer = self._watches.pop(0)
        self._clock.advance(seconds)
        if isinstance(answer, Exception):
            raise answer
        return answer


def changes(*records, revision=11):
    return StoreResponse(records, revision)


# Guards against: engines that live are removed at once after an outage in which their
# records ran out, since the answer that says so came to a watch of before its end.
@pytest.mark.parametrize(
    ("watches", "usable", "lists"),
    [
        ([(0.5, changes(ENGINE_GONE))], ["e1"], 0),
        ([(ENTRY_TTL_SECONDS + 0.2, changes(ENGINE_GONE))], ["e1", "e2"], 1),
        (
            [
                (ENTRY_TTL_SECONDS - 0.2, PlatformError("away")),
                (0.4, changes(ENGINE_GONE)),
            ],
            ["e1", "e2"],
            1,
        ),
        (
            [
                (0.4, PlatformError("refused")),
                (0.4, changes(ENGINE_GONE)),
            ],
            ["e1"],
            0,
        ),
    ],
)
async def test_removals_during_an_outage_leave_the_time_to_reregister(
    watches, usable, lists
):
    clock = ManualClock(100.0)
    state = GatewayState(clock)
    records = (config_record(1), engine_record("e1"), engine_record("e2"))
    state.apply_list(StoreResponse(records, 10), may_be_incomplete=False)
    store = ScriptedStore(clock, watches)
    watcher = StoreWatcher(state, store, ReaderSelection(clock, "vm1", "a"))
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(0.6):
            await watcher.run()
    assert [engine.id for engine in state.directory.usable("chat")] == usable
    assert store.lists == lists
