"""Choice of the replica for a waiting request, by load and cached prompts."""

from __future__ import annotations

import math
from collections import OrderedDict
from itertools import islice
from random import Random

from ..core.blackboard import Blackboard
from ..core.prompt_costs import (
    PREFERRED_RANKS,
    PromptCosts,
    ReplicaState,
    Waiting,
    choose_offers,
    find_least_wait,
    find_quick,
)
from ..core.rendezvous import rank_positions
from ..core.rounds import Prompt, Round
from ..core.routed_call import RoutedCall
from ..core.start_limits import StartLimits
from ..core.upstreams import Replica
from ..types import CallRequest, ReplicaId, ServiceName
from .replica_slots import ReplicaSlots

SPILL_WAIT_SECONDS = 0.06
"""Shortest wait for a replica that has the prompt cached, before the request may start
at the next preferred one, which has to read it. Under load a slot frees in about this
time."""

MAX_PREFERRED_REPLICAS = 3
"""Replicas that a request prefers, in order, before it may use any other."""

SPILL_FREE_FRACTION = 0.12
"""Fraction of its slots that a preferred replica without the prompt must have free.
When all replicas are busy, reading a prompt again costs more than the slot saves."""

SPILL_BACKLOG_FRACTION = 0.25
"""Fraction of the backlog limit up to which a replica may get a shared prompt part to
read that another one has cached. On busy replicas the repeated read delays the rest."""

UNPREFERRED_FREE_FRACTION = 0.3
"""Fraction of its slots that a replica outside the preferred ones must have free."""

BACKLOG_TARGET_FRACTION = 0.35
"""Fraction of the service's shortest target that unread prompts at a replica may take.

A replica reads prompts in the order of arrival. Without the limit, requests with a long
target would fill it up to their own slack, and those with a shorter one would find no
replica that reads their prompt in time.
"""

PART_CACHED_SECONDS = 8.0
"""Time since its last use for which a prompt part counts as cached at a replica; later
the replica may have evicted it."""

PACE_STEP = 1.5
"""Factor of time between replicas that are not drawn as equals. With exact paces all
routers would choose the same replica at the same time."""

MAX_PART_USES = 4_096
"""Pairs of prompt part and replica whose last use is remembered."""

MIN_SHARED_TOKENS = 256
"""Smaller shared parts do not decide the replica: reading them again takes a few
milliseconds, less than the prompts ahead of a request at a busy replica."""


