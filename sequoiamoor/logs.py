"""Log output as JSON lines, limited in rate and written without blocking."""

from __future__ import annotations

import json
import logging
import os
import sys
import time
from collections import Counter
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
    "zone",
    "part",
    "parts",
    "reason",
    "detail",
    "error",
    "status",
    "version",
    "key_age_ms",
    "attempts",
    "table",
    "era",
    "first_ms",
    "total_ms",
    "waited_ms",
    "to_send_ms",
    "view_age_ms",
    "elapsed_ms",
    "lag_ms",
    "idle_ms",
    "unread_bytes",
    "unacknowledged_bytes",
    "connection",
    "hold_ms",
    "events",
    "pause_ms",
    "prompt_tokens",
    "output_tokens",
    "left_out",
    "choices",
    "queued",
    "held_back",
    "organisations",
)

MAX_LINES_PER_SECOND = 200.0
"""Sustained rate of lines about requests; warnings and errors are written beyond it."""

MAX_BURST_LINES = 400.0
"""Lines about requests that may be written at once after a time with few of them."""

MAX_STATE_LINES_PER_SECOND = 50.0
"""Sustained rate of the other lines, which tell what the router knows or does. They
have a limit of their own, so that a flood of requests does not displace them."""

MAX_STATE_BURST_LINES = 400.0
"""Other lines that may be written at once after a time with few of them."""

SUMMARY_INTERVAL_SECONDS = 1.0
"""Shortest time between two lines that count the lines left out."""

MAX_SUMMARY_EVENTS = 8
"""Events that such a line names, those with the most lines first."""

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


class _Allowance:
    """Number of lines that may be written now, refilled at a constant rate."""

    def __init__(self, *, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = self._available = burst
        self._refilled_at = now

    def take(self, now: float) -> bool:
        """Takes one line; returns whether one was left."""
        refill = (now - self._refilled_at) * self._rate
        self._available = min(self._burst, self._available + refill)
        self._refilled_at = now
        if self._available < 1:
            return False
        self._available -= 1
        return True


class LineLimits:
    """Limits lines of several kinds before they are built.

    The kinds do not displace each other, and each line can tell how many of its kind
    were left out before it.
    """

    def __init__(self, *, rate: float, burst: float) -> None:
        """Initialises the limits.

        Args:
            rate: Sustained number of lines of a kind per second.
            burst: Lines of a kind that may be written at once.
        """
        self._rate = rate
        self._burst = burst
        self._allowances: dict[str, _Allowance] = {}
        self._left_out: Counter[str] = Counter()

    def take(self, kind: str, now: float) -> int | None:
        """Takes a line.

        Args:
            kind: One of a bounded number of kinds.
            now: Monotonic time in seconds.

        Returns:
            Number of lines of the kind that were left out since its last line, or None
            if this one is left out.
        """
        allowance = self._allowances.get(kind)
        if allowance is None:
            allowance = _Allowance(rate=self._rate, burst=self._burst, now=now)
            self._allowances[kind] = allowance
        if not allowance.take(now):
            self._left_out[kind] += 1
            return None
        return self._left_out.pop(kind, 0)


class BoundedHandler(logging.Handler):
    """Writes lines to a non-blocking file descriptor.

    Lines above the rate limit of their kind, and lines for which the buffer is full
    because nobody reads the output, are left out. Their number by event is logged
    before a later line, at most once in ``SUMMARY_INTERVAL_SECONDS``. Lines with a
    request identifier are about requests.
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
        now = read_time()
        self._request_lines = _Allowance(
            rate=MAX_LINES_PER_SECOND, burst=MAX_BURST_LINES, now=now
        )
        self._state_lines = _Allowance(
            rate=MAX_STATE_LINES_PER_SECOND, burst=MAX_STATE_BURST_LINES, now=now
        )
        self._buffer = bytearray()
        self._left_out_lines = 0
        self._left_out_by_event: Counter[str] = Counter()
        self._summarised_at = float("-inf")

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record, or leaves it out if a limit is reached."""
        try:
            if not self._may_write(record):
                self._left_out_lines += 1
                self._left_out_by_event[record.getMessage()] += 1
                return
            self._summarise_left_out(record)
            self._append_line(record)
            self._flush_buffer()
        except Exception:
            self.handleError(record)

    def _may_write(self, record: logging.LogRecord) -> bool:
        if len(self._buffer) > MAX_BUFFER_BYTES:
            self._flush_buffer()
            if len(self._buffer) > MAX_BUFFER_BYTES:
                return False
        # A refusal of a request that could not be parsed has the identifier None.
        is_about_request = hasattr(record, "request_id")
        allowance = self._request_lines if is_about_request else self._state_lines
        return allowance.take(self._read_time()) or record.levelno >= logging.WARNING

    def _summarise_left_out(self, record: logging.LogRecord) -> None:
        now = self._read_time()
        if (
            not self._left_out_lines
            or now - self._summarised_at < SUMMARY_INTERVAL_SECONDS
        ):
            return
        self._summarised_at = now
        summary = logging.LogRecord(
            __name__, logging.WARNING, "", 0, "lines left out", None, None
        )
        summary.created = record.created
        summary.left_out = self._left_out_lines
        summary.detail = ", ".join(
            f"{event}: {count}"
            for event, count in self._left_out_by_event.most_common(MAX_SUMMARY_EVENTS)
        )
        self._left_out_lines = 0
        self._left_out_by_event.clear()
        self._append_line(summary)

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
