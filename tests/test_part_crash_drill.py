"""Real gateways stop a prompt part that crashes engines, and serve the others."""

import pytest

from tests.harness.crash_drill.drill import MAX_LATE_ARRIVALS
from tests.harness.crash_drill.engine import Death, Return
from tests.harness.crash_drill.part_drill import (
    COMMON_PART,
    PartDrill,
    PartDrillSettings,
)

# Sound requests must begin at the first attempt at least so often as before.
MIN_BEGUN_FACTOR = 0.5
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
    "two such parts": PartDrillSettings(faults=2, engines=9),
}


# Guards against: no two requests with the part are alike, so none is ever stopped.
@pytest.mark.parametrize("settings", DRILLS.values(), ids=DRILLS.keys())
async def test_prompt_part_that_crashes_engines_stops_reaching_them(tmp_path, settings):
    result = await PartDrill(tmp_path, settings).run()
    assert len(result.late_arrivals) <= MAX_LATE_ARRIVALS, result.summary()
    usual_share = result.begun_share(recovered=False)
    share = result.begun_share(recovered=True)
    assert share >= MIN_BEGUN_FACTOR * usual_share, result.summary()
    assert result.wrongly_banned_ids == []
