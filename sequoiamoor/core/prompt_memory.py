"""Tokens that the requests of replicas hold, and prompt parts that replicas keep."""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field, replace

from ..types import ReplicaId, ServiceName
from .routed_call import RoutedCall
from .upstreams import Replica

USABLE_FRACTION = 0.9
"""Part of a replica's memory that requests may take. A replica that runs out of memory
ends, and the lengths of outputs and the requests of other routers are estimates."""

PART_KEPT_SECONDS = 8.0
"""Time since its last use for which a replica is taken to keep a prompt part. The parts
that other routers send there are not known, and displace it."""

MAX_KEPT_PARTS = 512
"""Parts that are remembered for a replica."""

TOKENS_SMOOTHING_WEIGHT = 0.02
"""Weight of the newest request in the moving average of the tokens of a request."""

DEFAULT_TOKENS = 4_000.0
"""Assumed tokens of a request before any has started. A router that starts among others
would else take their requests for empty ones."""

_ProcessKey = tuple[ReplicaId, int]


def count_tokens(request: RoutedCall) -> int:
    """Returns the tokens that a request will hold: prompt and expected output."""
    return request.prompt_tokens + request.output_tokens


@dataclass(slots=True)
class _Kept:
    """A prompt part that this router sent to a replica.

    Attributes:
        tokens: Tokens of the part.
        used_at: Monotonic time in seconds of the last request with it.
    """

    tokens: int
    used_at: float


@dataclass(slots=True)
class _ProcessMemory:
    """What this router knows of the memory of one process.

    Attributes:
        incarnation: The process.
        since: Monotonic time in seconds at which it replaced an earlier process;
            minus infinity for the first one known.
        requests: This router's requests that run there.
        tokens: Their tokens.
        kept: Parts by identifier, the least recently used first.
        kept_tokens: Their tokens.
    """

    incarnation: int
    since: float
    requests: int = 0
    tokens: int = 0
    kept: OrderedDict[str, _Kept] = field(default_factory=OrderedDict)
    kept_tokens: int = 0

    def evict(self, limit: float) -> None:
        """Discards the least recently used parts until the others fit."""
        while self.kept and (
            self.kept_tokens > limit or len(self.kept) > MAX_KEPT_PARTS
        ):
            _, part = self.kept.popitem(last=False)
            self.kept_tokens -= part.tokens


