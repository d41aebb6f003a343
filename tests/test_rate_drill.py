"""Real gateways keep to the rate limits that engines name, all VMs together."""

import pytest

from tests.harness.crash_drill.drill import CONTACT_SECONDS
from tests.harness.rate_drill import RateDrill, RateDrillSettings

DRILLS = {
    "four of six engines": RateDrillSettings(),
    "limits that fall to a third": RateDrillSettings(limits=((2.0, 3.0), (6.5, 1.0))),
    "a VM killed every 3 s": RateDrillSettings(restart_interval_s=3.0),
    "nine VMs with relays, one with most callers": RateDrillSettings(
        gateways=9, mesh_vms=3, first_vm_share=0.6, limits=((2.0, 2.5),)
    ),
    "a limit below the number of VMs": RateDrillSettings(
        gateways=9, limits=((2.0, 0.3),)
    ),
}
# All engines limited, to less than half of the calls.
ALL_LIMITED = RateDrillSettings(limited=6, calls_per_s=40.0)
# The engines take this much of what they allow.
MIN_USED_SHARE = 0.75
FREED = RateDrillSettings(limits=((2.0, 1.0), (6.0, None)), seconds=14.0)


# Guards against: an engine gets several times the rate limit that it names.
@pytest.mark.parametrize("settings", DRILLS.values(), ids=DRILLS.keys())
async def test_engines_get_no_more_than_the_limit_they_name(tmp_path, settings):
    result = await RateDrill(tmp_path, settings).run()
    assert result.excess_by_engine() == {}, result.summary()
    settled = result.limits[0][0] + CONTACT_SECONDS
    assert result.served_share(settled) > 0.9, result.summary()


# Guards against: more calls than all limits allow are held, or reach the engines.
async def test_calls_beyond_the_limits_of_all_engines_are_refused_at_once(tmp_path):
    result = await RateDrill(tmp_path, ALL_LIMITED).run()
    assert result.excess_by_engine() == {}, result.summary()
    assert result.slow_refusals() == []
    allowed = ALL_LIMITED.limited * ALL_LIMITED.limits[0][1]
    settled = result.limits[0][0] + CONTACT_SECONDS
    rate = result.arrival_rate(settled, result.ended)
    assert rate >= MIN_USED_SHARE * allowed, result.summary()


# Guards against: an engine that names no limit any more gets few requests for long.
async def test_engines_without_a_limit_any_more_get_their_share_again(tmp_path):
    result = await RateDrill(tmp_path, FREED).run()
    assert result.excess_by_engine() == {}, result.summary()
    gone_at = result.limits[-1][0]
    usual = FREED.calls_per_s * FREED.limited / FREED.engines
    rate = result.arrival_rate(gone_at + 3.0, result.ended)
    assert rate >= MIN_USED_SHARE * usual, result.summary()
