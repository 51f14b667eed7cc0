"""Rows of other writers that name no replica, for the tables of replicas."""

from __future__ import annotations

import json
from typing import Any

ENTRY: dict[str, Any] = {
    "service": "talk",
    "address": "10.128.0.9:8080",
    "zone": "zone-a",
    "version": "v1",
    "slots": 24,
    "state": "ready",
    "coldRemainingMs": 1500,
    "sequence": 4,
    "born": 1_700_000_000_123,
}

ODD_FIELDS: dict[str, dict[str, str]] = {
    "slots": {
        "digits": "9" * 5_000,
        "huge": "1" + "0" * 300,
        "float": "24.0",
        "not a number": "NaN",
        "negative": "-1",
    },
    "coldRemainingMs": {
        "huge": "1" + "0" * 400,
        "infinite": "1e999",
        "not a number": "NaN",
        "text": '"1"',
    },
    "born": {
        "huge": "1" + "0" * 300,
        "negative": "-1",
        "float": "1.5",
        "text": '"now"',
        "flag": "true",
    },
    "address": {
        "port of many digits": f'"10.0.0.9:{"9" * 5_000}"',
        "port out of range": '"10.0.0.9:65536"',
        "port 0": '"10.0.0.9:0"',
        "port with sign": '"10.0.0.9:+80"',
        "port of other digits": '"10.0.0.9:\\u0668\\u0660"',
        "name": '"engine.example:80"',
        "NUL": '"10.0.0.9\\u0000:80"',
        "other alphabet": '"\\u0661.0.0.9:80"',
        "surrogate": '"\\ud800:80"',
        "out of range": '"10.0.0.256:80"',
        "unspecified": '"0.0.0.0:80"',
        "multicast": '"224.0.0.1:80"',
        "scope": '"fe80::1%\\u0000:80"',
        "list": '["10.0.0.9", 80]',
    },
    "service": {
        "surrogate": '"\\ud800"',
        "empty": '""',
        "enormous": f'"{"x" * 100_000}"',
        "object": "{}",
    },
    "zone": {"surrogate": '"\\udfff"', "enormous": f'"{"z" * 100_000}"'},
    "state": {"list": "[]", "surrogate": '"\\ud800"', "unknown": '"resting"'},
    "note": {"nested": "[" * 100_000 + "]" * 100_000},
}

ODD_KEYS = ("i 1", "i-1\r\nX-Tenant: other", "i-\u00e9", "i-\ud800", "i" * 201, "")


def build_row(field: str, text: str) -> bytes:
    """Returns a replica's row in which one field has the given JSON text."""
    rest = json.dumps({name: ENTRY[name] for name in ENTRY if name != field})
    return f'{rest[:-1]}, "{field}": {text}}}'.encode()


ODD_ROWS: dict[str, bytes] = {
    **{
        f"{field}: {kind}": build_row(field, text)
        for field, texts in ODD_FIELDS.items()
        for kind, text in texts.items()
    },
    "no bytes": b"",
    "no text": b"\xff\xfe",
    "number": b"7",
    "digits": b"9" * 5_000,
    "list": b"[]",
    "nested": b"[" * 100_000,
    "nested objects": b'{"a":' * 100_000,
}
