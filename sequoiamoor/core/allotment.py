"""Slots that this router holds: their grant, use, release and expiry."""

from __future__ import annotations

from dataclasses import dataclass

from ..types import ReplicaId
from .messages import GrantRow, SlotRow


@dataclass(slots=True)
class _HeldSlots:
    """Slots of one replica that this router holds.

    Attributes:
        epoch: Epoch of the arbiter, 0 before the first grant.
        base: Slots in use when the epoch was adopted.
        granted: Slots granted in the epoch so far.
        recalled: Value that ``released`` has to reach as slots become free.
        released: Slots given back in the epoch so far.
        in_use: Slots in use now.
        valid_until: Monotonic time in seconds until which new requests may start.
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
        """Slots held but not in use."""
        return self.base + self.granted - self.released - self.in_use


class Allotment:
    """Slots of all replicas that this router holds."""

    def __init__(self) -> None:
        self._holdings: dict[ReplicaId, _HeldSlots] = {}
        # Computed on demand after a change; most decisions are made between changes.
        self._cached_rows: tuple[SlotRow, ...] | None = None
        self._cached_unused_replicas: frozenset[ReplicaId] | None = None

    def _clear_caches(self) -> None:
        self._cached_rows = self._cached_unused_replicas = None

    def unused_replicas(self) -> frozenset[ReplicaId]:
        """Returns the replicas with an unused slot, even if its grant has expired."""
        if self._cached_unused_replicas is None:
            self._cached_unused_replicas = frozenset(
                replica_id
                for replica_id, held in self._holdings.items()
                if held.unused > 0
            )
        return self._cached_unused_replicas

    def apply_grant(self, row: GrantRow, *, valid_until: float) -> bool:
        """Applies a grant; a grant of an earlier epoch is ignored.

        In a higher epoch the router keeps only the slots in use: the new arbiter
        does not know what the previous one granted.

        Returns:
            Whether the epoch is new to this router.
        """
        held = self._holdings.setdefault(row.replica_id, _HeldSlots())
        if row.epoch < held.epoch:
            return False
        self._clear_caches()
        is_new_epoch = row.epoch > held.epoch
        if is_new_epoch:
            held.epoch = row.epoch
            held.base = held.in_use
            held.granted = held.released = held.recalled = 0
            held.valid_until = valid_until
        held.granted = max(held.granted, row.granted)
        held.recalled = max(held.recalled, row.recalled)
        held.valid_until = max(held.valid_until, valid_until)
        return is_new_epoch

    def free(self, replica_id: ReplicaId, now: float) -> int:
        """Returns how many requests may start at the replica."""
        held = self._holdings.get(replica_id)
        if held is None or now >= held.valid_until:
            return 0
        return max(held.unused, 0)

    def in_use(self, replica_id: ReplicaId) -> int:
        """Returns how many requests of this router run at the replica."""
        held = self._holdings.get(replica_id)
        return 0 if held is None else held.in_use

    def start(self, replica_id: ReplicaId) -> None:
        """Marks a free slot as used by a request that starts."""
        self._holdings[replica_id].in_use += 1
        self._clear_caches()

    def finish(self, replica_id: ReplicaId) -> None:
        """Frees the slot of a request that ended."""
        self._holdings[replica_id].in_use -= 1
        self._clear_caches()

    def release(self, replica_id: ReplicaId, count: int) -> int:
        """Gives back up to ``count`` free slots; returns how many."""
        held = self._holdings.get(replica_id)
        count = 0 if held is None else max(min(count, held.unused), 0)
        if held is not None and count:
            held.released += count
            self._clear_caches()
        return count

    def release_recalled(self) -> list[ReplicaId]:
        """Gives back free slots that arbiters recalled; returns their replicas."""
        return [
            replica_id
            for replica_id, held in self._holdings.items()
            if held.recalled > held.released
            and self.release(replica_id, held.recalled - held.released)
        ]

    def epoch(self, replica_id: ReplicaId) -> int:
        """Returns the epoch adopted for the replica, 0 without one."""
        held = self._holdings.get(replica_id)
        return 0 if held is None else held.epoch

    def forget(self, replica_id: ReplicaId) -> None:
        """Discards a removed replica, unless requests still run there."""
        if not self.in_use(replica_id):
            self._holdings.pop(replica_id, None)
            self._clear_caches()

    def replica_ids(self) -> list[ReplicaId]:
        """Returns the replicas of which this router holds or held slots."""
        return list(self._holdings)

    def build_rows(self) -> tuple[SlotRow, ...]:
        """Returns what this router holds, for a report.

        The same tuple object is returned until a change.
        """
        if self._cached_rows is None:
            self._cached_rows = tuple(
                SlotRow(replica_id, held.epoch, held.base, held.released, held.in_use)
                for replica_id, held in self._holdings.items()
            )
        return self._cached_rows
