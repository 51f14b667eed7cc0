"""Fair order at each router alone: a fixed part of each window, no exchange."""

from __future__ import annotations

from ..core.blackboard import Blackboard
from ..core.placement import window_part
from ..core.upstreams import Replica
from .fair import FairPolicy
from .local import LocalPolicy


class LocalFairPolicy(LocalPolicy, FairPolicy):
    """Divides each window evenly among the live routers and shares its own part."""

    def _free_slots(self, board: Blackboard, replica: Replica, now: float) -> int:
        own = board.identity.router_id
        window = self._pool(board, replica.service, now).windows[replica.replica_id]
        routers = sorted({own, *board.members})
        return window_part(replica.replica_id, window, own, routers) - replica.in_use
