"""Logs as JSON lines on standard output, bounded and without waiting."""

from __future__ import annotations

import json
import logging
import os
import sys
import time
from collections.abc import Callable

_FIELDS = (
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

LINES_PER_SECOND = 200.0
"""Lines below the level of a warning that are written in a second."""

LINES_BURST = 400.0
"""Lines that may be written at once after a quiet time."""

BUFFER_BYTES = 262_144
"""Lines that wait for a reader of the output; beyond that they are left out."""


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object."""

    def format(self, record: logging.LogRecord) -> str:
        """Returns the line for a record."""
        document: dict[str, object] = {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "event": record.getMessage(),
        }
        for name in _FIELDS:
            if (value := getattr(record, name, None)) is not None:
                document[name] = value
        if record.exc_info:
            document["exception"] = self.formatException(record.exc_info)
        return json.dumps(document)


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor, never waiting for it.

    Lines over the rate, and lines that the reader does not take, are left out; their
    number is told with the next line that is written.
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
        self._tokens = LINES_BURST
        self._filled_at = read_time()
        self._buffer = bytearray()
        self._left_out = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record, or leaves it out."""
        try:
            if not self._may_write(record):
                self._left_out += 1
                return
            if self._left_out:
                self._add(self._build_count(record))
                self._left_out = 0
            self._add(record)
            self._flush_buffer()
        except Exception:
            self.handleError(record)

    def _may_write(self, record: logging.LogRecord) -> bool:
        if len(self._buffer) > BUFFER_BYTES:
            self._flush_buffer()
            if len(self._buffer) > BUFFER_BYTES:
                return False
        now = self._read_time()
        gained = (now - self._filled_at) * LINES_PER_SECOND
        self._tokens = min(LINES_BURST, self._tokens + gained)
        self._filled_at = now
        if self._tokens < 1:
            return record.levelno >= logging.WARNING
        self._tokens -= 1
        return True

    def _build_count(self, record: logging.LogRecord) -> logging.LogRecord:
        count = logging.LogRecord(
            __name__, logging.WARNING, "", 0, "lines left out", None, None
        )
        count.created = record.created
        count.left_out = self._left_out
        return count

    def _add(self, record: logging.LogRecord) -> None:
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
    # No line names threads, processes or the caller's source, and looking them up takes
    # longer than the rest of a record.
    logging.logThreads = logging.logProcesses = logging.logMultiprocessing = False
    logging._srcfile = None
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    handler = BoundedHandler(descriptor)
    handler.setFormatter(JsonFormatter())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    # Its warnings tell that a timeout was some milliseconds late, which is no decision.
    logging.getLogger("curio").setLevel(logging.ERROR)
