"""Input that is costly to parse leaves the process to others."""

import pytest

from dotterelpitch.clock import ManualClock
from dotterelpitch.gateway.intake_pacer import (
    CHEAP_LINES,
    MIN_PAUSE_SECONDS,
    PAUSE_FACTOR,
    IntakePacer,
    PacedInput,
    is_costly,
)

SLICE_SECONDS = 0.01


class InputStub(PacedInput):
    """A connection with so many slices left, each of which takes a while."""

    def __init__(self, clock, slices):
        self._clock = clock
        self.left = slices

    def feed_slice(self):
        self._clock.advance(SLICE_SECONDS)
        self.left -= 1
        return self.left > 0


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b"x" * 16384, False),
        (b"GET / HTTP/1.1\r\n" + b"name: value\r\n" * 40 + b"\r\n", False),
        (b"1\r\nx\r\n" * CHEAP_LINES, True),
        (b"a:b\r\n" * 3000, True),
        (b"GET / HTTP/1.1\r\n\r\n" * 200, True),
    ],
)
def test_what_is_costly(data, expected):
    assert is_costly(data) == expected


# Guards against: many connections of tiny chunks take all of the process's time, or one
# of them keeps the others from their turn.
@pytest.mark.parametrize(("connections", "factor"), [(1, 1.0), (5, PAUSE_FACTOR)])
async def test_others_get_their_time_after_each_slice(connections, factor):
    clock = ManualClock(10.0)
    pacer = IntakePacer(clock)
    inputs = [InputStub(clock, 10) for _ in range(connections)]
    for connection in inputs:
        pacer.add(connection)
    pauses = [pacer.parse_next() for _ in range(3 * connections)]
    assert pauses == pytest.approx([factor * SLICE_SECONDS] * len(pauses))
    assert {connection.left for connection in inputs} == {7}


class BlockedInput(PacedInput):
    """A connection that can't be parsed before its last request is answered."""

    def feed_slice(self):
        return True


# Guards against: a connection with requests sent ahead keeps the process busy while it
# waits for their responses.
def test_blocked_input_is_not_looked_at_all_the_time():
    pacer = IntakePacer(ManualClock(10.0))
    pacer.add(BlockedInput())
    assert pacer.parse_next() == MIN_PAUSE_SECONDS
