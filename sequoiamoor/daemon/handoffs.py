"""Connections that this router hands to others of its zone, or takes over from them."""

from __future__ import annotations

import functools
import time
from collections.abc import Callable, Iterable
from random import Random
from typing import Any

from ..core.connection_memory import ConnectionKind, ConnectionMemory
from ..core.handoffs import HandoffLimit, HandoffTargets
from ..core.loop_use import LoopUse
from ..errors import HandoffLostError, RouterShuttingDownError
from ..metrics import Metrics
from ..net.refusal_lane import build_response
from ..net.tunnel import Tunnel, TunnelEnd, greet, open_tunnel
from ..types import Address, RouterId
from .serving import build_closed_error

OPEN_TIMEOUT_SECONDS = 0.15
"""Time within which a router must take a connection over. Its own loop is not late as
long as it takes any over."""

LIST_SECONDS = 0.1
"""Time for which the list of routers is used. One that leaves meanwhile refuses."""

ANSWER_SLACK_SECONDS = 0.25
"""Time after the longest timeout of a route in which a router still answers itself."""


class Handoffs:
    """Hands new connections off while this router is short of processor time.

    Attributes:
        use: Part of the time for which the event loop has work.
        limit: Use from which connections are handed off.
        list_targets: Returns the addresses of the routers that may be asked.
        has_room: Whether one more connection may be handed off.
        memory: Memory of the connections of this router. While it is short, none is
            handed off, as the other router would get what this one has no room for, and
            none is taken over.
        find_version: Returns the version of the configuration in force here. Both
            routers need the same.
        is_serving: Whether this router serves requests, and not only refuses them.
        knows_all: Whether this router knows all that it needs to serve any request. One
            that does not takes no connection over.
    """

    def __init__(self, metrics: Metrics, *, rng: Random) -> None:
        self.use = LoopUse()
        self.limit = HandoffLimit()
        self.list_targets: Callable[[], Iterable[tuple[RouterId, Address]]] = tuple
        self.has_room: Callable[[], bool] = lambda: True
        self.memory = ConnectionMemory()
        self.find_version: Callable[[], int] = lambda: 0
        self.is_serving: Callable[[], bool] = lambda: True
        self.knows_all: Callable[[], bool] = lambda: True
        self._metrics = metrics
        self._rng = rng
        self._targets = HandoffTargets(rng)
        self._listed: dict[RouterId, Address] = {}
        self._listed_at = float("-inf")
        self._open = 0
        self._tunnels: set[Tunnel] = set()

    def __len__(self) -> int:
        """Returns the number of connections that other routers serve for this one."""
        return self._open

    @property
    def in_service(self) -> int:
        """Number of requests that other routers serve for this one."""
        return sum(tunnel.has_request for tunnel in self._tunnels)

    def is_due(self) -> bool:
        """Returns whether the next request should be served by another router."""
        probability = self.limit.find_probability(self.use.fraction)
        return probability > 0 and self._rng.random() < probability

    def ends_kept_connection(self) -> bool:
        """Returns whether a caller should connect anew, to be handed off then."""
        if not (self.is_due() and self.is_serving() and self.has_room()):
            return False
        now = time.monotonic()
        return bool(self._targets.list_open(self.find_targets(now), now))

    def find_targets(self, now: float) -> dict[RouterId, Address]:
        """Returns the routers that may be asked, as they were a moment ago.

        Args:
            now: Monotonic time in seconds.
        """
        if now - self._listed_at >= LIST_SECONDS:
            self._listed, self._listed_at = dict(self.list_targets()), now
        return self._listed

    async def hand_off(self, sock: Any) -> bool:
        """Lets another router serve a new connection, if this one is short of time.

        Args:
            sock: Curio socket of the caller, of which nothing was read.

        Returns:
            Whether the connection was served, and has ended.
        """
        if not (self.is_serving() and self.has_room() and self.is_due()):
            return False
        now = time.monotonic()
        if self.memory.is_short(now):
            return False
        if not self.memory.take(ConnectionKind.TUNNEL, now):
            return False
        self._open += 1
        tunnel: Tunnel | None = None
        try:
            router = await self._open_tunnel()
            if router is None:
                return False
            tunnel = Tunnel(
                sock,
                router,
                lost_refusal=_build_lost_refusal(),
                unsent_refusal=_build_unsent_refusal(),
                closed_refusal=_build_closed_refusal(),
            )
            tunnel.take_buffer = lambda: self.memory.take(
                ConnectionKind.BUFFER, time.monotonic()
            )
            end = await self._pass_on(tunnel)
        finally:
            self._open -= 1
            self.memory.give_back(ConnectionKind.TUNNEL)
            if tunnel is not None and tunnel.has_large_buffer:
                self.memory.give_back(ConnectionKind.BUFFER)
        # While its caller reads the rest, the connection takes no one's room.
        if end is TunnelEnd.UNANSWERED or (
            end is TunnelEnd.CLOSED and tunnel.has_answer
        ):
            await tunnel.let_read()
        return True

    async def _pass_on(self, tunnel: Tunnel) -> TunnelEnd:
        self._tunnels.add(tunnel)
        try:
            end = await tunnel.run()
        finally:
            self._tunnels.discard(tunnel)
        self._metrics.handoffs.labels(end).inc()
        return end

    async def _open_tunnel(self) -> Any:
        """Returns a connection to a router that takes over; None if there is none."""
        addresses = self.find_targets(time.monotonic())
        for router_id in self._targets.choose(addresses, time.monotonic()):
            router = await open_tunnel(
                addresses[router_id],
                version=self.find_version(),
                timeout=OPEN_TIMEOUT_SECONDS,
            )
            if router is not None:
                return router
            self._targets.record_refused(router_id, time.monotonic())
            self._metrics.handoffs.labels("refused").inc()
        return None

    def refuse_new(self) -> None:
        """Refuses the requests that begin from now on; the others go on."""
        for tunnel in self._tunnels:
            tunnel.is_refusing = True

    def end_overdue(self, now: float, longest_timeout: float) -> None:
        """Ends connections to routers that neither answer nor end.

        A frozen router acknowledges what it is sent, so that the kernel sees no fault.

        Args:
            now: Monotonic time in seconds.
            longest_timeout: Longest timeout of a route in seconds.
        """
        for tunnel in self._tunnels:
            if tunnel.is_overdue(now, longest_timeout + ANSWER_SLACK_SECONDS):
                tunnel.end()

    def take_over(self, sock: Any) -> bool:
        """Returns whether this router serves the connection of another one's caller.

        Args:
            sock: Curio socket of the other router, which is told so.
        """
        if not (self.is_serving() and self.knows_all()):
            return False
        if self.memory.is_short(time.monotonic()):
            return False
        if not self.limit.may_take_over(self.use.fraction):
            return False
        if not greet(sock, self.find_version()):
            return False
        self._metrics.handoffs_taken_over.inc()
        return True


@functools.cache
def _build_lost_refusal() -> bytes:
    return build_response(
        HandoffLostError(
            "the router that served this request ended its connection before it "
            "answered; if the request may be repeated, send it again"
        )
    )


@functools.cache
def _build_closed_refusal() -> bytes:
    return build_response(build_closed_error(may_have_run=False))


@functools.cache
def _build_unsent_refusal() -> bytes:
    return build_response(
        RouterShuttingDownError(
            "this router shut down before the request could start; send it to another "
            "one",
            retry_after=0.0,
        )
    )
