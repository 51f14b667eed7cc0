"""Window of a replica and capacity of a service, from lagged load reports."""

from __future__ import annotations

from collections.abc import Iterable

from ..types import ReplicaId
from .upstreams import LoadReport, Replica

UNKNOWN_WINDOW = 4
"""Slots of a replica that has not reported its load yet."""

PROBE_WINDOW = 1
"""Slots of a replica that is tried again after failed connections."""

RATE_SMOOTHING = 0.2
"""Weight of the newest load report in the average rate of a slot."""


def window_of(replica: Replica, now: float) -> int:
    """Returns how many requests the replica should run at once.

    A replica that holds requests back gets a smaller window until it has worked
    them off; at least half of its slots stay in use, since the report is old.
    """
    if not replica.is_available(now):
        return 0
    load = replica.load
    if replica.failures:
        return PROBE_WINDOW
    if load is None:
        return UNKNOWN_WINDOW
    if load.queued <= 0:
        return max(load.slots, 1)
    return max(load.slots - load.queued, load.slots // 2, 1)


class SlotRates:
    """Average rate of one slot of each replica, in service units per second."""

    def __init__(self) -> None:
        self._rates: dict[ReplicaId, float] = {}
        self._seen: dict[ReplicaId, LoadReport] = {}

    def observe(self, replicas: Iterable[Replica]) -> None:
        """Takes the load reports that are new since the last call."""
        for replica in replicas:
            load = replica.load
            if load is None or self._seen.get(replica.replica_id) is load:
                continue
            self._seen[replica.replica_id] = load
            running = min(load.running, load.slots)
            if running <= 0 or load.token_rate <= 0:
                continue
            rate = load.token_rate / running
            before = self._rates.get(replica.replica_id, rate)
            self._rates[replica.replica_id] = before + RATE_SMOOTHING * (rate - before)

    def rate_of_slot(self, replicas: Iterable[Replica]) -> float:
        """Returns the mean rate of a slot of the replicas, 0 if none is known."""
        known = [
            rate
            for one in replicas
            if (rate := self._rates.get(one.replica_id)) is not None
        ]
        return sum(known) / len(known) if known else 0.0
