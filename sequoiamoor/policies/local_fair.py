"""Local fair policy: fair order on an even part of each window, no exchange."""

from __future__ import annotations

from ..core.blackboard import Blackboard
from ..core.placement import compute_window_part
from ..core.upstreams import Replica
from .fair import FairPolicy
from .local import LocalPolicy


class LocalFairPolicy(LocalPolicy, FairPolicy):
    """Divides each window evenly among the live routers and is fair within its part."""

    def _count_free_slots(self, board: Blackboard, replica: Replica, now: float) -> int:
        own = board.identity.router_id
        window = self._get_pool(board, replica.service, now).windows[replica.replica_id]
        routers = sorted({own, *board.members})
        return (
            compute_window_part(replica.replica_id, window, own, routers)
            - replica.in_use
        )