@dataclass(slots=True)
class PromptMemory:
    """Memory of the replicas, as far as one router knows it."""

    _processes: dict[ReplicaId, _ProcessMemory] = field(default_factory=dict)
    _running: dict[str, tuple[_ProcessKey, int]] = field(default_factory=dict)
    _mean_tokens: dict[ServiceName, float] = field(default_factory=dict)
    _keepers: dict[str, set[ReplicaId]] = field(default_factory=dict)

    def copy(self) -> PromptMemory:
        """Returns a memory that can be changed on its own."""
        return PromptMemory(
            {
                replica_id: replace(memory, kept=memory.kept.copy())
                for replica_id, memory in self._processes.items()
            },
            dict(self._running),
            dict(self._mean_tokens),
            {part_id: set(keepers) for part_id, keepers in self._keepers.items()},
        )

    def _get(self, replica: Replica, now: float) -> _ProcessMemory:
        memory = self._processes.get(replica.replica_id)
        if memory is None or memory.incarnation != replica.incarnation:
            # An incarnation that becomes known is not a new process.
            is_new = memory is not None and memory.incarnation > 0
            memory = _ProcessMemory(replica.incarnation, now if is_new else -math.inf)
            self._processes[replica.replica_id] = memory
        return memory

    def start(self, request: RoutedCall, replica: Replica, now: float) -> None:
        """Counts a request that starts, and the shared parts that it brings along."""
        memory = self._get(replica, now)
        tokens = count_tokens(request)
        self._running[request.call_id] = (
            (replica.replica_id, replica.incarnation),
            tokens,
        )
        memory.requests += 1
        memory.tokens += tokens
        mean = self._mean_tokens.get(request.service, float(tokens))
        mean += TOKENS_SMOOTHING_WEIGHT * (tokens - mean)
        self._mean_tokens[request.service] = mean
        # The first parts last, so that those are kept longest without which the later
        # ones are of no use.
        for part in reversed(request.parts[:-1]):
            earlier = memory.kept.pop(part.part_id, None)
            memory.kept_tokens += part.tokens - (earlier.tokens if earlier else 0)
            memory.kept[part.part_id] = _Kept(part.tokens, now)
            self._keepers.setdefault(part.part_id, set()).add(replica.replica_id)
        memory.evict(math.inf)

    def finish(self, call_id: str) -> None:
        """Counts a request as ended, if it was counted."""
        key, tokens = self._running.pop(call_id, (None, 0))
        memory = None if key is None else self._processes.get(key[0])
        if memory is not None and key is not None and memory.incarnation == key[1]:
            memory.requests -= 1
            memory.tokens -= tokens

    def find_left(
        self, replica: Replica, *, others: int, capacity: int | None, now: float
    ) -> float:
        """Returns the tokens that the running requests of a replica leave.

        Args:
            replica: The replica.
            others: Requests of other routers there.
            capacity: Tokens that it can hold; None if it is not declared.
            now: Monotonic time in seconds.
        """
        if capacity is None:
            return math.inf
        memory = self._get(replica, now)
        uncounted = others + max(replica.in_use - memory.requests, 0)
        mean = self._mean_tokens.get(replica.service, DEFAULT_TOKENS)
        return USABLE_FRACTION * capacity - memory.tokens - uncounted * mean

    def count_cached(
        self,
        request: RoutedCall,
        replica: Replica,
        *,
        left: float,
        is_first: bool,
        now: float,
    ) -> int:
        """Returns the tokens of a prompt that a replica is expected to keep.

        Args:
            request: The request.
            replica: The replica.
            left: Tokens that its running requests leave. Parts beyond them are
                discarded, the least recently used ones first.
            is_first: Whether it is the first in the order of the prompt's part, to
                which all routers send it.
            now: Monotonic time in seconds.
        """
        memory = self._get(replica, now)
        memory.evict(max(left, 0.0))
        tokens = 0
        for part in request.parts[:-1]:
            kept = memory.kept.get(part.part_id)
            if kept is None or now - kept.used_at >= PART_KEPT_SECONDS:
                break
            tokens += part.tokens
        if (
            is_first
            and now - memory.since >= PART_KEPT_SECONDS
            and memory.kept_tokens + request.shared_tokens <= left
        ):
            return request.shared_tokens
        return tokens

    def list_keepers(self, part_id: str) -> tuple[ReplicaId, ...]:
        """Returns the replicas that this router sent a part to and that may keep it."""
        keepers = self._keepers.get(part_id)
        if keepers is None:
            return ()
        for replica_id in list(keepers):
            if part_id not in self._processes[replica_id].kept:
                keepers.discard(replica_id)
        if not keepers:
            del self._keepers[part_id]
        return tuple(sorted(keepers))

    def forget_old(self, replicas: dict[ReplicaId, Replica], now: float) -> None:
        """Discards replicas that are gone and parts that were not used for long."""
        for replica_id, memory in list(self._processes.items()):
            kept = memory.kept
            while kept and now - next(iter(kept.values())).used_at >= PART_KEPT_SECONDS:
                _, part = kept.popitem(last=False)
                memory.kept_tokens -= part.tokens
            if replica_id not in replicas:
                memory.kept.clear()
                memory.kept_tokens = 0
        for part_id in list(self._keepers):
            self.list_keepers(part_id)
        for replica_id in self._processes.keys() - replicas.keys():
            del self._processes[replica_id]
