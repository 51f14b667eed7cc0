"""Changes of the configuration: compare-and-set, history, differences."""

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
    replaced. So every accepted version is either the current one or in the history,
    wherever an operator's command ends, and an entry never holds a document that
    was not accepted.

    Attributes:
        document: The new document.
        change_id: Identifier that no other change has.
        expected_version: Version that the change replaces; 0 for none.
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
        """Returns the compare-and-set."""
        return ConditionalWrite(
            CONFIGURATION_KEY, self.value, expected_version=self.expected_version
        )

    def is_accepted(self, result: WriteResult, entry: Any) -> bool:
        """Returns whether the change was accepted.

        Args:
            result: Result of the compare-and-set.
            entry: History entry of the change's version, or None. It decides if
                another change has replaced this one while its answer was lost.
        """
        if isinstance(result, Written):
            return True
        return isinstance(entry, Mapping) and entry.get("change_id") == self.change_id


def needs_history_entry(change: ConfigurationChange, result: WriteResult) -> bool:
    """Returns whether only the history entry tells if the change was accepted."""
    return isinstance(result, Rejected) and result.version > change.version


def preserve_version(version: int, value: Any) -> ConditionalWrite:
    """Returns the write that copies an accepted version to the history."""
    return ConditionalWrite(history_key(version), value, expected_version=0)


def list_differences(old: Any, new: Any) -> list[str]:
    """Returns one line per difference of two documents, in the order of paths."""
    return list(_compare(old, new, ""))


def _compare(old: Any, new: Any, path: str) -> Iterator[str]:
    if old == new:
        return
    if isinstance(old, Mapping) and isinstance(new, Mapping):
        for name in sorted({*old, *new}):
            place = f"{path}.{name}" if path else str(name)
            yield from _compare(old.get(name, _ABSENT), new.get(name, _ABSENT), place)
    elif old is _ABSENT:
        yield f"+ {path}: {json.dumps(new, sort_keys=True)}"
    elif new is _ABSENT:
        yield f"- {path}: {json.dumps(old, sort_keys=True)}"
    else:
        place = path or "(whole document)"
        yield f"~ {place}: {json.dumps(old)} -> {json.dumps(new)}"
