"""Rows of the store that cannot be used, so that each is logged once."""

from __future__ import annotations

from collections.abc import Collection

from ..platform.store import Row

ROWS_LIMIT = 1_000
"""Invalid rows that are remembered; further ones are not logged."""


class InvalidRows:
    """Remembers rows that were reported until they are valid or removed."""

    def __init__(self) -> None:
        self._reported: set[tuple[str, str]] = set()

    def add(self, row: Row) -> bool:
        """Adds a row that cannot be used; returns whether to report it."""
        entry = (row.table, row.key)
        if entry in self._reported or len(self._reported) >= ROWS_LIMIT:
            return False
        self._reported.add(entry)
        return True

    def discard(self, row: Row) -> None:
        """Forgets a row that is valid or was removed."""
        self._reported.discard((row.table, row.key))

    def keep_only(self, table: str, keys: Collection[str]) -> None:
        """Forgets the rows of a table that are not in it any more."""
        self._reported = {
            entry for entry in self._reported if entry[0] != table or entry[1] in keys
        }
