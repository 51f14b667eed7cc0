"""Client of the platform's metadata store."""

from __future__ import annotations

import base64
import binascii
import json
import logging
import math
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any
from urllib.parse import urlencode

import curio
import h11

from ..bounds import INTEGER_LIMIT
from ..core.store_position import StorePosition
from ..errors import (
    HistoryLostError,
    PlatformUnavailableError,
    ProtocolError,
    VersionConflictError,
)
from ..net.http_client import ClientConnection
from ..timeouts import timeout_after
from ..types import Address

_LOG = logging.getLogger(__name__)

BODY_LIMIT_BYTES = 16_777_216

ERA_HEADER = "store-era"

MAX_ERA_DIGITS = 18

MAX_TABLE_READS = 3
"""Reads of a table that are begun in one call because the era changed between pages."""


@dataclass(frozen=True, slots=True)
class Row:
    """One row of a table.

    Attributes:
        value: Bytes of the row; empty if it was removed.
        version: Number of the transaction that wrote the row.
        is_removed: Whether a feed reports that the row was removed.
    """

    table: str
    key: str
    value: bytes
    version: int
    is_removed: bool = False


@dataclass(frozen=True, slots=True)
class Rows:
    """Rows of one answer of the store.

    Attributes:
        version: Newest version of the store when it answered.
        time_ms: Steady clock of the store when it answered, in milliseconds.
        era: Era of the store in which the version counts; 0 if it states none.
    """

    rows: tuple[Row, ...]
    version: int
    time_ms: float
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """Position up to which the rows are complete."""
        return StorePosition(self.era, self.version)


