"""Comparison of reading a prompt again with waiting for a replica that keeps it."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from random import Random

from ..types import ReplicaId, ZoneName
from .prefill import FirstEventModel
from .prompt_memory import PromptMemory, count_tokens
from .rounds import Room
from .routed_call import RoutedCall
from .upstreams import Replica

EQUAL_SECONDS_FRACTION = 0.1
"""Difference of expected times that does not decide. They are estimates, and with exact
ones all routers would choose the same replica at the same time."""

DEFAULT_HOLD_SECONDS = 1.0
"""Time for which a request holds its slot, before any has ended."""

SPARE_FRACTION = 0.5
"""Part of the slots that a replica leaves to prompts that it keeps while requests wait.
All routers read of the same free slots; without the margin each waiting request of each
router takes any of them, and most then wait in the queue of the replica. With 0.3 of
the slots 5 % fewer were served in time in trials above the slots of the fleet."""

FULL_CONTENTION = 0.25
"""Waiting requests for each free place from which on the whole margin holds. A quarter
of them choose a place before the next report of it."""

PREFERRED_RANKS = 4
"""Replicas first in the order of a prompt part that are always compared. Copies of a
part that does not fit one replica come to the same few for all routers."""

MIN_DELAYED_REQUESTS = 1.0
"""Requests that reading a shared prompt again is taken to delay at least: the next one
at the replica, also while none waits at a router."""

QUICK_STEP_SECONDS = 0.02
"""Difference of expected times between replicas that are not drawn as equals."""

QUICK_REPLICAS = 3
"""Other replicas that are compared: those that have room and least to read."""


@dataclass(frozen=True, slots=True)
class Offer:
    """What a replica offers a request.

    Attributes:
        replica: The replica.
        rank: Its position in the order that the part of the prompt prefers.
        free: Free slots.
        tokens: Tokens of the prompt that it has to read.
        shared_tokens: Those of them that another replica may keep.
        delayed: Waiting requests that this reading delays.
        ahead: Tokens of other prompts that it has to read before.
        pace: Time that work takes there, as a multiple of the usual time.
        wait: Seconds until the request may start there; 0 if it may now.
    """

    replica: Replica
    rank: int
    free: int
    tokens: int
    shared_tokens: int
    delayed: float
    ahead: int
    pace: float
    wait: float = 0.0

    def find_seconds(self, model: FirstEventModel) -> float:
        """Returns the expected seconds from now to the first event.

        Reading shared tokens again counts for the requests that it delays, too. While
        all replicas are busy it costs more than the slot saves.
        """
        tokens = self.ahead + self.tokens + self.shared_tokens * self.delayed
        read = tokens * model.seconds_per_token * self.pace
        return self.wait + model.base_seconds + read


def expect_wait(
    *,
    hold_seconds: float | None,
    pace: float,
    running: int,
    excess: int,
    rivals: float,
    waited: float,
) -> float:
    """Returns the seconds until a request is expected to get a slot of a full replica.

    Args:
        hold_seconds: Mean time for which requests hold a slot, if known.
        pace: Time that work takes there, as a multiple of the usual time.
        running: Requests that run there.
        excess: Requests there above its slots.
        rivals: Other waiting requests of all routers for each replica, of which half
            are taken to come first.
        waited: Seconds that the request has waited. It is taken to wait as long
            again at least: a wait that was underestimated before is not believed.
    """
    hold = DEFAULT_HOLD_SECONDS if hold_seconds is None else hold_seconds
    seconds = hold * pace / max(running, 1) * (1 + excess + rivals / 2)
    return max(seconds, waited)


def find_least_wait(
    offers: Iterable[Offer], model: FirstEventModel, *, limit: float
) -> float:
    """Returns the least expected time at the replicas that a request may wait for.

    Args:
        offers: What the replicas offer.
        model: Model of the time to the first event.
        limit: Seconds that the request may still wait.
    """
    return min(
        (offer.find_seconds(model) for offer in offers if 0 < offer.wait <= limit),
        default=math.inf,
    )


def choose_offers(
    offers: Sequence[Offer],
    model: FirstEventModel,
    *,
    least_wait: float,
    zone: ZoneName | None = None,
) -> list[Offer]:
    """Returns the offers of which one is to be drawn; none if the request should wait.

    Of several that are about equally good, the first in the order of the prompt's part
    is the only one, if it is one of ``PREFERRED_RANKS``; otherwise those of the
    router's zone come before others.

    Args:
        offers: What the replicas offer.
        model: Model of the time to the first event.
        least_wait: Least expected time at a replica that the request may wait for.
        zone: Zone of this router; None to treat all alike.
    """
    timed = [(offer.find_seconds(model), offer) for offer in offers if not offer.wait]
    if not timed:
        return []
    least = min(seconds for seconds, _ in timed)
    if least_wait < least * (1 - EQUAL_SECONDS_FRACTION):
        return []
    limit = least * (1 + EQUAL_SECONDS_FRACTION)
    near = [offer for seconds, offer in timed if seconds <= limit]
    first = min(near, key=lambda offer: offer.rank)
    if first.rank < PREFERRED_RANKS:
        return [first]
    return [offer for offer in near if offer.replica.zone == zone] or near


def find_quick(
    rooms: Mapping[ReplicaId, Room],
    model: FirstEventModel,
    rng: Random,
    *,
    mean_tokens: float,
) -> tuple[ReplicaId, ...]:
    """Returns the replicas with room that read a prompt first, a few of them.

    Of those that are about equally good, each is drawn by its room.

    Args:
        rooms: What the replicas can take.
        model: Model of the time to the first event.
        rng: Source of random numbers.
        mean_tokens: Tokens that are read of a prompt in the mean.
    """

    def rank(item: tuple[ReplicaId, Room]) -> tuple[int, float]:
        room = item[1]
        tokens = room.tokens_ahead + mean_tokens
        seconds = tokens * model.seconds_per_token * room.pace
        return int(seconds / QUICK_STEP_SECONDS), -(rng.random() ** (1 / room.requests))

    with_room = [item for item in rooms.items() if item[1].requests > 0]
    quickest = heapq.nsmallest(QUICK_REPLICAS, with_room, key=rank)
    return tuple(replica_id for replica_id, _ in quickest)


@dataclass(frozen=True, slots=True)
class ReplicaState:
    """What a router knows of a replica when it looks for a start.

    Attributes:
        replica: The replica.
        rank: Its position in the order that the part of the prompt prefers.
        free: Free slots; negative if it has more requests than slots.
        others: Requests of other routers there.
        ahead: Prompt tokens that it has yet to read.
        pace: Time that work takes there, as a multiple of the usual time.
        capacity: Tokens that it can hold; None if this is not declared.
    """

    replica: Replica
    rank: int
    free: int
    others: int
    ahead: int
    pace: float
    capacity: int | None


@dataclass(frozen=True, slots=True)
class Waiting:
    """What decides how long a request waits for a slot.

    Attributes:
        hold_seconds: Mean time for which requests hold a slot, if known.
        rivals: Other waiting requests of all routers for each replica.
        contention: Those for each free place.
    """

    hold_seconds: float | None
    rivals: float
    contention: float

    def find_margin(self, state: ReplicaState) -> float:
        """Returns the free slots of a replica left to prompts that it keeps.

        An idle one has room for one request at least, also while it is cold.
        """
        running = state.others + state.replica.in_use
        if not running:
            return 0.0
        slots = state.free + running
        return SPARE_FRACTION * slots * min(self.contention / FULL_CONTENTION, 1.0)


class PromptCosts:
    """Makes offers of replicas from what a router knows of them.

    Attributes:
        memory: Memory of the replicas.
    """

    def __init__(self) -> None:
        self.memory = PromptMemory()

    def _find_left(self, state: ReplicaState, now: float) -> float:
        return self.memory.find_left(
            state.replica, others=state.others, capacity=state.capacity, now=now
        )

    def has_memory(
        self,
        request: RoutedCall,
        replica: Replica,
        *,
        others: int,
        capacity: int | None,
        now: float,
    ) -> bool:
        """Returns whether a replica can hold a request beside those that it runs.

        One that runs nothing takes any request that fits its whole memory.

        Args:
            request: The request.
            replica: The replica.
            others: Requests of other routers there.
            capacity: Tokens that it can hold; None if this is not declared.
            now: Monotonic time in seconds.
        """
        if capacity is None:
            return True
        tokens = count_tokens(request)
        left = self.memory.find_left(replica, others=others, capacity=capacity, now=now)
        is_idle = not others and not replica.in_use
        return tokens <= left or (is_idle and tokens <= capacity)

    def count_tokens_to_read(
        self, request: RoutedCall, state: ReplicaState, now: float
    ) -> int:
        """Returns the tokens of a prompt that a replica does not keep."""
        cached = self.memory.count_cached(
            request,
            state.replica,
            left=self._find_left(state, now),
            is_first=state.rank == 0,
            now=now,
        )
        return request.prompt_tokens - cached

    def make_offer(
        self,
        request: RoutedCall,
        state: ReplicaState,
        model: FirstEventModel,
        waiting: Waiting,
        *,
        find_limit: Callable[[int], float],
        now: float,
    ) -> Offer | None:
        """Returns what a replica offers; None if the request should not wait for it.

        A request waits only for a replica that keeps a part of its prompt.

        Args:
            request: The request.
            state: The replica.
            model: Model of the time to the first event.
            waiting: What decides how long the request waits.
            find_limit: Returns the tokens ahead with which a prompt of some tokens is
                read in time.
            now: Monotonic time in seconds.
        """
        tokens = self.count_tokens_to_read(request, state, now)
        excess = max(-state.free, 0)
        is_kept = tokens <= request.own_tokens
        margin = 0.0 if is_kept else waiting.find_margin(state)
        wait = 0.0
        has_memory = self.has_memory(
            request,
            state.replica,
            others=state.others,
            capacity=state.capacity,
            now=now,
        )
        if state.free <= margin or not has_memory:
            wait = expect_wait(
                hold_seconds=waiting.hold_seconds,
                pace=state.pace,
                running=state.others + state.replica.in_use + min(state.free, 0),
                excess=excess,
                rivals=waiting.rivals,
                waited=now - request.arrival,
            )
        else:
            late = state.ahead * state.pace - find_limit(tokens)
            if late > 0:
                wait = max(late * model.seconds_per_token, now - request.arrival)
        if wait and tokens == request.prompt_tokens:
            return None
        if state.capacity is not None and count_tokens(request) > state.capacity:
            return None
        return Offer(
            state.replica,
            state.rank,
            state.free,
            tokens,
            max(tokens - request.own_tokens, 0),
            max(waiting.rivals, MIN_DELAYED_REQUESTS),
            state.ahead,
            state.pace,
            wait,
        )
