"""Free slots of replicas and what they have yet to read, as one router knows them."""

from __future__ import annotations

import math
from random import Random

from ..core.blackboard import Blackboard
from ..core.peer_loads import PeerLoad, PeerLoads
from ..core.prefill import PromptReads
from ..core.routed_call import RoutedCall
from ..core.stream_pace import StreamPace
from ..core.upstreams import Replica
from ..types import CallRequest, ReplicaId, ServiceName
from .fair import Pool
from .reporting import ReportingPolicy

FIRST_EVENT_TARGET_FRACTION = 0.95
"""Fraction of the target within which the first event must arrive; the rest is left for
the transfer to the caller."""

LARGE_PROMPT_FRACTION = 0.25
"""Fraction of the target that the prompts ahead of a large one may take."""


class ReplicaSlots(ReportingPolicy):
    """Counts slots from the reports of replicas and of peers."""

    def __init__(self, *, rng: Random) -> None:
        super().__init__(rng=rng)
        self._peers = PeerLoads()
        self._reads = PromptReads()
        self._pace = StreamPace()
        self._own_windows: dict[ServiceName, tuple[Pool, dict[ReplicaId, int]]] = {}

    def _count_free_slots(self, board: Blackboard, replica: Replica, now: float) -> int:
        if not replica.is_available(now):
            return 0
        window = self._compute_agreed_window(board, replica, now)
        free = window - replica.in_use - self._count_others(board, replica, now)
        return min(free, 1) if replica.takes_one_request else free

    def _count_others(self, board: Blackboard, replica: Replica, now: float) -> int:
        """Returns the requests of other routers at a replica.

        They are counted from its newest load report, or else from the peers' reports.
        """
        others = board.replica_loads.count_others(replica, now)
        if others is None:
            return self._peers.get(replica.replica_id).in_use
        return others

    def _scale_window(
        self, board: Blackboard, replica: Replica, window: int, now: float
    ) -> int:
        """Returns an agreed window with the limit that the present pace sets."""
        pace = board.replica_loads.find_pace(replica, now)
        if pace <= 1.0:
            return window
        service, replica_id = replica.service, replica.replica_id
        usual = self._pace.find_slot_fraction(service, replica_id)
        fraction = self._pace.find_slot_fraction(service, replica_id, pace=pace)
        return max(int(window * fraction / usual), min(window, 1))

    def _get_own_windows(
        self, board: Blackboard, service: ServiceName, now: float
    ) -> dict[ReplicaId, int]:
        """Returns how many requests this router would let each replica run at once.

        They are kept until the pool is refreshed or the longest interval of streams is
        computed anew. A changed pace of one replica changes only its own window.
        """
        pool = self._get_pool(board, service, now)
        kept = self._own_windows.get(service)
        if kept is not None and kept[0] is pool:
            return kept[1]
        windows = {
            replica_id: self._limit_window(service, replica_id, window)
            for replica_id, window in pool.windows.items()
        }
        self._own_windows[service] = (pool, windows)
        return windows

    def _limit_window(
        self, service: ServiceName, replica_id: ReplicaId, window: int
    ) -> int:
        """Returns a window of the pool with the limit that the pace of streams sets."""
        return int(window * self._pace.find_slot_fraction(service, replica_id))

    def _update_own_window(self, service: ServiceName, replica_id: ReplicaId) -> None:
        """Applies a changed pace of one replica to the windows that are kept."""
        kept = self._own_windows.get(service)
        if kept is None or replica_id not in kept[0].windows:
            return
        pool, windows = kept
        window = pool.windows[replica_id]
        windows[replica_id] = self._limit_window(service, replica_id, window)

    def _compute_own_window(
        self, board: Blackboard, replica: Replica, now: float
    ) -> int:
        """Returns how many requests this router would let the replica run at once."""
        windows = self._get_own_windows(board, replica.service, now)
        return windows.get(replica.replica_id, 0)

    def _compute_agreed_window(
        self, board: Blackboard, replica: Replica, now: float
    ) -> int:
        """Returns the mean of the windows that this router and its peers compute."""
        own = self._compute_own_window(board, replica, now)
        window = agree_on_window(own, self._peers.get(replica.replica_id))
        return self._scale_window(board, replica, window, now)

    def _count_tokens_ahead(
        self, board: Blackboard, replica: Replica, now: float
    ) -> int:
        """Returns the prompt tokens of all routers that the replica has yet to read.

        Those of the others are known from the reports of either side, of which each
        may be too old to show some.
        """
        service = replica.service
        unread = board.replica_loads.expect_unread(
            replica, now, prompt_seconds=self._reads.find_mean_seconds(service)
        )
        return self._reads.count_unread_tokens(replica.replica_id) + max(
            self._peers.get(replica.replica_id).prompt_tokens,
            round(unread * self._reads.find_mean_tokens(service)),
        )

    def _find_token_limit(
        self,
        request: RoutedCall,
        tokens: int,
        now: float,
        *,
        backlog_limit: float,
    ) -> float:
        """Returns the tokens ahead with which the first event is still in time.

        A prompt that takes most of the target by itself may start when the prompts
        ahead of it take at most ``LARGE_PROMPT_FRACTION`` of the target, however long
        it has waited.

        Args:
            request: Request to place.
            tokens: Prompt tokens that a replica would read for it.
            now: Monotonic time in seconds.
            backlog_limit: Longest time in seconds that prompts ahead may take, for
                any request of the service.
        """
        target = request.route.target
        model = self._reads.model(request.service)
        slack = target * FIRST_EVENT_TARGET_FRACTION - model.predict(tokens)
        if slack < LARGE_PROMPT_FRACTION * target:
            slack = LARGE_PROMPT_FRACTION * target
        else:
            slack -= now - request.arrival
        seconds = max(min(slack, backlog_limit), 0.0)
        if not model.seconds_per_token:
            return math.inf
        return seconds / model.seconds_per_token

    def find_wait_limit(self, request: CallRequest) -> float | None:
        """Returns how many seconds a request may wait and still meet its target."""
        if not isinstance(request, RoutedCall) or not request.parts:
            return None
        target = request.route.target
        model = self._reads.model(request.service)
        slack = target * FIRST_EVENT_TARGET_FRACTION - model.predict(request.own_tokens)
        return max(slack, LARGE_PROMPT_FRACTION * target)


def agree_on_window(own: int, peer_load: PeerLoad) -> int:
    """Returns the mean of the windows that this router and its peers compute.

    A router that computed a smaller window than its peers and used its own would see no
    free slot while the peers keep starting requests.
    """
    if not own or not peer_load.window_count:
        return own
    return round((own + peer_load.window) / (1 + peer_load.window_count))
