"""Retry-After of refused requests."""

import pytest

from dotterelpitch.gateway.refusals import (
    MAX_RETRY_AFTER_SECONDS,
    MIN_RETRY_AFTER_SECONDS,
    choose_retry_after,
)

SAMPLES = 200


# Guards against: callers come back before a retry can be served, or all at once then.
@pytest.mark.parametrize("min_wait_s", [0.7, 3.0, 30.0])
def test_retry_after_is_spread_over_the_time_after_the_wait(min_wait_s):
    times = [choose_retry_after(4.0, min_wait_s) for _ in range(SAMPLES)]
    assert min(times) > min_wait_s
    assert 0.3 < max(times) - min(times) <= MAX_RETRY_AFTER_SECONDS


@pytest.mark.parametrize(
    ("remaining_s", "max_s"),
    [
        (12.0, MAX_RETRY_AFTER_SECONDS),
        (1.5, 0.45),
        (0.01, MIN_RETRY_AFTER_SECONDS),
    ],
)
def test_retry_after_is_spread_over_the_time_left(remaining_s, max_s):
    times = [choose_retry_after(remaining_s) for _ in range(SAMPLES)]
    assert min(times) >= MIN_RETRY_AFTER_SECONDS
    assert max(times) <= max_s + 1e-9
    if max_s > MIN_RETRY_AFTER_SECONDS:
        assert min(times) < 0.5 * max_s < max(times)
