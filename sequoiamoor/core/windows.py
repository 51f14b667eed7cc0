"""Window of a replica and rate of its slots, from delayed load reports."""

from __future__ import annotations

from collections.abc import Iterable

from ..types import ReplicaId
from .upstreams import LoadReport, Replica

DEFAULT_WINDOW_SLOTS = 4
"""Window of a replica that has not reported its load yet."""

PROBE_WINDOW_SLOTS = 1
"""Window of a replica that is tried again after failed connections."""

RATE_SMOOTHING_WEIGHT = 0.2
"""Weight of the newest load report in the moving average of a slot's rate."""


def compute_window(replica: Replica, now: float) -> int:
    """Returns how many requests the replica should run at once.

    The window of a replica that holds requests back is reduced until it has run them.
    At least half of its slots stay in use, since the report is delayed.
    """
    if not replica.is_in_service(now):
        return 0
    load = replica.load
    if replica.failures:
        return PROBE_WINDOW_SLOTS
    if load is None:
        return DEFAULT_WINDOW_SLOTS
    if load.queued <= 0:
        return max(load.slots, 1)
    return max(load.slots - load.queued, load.slots // 2, 1)


class SlotRates:
    """Moving average of the rate of one slot of each replica.

    Rates are in service units per second.
    """

    def __init__(self) -> None:
        self._rate_by_replica: dict[ReplicaId, float] = {}
        self._last_reports: dict[ReplicaId, LoadReport] = {}

    def observe(self, replicas: Iterable[Replica]) -> None:
        """Applies the load reports that are new since the last call."""
        for replica in replicas:
            load = replica.load
            if load is None or self._last_reports.get(replica.replica_id) is load:
                continue
            self._last_reports[replica.replica_id] = load
            running = min(load.running, load.slots)
            if running <= 0 or load.token_rate <= 0:
                continue
            rate = load.token_rate / running
            previous = self._rate_by_replica.get(replica.replica_id, rate)
            self._rate_by_replica[replica.replica_id] = (
                previous + RATE_SMOOTHING_WEIGHT * (rate - previous)
            )

    def mean_slot_rate(self, replicas: Iterable[Replica]) -> float:
        """Returns the mean rate of a slot over the replicas, 0 if none is known."""
        known_rates = [
            rate
            for replica in replicas
            if (rate := self._rate_by_replica.get(replica.replica_id)) is not None
        ]
        return sum(known_rates) / len(known_rates) if known_rates else 0.0
