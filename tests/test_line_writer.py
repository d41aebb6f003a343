"""The log writer: bounded rate under load, and no blocking on a slow reader."""

import json
import logging
import os
from types import SimpleNamespace

import pytest

from dotterelpitch.telemetry import line_writer
from dotterelpitch.telemetry.line_writer import LineWriter
from tests.harness.waiting import eventually


@pytest.fixture
def pipe():
    reading, writing = os.pipe()
    os.set_blocking(reading, False)
    yield reading, writing
    os.close(reading)
    os.close(writing)


@pytest.fixture
def clock_seconds(monkeypatch):
    """The writer's monotonic clock in seconds, which a test advances."""
    now = [1000.0]
    fake_time = SimpleNamespace(monotonic=lambda: now[0])
    monkeypatch.setattr(line_writer, "time", fake_time)
    return now


def make_record(number, is_request):
    log_record = logging.LogRecord("x", logging.INFO, "", 0, "", (), None)
    log_record.values = {"event": number, "name": "n", "text": "x" * 200}
    log_record.is_request = is_request
    return log_record


def read_lines(reading):
    data = b""
    try:
        while chunk := os.read(reading, 1 << 20):
            data += chunk
    except BlockingIOError:
        pass
    return [json.loads(line) for line in data.splitlines()]


async def test_request_lines_are_dropped_before_state_lines(pipe, clock_seconds):
    reading, writing = pipe
    writer = LineWriter(10, writing)
    for _ in range(50):
        writer.emit(make_record(501, is_request=True))
    for _ in range(20):
        writer.emit(make_record(211, is_request=False))
    clock_seconds[0] += 1
    writer.emit(make_record(501, is_request=True))
    writer.flush()
    lines = read_lines(reading)
    numbers = [line["event"] for line in lines]
    assert numbers.count(501) == 11
    assert numbers.count(211) == 20
    assert [line["lines"] for line in lines if line["event"] == 106] == [40]


async def test_stalled_reader_drops_lines_without_blocking(pipe, clock_seconds):
    reading, writing = pipe
    writer = LineWriter(1_000_000, writing)
    for _ in range(10_000):
        writer.emit(make_record(501, is_request=True))
        writer.flush()
    delivered_lines = count_available_lines(reading)
    assert 0 < delivered_lines < 10_000
    clock_seconds[0] += 1
    writer.emit(make_record(501, is_request=True))

    def is_flushed():
        writer.flush()
        count_available_lines(reading)
        return not writer._buffer

    assert await eventually(is_flushed, 5.0)


def count_available_lines(reading):
    try:
        return os.read(reading, 1 << 20).count(b"\n")
    except BlockingIOError:
        return 0


async def test_lines_are_written_in_batches(pipe, clock_seconds):
    reading, writing = pipe
    writer = LineWriter(100, writing)
    writer.emit(make_record(501, is_request=True))
    assert read_lines(reading) == []
    lines = await eventually(lambda: read_lines(reading), 5.0)
    assert len(lines) == 1
