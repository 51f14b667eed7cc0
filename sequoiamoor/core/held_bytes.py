"""Account of the bytes that a router holds for requests and answers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

MEGABYTE = 1_048_576

DEFAULT_LIMIT_BYTES = 40 * MEGABYTE
"""Limit without a known memory limit: that of the smallest VMs that are in use."""

BASE_MEMORY_BYTES = 70 * MEGABYTE
"""Memory of a router that holds nothing, with logs, metrics and reports."""

COPIES_PER_BYTE = 2
"""Copies of a held byte that may exist at a time, as it is joined or sent."""


class HeldKind(StrEnum):
    """What bytes are held for."""

    REQUEST = "request"
    ANSWER = "answer"
    UNREAD = "unread"
    """Parts of streams that their callers have not read yet."""


def find_limit(memory_bytes: int | None) -> int:
    """Returns how many bytes a process may hold.

    Args:
        memory_bytes: Memory that the process may use; None if it is not known.
    """
    if memory_bytes is None:
        return DEFAULT_LIMIT_BYTES
    return max((memory_bytes - BASE_MEMORY_BYTES) // COPIES_PER_BYTE, MEGABYTE)


@dataclass(slots=True)
class HeldBytes:
    """Bytes held by kind and owner, with room for owners that hold little.

    An owner may hold as much as is left free. So one alone gets half of the limit, two
    get a third each, and a small owner always finds room.

    Attributes:
        limit: Largest sum in bytes.
        total: Sum in bytes.
        peak: Largest sum that was held, in bytes.
        by_kind: Bytes by kind.
        refused: Times that there was no room, by kind.
        free_room: Called when there is no room; frees some bytes and returns True, or
            returns False if none can be freed.
    """

    limit: int = DEFAULT_LIMIT_BYTES
    total: int = 0
    peak: int = 0
    by_kind: Counter[HeldKind] = field(default_factory=Counter)
    refused: Counter[HeldKind] = field(default_factory=Counter)
    free_room: Callable[[], bool] = lambda: False
    _by_owner: Counter[str | None] = field(default_factory=Counter)

    def count(self, owner: str | None) -> int:
        """Returns the bytes that an owner holds."""
        return self._by_owner.get(owner, 0)

    def find_largest_owner(self) -> str | None:
        """Returns the owner that holds most, None also if it is unknown."""
        return max(self._by_owner, key=lambda one: self._by_owner[one], default=None)

    def has_room(self, owner: str | None, count: int) -> bool:
        """Returns whether an owner may take room for that many more bytes."""
        return self.count(owner) + count <= self.limit - self.total - count

    def take(self, kind: HeldKind, owner: str | None, count: int) -> bool:
        """Takes room for bytes; returns False if there is none.

        Args:
            kind: What the bytes are for.
            owner: Organisation; None for all that are unknown together.
            count: Number of bytes.
        """
        while not self.has_room(owner, count):
            if self.free_room():
                continue
            self.refused[kind] += 1
            return False
        self._by_owner[owner] += count
        self.by_kind[kind] += count
        self.total += count
        self.peak = max(self.peak, self.total)
        return True

    def give_back(self, kind: HeldKind, owner: str | None, count: int) -> None:
        """Gives room back that was taken."""
        self._by_owner[owner] -= count
        if not self._by_owner[owner]:
            del self._by_owner[owner]
        self.by_kind[kind] -= count
        self.total -= count


@dataclass(slots=True)
class Holding:
    """Room taken for one request or answer.

    Attributes:
        account: Account of the router.
        kind: What the bytes are for.
        owner: Organisation; None if it is unknown.
        size: Number of bytes.
    """

    account: HeldBytes
    kind: HeldKind
    owner: str | None
    size: int = 0

    def grow(self, count: int) -> bool:
        """Takes room for more bytes; returns False if there is none."""
        if not self.account.take(self.kind, self.owner, count):
            return False
        self.size += count
        return True

    def resize(self, size: int) -> bool:
        """Takes or gives back room; returns False if there is none for the new size."""
        if size > self.size:
            return self.grow(size - self.size)
        if size < self.size:
            self.account.give_back(self.kind, self.owner, self.size - size)
            self.size = size
        return True

    def release(self) -> None:
        """Gives all room back; further calls do nothing."""
        self.resize(0)
