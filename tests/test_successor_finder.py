"""What a search for an engine takes for its answer."""

from unittest.mock import MagicMock

from dotterelpitch.clock import SystemClock
from dotterelpitch.gateway.successor_finder import SuccessorFinder
from dotterelpitch.upstream.engine_check import CheckResult
from tests.harness.waiting import pause


# Guards against: an engine that wasn't asked for want of checks counts as silent.
async def test_check_that_was_not_started_is_made_soon():
    results = [CheckResult.NOT_STARTED, CheckResult.RESPONDED]

    async def run_check(check):
        return results.pop(0)

    mock = MagicMock()
    finder = SuccessorFinder(
        SystemClock(), mock, mock, mock, mock, mock, mock, mock, run_check
    )
    engine = MagicMock(id="e1", address="127.0.0.1:1")
    assert not await finder._responds(engine)
    await pause(0.25)
    assert await finder._responds(engine)
