"""Choice of the load reports that a router sends to its peers."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from ..types import ReplicaId
from .replica_loads import ReportedLoad

SHARED_BYTES_FRACTION = 0.3
"""Part of the byte budget for messages that load reports may take."""

SHARED_ROW_BYTES = 12
"""Encoded size of a message with one load report, rounded up."""

MAX_SAVED_ROWS = 4.0
"""Reports to all peers that may be sent at once."""

FIRST_SHARE_SECONDS, CERTAIN_SHARE_SECONDS = 0.1, 0.4
"""Ages of what the peers know of a replica at which a new report is first sent to
them, and at which it certainly is. In between its probability grows: routers that read
a report at the same time would else all send it."""

ANNOUNCED_PROMPTS = 2.0
"""Size of a prompt, in prompts of mean size, from which peers are told of its start.
They learn of shorter ones by the next report of the replica."""

DIFFERENT_SLOT_FRACTION = 0.15
"""Change of the requests, as a fraction of the slots, that counts as a large one."""

DIFFERENT_PACE_FACTOR = 1.3
"""Change of the pace that counts as a large one."""

DIFFERENT_AGE_FACTOR = 3.0
"""Factor by which what peers know counts as older if it differs much."""


@dataclass(slots=True)
class LoadShares:
    """What the peers know of each replica, and the budget for telling them more."""

    rng: Random
    _shared: dict[ReplicaId, tuple[ReportedLoad, float]] = field(default_factory=dict)
    _rows: float = 0.0
    _filled_at: float = float("-inf")

    def note_known(self, replica_id: ReplicaId, load: ReportedLoad, now: float) -> None:
        """Records a report that a peer has sent to all."""
        self._shared[replica_id] = (load, now)

    def take(
        self,
        replica_id: ReplicaId,
        load: ReportedLoad,
        now: float,
        *,
        peers: int,
        bytes_per_second: float,
    ) -> bool:
        """Returns whether to send a report to all peers, and records it as sent.

        Args:
            replica_id: The replica.
            load: What it reported.
            now: Monotonic time in seconds.
            peers: Number of live peers.
            bytes_per_second: Budget for all messages to peers.
        """
        if not peers or not self._is_wanted(replica_id, load, now):
            return False
        return self._take_row(replica_id, load, now, peers, bytes_per_second)

    def take_start(
        self,
        replica_id: ReplicaId,
        load: ReportedLoad,
        now: float,
        *,
        prompts: float,
        peers: int,
        bytes_per_second: float,
    ) -> bool:
        """Returns whether to tell all peers of a start, and records its load as sent.

        Args:
            replica_id: The replica at which a request starts.
            load: Its load with the request.
            now: Monotonic time in seconds.
            prompts: Size of the prompt to be read, in prompts of mean size.
            peers: Number of live peers.
            bytes_per_second: Budget for all messages to peers.
        """
        if not peers or prompts < ANNOUNCED_PROMPTS:
            return False
        return self._take_row(replica_id, load, now, peers, bytes_per_second)

    def _take_row(
        self,
        replica_id: ReplicaId,
        load: ReportedLoad,
        now: float,
        peers: int,
        bytes_per_second: float,
    ) -> bool:
        """Takes the bytes of one row from the budget, if there are any."""
        rate = SHARED_BYTES_FRACTION * bytes_per_second / (SHARED_ROW_BYTES * peers)
        earned = (now - self._filled_at) * rate
        self._rows = min(self._rows + earned, MAX_SAVED_ROWS)
        self._filled_at = now
        if self._rows < 1.0:
            return False
        self._rows -= 1.0
        self.note_known(replica_id, load, now)
        return True

    def _is_wanted(self, replica_id: ReplicaId, load: ReportedLoad, now: float) -> bool:
        known = self._shared.get(replica_id)
        if known is None:
            return True
        earlier, shared_at = known
        age = now - shared_at
        if _differs_much(earlier, load):
            age *= DIFFERENT_AGE_FACTOR
        ramp = CERTAIN_SHARE_SECONDS - FIRST_SHARE_SECONDS
        return self.rng.random() < (age - FIRST_SHARE_SECONDS) / ramp

    def keep_only(self, replica_ids: set[ReplicaId]) -> None:
        """Discards what the peers know of replicas that are gone."""
        for replica_id in self._shared.keys() - replica_ids:
            del self._shared[replica_id]


def _differs_much(earlier: ReportedLoad, load: ReportedLoad) -> bool:
    change = abs(load.requests - earlier.requests)
    ratio = max(load.pace, earlier.pace) / min(load.pace, earlier.pace)
    return (
        change > DIFFERENT_SLOT_FRACTION * load.slots or ratio > DIFFERENT_PACE_FACTOR
    )
