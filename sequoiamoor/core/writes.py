"""Conditional writes to the platform's table, settled even if answers are lost."""

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
    """The write took effect; the key now has this version."""

    version: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """The write took no effect because the table holds another value.

    Attributes:
        version: Version of the key in the table.
        value: Value of the key in the table.
    """

    version: int
    value: Any


WriteResult: TypeAlias = Written | Rejected


class ConditionalWrite:
    """A conditional write whose result is determined by reading the key back.

    The value must contain an identifier that no other write uses: if the value that
    is read back equals this one, this write took effect. The write can be repeated
    safely, because its condition holds only once.

    Attributes:
        result: Result of the write; None until it is known.
    """

    def __init__(self, key: str, value: Any, *, expected_version: int) -> None:
        self.key = key
        self.value = value
        self.expected_version = expected_version
        self.result: WriteResult | None = None
        self._is_effect_unknown = False

    def next_operation(self) -> Put | Get:
        """Returns the operation to execute next while the result is not known.

        After an unanswered operation this is a read, otherwise the write itself.
        """
        if self._is_effect_unknown:
            return Get(self.key)
        return Put(self.key, self.value, self.expected_version)

    def handle_written(self, version: int) -> None:
        """Handles the answer that the write took effect."""
        self.result = Written(version)

    def handle_stored_value(self, version: int, value: Any) -> None:
        """Handles the version and value in the table, after a conflict or a read.

        The result stays unknown, and the write is repeated, if the key still has the
        expected version.
        """
        self._is_effect_unknown = False
        if version != 0 and value == self.value:
            self.result = Written(version)
        elif version != self.expected_version:
            self.result = Rejected(version, value)

    def handle_no_answer(self) -> None:
        """Handles an operation that was not answered; its effect is unknown."""
        self._is_effect_unknown = True
