"""Slots that this router holds: grants, starts, releases, expiry."""

from __future__ import annotations

from dataclasses import dataclass

from ..types import ReplicaId
from .messages import GrantRow, SlotRow


@dataclass(slots=True)
class _Holding:
    """Slots of one replica.

    Attributes:
        base: Slots in use when the epoch was adopted.
        recalled: Value that ``released`` has to reach as slots become free.
        valid_until: Monotonic time up to which new work may start.
    """

    epoch: int = 0
    base: int = 0
    granted: int = 0
    recalled: int = 0
    released: int = 0
    in_use: int = 0
    valid_until: float = float("-inf")

    @property
    def unused(self) -> int:
        return self.base + self.granted - self.released - self.in_use


class Allotment:
    """Slots of all replicas that this router holds."""

    def __init__(self) -> None:
        self._holdings: dict[ReplicaId, _Holding] = {}
        # Computed on demand after a change; most decisions come between changes.
        self._rows: tuple[SlotRow, ...] | None = None
        self._unused: frozenset[ReplicaId] | None = None

    def _note_change(self) -> None:
        self._rows = self._unused = None

    def unused_replicas(self) -> frozenset[ReplicaId]:
        """Returns the replicas of which a slot is unused, valid or not."""
        if self._unused is None:
            self._unused = frozenset(
                replica_id
                for replica_id, one in self._holdings.items()
                if one.unused > 0
            )
        return self._unused

    def take(self, row: GrantRow, *, valid_until: float) -> bool:
        """Takes a grant; one of an earlier epoch is ignored.

        In a higher epoch the router keeps only the slots in use: the new arbiter
        does not know what the previous one granted.

        Returns:
            Whether the epoch is new to this router.
        """
        holding = self._holdings.setdefault(row.replica_id, _Holding())
        if row.epoch < holding.epoch:
            return False
        self._note_change()
        is_new = row.epoch > holding.epoch
        if is_new:
            holding.epoch = row.epoch
            holding.base = holding.in_use
            holding.granted = holding.released = holding.recalled = 0
            holding.valid_until = valid_until
        holding.granted = max(holding.granted, row.granted)
        holding.recalled = max(holding.recalled, row.recalled)
        holding.valid_until = max(holding.valid_until, valid_until)
        return is_new

    def free(self, replica_id: ReplicaId, now: float) -> int:
        """Returns how many requests may start at the replica."""
        holding = self._holdings.get(replica_id)
        if holding is None or now >= holding.valid_until:
            return 0
        return max(holding.unused, 0)

    def in_use(self, replica_id: ReplicaId) -> int:
        """Returns how many requests of this router run at the replica."""
        holding = self._holdings.get(replica_id)
        return 0 if holding is None else holding.in_use

    def start(self, replica_id: ReplicaId) -> None:
        """Uses a free slot."""
        self._holdings[replica_id].in_use += 1
        self._note_change()

    def finish(self, replica_id: ReplicaId) -> None:
        """Frees a slot."""
        self._holdings[replica_id].in_use -= 1
        self._note_change()

    def release(self, replica_id: ReplicaId, count: int) -> int:
        """Gives up to ``count`` free slots back; returns how many."""
        holding = self._holdings.get(replica_id)
        count = 0 if holding is None else max(min(count, holding.unused), 0)
        if holding is not None and count:
            holding.released += count
            self._note_change()
        return count

    def release_recalled(self) -> list[ReplicaId]:
        """Gives free slots back that arbiters asked for; returns their replicas."""
        return [
            replica_id
            for replica_id, holding in self._holdings.items()
            if holding.recalled > holding.released
            and self.release(replica_id, holding.recalled - holding.released)
        ]

    def epoch(self, replica_id: ReplicaId) -> int:
        """Returns the epoch adopted for the replica, 0 without one."""
        holding = self._holdings.get(replica_id)
        return 0 if holding is None else holding.epoch

    def forget(self, replica_id: ReplicaId) -> None:
        """Drops a replica that is gone, unless requests still run there."""
        if not self.in_use(replica_id):
            self._holdings.pop(replica_id, None)
            self._note_change()

    def replica_ids(self) -> list[ReplicaId]:
        """Returns the replicas of which this router holds or held slots."""
        return list(self._holdings)

    def build_rows(self) -> tuple[SlotRow, ...]:
        """Returns what this router holds, for a report.

        Without a change since the last call it is the same tuple.
        """
        if self._rows is None:
            self._rows = tuple(
                SlotRow(replica_id, one.epoch, one.base, one.released, one.in_use)
                for replica_id, one in self._holdings.items()
            )
        return self._rows
