"""Prompt parts on which replicas have written whole answers."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from ..types import OrganisationName
from .part_cases import PartKey

PROOF_LIFETIME_SECONDS = 60.0
"""Time for which an answer shows that replicas stand a part: weights may change."""

MAX_PARTS_PER_ORGANISATION = 256
"""Parts remembered for an organisation, which may invent any number of them."""


class PartProofs:
    """Times of the last whole answer by prompt part, bounded per organisation."""

    def __init__(self) -> None:
        self._proven_at: dict[PartKey, float] = {}
        self._owners: dict[PartKey, OrganisationName] = {}
        self._keys: dict[OrganisationName, OrderedDict[PartKey, None]] = {}

    def __len__(self) -> int:
        """Returns the number of parts remembered."""
        return len(self._proven_at)

    def record(
        self, organisation: OrganisationName, keys: Iterable[PartKey], now: float
    ) -> None:
        """Records a whole answer to a request of an organisation with these parts."""
        own_keys = self._keys.setdefault(organisation, OrderedDict())
        for key in keys:
            owner = self._owners.get(key)
            if owner is not None and owner != organisation:
                self._keys[owner].pop(key, None)
            self._proven_at[key] = now
            self._owners[key] = organisation
            own_keys[key] = None
            own_keys.move_to_end(key)
        while len(own_keys) > MAX_PARTS_PER_ORGANISATION:
            oldest, _ = own_keys.popitem(last=False)
            del self._proven_at[oldest], self._owners[oldest]

    def is_proven(self, key: PartKey, now: float) -> bool:
        """Returns whether replicas have answered on a part recently."""
        proven_at = self._proven_at.get(key, float("-inf"))
        return now - proven_at <= PROOF_LIFETIME_SECONDS
