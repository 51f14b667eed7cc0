"""Tests of logs under load and without a reader."""

from __future__ import annotations

import json
import logging
import os

from sequoiamoor.logs import (
    BUFFER_BYTES,
    LINES_BURST,
    LINES_PER_SECOND,
    BoundedHandler,
    JsonFormatter,
)


def build_record(level: int = logging.INFO, size: int = 1) -> logging.LogRecord:
    return logging.LogRecord("x", level, "", 0, "x" * size, None, None)


def build_handler(descriptor: int) -> tuple[BoundedHandler, list[float]]:
    now = [0.0]
    handler = BoundedHandler(descriptor, read_time=lambda: now[0])
    handler.setFormatter(JsonFormatter())
    return handler, now


def test_lines_over_the_rate_are_left_out_and_counted() -> None:
    """Guards against a flood of requests that becomes a flood of lines."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    handler, now = build_handler(writer)
    for _ in range(int(LINES_BURST) + 30):
        handler.emit(build_record())
    handler.emit(build_record(logging.WARNING))
    now[0] = 1.0
    for _ in range(int(LINES_PER_SECOND) - 10):
        handler.emit(build_record())
    lines = [json.loads(one) for one in os.read(reader, 1 << 20).splitlines()]
    counts = [one["left_out"] for one in lines if one["event"] == "lines left out"]
    assert counts == [30]
    assert sum(one["level"] == "info" for one in lines) == 400 + 190
    assert sum(one["event"] == "x" for one in lines) == 400 + 1 + 190
    os.close(reader)
    os.close(writer)


def test_output_that_nobody_reads_never_holds_up_the_loop() -> None:
    """Guards against a router that stands still because its log is not read."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    handler, _ = build_handler(writer)
    size = 10_000
    for _ in range(100):
        handler.emit(build_record(logging.WARNING, size))
    assert len(handler._buffer) <= BUFFER_BYTES + 2 * size
    os.read(reader, 1 << 20)
    while handler._buffer:
        handler.emit(build_record(logging.WARNING))
        os.read(reader, 1 << 20)
    assert handler._left_out == 0
    os.close(reader)
    os.close(writer)
