"""Real gateways stop a request that crashes engines, and serve the others."""

import pytest

from tests.harness.crash_drill.drill import CrashDrill, DrillSettings
from tests.harness.crash_drill.engine import Death, Return

DRILLS = {
    "one domain": DrillSettings(domains="a"),
    "no other calls": DrillSettings(gateways=9, calls_per_s=0),
    "silent engines": DrillSettings(death=Death.SILENT),
    "silent engines whose records go at once": DrillSettings(
        gateways=6, death=Death.SILENT, record_ttl_s=0.0, returns=Return.NEW_ID
    ),
    "silent engines of one domain": DrillSettings(death=Death.SILENT, domains="a"),
    "many calls beside": DrillSettings(engines=9, copies=2, calls_per_s=60, work_s=0.2),
    "no retries": DrillSettings(route="unsafe", gateways=9, calls_per_s=10),
    "quick returns as new engines": DrillSettings(
        gateways=9, domains="a", returns=Return.NEW_ID, down_s=1.0
    ),
}


# Guards against: each VM sees one crash of a chain, and none stops the request.
@pytest.mark.parametrize("settings", DRILLS.values(), ids=DRILLS.keys())
async def test_request_that_crashes_engines_stops_reaching_them(tmp_path, settings):
    result = await CrashDrill(tmp_path, settings).run()
    assert result.wrongly_banned_ids == []
    assert result.is_kept(), result.summary()