class StoreClient:
    """Client that makes one call at a time on a persistent connection.

    Args:
        address: Address of the store.
        timeout: Seconds until a call without an answer fails, on top of its wait.
        observe: Called after each call with the operation and its result.
        count_call: Called before each call with its table and its kind (``read``,
            ``feed``, ``write`` or ``remove``).

    Attributes:
        timeout: As above.
        era: Era that the last answer of the store stated; 0 if it stated none.
    """

    def __init__(
        self,
        address: Address,
        *,
        timeout: float,
        observe: Callable[[str, str], None] = lambda operation, result: None,
        count_call: Callable[[str, str], None] = lambda table, kind: None,
    ) -> None:
        self._address = address
        self.timeout = timeout
        self.era = 0
        self._observe = observe
        self._count_call = count_call
        self._connection: ClientConnection | None = None

    @property
    def is_connected(self) -> bool:
        """Whether the connection is open."""
        return self._connection is not None

    async def read_table(self, table: str) -> Rows:
        """Reads all rows of a table; each page is a consistent snapshot.

        Returns:
            The rows with the version of the first page, so that a feed from that
            version reports every change made between the pages.

        Raises:
            PlatformUnavailableError: If the store did not answer.
        """
        for _ in range(MAX_TABLE_READS):
            rows = await self._read_pages(table)
            if rows is not None:
                return rows
        raise PlatformUnavailableError(
            f"the era of the store changed during each of {MAX_TABLE_READS} reads of "
            f"table {table}"
        )

    async def _read_pages(self, table: str) -> Rows | None:
        """Reads all pages; returns None if they are not of the same era."""
        rows: list[Row] = []
        first_page: Rows | None = None
        next_key = ""
        while True:
            query = {"table": table, "part": ""}
            if next_key:
                query["source"] = next_key
            self._count_call(table, "read")
            document = await self._call("GET", "/api/rows-get", query)
            page = _decode_rows(document, self.era)
            first_page = first_page or page
            if page.era != first_page.era:
                return None
            rows += page.rows
            if not document.get("hasMore") or not page.rows:
                return replace(first_page, rows=tuple(rows))
            # The smallest key above the last one of this page.
            next_key = page.rows[-1].key + "\0"

    async def follow_table(self, table: str, *, after: int, wait: float) -> Rows:
        """Returns the rows that changed after a version.

        Args:
            table: Name of the table.
            after: Version of the last answer.
            wait: Seconds for which the store may wait for a change.

        Raises:
            HistoryLostError: If the store no longer has the changes after ``after``.
            PlatformUnavailableError: If the store did not answer.
        """
        query = {
            "table": table,
            "after": str(after),
            "waitTimeoutMs": str(int(wait * 1000)),
        }
        self._count_call(table, "feed")
        document = await self._call("GET", "/api/rows-feed", query, wait=wait)
        return _decode_rows(document, self.era)

    async def write_row(
        self, table: str, key: str, value: bytes, *, expected: int | None = None
    ) -> None:
        """Writes one row.

        Args:
            table: Name of the table.
            key: Key of the row.
            value: New value.
            expected: Version that the row must have, 0 if it must be absent; None to
                write unconditionally.

        Raises:
            VersionConflictError: If the row has another version.
            PlatformUnavailableError: If the store did not answer; the row may have
                been written.
        """
        row = {"table": table, "part": "", "key": key}
        condition = [] if expected is None else [{**row, "schemaVersion": expected}]
        encoded = base64.b64encode(value).decode()
        self._count_call(table, "write")
        await self._call(
            "POST",
            "/api/rows-tx",
            {},
            document={
                "expectedRevision": condition,
                "write": [{**row, "value": encoded}],
                "removals": [],
            },
        )

    def read_conflict(self, conflict: VersionConflictError) -> tuple[Row, ...] | None:
        """Returns the present rows that a refused write named; absent ones are missing.

        Returns:
            The rows, or None if the store did not tell them.
        """
        if not isinstance(conflict.value, list):
            return None
        rows = tuple(_decode_row(row) for row in conflict.value)
        known = tuple(row for row in rows if row is not None)
        return known if len(known) == len(rows) else None

    async def remove_row(
        self, table: str, key: str, *, expected: int | None = None
    ) -> None:
        """Removes one row.

        Args:
            table: Name of the table.
            key: Key of the row.
            expected: Version that the row must have; None to remove any.

        Raises:
            VersionConflictError: If the row has another version.
            PlatformUnavailableError: If the store did not answer.
        """
        row = {"table": table, "part": "", "key": key}
        condition = [] if expected is None else [{**row, "schemaVersion": expected}]
        document = {"expectedRevision": condition, "write": [], "removals": [row]}
        self._count_call(table, "remove")
        await self._call("POST", "/api/rows-tx", {}, document=document)

    def abort(self) -> None:
        """Aborts the call in progress, if any, which fails like an unanswered call."""
        # Another thread may close the connection meanwhile.
        connection = self._connection
        if connection is not None:
            connection.abort()

    async def close(self) -> None:
        """Closes the connection."""
        connection, self._connection = self._connection, None
        if connection is not None:
            await connection.close()

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        *,
        document: Any = None,
        wait: float = 0.0,
    ) -> dict[str, Any]:
        operation = path.rpartition("/")[2]
        # A key of another writer may contain a lone surrogate.
        encoded_query = urlencode(query, errors="surrogatepass")
        target = f"{path}?{encoded_query}" if query else path
        body = b"" if document is None else json.dumps(document).encode()
        try:
            async with timeout_after(self.timeout + wait):
                status, era, content = await self._exchange(method, target, body)
        except (OSError, h11.ProtocolError, curio.TaskTimeout) as err:
            self._observe(operation, "no-answer")
            # A late answer must not be taken for the answer to another call.
            await self.close()
            raise PlatformUnavailableError(
                f"the store at {self._address} did not answer {operation}: {err!r}"
            ) from err
        except BaseException:
            await self.close()
            raise
        self._observe(operation, str(status))
        if status in (200, 410, 412):
            self.era = _read_era(operation, era)
        return _read_answer(operation, status, content)

    async def _exchange(
        self, method: str, target: str, body: bytes
    ) -> tuple[int, str | None, bytes]:
        connection = self._connection
        if connection is not None and not connection.is_quiet:
            await self.close()
            connection = None
        if connection is None:
            connection = await ClientConnection.connect(
                self._address, timeout=self.timeout, detects_dead_peer=True
            )
            # The timeout of a call is shorter than the limits of the kernel.
            connection.set_probed(True)
            self._connection = connection
        await connection.send_request(
            method, target, {"content-type": "application/json"}, body
        )
        response = await connection.receive_response()
        content = await connection.receive_body(limit=BODY_LIMIT_BYTES)
        if connection.is_reusable:
            connection.start_next_cycle()
        else:
            await self.close()
        return response.status, response.headers.get(ERA_HEADER), content


