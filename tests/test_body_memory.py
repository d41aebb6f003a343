"""The bodies of all requests together stay within their memory limit."""

import pytest

from dotterelpitch.gateway.body_memory import BodyMemory


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
