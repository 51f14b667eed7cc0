"""Validation of the fields of a decoded message.

Each function raises ``ProtocolError`` if the value has a wrong type or range.
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
        raise ProtocolError(f"{value!r:.80} is not an integer of at most 62 bits")
    return value


def read_count(value: Any) -> int:
    """Returns an integer that is 0 or more."""
    if type(value) is not int or not 0 <= value < INTEGER_LIMIT:
        raise ProtocolError(
            f"{value!r:.80} is not a count (an integer that is 0 or more)"
        )
    return value


def read_flag(value: Any) -> bool:
    """Returns a boolean, which is sent as 0 or 1."""
    if type(value) is not int or value not in (0, 1):
        raise ProtocolError(f"{value!r:.80} is not 0 or 1")
    return value == 1


def read_text(value: Any) -> str:
    """Returns a name of 1 to ``NAME_LIMIT_CHARACTERS`` characters."""
    if not isinstance(value, str) or not 0 < len(value) <= NAME_LIMIT_CHARACTERS:
        raise ProtocolError(f"{value!r:.80} is not a name")
    return value


def read_rows(value: Any) -> list[Any]:
    """Returns a list of rows, which are not validated yet."""
    if not isinstance(value, list):
        raise ProtocolError(f"{value!r:.80} is not a list")
    return value


def pad_row(fields: Any, required: int, defaults: tuple[Any, ...]) -> list[Any]:
    """Returns a row with the default values of omitted trailing fields added.

    Args:
        fields: The received fields.
        required: Number of fields that must not be omitted.
        defaults: Default values of all other fields.
    """
    if not isinstance(fields, list) or len(fields) < required:
        raise ProtocolError(f"{fields!r:.80} is not a row with the required fields")
    return fields + list(defaults[len(fields) - required :])
