"""Retry-After of refused requests."""

import pytest

from dotterelpitch.gateway.refusals import (
    MAX_RETRY_AFTER_SECONDS,
    MIN_RETRY_AFTER_SECONDS,
    choose_retry_after,
)

ROUNDS = 200


@pytest.mark.parametrize(
    ("left_s", "latest"),
    [
        (12.0, MAX_RETRY_AFTER_SECONDS),
        (1.5, 0.45),
        (0.01, MIN_RETRY_AFTER_SECONDS),
    ],
)
def test_retry_after_is_spread_over_the_time_left(left_s, latest):
    times = [choose_retry_after(left_s) for _ in range(ROUNDS)]
    assert min(times) >= MIN_RETRY_AFTER_SECONDS
    assert max(times) <= latest + 1e-9
    if latest > MIN_RETRY_AFTER_SECONDS:
        assert min(times) < 0.5 * latest < max(times)
