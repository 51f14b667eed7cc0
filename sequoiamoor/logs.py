"""Logs as JSON lines."""

from __future__ import annotations

import json
import logging
import sys

_FIELDS = (
    "route",
    "detail",
    "status",
    "attempts",
    "first_ms",
    "total_ms",
    "elapsed_ms",
    "table",
    "events",
    "output_tokens",
    "prompt_tokens",
    "router_id",
    "request_id",
    "call_id",
    "organisation",
    "service",
    "upstream",
    "reason",
    "version",
    "peer",
)


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


def configure_logs(level: str) -> None:
    """Sends all logs to standard error as JSON lines."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
