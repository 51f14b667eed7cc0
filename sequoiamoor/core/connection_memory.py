"""Account of the memory that connections take besides bodies and answers.

A connection costs memory before its request is known: objects, a parser, a partial
head, and what its peer has sent and nobody has read. The costs are fixed amounts, so
that the account does not depend on what the peer sends.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Generic, TypeVar

from .held_bytes import DEFAULT_LIMIT_BYTES, MEGABYTE

KILOBYTE = 1_024

HEAD_BUFFER_BYTES = 16 * KILOBYTE
"""Receive buffer that is asked of the kernel for a connection without an admitted body.
It holds the largest head of the operators' platform. The kernel doubles it."""

BODY_BUFFER_BYTES = 64 * KILOBYTE
"""Receive buffer for a large body. A connection that began with a small buffer cannot
announce a larger window. With a round trip of 40 ms, 4 MB arrive in 3 s."""

LARGE_BODY_BYTES = 16 * KILOBYTE
"""Received bytes of a body, or announced ones, from which it gets that buffer."""

CONNECTION_FRACTION = 0.7
"""Room for connections as a fraction of that for bodies. With it a router of the
smallest VMs, which have 128 MB, keeps as many connections open as its default limit."""

MIN_LIMIT_BYTES = 2 * MEGABYTE
"""Room for some 200 connections, with which a router still starts on a small VM."""

OPEN_FRACTION = 0.75
"""Fraction of the room that open connections may take, so that idle ones do not prevent
a request from being received."""

RECEIVING_FRACTION = 0.5
"""Fraction of the room that all other kinds may take together, so that requests which
arrive slowly leave room for new connections."""

BUFFER_FRACTION = 0.25
"""Fraction of the room of these kinds up to which large receive buffers are given. They
only make a body faster."""

SHORT_FRACTION = 0.75
"""Fraction of the room of these kinds from which no connection is handed off or taken
over."""

SHORT_SECONDS = 1.0
"""Time after a refusal for lack of room in which the process counts as short of it."""

STALLED_SECONDS = 1.0
"""Time without a byte after which a body may be ended to make room for another one."""


class ConnectionKind(StrEnum):
    """What a connection takes memory for."""

    OPEN = "connection"
    RECEIVING = "receiving"
    BUFFER = "receive-buffer"
    TUNNEL = "tunnel"


COSTS = {
    ConnectionKind.OPEN: 15 * KILOBYTE // 2,
    ConnectionKind.RECEIVING: 2 * HEAD_BUFFER_BYTES + 16 * KILOBYTE,
    ConnectionKind.BUFFER: 2 * BODY_BUFFER_BYTES,
    ConnectionKind.TUNNEL: 2 * HEAD_BUFFER_BYTES + 16 * KILOBYTE,
}
"""Bytes of each kind: objects of an idle connection; the kernel's receive buffer with
a parser and a partial head; the larger receive buffer; the kernel's buffer, a piece on
its way and the objects of a tunnel."""


def find_connection_limit(held_limit: int) -> int:
    """Returns how many bytes connections may take.

    Args:
        held_limit: Bytes that may be held for bodies and answers, which is half of what
            the process has for both and for copies.
    """
    return max(int(held_limit * CONNECTION_FRACTION), MIN_LIMIT_BYTES)


