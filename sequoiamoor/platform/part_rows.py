"""Rows of the platform's store with the cases of prompt parts."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Annotated

import xxhash
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..bounds import Count, FiniteNumber, Name, describe_invalid
from ..core.part_cases import (
    MAX_CRASHES_PER_CASE,
    Crash,
    PartCase,
    PartKey,
)
from ..errors import SettingsError
from .callers import MAX_PART_ID_CHARACTERS

PART_TABLE = "prompt_parts"

MAX_ROW_KEY_BYTES = 200
"""Longest key of a row that the store takes."""


class _CrashRow(BaseModel):
    """One end of a process in a row."""

    model_config = ConfigDict(strict=True, frozen=True)

    process: Name
    call: Name
    organisation: Name


class _CaseRow(BaseModel):
    """Fields of a row."""

    model_config = ConfigDict(strict=True, frozen=True)

    service: Name
    part: Annotated[str, Field(min_length=1, max_length=MAX_PART_ID_CHARACTERS)]
    revision: Count
    crashes: Annotated[list[_CrashRow], Field(max_length=MAX_CRASHES_PER_CASE)]
    is_proven: bool
    is_quarantined: bool
    probes: Count
    probe_ms: FiniteNumber
    since_ms: Count
    written_ms: FiniteNumber
    era: Count | None = None


@dataclass(frozen=True, slots=True)
class StoredCase:
    """A case as a router wrote it.

    Attributes:
        case: The case; its ``probe_at`` is not set.
        probe_ms: Time of the store's clock in milliseconds of its next probe.
        written_ms: The same of the write.
        era: Era of the store whose clock this is; None if the row has none.
    """

    case: PartCase
    probe_ms: float
    written_ms: float
    era: int | None = None


def build_row_key(key: PartKey) -> str:
    """Returns the key of the row of a part."""
    text = f"{key.service}/{key.part_id}"
    if len(text.encode()) <= MAX_ROW_KEY_BYTES:
        return text
    return xxhash.xxh128_hexdigest(text.encode())


def encode_case(
    case: PartCase, *, probe_ms: float, written_ms: float, era: int = 0
) -> bytes:
    """Returns the row of a case.

    Args:
        case: The case.
        probe_ms: Time of the store's clock in milliseconds of its next probe.
        written_ms: The same of this write.
        era: Era of the store.
    """
    return json.dumps(
        {
            "service": case.key.service,
            "part": case.key.part_id,
            "revision": case.revision,
            "crashes": [
                {
                    "process": crash.process,
                    "call": crash.call,
                    "organisation": crash.organisation,
                }
                for crash in sorted(case.crashes)
            ],
            "is_proven": case.is_proven,
            "is_quarantined": case.is_quarantined,
            "probes": case.probes,
            "probe_ms": probe_ms,
            "since_ms": case.since_ms,
            "written_ms": written_ms,
            "era": era,
        }
    ).encode()


def decode_case(row_key: str, value: bytes) -> StoredCase:
    """Decodes the row of a case.

    Raises:
        SettingsError: If it is no row of a case, or has the key of another one.
    """
    subject = f"row of prompt part {row_key!r:.80}"
    try:
        row = _CaseRow.model_validate_json(value)
    except (ValidationError, RecursionError) as err:
        detail = describe_invalid(err) if isinstance(err, ValidationError) else err
        raise SettingsError(
            f"{subject} is invalid: {detail}; remove it or write a valid one"
        ) from err
    key = PartKey(row.service, row.part)
    if build_row_key(key) != row_key:
        raise SettingsError(
            f"{subject} names part {row.part!r} of {row.service!r:.80}; remove it"
        )
    crashes = frozenset(
        Crash(crash.process, crash.call, crash.organisation) for crash in row.crashes
    )
    case = PartCase(
        key,
        row.revision,
        crashes,
        is_proven=row.is_proven,
        is_quarantined=row.is_quarantined,
        probes=row.probes,
        since_ms=row.since_ms,
    )
    return StoredCase(case, row.probe_ms, row.written_ms, row.era)
