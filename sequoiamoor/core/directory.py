"""Upstream replicas according to the entries of the platform's store."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from ..types import ReplicaId
from .readers import FeedState
from .upstreams import ListedUpstream, LoadReport, Upstreams

EXPIRED_ENTRY_GRACE_SECONDS = 1.2
"""Time for which an entry that is missing after an outage may still reappear.

Replicas cannot renew their entries while the store is unavailable. The store lists the
live ones again within about two seconds of its return; most are back within this time.
Within 3 s of reaching the store again, a router that was disconnected must have removed
the replicas that left, and its first answer may take half of that.
"""

MAX_REMOVED = 4_096
"""Removed replicas that are remembered, more than leave in the age of a copy of the
store; the earliest removed ones are forgotten first."""


@dataclass(slots=True)
class UpstreamDirectory:
    """Applies the entries of the store to the replicas that requests may go to.

    Attributes:
        upstreams: Replicas that requests may go to.
        missing: Replicas whose entry is missing, with the monotonic time in seconds
            at which they are to be removed.
        is_known: Whether the complete list of entries has been read.
        feed: How recently the entries were known to be the newest.
        max_age: Seconds for which the entries may be relied on without a confirmation
            while the store can be reached.
        is_zone_view_outdated: Returns whether an answer about evacuated zones has to be
            awaited, at a time of the clock of ``feed``.
    """

    upstreams: Upstreams
    missing: dict[ReplicaId, float] = field(default_factory=dict)
    is_known: bool = False
    feed: FeedState = field(default_factory=FeedState)
    max_age: float = float("inf")
    is_zone_view_outdated: Callable[[float], bool] = lambda now: False
    _is_after_outage: bool = False
    _removed: dict[ReplicaId, int] = field(default_factory=dict)
    _copy_version: int = -1

    def record_outage(self) -> None:
        """Records that a call to the store failed."""
        self._is_after_outage = True

    def record_answer(self) -> None:
        """Records that the changes in an answer of the store were applied.

        Only the first answer after an outage shows entries that expired during it;
        an entry that is removed later belongs to a replica that left.
        """
        self._is_after_outage = False

    def begin_era(self, version: int) -> None:
        """Begins to apply the first full read of a store restored from an older copy.

        Entries that the copy lacks are kept as after an outage.

        Args:
            version: Version of that read. Entries of up to that version are those of
                the copy.
        """
        self._copy_version = version
        self.record_outage()

    def is_superseded(
        self, replica_id: ReplicaId, incarnation: int, version: int, now: float
    ) -> bool:
        """Returns whether an entry of the copy is older than what is known here.

        It is not used until it has been written again: of a process that was removed,
        or of one that ended before the process that is known. The latter has no entry
        in the copy, and is kept as after an outage.

        Args:
            replica_id: Key of the entry.
            incarnation: Incarnation in the entry.
            version: Version of the entry.
            now: Monotonic time in seconds.
        """
        if version > self._copy_version:
            return False
        known = self.upstreams.replicas.get(replica_id)
        if known is None:
            return incarnation <= self._removed.get(replica_id, -1)
        if replica_id in self.missing:
            return incarnation <= known.incarnation
        if incarnation >= known.incarnation:
            return False
        self.missing[replica_id] = now + EXPIRED_ENTRY_GRACE_SECONDS
        return True

    def is_outdated(self, now: float) -> bool:
        """Returns whether an answer of the store has to be awaited before a send.

        Args:
            now: Time in seconds of the clock of ``feed``.
        """
        is_feed_outdated = (
            not self._is_after_outage and self.feed.find_age(now) > self.max_age
        )
        return is_feed_outdated or self.is_zone_view_outdated(now)

    def put(self, listed: ListedUpstream, load: LoadReport, now: float) -> bool:
        """Adds or updates a replica.

        Returns:
            Whether the replica is leaving and was not known to be.
        """
        self.missing.pop(listed.replica_id, None)
        self._removed.pop(listed.replica_id, None)
        return self.upstreams.put(listed, load, now)

    def remove(self, replica_id: ReplicaId, now: float) -> bool:
        """Handles the removal of an entry.

        The replica is removed at once, or after ``EXPIRED_ENTRY_GRACE_SECONDS`` if the
        entry may have expired in an outage of the store.

        Returns:
            Whether the replica was removed at once.
        """
        if replica_id not in self.upstreams.replicas:
            return False
        if self._is_after_outage:
            self.missing.setdefault(replica_id, now + EXPIRED_ENTRY_GRACE_SECONDS)
            return False
        self._remove_now(replica_id)
        return True

    def keep_only(self, listed: Collection[ReplicaId], now: float) -> list[ReplicaId]:
        """Handles the removal of all entries that are not in ``listed``.

        Returns:
            The replicas that were removed at once.
        """
        self.is_known = True
        return [
            replica_id
            for replica_id in list(self.upstreams.replicas)
            if replica_id not in listed and self.remove(replica_id, now)
        ]

    def step(self, now: float) -> list[ReplicaId]:
        """Removes and returns the replicas whose entry did not reappear in time."""
        expired = [
            missing_id
            for missing_id, removal_at in self.missing.items()
            if now >= removal_at
        ]
        for replica_id in expired:
            self._remove_now(replica_id)
        return expired

    def _remove_now(self, replica_id: ReplicaId) -> None:
        self.missing.pop(replica_id, None)
        replica = self.upstreams.replicas.get(replica_id)
        if replica is not None:
            self._removed.pop(replica_id, None)
            self._removed[replica_id] = replica.incarnation
        if len(self._removed) > MAX_REMOVED:
            del self._removed[next(iter(self._removed))]
        self.upstreams.remove(replica_id)
