"""Tests of the log output under load and without a reader."""

from __future__ import annotations

import json
import logging
import os
from pathlib import Path

from sequoiamoor.logs import (
    MAX_BUFFER_BYTES,
    MAX_BURST_LINES,
    MAX_LINES_PER_SECOND,
    MAX_STATE_BURST_LINES,
    BoundedHandler,
    JsonFormatter,
    LineLimits,
)


def build_record(
    level: int = logging.INFO, size: int = 1, **fields: str | None
) -> logging.LogRecord:
    record = logging.LogRecord("x", level, "", 0, "x" * size, None, None)
    vars(record).update(fields)
    return record


def build_handler(descriptor: int) -> tuple[BoundedHandler, list[float]]:
    now = [0.0]
    handler = BoundedHandler(descriptor, read_time=lambda: now[0])
    handler.setFormatter(JsonFormatter())
    return handler, now


def test_lines_over_the_rate_are_left_out_and_counted() -> None:
    """Guards against a log that grows without limit during a burst of requests."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    handler, now = build_handler(writer)
    for _ in range(int(MAX_BURST_LINES) + 30):
        handler.emit(build_record(request_id="9c41"))
    handler.emit(build_record(logging.WARNING))
    now[0] = 1.0
    for _ in range(int(MAX_LINES_PER_SECOND) - 10):
        handler.emit(build_record(request_id="9c41"))
    lines = [json.loads(line) for line in os.read(reader, 1 << 20).splitlines()]
    counts = [line["left_out"] for line in lines if line["event"] == "lines left out"]
    assert counts == [30]
    assert sum(line["level"] == "info" for line in lines) == 400 + 190
    assert sum(line["event"] == "x" for line in lines) == 400 + 1 + 190
    os.close(reader)
    os.close(writer)


def test_summaries_of_lines_left_out_are_rare_and_name_the_events(
    tmp_path: Path,
) -> None:
    """Guards against a log of a flood in which summaries hide the rare lines."""
    path = tmp_path / "log"
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT)
    handler, now = build_handler(descriptor)
    for number in range(3_000):
        now[0] = number / 1_000
        handler.emit(build_record(request_id="9c41"))
        handler.emit(build_record(size=2, request_id="9c41"))
    os.close(descriptor)
    lines = [json.loads(line) for line in path.read_bytes().splitlines()]
    summaries = [line for line in lines if line["event"] == "lines left out"]
    assert 2 <= len(summaries) <= 3
    counts = dict(item.split(": ") for item in summaries[-1]["detail"].split(", "))
    assert counts.keys() == {"x", "xx"}
    assert sum(map(int, counts.values())) == summaries[-1]["left_out"]


def test_output_that_nobody_reads_never_blocks_the_event_loop() -> None:
    """Guards against a router that blocks because nobody reads its log."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    handler, _ = build_handler(writer)
    size = 10_000
    for _ in range(100):
        handler.emit(build_record(logging.WARNING, size))
    assert len(handler._buffer) <= MAX_BUFFER_BYTES + 2 * size
    os.read(reader, 1 << 20)
    while handler._buffer:
        handler.emit(build_record(logging.WARNING))
        os.read(reader, 1 << 20)
    assert handler._left_out_lines == 0
    os.close(reader)
    os.close(writer)


def test_lines_about_requests_do_not_displace_lines_about_state() -> None:
    """Guards against a flood whose refusals hide that an upstream left."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    handler, _ = build_handler(writer)
    for number in range(int(MAX_BURST_LINES) + 1):
        handler.emit(build_record(request_id=None if number % 2 else "9c41"))
    for _ in range(int(MAX_STATE_BURST_LINES) + 1):
        handler.emit(build_record())
    lines = [json.loads(line) for line in os.read(reader, 1 << 20).splitlines()]
    written = sum(line["event"] == "x" for line in lines)
    assert written == MAX_BURST_LINES + MAX_STATE_BURST_LINES
    os.close(reader)
    os.close(writer)


def test_lines_left_out_are_counted_by_kind() -> None:
    """Guards against a flood of one refusal that hides another or loses its number."""
    limits = LineLimits(rate=2.0, burst=3.0)
    assert [limits.take("wait-limit", 0.0) for _ in range(10)] == [0] * 3 + [None] * 7
    assert limits.take("unknown-key", 0.0) == 0
    assert limits.take("wait-limit", 0.5) == 7
    assert [limits.take("wait-limit", 60.0) for _ in range(4)] == [0, 0, 0, None]
