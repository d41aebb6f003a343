"""Real gateways let a stream go on only at the engine version that began it."""

import pytest

from tests.harness.version_drill import (
    MAX_MIXED,
    MIN_RESUMED_FACTOR,
    VersionDrill,
    VersionDrillSettings,
)

DRILLS = {
    "half of each version, a third of the streams break": VersionDrillSettings(
        versions=("v1", "v2")
    ),
    "three versions, callers leave and take up again": VersionDrillSettings(
        versions=("v1", "v2", "v3"), left_share=0.4, engines=9
    ),
    "a VM killed every 3 s": VersionDrillSettings(
        versions=("v1", "v2"), left_share=0.3, restart_interval_s=3.0
    ),
    "nine VMs with relays": VersionDrillSettings(
        gateways=9, mesh_vms=3, versions=("v1", "v2"), left_share=0.3
    ),
}
# Streams that nothing else can serve end or are refused, but never join.
WITHOUT_SECOND_ENGINE = {
    "engines of one version leave, those of another come": VersionDrillSettings(
        replaces=True, versions=("v1", "v1", "v1", "v2"), left_share=0.2
    ),
    "one engine of a version": VersionDrillSettings(engines=2, versions=("v1", "v2")),
    "callers that don't name the first attempt": VersionDrillSettings(
        versions=("v1", "v2"), names_first=False, left_share=0.3
    ),
}
# A release of all engines just before all VMs are lost: nothing is left that knows the
# old version but the engines themselves.
LOST_VMS = {
    "all VMs, after a release": VersionDrillSettings(
        versions=("v1", "v1", "v2"), released_at=3.6, losses_at=(3.8,)
    ),
    "all VMs twice, the first time during a release": VersionDrillSettings(
        versions=("v1", "v2"), released_at=3.8, losses_at=(3.9, 7.0), left_share=0.2
    ),
    "all VMs, two versions side by side": VersionDrillSettings(
        versions=("v1", "v2"), losses_at=(4.0, 7.5), engines=9, gateways=6
    ),
    "all VMs but one": VersionDrillSettings(
        versions=("v1", "v1", "v2"), losses_at=(3.6, 7.0), survivors=1, released_at=3.4
    ),
    "all VMs, which start one after the other": VersionDrillSettings(
        versions=("v1", "v1", "v2"), released_at=3.6, losses_at=(3.8,), start_gap_s=0.3
    ),
    "all VMs, and the store for 2 s": VersionDrillSettings(
        versions=("v1", "v1", "v2"), released_at=3.6, losses_at=(3.8,), store_away_s=2.0
    ),
    "all VMs, engines that don't list their caches": VersionDrillSettings(
        versions=("v1", "v1", "v2"),
        released_at=3.6,
        losses_at=(3.8, 8.0),
        lists_caches=False,
    ),
    "all VMs, callers that don't name the first attempt": VersionDrillSettings(
        versions=("v1", "v2"), losses_at=(4.0, 8.0), names_first=False, engines=9
    ),
}
# Two engines of each version serve all the time.
LOST_VMS_AND_NO_ENGINE = VersionDrillSettings(
    versions=("v1", "v2"), losses_at=(4.0, 7.5), engines=9, gateways=6, broken_share=0.1
)
ONE_VERSION_LOST_VMS = VersionDrillSettings(
    versions=("v1",), losses_at=(4.0, 7.5), broken_share=0.1
)
ONE_VERSION = VersionDrillSettings(
    versions=("v1",), names_first=False, left_share=0.3, restart_interval_s=3.0
)


# Guards against: a stream goes on at a version that doesn't fit what began it.
@pytest.mark.parametrize("settings", DRILLS.values(), ids=DRILLS.keys())
async def test_streams_go_on_at_the_version_that_began_them(tmp_path, settings):
    result = await VersionDrill(tmp_path, settings).run()
    assert len(result.mixed) <= MAX_MIXED, result.summary()
    assert result.broken_order == []
    owed = MIN_RESUMED_FACTOR * result.begun_share()
    assert result.resumed_share() >= owed, result.summary()


# Guards against: the same, where no other engine of the version may be left.
@pytest.mark.parametrize(
    "settings", WITHOUT_SECOND_ENGINE.values(), ids=WITHOUT_SECOND_ENGINE.keys()
)
async def test_streams_without_an_engine_of_their_version_join_none(tmp_path, settings):
    result = await VersionDrill(tmp_path, settings).run()
    assert len(result.mixed) <= MAX_MIXED, result.summary()
    assert result.broken_order == []


# Guards against: streams are refused for their version where there is only one.
async def test_streams_go_on_anywhere_while_there_is_one_version(tmp_path):
    result = await VersionDrill(tmp_path, ONE_VERSION).run()
    assert result.broken_order == []
    reasons = {reason for call in result.calls for reason in call.reasons}
    assert not any("version" in reason for reason in reasons)
    owed = MIN_RESUMED_FACTOR * result.begun_share()
    assert result.resumed_share() >= owed, result.summary()


# Guards against: VMs that have just started take their ignorance for a single version.
@pytest.mark.parametrize("settings", LOST_VMS.values(), ids=LOST_VMS.keys())
async def test_streams_keep_their_version_after_vms_are_lost(tmp_path, settings):
    result = await VersionDrill(tmp_path, settings).run()
    assert len(result.mixed) <= MAX_MIXED, result.summary()
    assert result.broken_order == []


# Guards against: VMs that have just started refuse all streams that began before.
@pytest.mark.parametrize(
    "settings",
    [LOST_VMS_AND_NO_ENGINE, ONE_VERSION_LOST_VMS],
    ids=["two versions", "one version"],
)
async def test_streams_go_on_after_all_vms_were_lost(tmp_path, settings):
    result = await VersionDrill(tmp_path, settings).run()
    assert len(result.mixed) <= MAX_MIXED, result.summary()
    assert result.broken_order == []
    owed = MIN_RESUMED_FACTOR * result.begun_share()
    assert result.resumed_share() >= owed, result.summary()
    assert result.orphaned_share() >= owed, result.summary()
