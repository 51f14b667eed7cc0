"""Use of each replica by the other routers, summed from their reports."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field, replace

from ..types import ReplicaId, RouterIdentity
from .messages import SlotRow


@dataclass(slots=True)
class PeerLoad:
    """Use of one replica by all peers together.

    Attributes:
        in_use: Slots in use.
        prompt_tokens: Tokens of prompts that the replica still has to read.
        window: Sum of the windows that peers propose for the replica.
        window_count: Number of peers that propose a window.
    """

    in_use: int = 0
    prompt_tokens: int = 0
    window: int = 0
    window_count: int = 0

    def add(self, row: SlotRow, sign: int) -> None:
        """Adds a row with sign 1, or subtracts it with sign -1."""
        self.in_use += sign * row.in_use
        self.prompt_tokens += sign * row.prompt_tokens
        if row.window:
            self.window += sign * row.window
            self.window_count += sign


_NO_LOAD = PeerLoad()

PROMPT_LIFETIME_SECONDS = 0.15
"""Time for which reported prompts count as unread.

Reports are sent when a prompt is sent and not when it is read, and the routers of a
large fleet report less often than a replica reads. Nothing is sent to a replica that
has more to read than it can in about this time."""


@dataclass(slots=True)
class PeerLoads:
    """Use of replicas by peers, updated with one pass over the rows of each report.

    Rebuilding the sums for every report would take time that grows with the square of
    the number of routers.
    """

    _rows_by_peer: dict[RouterIdentity, tuple[SlotRow, ...]] = field(
        default_factory=dict
    )
    _loads_by_replica: dict[ReplicaId, PeerLoad] = field(default_factory=dict)
    _read_peers: set[RouterIdentity] = field(default_factory=set)
    _taken_at: dict[RouterIdentity, float] = field(default_factory=dict)
    _taken_sum: float = 0.0
    _unread: deque[tuple[float, RouterIdentity, tuple[SlotRow, ...]]] = field(
        default_factory=deque
    )

    def copy(self) -> PeerLoads:
        """Returns loads that can be changed on their own; rows are shared."""
        return PeerLoads(
            dict(self._rows_by_peer),
            {
                replica_id: replace(load)
                for replica_id, load in self._loads_by_replica.items()
            },
            set(self._read_peers),
            dict(self._taken_at),
            self._taken_sum,
            deque(self._unread),
        )

    def get(self, replica_id: ReplicaId) -> PeerLoad:
        """Returns the use of a replica by all peers together."""
        return self._loads_by_replica.get(replica_id, _NO_LOAD)

    def find_report(
        self, peer: RouterIdentity
    ) -> tuple[tuple[SlotRow, ...], float] | None:
        """Returns the rows of a peer and the time at which they were taken, if any."""
        if peer not in self._taken_at:
            return None
        return self._rows_by_peer[peer], self._taken_at[peer]

    def find_mean_age(self, now: float) -> float | None:
        """Returns the mean age of the peers' reports in seconds, None without any."""
        if not self._taken_at:
            return None
        return max(now - self._taken_sum / len(self._taken_at), 0.0)

    def take(self, peer: RouterIdentity, rows: tuple[SlotRow, ...], now: float) -> None:
        """Replaces the rows of a peer by those of its latest report.

        Args:
            peer: Router that sent the report.
            rows: Its rows.
            now: Monotonic time in seconds.
        """
        # A router that starts nothing itself asks for no sums.
        self.forget_read_prompts(now)
        self._replace(peer, rows)
        self._taken_at[peer] = now
        self._taken_sum += now
        if any(row.prompt_tokens for row in rows):
            self._unread.append((now + PROMPT_LIFETIME_SECONDS, peer, rows))

    def forget_read_prompts(self, now: float) -> None:
        """Counts prompts that were reported long ago as read.

        Args:
            now: Monotonic time in seconds.
        """
        while self._unread and self._unread[0][0] <= now:
            _, peer, rows = self._unread.popleft()
            if self._rows_by_peer.get(peer) is rows:
                self._read_peers.add(peer)
                for row in rows:
                    self._loads_by_replica[
                        row.replica_id
                    ].prompt_tokens -= row.prompt_tokens

    def _replace(self, peer: RouterIdentity, rows: tuple[SlotRow, ...]) -> None:
        self._remove(peer)
        self._rows_by_peer[peer] = rows
        for row in rows:
            load = self._loads_by_replica.get(row.replica_id)
            if load is None:
                load = self._loads_by_replica[row.replica_id] = PeerLoad()
            load.add(row, 1)

    def _remove(self, peer: RouterIdentity) -> None:
        is_read = peer in self._read_peers
        self._read_peers.discard(peer)
        self._taken_sum -= self._taken_at.pop(peer, 0.0)
        for row in self._rows_by_peer.pop(peer, ()):
            load = self._loads_by_replica[row.replica_id]
            load.add(row, -1)
            if is_read:
                load.prompt_tokens += row.prompt_tokens

    def keep_only(self, live: Collection[RouterIdentity]) -> None:
        """Discards the rows of routers that are not live."""
        removed_peers = self._rows_by_peer.keys() - set(live)
        for peer in removed_peers:
            self._remove(peer)
        if removed_peers:
            # A sum of zero may still have rows, of replicas with no use and no window.
            reported = {
                row.replica_id for rows in self._rows_by_peer.values() for row in rows
            }
            for replica_id in self._loads_by_replica.keys() - reported:
                del self._loads_by_replica[replica_id]
