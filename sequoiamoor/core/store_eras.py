"""Decisions on answers of a store that was restored from an older copy."""

from __future__ import annotations

import math
from dataclasses import dataclass

from .store_position import StorePosition

ENTRY_GRACE_SECONDS = 5.0
"""Time for which an entry that the first full read of an era lacks stays in force.

The operators write again what the copy lacks. Until they have, its absence does not
tell that they removed it.
"""


@dataclass(frozen=True, slots=True)
class EraAnswer:
    """How an answer relates to the ones before it.

    Attributes:
        is_outdated: Whether it is of an older era and must not be applied.
        is_first_read: Whether it is the first full read of a new era.
        missing_until: Monotonic time in seconds until which an entry that is missing
            from it stays in force; minus infinity if it ends at once.
    """

    is_outdated: bool = False
    is_first_read: bool = False
    missing_until: float = -math.inf


def judge_answer(
    previous: StorePosition | None,
    answer: StorePosition,
    *,
    is_full_table: bool,
    now: float,
) -> EraAnswer:
    """Relates an answer about a table to the last one that was applied.

    Args:
        previous: Position of the last answer that was applied; None for none.
        answer: Position of the answer.
        is_full_table: Whether the answer has all rows of the table.
        now: Monotonic time in seconds.
    """
    if previous is None:
        return EraAnswer()
    if answer.era < previous.era:
        return EraAnswer(is_outdated=True)
    if answer.era == previous.era or not is_full_table:
        return EraAnswer()
    return EraAnswer(is_first_read=True, missing_until=now + ENTRY_GRACE_SECONDS)


@dataclass(slots=True)
class StoredConfiguration:
    """Highest version of the configuration that the store had in its present era.

    The configuration in force may be of an earlier era, and the store's copy of it
    older. Then a later one may have been lost as well, which took a key away; the
    answers of the store do not tell that the keys in force are the newest ones.
    """

    era: int = 0
    version: int = 0

    def record(self, era: int, version: int) -> None:
        """Records a version that the store had in an era; an older era is ignored."""
        if era > self.era:
            self.era, self.version = era, 0
        if era == self.era:
            self.version = max(self.version, version)

    def is_ahead(self, in_force: int) -> bool:
        """Returns whether the store has a version that was not applied here."""
        return self.version > in_force

    def is_current(self, era: int, in_force: int) -> bool:
        """Returns whether an answer of an era confirms the version in force.

        A store that states no era confirms it whatever its copy is.
        """
        return not era or (era == self.era and self.version >= in_force)
