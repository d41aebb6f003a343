"""What a gateway holds only for a while ends at its time, whatever else happens."""

import asyncio
import contextlib

import pytest

from dotterelpitch.clock import ManualClock, SteadyClock
from dotterelpitch.gateway.expiry_timer import ExpiryTimer
from dotterelpitch.gateway.state import GatewayState
from dotterelpitch.gateway.store_timing import MIN_BOUND_SECONDS, OutageTiming
from dotterelpitch.platform.store import StoreRecord, StoreResponse
from tests.harness.store_records import config_record, engine_record
from tests.harness.waiting import eventually

HELD_SECONDS = 0.3
# The event loop of a busy machine may be so late.
MAX_LAG_SECONDS = 0.2


def make_state():
    state = GatewayState(SteadyClock())
    state.directory.reregistration_s = HELD_SECONDS
    records = (config_record(1), engine_record("e1"), engine_record("e2"))
    state.apply_list(StoreResponse(records, 10), may_be_incomplete=False)
    return state


def list_without_the_engine(state, age_s):
    response = StoreResponse((engine_record("e1"),), 11)
    state.apply_list(response, may_be_incomplete=True, age_s=age_s)


# Guards against: an engine that is gone is kept until some other event, a watch's end
# or a peer's news, since nothing looks at its time.
@pytest.mark.parametrize("age_s", [0.0, 0.1])
@pytest.mark.parametrize("is_started_first", [False, True])
async def test_missing_engine_is_removed_at_its_time(age_s, is_started_first):
    state = make_state()
    timer = ExpiryTimer(state.clock, state)
    if not is_started_first:
        list_without_the_engine(state, age_s)
    task = asyncio.create_task(timer.run())
    await asyncio.sleep(0)
    if is_started_first:
        list_without_the_engine(state, age_s)
    began_at = state.clock.monotonic()
    await eventually(lambda: len(state.directory.usable("chat")) == 1, 3.0, "a removal")
    seconds = state.clock.monotonic() - began_at
    assert HELD_SECONDS - age_s - 0.02 <= seconds
    assert seconds <= HELD_SECONDS - age_s + MAX_LAG_SECONDS
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


# Guards against: an evacuation that is only held outlives its time likewise.
def test_next_time_is_that_of_whatever_ends_first():
    clock = ManualClock(100.0)
    state = GatewayState(clock)
    assert state.next_expiry_at() == float("inf")
    evacuation = StoreRecord("op/evacuate/a", b"{}")
    records = (config_record(1), engine_record("e1"), evacuation)
    state.apply_list(StoreResponse(records, 10, 1), may_be_incomplete=False)
    state.apply_list(StoreResponse((engine_record("e1"),), 5, 2), False)
    assert state.next_expiry_at() == 105.0
    clock.advance(1.0)
    state.apply_list(StoreResponse((), 6, 2), True)
    assert state.next_expiry_at() == 103.0
    clock.advance(2.0)
    state.expire()
    assert state.directory.usable("chat") == []
    assert state.next_expiry_at() == 105.0
    clock.advance(2.0)
    state.expire()
    assert not state.evacuations.domains
    assert state.next_expiry_at() == float("inf")


# Guards against: an engine that is gone is out of use later than the bound for contact
# says, since the first list after an outage comes late or the engine is kept too long.
@pytest.mark.parametrize("contact_s", [0.0, 0.5, 1.0, 2.0, 3.0, 4.0, 10.0])
def test_stages_after_an_outage_fit_into_the_bound_for_contact(contact_s):
    timing = OutageTiming.for_contact(contact_s)
    latest_list_s = timing.connect_timeout_s + timing.max_backoff_s
    bound_s = max(contact_s, MIN_BOUND_SECONDS)
    assert latest_list_s + timing.reregistration_s <= 0.91 * bound_s
    assert timing.reregistration_s <= 2.0
