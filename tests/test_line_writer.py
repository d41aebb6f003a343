"""Tests of the log writer: a bounded rate, and no blocking on a slow reader."""

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
    read_fd, write_fd = os.pipe()
    os.set_blocking(read_fd, False)
    yield read_fd, write_fd
    os.close(read_fd)
    os.close(write_fd)


@pytest.fixture
def clock_seconds(monkeypatch):
    """The writer's monotonic clock as a list of one time, which a test advances."""
    now = [1000.0]
    fake_time = SimpleNamespace(monotonic=lambda: now[0])
    monkeypatch.setattr(line_writer, "time", fake_time)
    return now


def make_record(number, is_request):
    log_record = logging.LogRecord("x", logging.INFO, "", 0, "", (), None)
    log_record.values = {"event": number, "name": "n", "text": "x" * 200}
    log_record.is_request = is_request
    return log_record


def read_lines(read_fd):
    data = b""
    try:
        while chunk := os.read(read_fd, 1 << 20):
            data += chunk
    except BlockingIOError:
        pass
    return [json.loads(line) for line in data.splitlines()]


async def test_request_lines_are_dropped_before_state_lines(pipe, clock_seconds):
    read_fd, write_fd = pipe
    writer = LineWriter(10, write_fd)
    for _ in range(50):
        writer.emit(make_record(501, is_request=True))
    for _ in range(20):
        writer.emit(make_record(211, is_request=False))
    clock_seconds[0] += 1
    writer.emit(make_record(501, is_request=True))
    writer.flush()
    lines = read_lines(read_fd)
    numbers = [line["event"] for line in lines]
    assert numbers.count(501) == 11
    assert numbers.count(211) == 20
    assert [line["lines"] for line in lines if line["event"] == 106] == [40]


async def test_stalled_reader_drops_lines_without_blocking(pipe, clock_seconds):
    read_fd, write_fd = pipe
    writer = LineWriter(1_000_000, write_fd)
    for _ in range(10_000):
        writer.emit(make_record(501, is_request=True))
        writer.flush()
    delivered_lines = count_available_lines(read_fd)
    assert 0 < delivered_lines < 10_000
    clock_seconds[0] += 1
    writer.emit(make_record(501, is_request=True))

    def is_flushed():
        writer.flush()
        count_available_lines(read_fd)
        return not writer._buffer

    assert await eventually(is_flushed, 5.0)


def count_available_lines(read_fd):
    try:
        return os.read(read_fd, 1 << 20).count(b"\n")
    except BlockingIOError:
        return 0


async def test_lines_are_written_in_batches(pipe, clock_seconds):
    read_fd, write_fd = pipe
    writer = LineWriter(100, write_fd)
    writer.emit(make_record(501, is_request=True))
    assert read_lines(read_fd) == []
    lines = await eventually(lambda: read_lines(read_fd), 5.0)
    assert len(lines) == 1