def _read_era(operation: str, header: str | None) -> int:
    """Returns the era in a header of an answer; 0 if there is none."""
    if header is None:
        return 0
    # An answer of an unknown era must not be taken for one of the era of a store that
    # states none, which all others supersede.
    text = header.strip()
    if not (text.isascii() and text.isdecimal() and len(text) <= MAX_ERA_DIGITS):
        raise PlatformUnavailableError(
            f"the store answered {operation} with the era {header!r:.40}; it must be a "
            f"number of at most {MAX_ERA_DIGITS} digits"
        )
    return int(text)


def _read_answer(operation: str, status: int, content: bytes) -> dict[str, Any]:
    if status == 410:
        raise HistoryLostError(
            f"the store no longer has the changes asked for by {operation}; read the "
            "whole table"
        )
    if status in (429, 503) or status >= 500:
        raise PlatformUnavailableError(
            f"the store answered {operation} with status {status}"
        )
    try:
        document = json.loads(content)
        if not isinstance(document, dict):
            raise ValueError("not an object")
    except (ValueError, RecursionError) as err:
        raise PlatformUnavailableError(
            f"the store answered {operation} with status {status} and no JSON object"
        ) from err
    if status == 412:
        raise VersionConflictError(
            "the row has another version; read it and try again",
            version=int(document.get("schemaVersion", 0)),
            value=document.get("rows"),
        )
    if status != 200:
        raise ProtocolError(
            f"the store refused {operation} with {status}: {document!s:.300}"
        )
    return document


def _decode_rows(document: dict[str, Any], era: int) -> Rows:
    try:
        version = _read_version(document)
        time_ms = float(document.get("currentTimeMs", 0))
        if not math.isfinite(time_ms):
            raise ValueError(f"currentTimeMs is {time_ms}")
        decoded = [_decode_row(row) for row in list(document["rows"])]
    except (KeyError, TypeError, ValueError, OverflowError) as err:
        raise PlatformUnavailableError(
            f"the store's answer cannot be decoded: {err!r:.300}"
        ) from err
    rows = tuple(row for row in decoded if row is not None)
    if len(rows) != len(decoded):
        _LOG.warning(
            "rows of the store cannot be decoded; skipped",
            extra={"left_out": len(decoded) - len(rows)},
        )
    return Rows(rows, version, time_ms, era)


def _read_version(document: dict[str, Any]) -> int:
    version = document["schemaVersion"]
    if type(version) is not int or not 0 <= version < INTEGER_LIMIT:
        raise ValueError(f"schemaVersion is {version!r:.80}")
    return version


def _decode_row(row: Any) -> Row | None:
    """Returns a row, or None if it is not clear which row it is."""
    try:
        key, version = row["key"], _read_version(row)
    except (KeyError, TypeError, ValueError):
        return None
    if not isinstance(key, str):
        return None
    try:
        value = base64.b64decode(row.get("value") or "", validate=True)
    except (binascii.Error, TypeError, ValueError):
        # Another program wrote the row; its reader reports that it cannot be decoded.
        value = b""
    return Row(
        str(row.get("table", "")), key, value, version, bool(row.get("deleted", False))
    )
