"""Routers that send to cold replicas, which tolerate few requests a second.

At most ``SENDERS_PER_REPLICA`` routers send to a cold replica, each at a pace of its
own, so that the sum holds although the routers may not be connected to each other.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from ..types import ReplicaId, RouterIdentity, ServiceName, ZoneName
from .rendezvous import rank_candidates

SENDERS_PER_REPLICA = 2
"""Routers that may send to one cold replica."""

MAX_SENDERS = 3
"""Routers that may send to it for a moment, while two of them do not know yet that a
third one has come before them in the order. Their sum must be within the limit."""

SETTLE_SECONDS = 4.0
"""Time after the start of a router, or after it was suspended, in which it sends
nothing to cold replicas, since it does not know its present peers."""

PAUSE_LIMIT_SECONDS = 1.0
"""A longer time between two steps means that this router was suspended."""

WINDOW_SECONDS = 1.0
"""Time in which the requests to a cold replica are limited."""


@dataclass(frozen=True, slots=True)
class ColdLimits:
    """What the replicas of a service tolerate while they are cold.

    Attributes:
        seconds: Time for which a replica is cold after its start.
        per_second: Requests a second, over all routers; 0 without a limit.
    """

    seconds: float = 0.0
    per_second: float = 0.0


class ColdSenders:
    """Who sends to cold replicas, and at which pace.

    Args:
        own: This router.
        read_time: Clock in seconds that counts suspended time.

    Attributes:
        overshoot: Factor of the requests a second that a cold replica tolerates.
        extra: Requests that it tolerates on top of that in any second.
        declared: Limits by service.
        refresh_declared: Updates ``declared`` if the configuration has changed.
        routers_version: Increases when the routers that may send change.
    """

    def __init__(
        self,
        own: RouterIdentity,
        *,
        read_time: Callable[[], float],
        overshoot: float,
        extra: float,
    ) -> None:
        self._own = own
        self._read_time = read_time
        self._stepped_at = read_time()
        self._settled_at = math.inf
        self._restarted_at = self._stepped_at
        self._routers: dict[ZoneName, tuple[str, ...]] = {}
        self.overshoot = overshoot
        self.extra = extra
        self.declared: Mapping[ServiceName, ColdLimits] = {}
        self.refresh_declared: Callable[[], None] = lambda: None
        self.routers_version = 0

    def find_limits(self, service: ServiceName) -> ColdLimits:
        """Returns what the cold replicas of a service tolerate."""
        self.refresh_declared()
        return self.declared.get(service, _NO_LIMITS)

    def find_pace(self, service: ServiceName) -> float:
        """Returns the requests a second that one sender may start at a cold replica."""
        per_second = self.find_limits(service).per_second
        # Each sender may exceed its pace by one request in any second.
        most = per_second * self.overshoot + self.extra - MAX_SENDERS
        return max(min(per_second / SENDERS_PER_REPLICA, most / MAX_SENDERS), 0.0)

    def find_window(self, service: ServiceName) -> int:
        """Returns the requests that one sender may send to it in any second."""
        pace = self.find_pace(service)
        return math.floor(pace * WINDOW_SECONDS) + 1 if pace else 0

    # Routers.

    def step(self, routers: Iterable[RouterIdentity]) -> None:
        """Applies which routers may send: those not known to have ended or to leave.

        A silent router may still send, cut off from this one, so it keeps its place.

        Args:
            routers: The routers, this one included unless it leaves.
        """
        self.is_settled()
        self._stepped_at = self._read_time()
        by_zone: dict[ZoneName, list[str]] = {}
        for router in routers:
            by_zone.setdefault(router.zone, []).append(router.router_id)
        ranked = {zone: tuple(sorted(ids)) for zone, ids in by_zone.items()}
        if ranked != self._routers:
            self._routers = ranked
            self.routers_version += 1

    def settle(self) -> None:
        """Records that the routers of the fleet were read after this one was listed."""
        if math.isinf(self._settled_at):
            self._settled_at = max(
                self._restarted_at + SETTLE_SECONDS,
                self._read_time() + PAUSE_LIMIT_SECONDS,
            )

    @property
    def wants_routers(self) -> bool:
        """Whether the routers of the fleet have to be read."""
        return math.isinf(self._settled_at)

    def is_settled(self) -> bool:
        """Returns whether this router knows its peers well enough to send."""
        now = self._read_time()
        if now - self._stepped_at > PAUSE_LIMIT_SECONDS:
            self._restarted_at, self._settled_at = now, math.inf
        return now >= self._settled_at

    def is_sender(self, replica_id: ReplicaId, zone: ZoneName) -> bool:
        """Returns whether this router may send to a replica while it is cold.

        The first routers of the replica's zone may. If the zone has none, those of one
        other zone may, which is the same on both sides of a partition between zones.
        """
        if zone not in self._routers and self._routers:
            zone = rank_candidates(replica_id, tuple(sorted(self._routers)))[0]
        ranked = rank_candidates(replica_id, self._routers.get(zone, ()))
        return self._own.router_id in ranked[:SENDERS_PER_REPLICA]


_NO_LIMITS = ColdLimits()
