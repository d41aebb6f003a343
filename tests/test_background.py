"""A background task that fails is logged and restarted."""

import asyncio

import pytest

from dotterelpitch.gateway import background
from dotterelpitch.telemetry.events import Event, observe_events


@pytest.fixture
def logged_failures():
    seen = []

    def observe(event, values):
        if event is Event.TASK_BROKE:
            seen.append(values)

    stop = observe_events(observe)
    yield seen
    stop()


@pytest.mark.parametrize("failures", [0, 1, 3])
async def test_failed_task_is_logged_and_restarted(
    failures, logged_failures, monkeypatch
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
    assert [values["task"] for values in logged_failures] == ["peers"] * failures
    assert all("KeyError" in values["trace"] for values in logged_failures)


async def test_cancelled_task_is_not_restarted(logged_failures):
    task = asyncio.create_task(background.keep_running("peers", asyncio.Event().wait))
    await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert not logged_failures
