"""What the choices of starts within a short time share."""

from __future__ import annotations

import math
import sys
from collections.abc import Mapping
from dataclasses import dataclass, field

from ..types import ReplicaId
from .fairness import ServiceView
from .upstreams import Replica

ROUND_SECONDS = 0.02
"""Time for which starts are chosen with one look at all replicas and organisations.

In between only what changes at this router is looked at: a router under a flood would
otherwise look at everything for each arrival, first event and end."""


@dataclass(slots=True)
class Room:
    """What a replica can take.

    Attributes:
        requests: Requests that it can take now.
        excess: Requests above its window.
        tokens_ahead: Prompt tokens that it has yet to read.
        pace: Time that work takes there, as a multiple of the usual time.
        free: Free slots; negative if it has more requests than slots.
        others: Requests of other routers there.
    """

    requests: int = 0
    excess: int = 0
    tokens_ahead: int = 0
    pace: float = 1.0
    free: int = 0
    others: int = 0


@dataclass(frozen=True, slots=True)
class Prompt:
    """What decides the replica for the prompt of a waiting request.

    Attributes:
        part: Shared part that decides it, or None if the prompt has none.
        ranks: Positions of the available replicas in the order that the part prefers.
        own_tokens: Tokens that no other request shares.
        tokens: All tokens.
        backlog_limit: Seconds that unread prompts may take at a replica.
        spill_wait: Seconds to wait for each replica that is preferred to another one.
    """

    part: str | None
    ranks: Mapping[ReplicaId, int]
    own_tokens: int
    tokens: int
    backlog_limit: float
    spill_wait: float


@dataclass(slots=True)
class Round:
    """What the choices of starts for one service share for ``ROUND_SECONDS``.

    Attributes:
        ends_at: Monotonic time in seconds of the next look at everything.
        view: All organisations with waiting or running requests.
        windows: Requests that this router would let each replica run at once.
        available: Replicas that may get work.
        most: Requests that they could take if they had none.
        placeable: Requests that they can take.
        excess: Requests that they have above their windows.
        read_limit: Seconds that unread prompts may take; infinite without a limit.
        mean_read_seconds: Seconds that reading a prompt takes in the mean.
        seconds_per_token: Seconds that reading a token takes.
        has_rates: Whether the rates of organisations were computed in it.
        least_ahead: Lower bound of the prompt tokens that any of them has to read.
        gains: Replicas that got room, or less to read, in order.
        prompts: Prompts of the waiting requests that were looked at.
        tried: Waiting requests that found no replica, each with the number of gains
            that it has seen.
        has_costs: Whether prompts are placed by the comparison of expected times, since
            the replicas report their load.
        capacity: Tokens that a replica can hold; None if it is not declared.
        waits: Least expected time at a replica to wait for, of each request whose
            offers were compared.
        quick: Replicas with room that have least to read; None before the first look.
    """

    ends_at: float
    view: ServiceView
    windows: dict[ReplicaId, int]
    available: dict[ReplicaId, Replica]
    most: int = 0
    placeable: int = 0
    excess: int = 0
    read_limit: float = math.inf
    mean_read_seconds: float = 1.0
    seconds_per_token: float = 0.0
    has_rates: bool = False
    least_ahead: float = math.inf
    gains: list[ReplicaId] = field(default_factory=list)
    prompts: dict[str, Prompt] = field(default_factory=dict)
    tried: dict[str, int] = field(default_factory=dict)
    has_costs: bool = False
    capacity: int | None = None
    waits: dict[str, float] = field(default_factory=dict)
    quick: tuple[ReplicaId, ...] | None = None
    _available_ids: tuple[ReplicaId, ...] = ()
    _rooms: dict[ReplicaId, Room] = field(default_factory=dict)

    @property
    def available_ids(self) -> tuple[ReplicaId, ...]:
        """Identifiers of the available replicas, the same object for a round."""
        if not self._available_ids:
            self._available_ids = tuple(self.available)
        return self._available_ids

    @property
    def rooms(self) -> Mapping[ReplicaId, Room]:
        """What the available replicas can take."""
        return self._rooms

    def count_waiting(self) -> int:
        """Returns the waiting requests of all routers."""
        return sum(state.waiting for state in self.view.organisations.values())

    def count_readable(self, tokens_ahead: int) -> int:
        """Returns how many prompts a replica can read in time after those ahead.

        An engine with many slots takes only as many prompts as it can read in time.
        """
        if math.isinf(self.read_limit):
            return sys.maxsize
        left = self.read_limit - self.seconds_per_token * tokens_ahead
        return max(math.ceil(left / self.mean_read_seconds), 0)

    def set_room(self, replica_id: ReplicaId, room: Room) -> None:
        """Sets what a replica can take."""
        previous = self._rooms.get(replica_id, Room())
        self.placeable += room.requests - previous.requests
        self.excess += room.excess - previous.excess
        self.least_ahead = min(self.least_ahead, room.tokens_ahead)
        self._rooms[replica_id] = room

    def take_tokens(self, replica_id: ReplicaId, tokens: int) -> None:
        """Counts tokens that a replica has to read for a request that starts."""
        self._rooms[replica_id].tokens_ahead += tokens

    def take_place(self, replica_id: ReplicaId) -> None:
        """Counts a request that starts at a replica."""
        room = self._rooms[replica_id]
        room.free -= 1
        if room.requests:
            room.requests -= 1
            self.placeable -= 1

    def may_try(self, call_id: str) -> bool:
        """Returns whether a request was not tried at all replicas yet."""
        return self.tried.get(call_id) != len(self.gains)

    def list_candidates(self, call_id: str) -> dict[ReplicaId, Replica]:
        """Returns the replicas at which a request was not tried in vain yet."""
        seen = self.tried.get(call_id)
        self.tried[call_id] = len(self.gains)
        if seen is None:
            return self.available
        return {
            replica_id: self.available[replica_id] for replica_id in self.gains[seen:]
        }
