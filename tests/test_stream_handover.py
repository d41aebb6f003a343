"""A stream at a silent engine: when its next attempt takes its place, and when not."""

from types import SimpleNamespace

import pytest

from dotterelpitch.gateway.attempt import OpenAttempt
from dotterelpitch.gateway.attempt_result import AttemptResult
from dotterelpitch.gateway.call_progress import CallProgress
from dotterelpitch.gateway.event_stream_filter import EventStreamFilter
from dotterelpitch.gateway.response_forwarding import AttemptLimits
from dotterelpitch.gateway.stream_handover import GONE_ON, StreamHandover
from dotterelpitch.routing.attempt_outcomes import AttemptOutcome

CHOICE = SimpleNamespace(engine=SimpleNamespace(id="e2"))
OPENED = OpenAttempt(CHOICE, None, None, 0.0)
REFUSED = AttemptResult(AttemptOutcome.NOT_SENT)
REJECTED = AttemptResult(AttemptOutcome.REJECTED)


class Runner:
    """Opens an attempt, which its engine takes or not."""

    def __init__(self, opened, is_taken):
        self.opened = opened
        self.taken = is_taken
        self.abandoned = []

    async def open(self, call, choice, max_connections, events):
        return self.opened

    async def is_taken(self, opened, timeout_s):
        if isinstance(self.taken, BaseException):
            raise self.taken
        return self.taken

    async def finish(self, opened, call, limits, writer, events):
        return REJECTED

    def abandon(self, opened):
        self.abandoned.append(opened)


class Loads:
    """Counts the requests at an engine."""

    def __init__(self):
        self.count = 0

    def request_started(self, engine_id):
        self.count += 1

    def request_ended(self, engine_id):
        self.count -= 1


class Recorder:
    """Keeps the results that are recorded."""

    def __init__(self):
        self.results = []

    def record(self, call, choice, progress, writer, result):
        self.results.append(result)


async def open_next(runner, is_silent=True):
    """Return whether the stream is handed over, its progress, and what was recorded."""
    progress = CallProgress(EventStreamFilter("1"))
    progress.next_choice = CHOICE
    progress.is_retry_reserved = True
    recorder, loads = Recorder(), Loads()
    handover = StreamHandover(runner, recorder, loads)
    try:
        is_handed_over = await handover.open_next(
            None, progress, None, AttemptLimits(10.0, 10.0), lambda: is_silent
        )
    finally:
        assert loads.count == 0
    return is_handed_over, progress, recorder.results


# Guards against: a stream leaves an engine that goes on, or for one that rejects it.
@pytest.mark.parametrize(
    ("opened", "is_taken", "is_silent", "recorded"),
    [
        (OPENED, True, True, []),
        (OPENED, False, True, [REJECTED]),
        (REFUSED, True, True, [REFUSED]),
        (OPENED, True, False, [GONE_ON]),
        (OPENED, False, False, [GONE_ON]),
    ],
)
async def test_stream_is_handed_over_to_an_engine_that_takes_it(
    opened, is_taken, is_silent, recorded
):
    runner = Runner(opened, is_taken)
    is_handed_over, progress, results = await open_next(runner, is_silent)
    assert results == recorded
    assert is_handed_over is (not recorded)
    assert progress.is_retry_reserved is is_handed_over
    assert progress.next_choice is (CHOICE if is_handed_over else None)
    assert progress.open_attempt is (opened if is_handed_over else None)
    assert runner.abandoned == ([opened] if recorded == [GONE_ON] else [])


# Guards against: the next engine works on for a caller that has left meanwhile.
async def test_next_attempt_ends_with_its_call():
    runner = Runner(OPENED, TimeoutError())
    with pytest.raises(TimeoutError):
        await open_next(runner)
    assert runner.abandoned == [OPENED]