@dataclass(slots=True)
class ConnectionMemory:
    """Memory of connections by kind.

    Attributes:
        limit: Largest sum in bytes.
        total: Sum in bytes.
        peak: Largest sum that was taken, in bytes.
        by_kind: Bytes by kind.
        refused: Times that there was no room, by kind.
        refused_at: Monotonic time in seconds of the last such time.
    """

    limit: int = find_connection_limit(DEFAULT_LIMIT_BYTES)
    total: int = 0
    peak: int = 0
    by_kind: Counter[ConnectionKind] = field(default_factory=Counter)
    refused: Counter[ConnectionKind] = field(default_factory=Counter)
    refused_at: float = float("-inf")

    def has_room(self, kind: ConnectionKind) -> bool:
        """Returns whether one more of a kind can be taken."""
        cost = COSTS[kind]
        if self.total + cost > self.limit:
            return False
        if kind is ConnectionKind.OPEN:
            return self.by_kind[kind] + cost <= self.limit * OPEN_FRACTION
        is_buffer = kind is ConnectionKind.BUFFER
        fraction = BUFFER_FRACTION if is_buffer else RECEIVING_FRACTION
        return self._transient + cost <= self.limit * fraction

    @property
    def _transient(self) -> int:
        """Bytes of requests that arrive and of tunnels."""
        return self.total - self.by_kind[ConnectionKind.OPEN]

    def take(self, kind: ConnectionKind, now: float) -> bool:
        """Takes the memory of one more of a kind; returns False if there is none.

        Args:
            kind: What it is for.
            now: Monotonic time in seconds.
        """
        if self.has_room(kind):
            self.add(kind)
            return True
        # Without a large buffer a body is only slower.
        if kind is not ConnectionKind.BUFFER:
            self.refused[kind] += 1
            self.refused_at = now
        return False

    def add(self, kind: ConnectionKind) -> None:
        """Counts one more of a kind that is there already."""
        self.by_kind[kind] += COSTS[kind]
        self.total += COSTS[kind]
        self.peak = max(self.peak, self.total)

    def give_back(self, kind: ConnectionKind) -> None:
        """Gives back the memory of one of a kind."""
        cost = COSTS[kind]
        self.by_kind[kind] -= cost
        self.total -= cost

    def is_short(self, now: float) -> bool:
        """Returns whether there is little room, or was none a moment ago."""
        return (
            self._transient > self.limit * RECEIVING_FRACTION * SHORT_FRACTION
            or now - self.refused_at < SHORT_SECONDS
        )


RequestT = TypeVar("RequestT", bound=Hashable)


class ReceivingRequests(Generic[RequestT]):
    """Requests that are being received, in the order of their last byte."""

    def __init__(self) -> None:
        self._moved_at: OrderedDict[RequestT, float] = OrderedDict()
        self._owners: dict[RequestT, str | None] = {}
        self._sizes: dict[RequestT, int] = {}

    def __len__(self) -> int:
        """Returns the number of requests."""
        return len(self._moved_at)

    def move(self, request: RequestT, now: float) -> None:
        """Records that bytes of a request have arrived.

        Args:
            request: The request.
            now: Monotonic time in seconds.
        """
        self._moved_at[request] = now
        self._moved_at.move_to_end(request)
        self._owners.setdefault(request, None)
        self._sizes.setdefault(request, COSTS[ConnectionKind.RECEIVING])

    def set_body(self, request: RequestT, owner: str | None, size: int) -> None:
        """Records the room that the body of a request takes, and its organisation."""
        if request in self._moved_at:
            self._owners[request] = owner
            self._sizes[request] = COSTS[ConnectionKind.RECEIVING] + size

    def remove(self, request: RequestT) -> None:
        """Removes a request, if it is there."""
        self._moved_at.pop(request, None)
        self._owners.pop(request, None)
        self._sizes.pop(request, None)

    def find_stalled(self, now: float) -> RequestT | None:
        """Returns the request that should end to make room, if any may.

        Of the organisation whose bodies take most, it is the one of which nothing has
        arrived for longest; None if that is not long.

        Args:
            now: Monotonic time in seconds.
        """
        # Most calls end here; the sums take a pass over all requests.
        oldest = next(iter(self._moved_at.values()), now)
        if now - oldest < STALLED_SECONDS:
            return None
        sums: Counter[str | None] = Counter()
        for request, size in self._sizes.items():
            sums[self._owners[request]] += size
        owner = max(sums, key=lambda name: sums[name])
        for request, moved_at in self._moved_at.items():
            if now - moved_at < STALLED_SECONDS:
                return None
            if self._owners[request] == owner:
                return request
        return None
