"""Real gateways serve their callers while some are cut off from all engines."""

import pytest

from tests.harness.engine_cut_drill import Cut, EngineCutDrill, EngineCutSettings

CUTS = {
    "2 of 6, nothing passes": EngineCutSettings(cut=Cut.SILENT),
    "4 of 6, new ones are reset": EngineCutSettings(cut=Cut.NEW_RESET, cut_vms=4),
    "3 of 9, all reset": EngineCutSettings(
        cut=Cut.RESET, gateways=9, cut_vms=3, mesh_vms=3, calls_per_s=60.0
    ),
    "2 of 3, no response comes back": EngineCutSettings(
        cut=Cut.ONE_WAY, gateways=3, cut_vms=2
    ),
    "the peer stops meanwhile": EngineCutSettings(
        cut=Cut.RESET, gateways=4, cut_vms=2, stopped_vm=3
    ),
    "a peer is killed meanwhile": EngineCutSettings(
        cut=Cut.RESET, gateways=5, cut_vms=2, stopped_vm=4, is_killed=True
    ),
    "cut off for a second, three times": EngineCutSettings(
        cut=Cut.RESET, cut_s=1.8, cuts=3
    ),
}
ALL_CUT_OFF = EngineCutSettings(cut=Cut.RESET, gateways=2, cut_vms=2, seconds=8.0)
# First tries where VMs are cut off are served this often, compared with the others.
MIN_RELATIVE_SHARE = 0.95
# What no VM can serve is rejected within this time.
MAX_REFUSAL_SECONDS = 0.5


# Guards against: callers of VMs that reach no engine aren't served, though peers do.
@pytest.mark.parametrize("settings", CUTS.values(), ids=CUTS.keys())
async def test_vms_that_reach_no_engine_serve_like_the_others(tmp_path, settings):
    result = await EngineCutDrill(tmp_path, settings).run()
    least = MIN_RELATIVE_SHARE * result.served_share(is_cut_off=False)
    assert result.served_share(is_cut_off=True) >= least, result.summary()
    assert result.run_twice() == []


# Guards against: calls that nobody can serve are held, or sent round among the VMs.
async def test_calls_are_refused_soon_while_no_vm_reaches_an_engine(tmp_path):
    result = await EngineCutDrill(tmp_path, ALL_CUT_OFF).run()
    assert result.served(is_cut_off=True)[0] == 0
    assert result.slowest_failure_s() <= MAX_REFUSAL_SECONDS, result.summary()
    assert result.run_twice() == []
