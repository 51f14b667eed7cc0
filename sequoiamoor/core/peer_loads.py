"""What the other routers use of each replica, summed as their reports come."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from ..types import ReplicaId, RouterIdentity
from .messages import SlotRow


@dataclass(slots=True)
class PeerLoad:
    """Use of one replica by all peers together.

    Attributes:
        in_use: Slots in use.
        prompt_tokens: Tokens of prompts that the replica has still to read.
        window: Sum of the windows that peers would have it run.
        window_count: Peers that state a window.
    """

    in_use: int = 0
    prompt_tokens: int = 0
    window: int = 0
    window_count: int = 0

    def add(self, row: SlotRow, sign: int) -> None:
        """Adds a row, or takes it away with sign -1."""
        self.in_use += sign * row.in_use
        self.prompt_tokens += sign * row.prompt_tokens
        if row.window:
            self.window += sign * row.window
            self.window_count += sign


_NO_LOAD = PeerLoad()


@dataclass(slots=True)
class PeerLoads:
    """Keeps the sums current with one pass over the rows of each report.

    A sum made anew for every report would take a time that grows with the square of
    the fleet.
    """

    _rows: dict[RouterIdentity, tuple[SlotRow, ...]] = field(default_factory=dict)
    _loads: dict[ReplicaId, PeerLoad] = field(default_factory=dict)

    def get(self, replica_id: ReplicaId) -> PeerLoad:
        """Returns the use of a replica by the peers."""
        return self._loads.get(replica_id, _NO_LOAD)

    def take(self, peer: RouterIdentity, rows: tuple[SlotRow, ...]) -> None:
        """Replaces what a peer reported."""
        self._add(self._rows.pop(peer, ()), -1)
        self._rows[peer] = rows
        self._add(rows, 1)

    def keep_only(self, live: Collection[RouterIdentity]) -> None:
        """Drops what routers that are not live reported."""
        gone = self._rows.keys() - set(live)
        for peer in gone:
            self._add(self._rows.pop(peer), -1)
        if gone:
            self._loads = {
                name: load for name, load in self._loads.items() if load != _NO_LOAD
            }

    def _add(self, rows: Iterable[SlotRow], sign: int) -> None:
        for row in rows:
            load = self._loads.get(row.replica_id)
            if load is None:
                load = self._loads[row.replica_id] = PeerLoad()
            load.add(row, sign)
