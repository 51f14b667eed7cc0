"""Reading and changing of the configuration in the platform's table."""

from __future__ import annotations

import contextlib
import secrets
import time
from dataclasses import dataclass
from random import Random
from typing import Any

import curio

from ..core.changes import (
    CONFIGURATION_KEY,
    ConfigurationChange,
    build_history_write,
    history_key,
    list_differences,
    needs_history_entry,
)
from ..core.writes import Rejected, WriteResult
from ..declaration import parse_declaration
from ..errors import (
    ChangeConflictError,
    ChangeUnknownError,
    PlatformUnavailableError,
    VersionUnknownError,
)
from ..net.platform import PlatformClient, TableEntry
from ..net.table import complete_write, read_with_retries
from ..timeouts import timeout_after
from ..types import Address

OPERATION_TIMEOUT_SECONDS = 3.0
WRITE_TIMEOUT_SECONDS = 20.0
READ_TIMEOUT_SECONDS = 6.0


def make_change_id() -> str:
    """Returns a unique identifier of a change, which begins with the current time."""
    created_at = time.strftime("%Y%m%dT%H%M%SZ", time.gmtime())
    return f"{created_at}-{secrets.token_hex(8)}"


def to_document(entry: TableEntry) -> Any:
    """Returns the document of a configuration or history entry, or None without one."""
    return entry.value.get("document") if isinstance(entry.value, dict) else None


@dataclass(frozen=True, slots=True)
class HistoryRow:
    """One version in the history, with its differences from the previous one."""

    version: int
    change_id: str | None
    differences: list[str]


class ConfigurationStore:
    """The configuration and its history in the platform's table."""

    def __init__(self, address: Address) -> None:
        self._platform = PlatformClient(address, timeout=OPERATION_TIMEOUT_SECONDS)
        self._rng = Random()

    async def read(self, version: int | None = None) -> TableEntry:
        """Reads the current configuration, or an earlier version.

        Raises:
            VersionUnknownError: If the history does not contain the version.
            PlatformUnavailableError: If the platform does not answer.
        """
        current = await self._read(CONFIGURATION_KEY)
        if version is None or version == current.version:
            return current
        entry = await self._read(history_key(version))
        if entry.version == 0:
            raise VersionUnknownError(
                f"version {version} is not in the history; the current version is "
                f"{current.version}, 'sequoiamoor config history' lists the others"
            )
        return TableEntry(version, entry.value)

    async def _read(self, key: str) -> TableEntry:
        return await read_with_retries(
            lambda: self._platform.read(key),
            timeout=READ_TIMEOUT_SECONDS,
            rng=self._rng,
        )

    async def put(self, change: ConfigurationChange) -> int:
        """Changes the configuration.

        Returns:
            The version of the accepted change.

        Raises:
            SettingsError: If the document is not a valid declaration.
            ChangeConflictError: If another version is current.
            ChangeUnknownError: If it is not known in time whether the change was
                accepted.
            PlatformUnavailableError: If the platform does not answer; nothing was
                changed.
        """
        parse_declaration(change.document)
        current = await self._read(CONFIGURATION_KEY)
        if current.version != change.expected_version:
            raise self._build_conflict(change, current)
        if current.version:
            await self._write_history_entry(current)
        try:
            async with timeout_after(WRITE_TIMEOUT_SECONDS):
                result = await complete_write(
                    self._platform, change.build_write(), rng=self._rng
                )
                is_accepted = await self._check_accepted(change, result)
        except (curio.TaskTimeout, PlatformUnavailableError) as err:
            raise ChangeUnknownError(
                f"the platform did not confirm whether change {change.change_id!r} was "
                "accepted; look for it with 'sequoiamoor config history' before "
                "trying again"
            ) from err
        if not is_accepted:
            assert isinstance(result, Rejected)
            raise self._build_conflict(change, TableEntry(result.version, result.value))
        # If this fails, the next change writes the entry before it replaces this
        # version.
        with contextlib.suppress(PlatformUnavailableError):
            await self._write_history_entry(TableEntry(change.version, change.value))
        return change.version

    async def _check_accepted(
        self, change: ConfigurationChange, result: WriteResult
    ) -> bool:
        entry = None
        if needs_history_entry(change, result):
            entry = (await self._read(history_key(change.version))).value
        return change.is_accepted(result, entry)

    async def _write_history_entry(self, entry: TableEntry) -> None:
        write = build_history_write(entry.version, entry.value)
        try:
            async with timeout_after(WRITE_TIMEOUT_SECONDS):
                await complete_write(self._platform, write, rng=self._rng)
        except curio.TaskTimeout as err:
            raise PlatformUnavailableError(
                f"the history entry of version {entry.version} cannot be written; "
                "try again later"
            ) from err

    def _build_conflict(
        self, change: ConfigurationChange, current: TableEntry
    ) -> ChangeConflictError:
        differences = list_differences(to_document(current), change.document)
        text = "\n".join(f"  {line}" for line in differences) or "  (none)"
        return ChangeConflictError(
            f"the current version is {current.version}, not "
            f"{change.expected_version}; nothing was changed\n"
            f"differences from version {current.version} to your document:\n{text}\n"
            "merge them into your file and put it with --expect "
            f"{current.version}"
        )

    async def list_history(self, count: int) -> list[HistoryRow]:
        """Returns the last ``count`` versions, the current one first."""
        entry = await self._read(CONFIGURATION_KEY)
        rows: list[HistoryRow] = []
        while entry.version > 0 and len(rows) < count:
            previous = TableEntry(entry.version - 1, None)
            if previous.version:
                history_entry = await self._read(history_key(previous.version))
                previous = TableEntry(previous.version, history_entry.value)
            change_id = None
            if isinstance(entry.value, dict):
                change_id = entry.value.get("change_id")
            differences = list_differences(
                to_document(previous) or {}, to_document(entry) or {}
            )
            rows.append(HistoryRow(entry.version, change_id, differences))
            entry = previous
        return rows
