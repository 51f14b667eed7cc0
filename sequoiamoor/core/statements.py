"""What replicas say in their answers about the requests that they want."""

from __future__ import annotations

from dataclasses import dataclass

MAX_HOLD_SECONDS = 300.0
"""Longest time that a replica may ask for; a longer one is taken for a mistake."""

DEFAULT_HOLD_SECONDS = 2.0
"""Time without requests if the replica asks for one that cannot be used."""


@dataclass(frozen=True, slots=True)
class Statement:
    """What one answer says about the requests that its replica wants.

    Attributes:
        is_leaving: Whether the replica leaves and wants no new requests.
        hold: Seconds for which it wants no requests from this router; None if it asks
            for no such time.
        unusable_hold: Text of a time that cannot be used, in place of which ``hold`` is
            ``DEFAULT_HOLD_SECONDS``; None if there is none.
    """

    is_leaving: bool = False
    hold: float | None = None
    unusable_hold: str | None = None


def build_statement(
    *, is_leaving: bool, hold: float | None, hold_text: str
) -> Statement:
    """Returns a statement whose hold is within its bounds.

    Args:
        is_leaving: Whether the replica leaves.
        hold: Seconds that the replica asks for, or NaN if they cannot be read.
        hold_text: How the replica wrote them, for the log.
    """
    if hold is None or 0.0 <= hold <= MAX_HOLD_SECONDS:
        return Statement(is_leaving, hold)
    return Statement(is_leaving, DEFAULT_HOLD_SECONDS, hold_text)
