"""The bodies of all requests together stay within their memory limit."""

import pytest

from dotterelpitch.clock import ManualClock
from dotterelpitch.gateway.body_memory import (
    BYTES_PER_MB,
    STALLED_SECONDS,
    BodyMemory,
)
from dotterelpitch.gateway.caller_protocol import CONNECTION_BYTES, max_connections


@pytest.mark.parametrize(
    ("sizes", "accepted"),
    [
        ([10], [True]),
        ([11], [False]),
        ([6, 4, 1], [True, True, False]),
        ([6, 6, 4], [True, False, True]),
    ],
)
def test_bodies_beyond_the_limit_are_refused(sizes, accepted):
    memory = BodyMemory(10)
    with memory.reserve() as reservation:
        assert [reservation.grow(size) for size in sizes] == accepted
    assert memory.used == 0


def test_ended_request_releases_its_memory():
    memory = BodyMemory(10)
    with memory.reserve() as first, memory.reserve() as second:
        assert first.grow(7)
        assert not second.grow(4)
    with memory.reserve() as third:
        assert third.grow(10)


class Evicted:
    """Counts how often a reservation was taken back."""

    def __init__(self):
        self.count = 0

    def __call__(self):
        self.count += 1


# Guards against: bodies that stop short of their end keep the memory from others.
@pytest.mark.parametrize(
    ("wait_s", "is_complete", "fits"),
    [
        (0.0, False, False),
        (STALLED_SECONDS, False, True),
        (STALLED_SECONDS, True, False),
    ],
)
def test_stalled_body_makes_room(wait_s, is_complete, fits):
    clock = ManualClock(10.0)
    memory = BodyMemory(10, clock)
    evicted = Evicted()
    with memory.reserve(evicted) as first, memory.reserve() as second:
        assert first.grow(8)
        if is_complete:
            first.complete()
        clock.advance(wait_s)
        assert second.grow(8) == fits
        assert evicted.count == fits
        assert first.grow(1) == (not fits)
    assert memory.used == 0


# Guards against: a body that comes a byte at a time never counts as stalled.
def test_body_that_hardly_grows_makes_room():
    clock = ManualClock(10.0)
    memory = BodyMemory(10, clock)
    with memory.reserve() as first, memory.reserve() as second:
        for _ in range(8):
            clock.advance(0.2)
            assert first.grow(1)
        assert second.grow(8)
        assert first.is_evicted


# Guards against: one account takes all of the memory for bodies.
def test_account_has_at_most_its_share():
    memory = BodyMemory(10)
    with memory.reserve() as first, memory.reserve() as second:
        first.account, second.account = "a", "b"
        assert [first.grow(5), first.grow(1), second.grow(5)] == [True, False, True]
    assert set(memory.used_by_account.values()) == {0}


@pytest.mark.parametrize("memory_mb", [160, 200, 552])
def test_bodies_and_connections_leave_room_for_the_process(memory_mb):
    bodies_mb = 2 * BodyMemory.for_vm(memory_mb).limit / BYTES_PER_MB
    connections_mb = max_connections(memory_mb) * CONNECTION_BYTES / BYTES_PER_MB
    assert bodies_mb + connections_mb <= 0.6 * memory_mb


# Guards against: more connections than the process may open, or a bound by descriptors
# where the memory bounds them already.
@pytest.mark.parametrize(
    ("memory_mb", "descriptors", "expected"),
    [(300, 4100, 1200), (552, 8192, 2208), (300, 0, 1200), (300, 600, 160)],
)
def test_connections_fit_into_memory_and_descriptors(memory_mb, descriptors, expected):
    assert max_connections(memory_mb, descriptors) == expected
