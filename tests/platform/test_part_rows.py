"""Tests of the rows of prompt parts in the store."""

from __future__ import annotations

import json
from typing import Any

import pytest

from sequoiamoor.core.part_cases import Crash, PartCase, PartKey
from sequoiamoor.errors import SettingsError
from sequoiamoor.platform.part_rows import (
    MAX_ROW_KEY_BYTES,
    build_row_key,
    decode_case,
    encode_case,
)

CASE = PartCase(
    PartKey("talk", "bb00"),
    2,
    frozenset([Crash("i-1/7", "router-0/1/5", "captains")]),
    is_quarantined=True,
    probes=1,
    since_ms=1_700_000_000_000,
)
ROW_KEY = build_row_key(CASE.key)


def test_case_is_read_as_it_was_written() -> None:
    """Guards against a router that starts and reads another state from the store."""
    stored = decode_case(ROW_KEY, encode_case(CASE, probe_ms=9.5, written_ms=4.5))
    assert (stored.case, stored.probe_ms, stored.written_ms) == (CASE, 9.5, 4.5)


@pytest.mark.parametrize(
    "changes",
    [
        {"part": "cc"},
        {"part": ""},
        {"part": "f" * 65},
        {"service": None},
        {"revision": -1},
        {"revision": "2"},
        {"crashes": "none"},
        {"crashes": [{"process": "i-1"}]},
        {"crashes": [{"process": "i", "call": "r", "organisation": "a"}] * 9},
        {"is_quarantined": 1},
        {"probe_ms": None},
        {"probe_ms": "soon"},
        {"since_ms": 1 << 70},
    ],
)
def test_odd_rows_are_refused_with_a_remedy(changes: dict[str, Any]) -> None:
    """Guards against a row of another writer that refuses requests or ends a task."""
    document = json.loads(encode_case(CASE, probe_ms=9.5, written_ms=4.5))
    with pytest.raises(SettingsError, match="remove it"):
        decode_case(ROW_KEY, json.dumps(document | changes).encode())
    for value in (b"", b"[]", b"\xff", b"[" * 100_000):
        with pytest.raises(SettingsError):
            decode_case(ROW_KEY, value)


def test_row_keys_fit_the_store() -> None:
    """Guards against rows that the store does not take."""
    keys = {build_row_key(PartKey("s" * 200, f"{n:x}")) for n in range(50)}
    assert len(keys) == 50
    assert all(len(key.encode()) <= MAX_ROW_KEY_BYTES for key in keys)
