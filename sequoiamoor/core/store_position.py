"""Position in the history of the platform's store."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class StorePosition:
    """A version of the store, which counts only together with its era.

    Attributes:
        era: Number of times that the store was restored from an older copy; 0 for a
            store that states none.
        version: Version within the era.
    """

    era: int = 0
    version: int = 0
