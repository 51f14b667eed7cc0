"""Checks of the fields of a decoded message.

Each function raises ``ProtocolError`` if the value is not what it should be.
"""

from __future__ import annotations

from typing import Any

from ..errors import ProtocolError
from .wire import (
    INTEGER_LIMIT,
    NAME_LIMIT_CHARACTERS,
)


def read_port(value: Any) -> int:
    """Returns a TCP port."""
    if not 0 < read_count(value) <= 65_535:
        raise ProtocolError(f"port {value} is not between 1 and 65535")
    return read_count(value)


def read_integer(value: Any) -> int:
    """Returns an integer, which may be negative."""
    if type(value) is not int or not -INTEGER_LIMIT < value < INTEGER_LIMIT:
        raise ProtocolError(f"{value!r:.80} is not an integer of 62 bits")
    return value


def read_count(value: Any) -> int:
    """Returns an integer that is 0 or more."""
    if type(value) is not int or not 0 <= value < INTEGER_LIMIT:
        raise ProtocolError(f"{value!r:.80} is not a count")
    return value


def read_flag(value: Any) -> bool:
    """Returns a truth value."""
    if type(value) is not int or value not in (0, 1):
        raise ProtocolError(f"{value!r:.80} is not 0 or 1")
    return value == 1


def read_text(value: Any) -> str:
    """Returns a name that is not empty."""
    if not isinstance(value, str) or not 0 < len(value) <= NAME_LIMIT_CHARACTERS:
        raise ProtocolError(f"{value!r:.80} is not a name")
    return value


def read_rows(value: Any) -> list[Any]:
    """Returns a list of rows that are not checked yet."""
    if not isinstance(value, list):
        raise ProtocolError(f"{value!r:.80} is not a list")
    return value


def pad_row(fields: Any, required: int, defaults: tuple[Any, ...]) -> list[Any]:
    """Returns a row with the fields that were left out at its end."""
    if not isinstance(fields, list) or len(fields) < required:
        raise ProtocolError(f"{fields!r:.80} is not a row")
    return fields + list(defaults[len(fields) - required :])
