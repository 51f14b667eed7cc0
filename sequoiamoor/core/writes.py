"""One conditional write to the table whose answer may be lost."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, TypeAlias


@dataclass(frozen=True, slots=True)
class Put:
    """Write a key if it has the expected version; version 0 means absent."""

    key: str
    value: Any
    expected_version: int


@dataclass(frozen=True, slots=True)
class Get:
    """Read a key."""

    key: str


@dataclass(frozen=True, slots=True)
class Written:
    """The write took effect; the key has this version."""

    version: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """The write took no effect; another value is in the table."""

    version: int
    value: Any


WriteResult: TypeAlias = Written | Rejected


class ConditionalWrite:
    """A conditional write that is settled by reading back.

    The value must contain an identifier that no other write uses: a value that is
    read back and equals this one proves that this write took effect. Repeating the
    write is harmless, because its condition holds only once.
    """

    def __init__(self, key: str, value: Any, *, expected_version: int) -> None:
        self.key = key
        self.value = value
        self.expected_version = expected_version
        self.result: WriteResult | None = None
        self._is_unknown = False

    def next_operation(self) -> Put | Get:
        """Returns the operation that brings the result closer."""
        if self._is_unknown:
            return Get(self.key)
        return Put(self.key, self.value, self.expected_version)

    def take_written(self, version: int) -> None:
        """Takes the answer that the write was made."""
        self.result = Written(version)

    def take_present(self, version: int, value: Any) -> None:
        """Takes what is in the table, from a conflict or from reading back."""
        self._is_unknown = False
        if version != 0 and value == self.value:
            self.result = Written(version)
        elif version != self.expected_version:
            self.result = Rejected(version, value)

    def take_unknown(self) -> None:
        """Notes that an operation was not answered."""
        self._is_unknown = True
