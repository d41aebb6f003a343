"""Real gateways stop a prompt part that crashes engines, and serve the others."""

import pytest

from tests.harness.crash_drill.engine import Death, Return
from tests.harness.crash_drill.part_drill import (
    COMMON_PART,
    PartDrill,
    PartDrillSettings,
)

DRILLS = {
    "second part": PartDrillSettings(),
    "first part": PartDrillSettings(prompt=("bad", COMMON_PART)),
    "after a head and an event": PartDrillSettings(crash_events=1),
    "new ids, a sibling of sound prompts": PartDrillSettings(
        gateways=9,
        calls_per_s=30,
        returns=Return.NEW_ID,
        prompt=(COMMON_PART, "sibling", "bad"),
    ),
    "silent engines": PartDrillSettings(death=Death.SILENT),
    "engines without start times that reset new connections": PartDrillSettings(
        gateways=6,
        engines=9,
        domains="ab",
        death=Death.RESETTING,
        returns=Return.SAME_ID_UNDATED,
        down_s=5.0,
        copies=3,
        crash_interval_s=0.5,
        calls_per_s=40,
        siblings=1,
        prompt=("bad",),
    ),
    "silent engines after some events": PartDrillSettings(
        death=Death.SILENT, returns=Return.NEW_ID, crash_events=5, down_s=5.0
    ),
    "responses and engines that end with their connections": PartDrillSettings(
        death=Death.CLOSING, is_chunked=False, crash_events=1
    ),
    "two such parts": PartDrillSettings(faults=2, engines=9),
}


# Guards against: no two requests with the part are alike, so none is ever stopped.
@pytest.mark.parametrize("settings", DRILLS.values(), ids=DRILLS.keys())
async def test_prompt_part_that_crashes_engines_stops_reaching_them(tmp_path, settings):
    result = await PartDrill(tmp_path, settings).run()
    assert result.wrongly_banned_ids == []
    assert result.is_kept(), result.summary()