class ReplicaChoice(ReplicaSlots):
    """Chooses the replica of a request among those of a round."""

    def __init__(self, *, rng: Random) -> None:
        super().__init__(rng=rng)
        self._prompts = PromptCosts()
        self._part_used_at: OrderedDict[tuple[str, ReplicaId], float] = OrderedDict()
        self._rounds: dict[ServiceName, Round] = {}
        self._limits: dict[ServiceName, StartLimits] = {}

    def _draw(
        self, board: Blackboard, free: list[tuple[Replica, int]], now: float
    ) -> Replica:
        """Returns one of the replicas, drawn by its free slots and its pace.

        The other routers have the same reports and would choose the same best one.
        """
        replicas = [replica for replica, _ in free]
        find_pace = board.replica_loads.find_pace
        weights = [count / find_pace(replica, now) for replica, count in free]
        return self._rng.choices(replicas, weights)[0]

    def _place_request(
        self,
        board: Blackboard,
        current: Round,
        request: CallRequest,
        candidates: dict[ReplicaId, Replica],
        now: float,
    ) -> Replica | None:
        """Returns the best of the candidates, or None if the request should wait."""
        if not isinstance(request, RoutedCall) or not request.parts:
            board.choices.counts.replicas += len(candidates)
            free = [
                (replica, count)
                for replica in candidates.values()
                if request.may_use(replica.replica_id, now)
                and (count := self._count_free_slots(board, replica, now)) > 0
            ]
            preferred = self._list_preferred(board, request, free)
            return self._draw(board, preferred, now) if free else None
        prompt = current.prompts.get(request.call_id)
        if prompt is None:
            prompt = self._describe_prompt(board, current, request)
            current.prompts[request.call_id] = prompt
        if prompt.part is None:
            return self._find_quickest(board, current, request, prompt, candidates, now)
        if current.has_costs:
            return self._find_cheapest(board, current, request, prompt, candidates, now)
        return self._find_preferred(board, current, request, prompt, candidates, now)

    def _get_state(self, replica: Replica, rank: int) -> ReplicaState:
        """Returns what the round knows of a replica.

        Looking at each compared replica for each request would take most of the time
        of a router that one organisation floods.
        """
        current = self._rounds[replica.service]
        room = current.rooms[replica.replica_id]
        return ReplicaState(
            replica,
            rank,
            free=room.free,
            others=room.others,
            ahead=room.tokens_ahead,
            pace=room.pace,
            capacity=current.capacity,
        )

    def _find_cheapest(
        self,
        board: Blackboard,
        current: Round,
        request: RoutedCall,
        prompt: Prompt,
        candidates: dict[ReplicaId, Replica],
        now: float,
    ) -> Replica | None:
        """Returns the replica with the least expected time, None to wait for it.

        Once in a round the preferred replicas, those that keep the part and the
        quickest others are compared, and later only those that got room.
        """
        assert prompt.part is not None
        if not current.placeable:
            return None
        model = self._reads.model(request.service)
        least_wait = current.waits.get(request.call_id)
        # What a replica without room offers is in the least wait already. A router that
        # is flooded comes here for each waiting request whenever one ends.
        rooms = current.rooms
        compared = [name for name in candidates if rooms[name].requests > 0]
        if least_wait is not None and not compared:
            return None
        if least_wait is None:
            if current.quick is None:
                mean_tokens = self._reads.find_mean_tokens(request.service)
                current.quick = find_quick(
                    current.rooms, model, self._rng, mean_tokens=mean_tokens
                )
            first = islice(prompt.ranks, PREFERRED_RANKS)
            keepers = self._prompts.memory.list_keepers(prompt.part)
            compared = list(dict.fromkeys([*first, *keepers, *current.quick]))
        rivals = max(current.count_waiting() - 1, 0)
        waiting = Waiting(
            self._limits[request.service].mean_seconds,
            rivals / len(current.available),
            rivals / current.placeable,
        )
        offers = []
        for replica_id in compared:
            replica = current.available.get(replica_id)
            if replica is None or not request.may_use(replica_id, now):
                continue
            board.choices.counts.replicas += 1
            offer = self._prompts.make_offer(
                request,
                self._get_state(replica, prompt.ranks[replica_id]),
                model,
                waiting,
                find_limit=lambda tokens: self._find_token_limit(
                    request, tokens, now, backlog_limit=prompt.backlog_limit
                ),
                now=now,
            )
            if offer is not None:
                offers.append(offer)
        if least_wait is None:
            limit = request.wait_limit_at - now
            least_wait = find_least_wait(offers, model, limit=limit)
            current.waits[request.call_id] = least_wait
        zone = board.identity.zone
        chosen = choose_offers(offers, model, least_wait=least_wait, zone=zone)
        if not chosen:
            board.choices.counts.awaited += any(not offer.wait for offer in offers)
            return None
        return self._draw(board, [(one.replica, one.free) for one in chosen], now)

    def _describe_prompt(
        self, board: Blackboard, current: Round, request: RoutedCall
    ) -> Prompt:
        part = find_shared_part(request)
        # Waiting for the cached part costs at most as much as reading it again.
        spill_wait = max(
            SPILL_WAIT_SECONDS,
            self._reads.model(request.service).seconds_per_token
            * request.shared_tokens,
        )
        return Prompt(
            part=part,
            ranks={} if part is None else rank_positions(part, current.available_ids),
            own_tokens=request.own_tokens,
            tokens=request.prompt_tokens,
            backlog_limit=_find_backlog_limit(board, request),
            spill_wait=spill_wait,
        )

    def _find_preferred(
        self,
        board: Blackboard,
        current: Round,
        request: RoutedCall,
        prompt: Prompt,
        candidates: dict[ReplicaId, Replica],
        now: float,
    ) -> Replica | None:
        """Returns the first replica in the order of the part that is in time."""
        assert prompt.part is not None
        waited_seconds = now - request.arrival
        near = []
        for replica_id in candidates:
            index = prompt.ranks[replica_id]
            is_cached = index == 0 or self._is_part_cached(prompt.part, replica_id, now)
            if is_cached or waited_seconds >= prompt.spill_wait * min(
                index, MAX_PREFERRED_REPLICAS
            ):
                near.append((index, replica_id, is_cached))
        if not near:
            return None
        cached_limit = self._find_token_limit(
            request, prompt.own_tokens, now, backlog_limit=prompt.backlog_limit
        )
        if cached_limit < current.least_ahead:
            return None
        uncached_limit = self._find_token_limit(
            request,
            prompt.tokens,
            now,
            backlog_limit=prompt.backlog_limit * SPILL_BACKLOG_FRACTION,
        )
        near.sort()
        for index, replica_id, is_assumed_cached in near:
            board.choices.counts.replicas += 1
            limit = cached_limit if is_assumed_cached else uncached_limit
            replica = current.available[replica_id]
            pace = board.replica_loads.find_pace(replica, now)
            if self._count_tokens_ahead(board, replica, now) * pace > limit:
                continue
            count = self._count_free_slots(board, replica, now)
            if count <= 0 or not request.may_use(replica_id, now):
                continue
            if is_assumed_cached:
                return replica
            is_unpreferred = index >= MAX_PREFERRED_REPLICAS
            min_free = (
                UNPREFERRED_FREE_FRACTION if is_unpreferred else SPILL_FREE_FRACTION
            )
            if count > min_free * self._compute_agreed_window(board, replica, now):
                return replica
        return None

    def _find_quickest(
        self,
        board: Blackboard,
        current: Round,
        request: RoutedCall,
        prompt: Prompt,
        candidates: dict[ReplicaId, Replica],
        now: float,
    ) -> Replica | None:
        """Returns the best replica that meets the target, or None without one.

        Replicas at which the stream would end before its timeout come first, the others
        by the interval between their events, then those that are not much slower than
        usual, then those with the fewest tokens left to read; one of those that are
        equal is drawn.
        """
        token_limit = self._find_token_limit(
            request, prompt.tokens, now, backlog_limit=prompt.backlog_limit
        )
        if token_limit < current.least_ahead:
            return None
        expected_events = self._count_events(board, request)
        board.choices.counts.replicas += len(candidates)
        found = []
        for replica_id, replica in candidates.items():
            room = current.rooms[replica_id]
            if current.has_costs:
                tokens_ahead, pace, count = room.tokens_ahead, room.pace, room.free
            else:
                tokens_ahead, pace = self._count_tokens_ahead(board, replica, now), 1.0
                count = self._count_free_slots(board, replica, now)
            if tokens_ahead * pace > token_limit:
                continue
            if count <= 0 or not request.may_use(replica_id, now):
                continue
            if current.has_costs and not self._prompts.has_memory(
                request,
                replica,
                others=room.others,
                capacity=current.capacity,
                now=now,
            ):
                continue
            interval = self._pace.find_event_interval(replica_id) * pace
            is_in_time = now + expected_events * interval <= request.ends_at
            penalty = 0.0 if is_in_time else interval
            steps = round(math.log(pace, PACE_STEP)) if pace != 1.0 else 0
            found.append(((penalty, max(steps, 0), tokens_ahead), replica, count))
        if not found:
            return None
        least = min(order for order, _, _ in found)
        equal = [(replica, count) for order, replica, count in found if order == least]
        return self._draw(board, equal, now)

    def _count_events(self, board: Blackboard, request: RoutedCall) -> int:
        """Returns how many events the stream of the request is expected to have."""
        tokens_per_event = board.configuration.find_event_tokens(request.service)
        return request.output_tokens // tokens_per_event

    def _is_part_cached(self, part: str, replica_id: ReplicaId, now: float) -> bool:
        used_at = self._part_used_at.get((part, replica_id))
        return used_at is not None and now - used_at < PART_CACHED_SECONDS

    def _record_part_use(self, part: str, replica_id: ReplicaId, now: float) -> None:
        key = (part, replica_id)
        self._part_used_at[key] = now
        self._part_used_at.move_to_end(key)
        while len(self._part_used_at) > MAX_PART_USES:
            self._part_used_at.popitem(last=False)


def find_shared_part(request: CallRequest) -> str | None:
    """Returns the last shared prompt part, or None if the shared ones are small."""
    if not isinstance(request, RoutedCall) or len(request.parts) < 2:
        return None
    if request.shared_tokens < MIN_SHARED_TOKENS:
        return None
    return request.parts[-2].part_id


def _find_backlog_limit(board: Blackboard, request: RoutedCall) -> float:
    """Returns how many seconds the unread prompts at one replica may take."""
    shortest = board.configuration.find_shortest_stream_target(request.service)
    return BACKLOG_TARGET_FRACTION * min(shortest, request.route.target)
