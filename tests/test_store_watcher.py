"""What a gateway takes from the store's answers after an outage."""

import asyncio
import contextlib

import pytest

from dotterelpitch.clock import ManualClock
from dotterelpitch.errors import PlatformError
from dotterelpitch.gateway.reader_selection import ReaderSelection
from dotterelpitch.gateway.state import GatewayState
from dotterelpitch.gateway.store_timing import OutageTiming
from dotterelpitch.gateway.store_watcher import ENTRY_TTL_SECONDS, StoreWatcher
from dotterelpitch.platform.store import HistoryLostError, StoreRecord, StoreResponse
from tests.harness.store_records import config_record, engine_record

OUTAGE_TIMING = OutageTiming.for_contact(3.0)
ENGINE_GONE = StoreRecord("servers/e2", None)


class ScriptedStore:
    """A store whose answers to watches take time; after the last one it hangs.

    ``watches`` holds for each watch the seconds that it takes, and its answer or error.
    Lists lack the engine that the watches report as gone.
    """

    def __init__(self, clock, watches, list_revision=12):
        self._clock = clock
        self._watches = list(watches)
        self._list_revision = list_revision
        self.lists = 0

    async def read_all(self, prefix):
        self.lists += 1
        records = (config_record(1), engine_record("e1"))
        return StoreResponse(records, self._list_revision)

    async def watch(self, prefix, revision, *times):
        if not self._watches:
            await asyncio.Event().wait()
        seconds, answer = self._watches.pop(0)
        self._clock.advance(seconds)
        if isinstance(answer, Exception):
            raise answer
        return answer


def make_state(clock):
    state = GatewayState(clock)
    records = (config_record(1), engine_record("e1"), engine_record("e2"))
    state.apply_list(StoreResponse(records, 10), may_be_incomplete=False)
    return state


async def run_for(watcher, seconds):
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await watcher.run()


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
    state = make_state(clock)
    store = ScriptedStore(clock, watches)
    selection = ReaderSelection(clock, "vm1", "a")
    await run_for(StoreWatcher(state, store, selection, OUTAGE_TIMING), 0.6)
    assert [engine.id for engine in state.directory.usable("chat")] == usable
    assert store.lists == lists


# Guards against: a gateway that gets only lists from an older copy of the store reads
# one after the other, without a pause.
async def test_store_that_answers_from_an_older_copy_is_left_alone_for_a_while():
    clock = ManualClock(100.0)
    state = make_state(clock)
    watches = [(0.1, HistoryLostError("unknown revision"))] * 100
    store = ScriptedStore(clock, watches, list_revision=5)
    selection = ReaderSelection(clock, "vm1", "a")
    await run_for(StoreWatcher(state, store, selection, OUTAGE_TIMING), 1.0)
    assert 1 < store.lists < 8
    assert state.revision == 10
    assert selection.own_read_age_s == float("inf")
