"""Events of a stream resumed across engines are complete and unique."""

import pytest

from dotterelpitch.gateway.event_stream_filter import EventStreamFilter


def event(number, text=b"x"):
    return b"id: %d\ndata: %s\n\n" % (number, text)


@pytest.mark.parametrize(
    ("chunks", "expected", "last_id"),
    [
        ([event(1) + event(2)], event(1) + event(2), "2"),
        ([event(1)[:7], event(1)[7:]], event(1), "1"),
        ([bytes([b]) for b in event(1) + event(2)], event(1) + event(2), "2"),
        ([event(1), event(2)[:-1]], event(1), "1"),
        ([event(2), event(2), event(1), event(3)], event(2) + event(3), "3"),
        ([b"data: no id\n\n"], b"data: no id\n\n", ""),
        ([b"weight-versions: 4\n" + event(5)], b"weight-versions: 4\n" + event(5), "5"),
    ],
)
def test_complete_new_events_are_passed_on(chunks, expected, last_id):
    events = EventStreamFilter()
    assert b"".join(events.feed(chunk) for chunk in chunks) == expected
    assert events.last_id == last_id


def test_resumed_stream_drops_duplicate_events():
    events = EventStreamFilter()
    events.feed(event(1) + event(2) + event(3)[:5])
    assert events.has_partial_event
    events.restart()
    assert not events.has_partial_event
    assert events.feed(event(2) + event(3)) == event(3)
