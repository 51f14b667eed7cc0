"""Log output as JSON lines, limited in rate and written without blocking."""

from __future__ import annotations

import json
import logging
import os
import sys
import time
from collections.abc import Callable

_LOG_KEYS = (
    "router_id",
    "request_id",
    "call_id",
    "organisation",
    "service",
    "route",
    "upstream",
    "peer",
    "reason",
    "detail",
    "status",
    "version",
    "key_age_ms",
    "attempts",
    "table",
    "first_ms",
    "total_ms",
    "waited_ms",
    "elapsed_ms",
    "events",
    "pause_ms",
    "prompt_tokens",
    "output_tokens",
    "left_out",
)

MAX_LINES_PER_SECOND = 200.0
"""Sustained rate of lines; warnings and errors are written beyond it."""

MAX_BURST_LINES = 400.0
"""Lines that may be written at once after a time with few lines."""

MAX_BUFFER_BYTES = 262_144
"""Buffered output above which new lines are left out until it is read."""


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object on one line."""

    def format(self, record: logging.LogRecord) -> str:
        """Returns the line for a record."""
        document: dict[str, object] = {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "event": record.getMessage(),
        }
        for name in _LOG_KEYS:
            if (value := getattr(record, name, None)) is not None:
                document[name] = value
        if record.exc_info:
            document["exception"] = self.formatException(record.exc_info)
        return json.dumps(document)


class BoundedHandler(logging.Handler):
    """Writes lines to a non-blocking file descriptor.

    Lines above the rate limit, and lines for which the buffer is full because nobody
    reads the output, are left out. Their number is logged before the next line.
    """

    def __init__(
        self,
        descriptor: int,
        *,
        read_time: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._read_time = read_time
        self._available_lines = MAX_BURST_LINES
        self._refilled_at = read_time()
        self._buffer = bytearray()
        self._left_out_lines = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record, or leaves it out if a limit is reached."""
        try:
            if not self._may_write(record):
                self._left_out_lines += 1
                return
            if self._left_out_lines:
                self._append_line(self._build_left_out_record(record))
                self._left_out_lines = 0
            self._append_line(record)
            self._flush_buffer()
        except Exception:
            self.handleError(record)

    def _may_write(self, record: logging.LogRecord) -> bool:
        if len(self._buffer) > MAX_BUFFER_BYTES:
            self._flush_buffer()
            if len(self._buffer) > MAX_BUFFER_BYTES:
                return False
        now = self._read_time()
        refill = (now - self._refilled_at) * MAX_LINES_PER_SECOND
        self._available_lines = min(MAX_BURST_LINES, self._available_lines + refill)
        self._refilled_at = now
        if self._available_lines < 1:
            return record.levelno >= logging.WARNING
        self._available_lines -= 1
        return True

    def _build_left_out_record(self, record: logging.LogRecord) -> logging.LogRecord:
        summary = logging.LogRecord(
            __name__, logging.WARNING, "", 0, "lines left out", None, None
        )
        summary.created = record.created
        summary.left_out = self._left_out_lines
        return summary

    def _append_line(self, record: logging.LogRecord) -> None:
        self._buffer += self.format(record).encode() + b"\n"

    def _flush_buffer(self) -> None:
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            del self._buffer[:written]


def configure_logs(level: str) -> None:
    """Sends all logs to standard output as JSON lines."""
    # No line contains threads, processes or source locations, and looking them up takes
    # longer than the rest of a record.
    logging.logThreads = logging.logProcesses = logging.logMultiprocessing = False
    logging._srcfile = None
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    handler = BoundedHandler(descriptor)
    handler.setFormatter(JsonFormatter())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    # curio warns of timeouts that fire some milliseconds late, which needs no action.
    logging.getLogger("curio").setLevel(logging.ERROR)
