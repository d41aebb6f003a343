"""Real gateways send nothing to engines that leave, whatever the registry says."""

import pytest

from tests.harness.leaving_drill import (
    Contradiction,
    LeavingDrill,
    LeavingDrillSettings,
)

BY_THEIR_WORD = [
    Contradiction.RESTART_UNSEEN,
    Contradiction.UNDATED,
    Contradiction.EARLIER_START,
    Contradiction.LATER_START,
]
BY_THE_REGISTRY = [Contradiction.READY_AGAIN, Contradiction.OLDER_COPY]
# Entries of engines that live are used so soon after the store is back.
REREGISTERED_SECONDS = 2.0
# What the other engines can serve is served.
MIN_SERVED_SHARE = 0.9


# Guards against: what an engine has said is filed under another run of it, or a record
# of the registry undoes it, and the engine gets requests again.
@pytest.mark.parametrize("contradiction", BY_THEIR_WORD)
async def test_no_record_undoes_what_an_engine_has_said(tmp_path, contradiction):
    settings = LeavingDrillSettings(contradiction=contradiction)
    result = await LeavingDrill(tmp_path, settings).run()
    assert result.notices
    assert result.late_for_leaving() == [], result.summary()
    assert result.served_share() >= MIN_SERVED_SHARE, result.summary()


# Guards against: the registry takes back, or loses, that an engine leaves.
@pytest.mark.parametrize("contradiction", BY_THE_REGISTRY)
async def test_engine_that_the_registry_has_withdrawn_stays_so(tmp_path, contradiction):
    settings = LeavingDrillSettings(contradiction=contradiction)
    result = await LeavingDrill(tmp_path, settings).run()
    assert result.late_for_withdrawn() == []
    assert result.served_share() >= MIN_SERVED_SHARE, result.summary()


# Guards against: new engines stay unused after the store has lost its last writes.
async def test_engine_registered_after_a_restore_is_used(tmp_path):
    settings = LeavingDrillSettings(contradiction=Contradiction.OLDER_COPY)
    result = await LeavingDrill(tmp_path, settings).run()
    assert result.first_arrival_after_s("new") <= REREGISTERED_SECONDS
