"""Configuration changes: compare-and-set, version history and differences."""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from .writes import ConditionalWrite, Rejected, WriteResult, Written

CONFIGURATION_KEY = "configuration"
_ABSENT = object()


def history_key(version: int) -> str:
    """Returns the key of the history entry of a version."""
    return f"{CONFIGURATION_KEY}/{version}"


@dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """A change of the configuration by one operator.

    The value at a version is copied to its history entry before that version is
    replaced. Every accepted version is therefore either the current one or in the
    history, even if an operator's command ends halfway, and an entry never holds a
    document that was not accepted.

    Attributes:
        document: The new document.
        change_id: Identifier that is unique among all changes.
        expected_version: Version that the change replaces; 0 if there is none.
    """

    document: Any
    change_id: str
    expected_version: int

    @property
    def value(self) -> dict[str, Any]:
        """The value that the table holds if the change is accepted."""
        return {"document": self.document, "change_id": self.change_id}

    @property
    def version(self) -> int:
        """The version that the change has if it is accepted."""
        return self.expected_version + 1

    def build_write(self) -> ConditionalWrite:
        """Returns the compare-and-set write that makes the change."""
        return ConditionalWrite(
            CONFIGURATION_KEY, self.value, expected_version=self.expected_version
        )

    def is_accepted(self, result: WriteResult, entry: Any) -> bool:
        """Returns whether the change was accepted.

        Args:
            result: Result of the compare-and-set.
            entry: History entry of the change's version, or None. It is decisive if
                the answer was lost and another change has replaced this one since.
        """
        if isinstance(result, Written):
            return True
        return isinstance(entry, Mapping) and entry.get("change_id") == self.change_id


def needs_history_entry(change: ConfigurationChange, result: WriteResult) -> bool:
    """Returns whether the history entry is needed to tell if a change was accepted."""
    return isinstance(result, Rejected) and result.version > change.version


def build_history_write(version: int, value: Any) -> ConditionalWrite:
    """Returns the write that copies an accepted version to the history."""
    return ConditionalWrite(history_key(version), value, expected_version=0)


def list_differences(old: Any, new: Any) -> list[str]:
    """Returns one line per difference between two documents, in order of paths."""
    return list(_iterate_differences(old, new, ""))


def _iterate_differences(old: Any, new: Any, path: str) -> Iterator[str]:
    if old == new:
        return
    if isinstance(old, Mapping) and isinstance(new, Mapping):
        for name in sorted({*old, *new}):
            child_path = f"{path}.{name}" if path else str(name)
            yield from _iterate_differences(
                old.get(name, _ABSENT), new.get(name, _ABSENT), child_path
            )
    elif old is _ABSENT:
        yield f"+ {path}: {json.dumps(new, sort_keys=True)}"
    elif new is _ABSENT:
        yield f"- {path}: {json.dumps(old, sort_keys=True)}"
    else:
        shown_path = path or "(whole document)"
        yield f"~ {shown_path}: {json.dumps(old)} -> {json.dumps(new)}"
