"""Each router alone: sends at once to the replica with the least known load."""

from __future__ import annotations

from ..core.upstreams import Replica
from ..types import ServiceName
from .round_robin import RoundRobinPolicy


class LeastLoadPolicy(RoundRobinPolicy):
    """Sends each request at once to the replica that seems least loaded."""

    def _choose_replica(self, service: ServiceName, replicas: list[Replica]) -> Replica:
        def load(replica: Replica) -> float:
            report = replica.load
            if report is None:
                return float(replica.in_use)
            others = max(report.running + report.queued, replica.in_use)
            return others / max(report.slots, 1)

        least = min(load(replica) for replica in replicas)
        return self._rng.choice([one for one in replicas if load(one) <= least])
