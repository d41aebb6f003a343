"""Rendering of metrics with bounded labels, and the buffer of recent events."""

import itertools

import pytest

from dotterelpitch.protocol.traffic import (
    EVICTED_PEERS,
    MAX_PEERS,
    TrafficTotals,
)
from dotterelpitch.telemetry.events import Event, log_event, observe_events
from dotterelpitch.telemetry.metrics import CacheReuse, Metrics
from dotterelpitch.telemetry.recent_events import EventRecord, RecentEvents


def rendered_lines(metrics):
    return metrics.render().decode().splitlines()


@pytest.mark.parametrize(
    ("record", "expected"),
    [
        (
            lambda m: m.request_ended("s", "not-run"),
            'dotterelpitch_requests_total{outcome="not-run",service="s"} 1.0',
        ),
        (
            lambda m: m.chat_answered("s", CacheReuse.HIT, 90, 80),
            'dotterelpitch_chat_cache_reuse_total{reuse="hit",service="s"} 1.0',
        ),
        (
            lambda m: m.chat_answered("s", CacheReuse.HIT, 90, 80),
            'dotterelpitch_cached_prompt_tokens_total{service="s"} 80.0',
        ),
        (
            lambda m: m.request_queued("s", 0.004),
            'dotterelpitch_queue_time_seconds_bucket{le="0.005",service="s"} 1.0',
        ),
        (
            lambda m: m.event_logged(Event.PEER_LOST, {"peer": "x"}),
            'dotterelpitch_events_total{name="peer_lost",number="702"} 1.0',
        ),
        (
            lambda m: m.watch_engine_loads(lambda: [("s", "a", 1.0), ("s", "b", 3.0)]),
            'dotterelpitch_engine_load_skew{service="s"} 1.5',
        ),
        (
            lambda m: m.watch_document_ages(lambda: [("s", 2.5)]),
            'dotterelpitch_document_age_seconds{service="s"} 2.5',
        ),
        (
            lambda m: m.watch_document_revisions(lambda: [("s", 4)]),
            'dotterelpitch_document_revision{service="s"} 4.0',
        ),
        (
            lambda m: m.watch_queue_lengths(lambda: [("s", 9)]),
            'dotterelpitch_queue_length{service="s"} 9.0',
        ),
        (
            lambda m: m.watch_leases(lambda: [2.5, 1.5]),
            "dotterelpitch_lease_left_seconds 1.5",
        ),
        (
            lambda m: m.watch_leases(lambda: [2.5, 1.5]),
            "dotterelpitch_leases_held 2.0",
        ),
    ],
)
def test_each_metric_is_rendered(record, expected):
    metrics = Metrics(TrafficTotals())
    record(metrics)
    assert expected in rendered_lines(metrics)


def test_control_bytes_are_rendered_by_kind_and_by_peer_without_bodies():
    totals = TrafficTotals()
    totals.for_peer("vm-1").sent_by_kind.update({"Reset": 20, "Data": 5000})
    lines = rendered_lines(Metrics(totals))
    by_peer = 'dotterelpitch_peer_control_bytes_total{direction="sent",peer="vm-1"} '
    assert 'dotterelpitch_control_bytes_total{direction="sent",kind="Reset"} 20.0' in (
        lines
    )
    assert by_peer + "20.0" in lines
    assert not [line for line in lines if "Data" in line]


def test_peers_are_bounded_and_evicted_bytes_are_kept():
    totals = TrafficTotals()
    for number in range(3 * MAX_PEERS):
        totals.for_peer(f"vm-{number}").sent_by_kind["Reset"] += 1
    assert len(totals.counter_by_peer) <= MAX_PEERS + 1
    assert EVICTED_PEERS in totals.counter_by_peer
    assert totals.total_by_kind().control_sent == 3 * MAX_PEERS


def test_routine_events_do_not_displace_warnings():
    recent = RecentEvents(capacity=2)
    clock = itertools.count()
    stop_observing = observe_events(
        lambda e, v: recent.append(EventRecord(next(clock), e, v))
    )
    log_event(Event.PEER_LOST, peer="first")
    for number in range(3):
        log_event(Event.PEER_CONNECTED, peer=str(number))
    stop_observing()
    log_event(Event.PEER_LOST, peer="later")
    assert [r.values["peer"] for r in recent.latest(9)] == ["first", "1", "2"]
    assert [r.values["peer"] for r in recent.latest(2)] == ["1", "2"]
    assert [r.values["peer"] for r in recent.latest(9, 30)] == ["first"]
