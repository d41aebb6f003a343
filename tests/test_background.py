"""An endless task that breaks is logged and started again."""

import asyncio

import pytest

from dotterelpitch.gateway import background
from dotterelpitch.telemetry.events import Event, observe_events


@pytest.fixture
def broken():
    seen = []

    def observe(event, values):
        if event is Event.TASK_BROKE:
            seen.append(values)

    stop = observe_events(observe)
    yield seen
    stop()


@pytest.mark.parametrize("failures", [0, 1, 3])
async def test_each_error_is_logged_and_the_task_starts_again(
    failures, broken, monkeypatch
):
    monkeypatch.setattr(background, "RESTART_DELAY_SECONDS", 0.0)
    runs = 0

    async def run():
        nonlocal runs
        runs += 1
        if runs <= failures:
            raise KeyError("vm-1")

    await background.keep_running("peers", run)
    assert runs == failures + 1
    assert [values["task"] for values in broken] == ["peers"] * failures
    assert all("KeyError" in values["trace"] for values in broken)


async def test_a_cancelled_task_stays_cancelled(broken):
    task = asyncio.create_task(background.keep_running("peers", asyncio.Event().wait))
    await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert not broken
