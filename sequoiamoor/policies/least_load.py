"""Least-load policy: starts at the replica with the least known load, no exchange."""

from __future__ import annotations

from ..core.upstreams import Replica
from ..types import ServiceName
from .round_robin import RoundRobinPolicy


class LeastLoadPolicy(RoundRobinPolicy):
    """Starts each request at once at the replica with the lowest known load.

    The load is the larger of the reported requests and this router's own, relative to
    the slots. Without a load report it is this router's own requests alone. Ties are
    broken at random.
    """

    def _choose_replica(self, service: ServiceName, replicas: list[Replica]) -> Replica:
        def load(replica: Replica) -> float:
            report = replica.load
            if report is None:
                return float(replica.in_use)
            requests = max(report.running + report.queued, replica.in_use)
            return requests / max(report.slots, 1)

        least_load = min(load(replica) for replica in replicas)
        return self._rng.choice(
            [candidate for candidate in replicas if load(candidate) <= least_load]
        )
