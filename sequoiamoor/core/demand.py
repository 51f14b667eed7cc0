"""Waiting and running requests of every peer, as last reported."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from ..types import OrganisationName, RouterId, RouterIdentity, ServiceName
from .messages import CounterRow


@dataclass(slots=True)
class Demand:
    """Requests of one organisation for one service, at one or several routers.

    Attributes:
        waiting: Number of waiting requests.
        running: Number of running requests.
        deadline: Monotonic time of the earliest deadline among waiting requests, in
            seconds; infinite without waiting requests.
    """

    waiting: int = 0
    running: int = 0
    deadline: float = float("inf")


Demands = dict[ServiceName, dict[OrganisationName, Demand]]


@dataclass(slots=True)
class _PeerDemand:
    """Requests at one peer.

    Attributes:
        identity: The peer.
        sequence: Sequence of the last report applied.
        demands: Requests by service and organisation.
    """

    identity: RouterIdentity
    sequence: int
    demands: Demands = field(default_factory=dict)


@dataclass(slots=True)
class _CachedSum:
    """Sum of the requests at some peers for one service.

    Attributes:
        routers: The peers.
        demands: Their requests by organisation.
        outdated: Organisations with a report since the sum was built.
    """

    routers: set[RouterId]
    demands: dict[OrganisationName, Demand]
    outdated: set[OrganisationName] = field(default_factory=set)


class DemandTable:
    """Waiting and running requests of the peers, from their reports."""

    def __init__(self) -> None:
        self._peers: dict[RouterId, _PeerDemand] = {}
        self._cached_sums: dict[ServiceName, _CachedSum] = {}

    def apply_report(
        self,
        origin: RouterIdentity,
        sequence: int,
        rows: Iterable[CounterRow],
        now: float,
    ) -> bool:
        """Applies the rows of a report.

        Returns:
            Whether they were applied; False if a later report was applied before.
        """
        peer = self._peers.get(origin.router_id)
        if peer is None or peer.identity.incarnation < origin.incarnation:
            self._cached_sums.clear()
            peer = self._peers[origin.router_id] = _PeerDemand(origin, sequence - 1)
        if peer.identity.incarnation > origin.incarnation or sequence <= peer.sequence:
            return False
        peer.sequence = sequence
        for row in rows:
            cached = self._cached_sums.get(row.service)
            if cached is not None:
                cached.outdated.add(row.organisation)
            peer.demands.setdefault(row.service, {})[row.organisation] = Demand(
                row.waiting,
                row.running,
                float("inf")
                if row.deadline_ms is None
                else now + row.deadline_ms / 1000,
            )
        return True

    def sequence(self, router_id: RouterId) -> int:
        """Returns the sequence of the last report applied, 0 without one."""
        peer = self._peers.get(router_id)
        return 0 if peer is None else peer.sequence

    def of(
        self, router_id: RouterId, service: ServiceName
    ) -> dict[OrganisationName, Demand]:
        """Returns the requests at one peer by organisation."""
        peer = self._peers.get(router_id)
        return {} if peer is None else peer.demands.get(service, {})

    def sum(
        self, service: ServiceName, routers: Collection[RouterId]
    ) -> Mapping[OrganisationName, Demand]:
        """Returns the requests at the given peers together, by organisation.

        Only organisations with a report since the last call are summed again; callers
        must not modify or keep the result.
        """
        cached = self._cached_sums.get(service)
        if cached is None or cached.routers != routers:
            names = {name for router in routers for name in self.of(router, service)}
            cached = _CachedSum(set(routers), {}, names)
            self._cached_sums[service] = cached
        if cached.outdated:
            by_peer = [self.of(router_id, service) for router_id in cached.routers]
            for name in cached.outdated:
                total = _add_up(peer[name] for peer in by_peer if name in peer)
                if total.waiting or total.running:
                    cached.demands[name] = total
                else:
                    cached.demands.pop(name, None)
            cached.outdated.clear()
        return cached.demands

    def forget_except(self, routers: Iterable[RouterId]) -> None:
        """Discards all peers except the given ones."""
        kept_ids = set(routers)
        for router_id in [
            peer_id for peer_id in self._peers if peer_id not in kept_ids
        ]:
            del self._peers[router_id]
            self._cached_sums.clear()


def _add_up(demands: Iterable[Demand]) -> Demand:
    total = Demand()
    for demand in demands:
        total.waiting += demand.waiting
        total.running += demand.running
        if demand.waiting and demand.deadline < total.deadline:
            total.deadline = demand.deadline
    return total
