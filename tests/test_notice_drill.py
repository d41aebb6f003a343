"""Real gateways heed what engines say of themselves: that they leave, or pause."""

import pytest

from tests.harness.notice_drill import (
    MAX_IN_PAUSE,
    NoticeDrill,
    NoticeDrillSettings,
)

LEAVING = {
    "two of six engines": NoticeDrillSettings(leaving=2),
    "said in failures only": NoticeDrillSettings(leaving=2, says_in_failures_only=True),
    "nine VMs with relays": NoticeDrillSettings(
        gateways=9, mesh_vms=3, leaving=3, calls_per_s=36.0
    ),
    "all engines at once": NoticeDrillSettings(leaving=6, seconds=7.0),
}
PAUSING = {
    "two of six engines": NoticeDrillSettings(pausing=2),
    "nine VMs with relays": NoticeDrillSettings(
        gateways=9, mesh_vms=3, pausing=2, calls_per_s=36.0
    ),
    "half of the engines, briefly and often": NoticeDrillSettings(
        pausing=3, pause_s=0.8, pauses_at=(2.0, 3.5, 5.0, 6.5, 8.0)
    ),
}
# What the other engines can serve is served.
MIN_SERVED_SHARE = 0.9
ALL_PAUSING = NoticeDrillSettings(pausing=6, pauses_at=(2.0,), seconds=8.0)


# Guards against: an engine that says that it leaves goes on getting requests.
@pytest.mark.parametrize("settings", LEAVING.values(), ids=LEAVING.keys())
async def test_engine_that_says_it_leaves_gets_nothing_new(tmp_path, settings):
    result = await NoticeDrill(tmp_path, settings).run()
    assert result.notices
    assert result.late_for_leaving() == [], result.summary()
    assert result.slow_refusals() == []


# Guards against: an engine that wants a pause gets requests, though others are free.
@pytest.mark.parametrize("settings", PAUSING.values(), ids=PAUSING.keys())
async def test_engine_that_wants_a_pause_gets_it(tmp_path, settings):
    result = await NoticeDrill(tmp_path, settings).run()
    assert result.notices
    assert result.most_in_pause() <= MAX_IN_PAUSE, result.summary()
    assert result.served_share(at_first=True) >= MIN_SERVED_SHARE, result.summary()


# Guards against: calls are held, or sent on, while no engine wants any.
async def test_calls_are_refused_at_once_while_all_engines_pause(tmp_path):
    result = await NoticeDrill(tmp_path, ALL_PAUSING).run()
    assert result.most_in_pause() <= MAX_IN_PAUSE, result.summary()
    assert result.slow_refusals() == []
    assert any(call.first_status == 503 for call in result.calls)
