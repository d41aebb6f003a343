"""Log lines: bounded under load, and never waiting for their reader."""

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
def second(monkeypatch):
    """The writer's steady clock, which a test moves."""
    now = [1000.0]
    steady = SimpleNamespace(monotonic=lambda: now[0])
    monkeypatch.setattr(line_writer, "time", steady)
    return now


def record(number, is_request):
    found = logging.LogRecord("x", logging.INFO, "", 0, "", (), None)
    found.values = {"event": number, "name": "n", "text": "x" * 200}
    found.is_request = is_request
    return found


def read_lines(reading):
    data = b""
    try:
        while chunk := os.read(reading, 1 << 20):
            data += chunk
    except BlockingIOError:
        pass
    return [json.loads(line) for line in data.splitlines()]


async def test_lines_of_requests_are_left_out_before_those_of_beliefs(pipe, second):
    reading, writing = pipe
    writer = LineWriter(10, writing)
    for _ in range(50):
        writer.emit(record(501, is_request=True))
    for _ in range(20):
        writer.emit(record(211, is_request=False))
    second[0] += 1
    writer.emit(record(501, is_request=True))
    writer.flush()
    lines = read_lines(reading)
    numbers = [line["event"] for line in lines]
    assert numbers.count(501) == 11
    assert numbers.count(211) == 20
    assert [line["lines"] for line in lines if line["event"] == 106] == [40]


async def test_a_reader_that_stops_reading_costs_lines_and_no_time(pipe, second):
    reading, writing = pipe
    writer = LineWriter(1_000_000, writing)
    for _ in range(10_000):
        writer.emit(record(501, is_request=True))
        writer.flush()
    kept = read_lines_partly(reading)
    assert 0 < kept < 10_000
    second[0] += 1
    writer.emit(record(501, is_request=True))

    def is_all_written():
        writer.flush()
        read_lines_partly(reading)
        return not writer._buffer

    assert await eventually(is_all_written, 5.0)


def read_lines_partly(reading):
    try:
        return os.read(reading, 1 << 20).count(b"\n")
    except BlockingIOError:
        return 0


async def test_lines_of_a_moment_are_written_together(pipe, second):
    reading, writing = pipe
    writer = LineWriter(100, writing)
    writer.emit(record(501, is_request=True))
    assert read_lines(reading) == []
    lines = await eventually(lambda: read_lines(reading), 5.0)
    assert len(lines) == 1
