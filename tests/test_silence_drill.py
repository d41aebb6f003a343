"""Real gateways serve whole streams while sound engines are silent for a while."""

import pytest

from tests.harness.silence_drill import (
    End,
    Silence,
    SilenceDrill,
    SilenceDrillSettings,
)

DRILLS = {
    "two VMs stop, settings and configs change, few retries are left": (
        SilenceDrillSettings(
            gateways=4,
            seconds=3.0,
            silences=(Silence(2.3, (1.9, 1.2, 2.5, 1.0)),),
            stops=((2.5, 0), (3.2, 1)),
            reloads=(2.7,),
            short_configs=(2.0, 2.9),
            has_same_body=True,
            left_share=0.3,
            retry_slack=2,
            retry_budget=0.0,
        )
    ),
    "no retry is left": SilenceDrillSettings(
        seconds=3.0,
        silences=(Silence(2.3, (2.2, 0.0)),),
        retry_slack=0,
        retry_budget=0.0,
    ),
    "silences that overlap": SilenceDrillSettings(
        seconds=4.5,
        silences=(
            Silence(1.8, (2.5, 0.1, 0.1, 0.1)),
            Silence(2.6, (1.7, 2.5, 0.1, 0.1)),
            Silence(3.4, (0.9, 1.7, 2.5, 2.0)),
        ),
    ),
    "the engines that aren't silent are full, two VMs stop": SilenceDrillSettings(
        gateways=4,
        seconds=3.0,
        silences=(Silence(2.3, (1.9, 0.0, 1.9, 1.9)),),
        stops=((2.5, 0), (3.2, 1)),
        slots=7,
    ),
    "records that expire": SilenceDrillSettings(
        seconds=3.0, silences=(Silence(2.3, (2.0,), expires_s=0.8),)
    ),
}


# Guards against: a stream that has begun is cut since its sound engine is silent.
@pytest.mark.parametrize("settings", DRILLS.values(), ids=DRILLS.keys())
async def test_no_stream_is_cut_while_sound_engines_are_silent(tmp_path, settings):
    result = await SilenceDrill(tmp_path, settings).run()
    assert [result.logs_of(attempt.request_id) for attempt in result.cut()] == []
    assert result.unanswered() == []
    assert result.out_of_order == []
    assert any(attempt.end is End.WHOLE for attempt in result.tries)
