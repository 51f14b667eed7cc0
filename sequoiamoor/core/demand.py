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


class DemandTable:
    """Waiting and running requests of the peers, from their reports."""

    def __init__(self) -> None:
        self._peers: dict[RouterId, _PeerDemand] = {}
        self._cached_sums: dict[
            ServiceName, tuple[set[RouterId], dict[OrganisationName, Demand]]
        ] = {}

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
            self._cached_sums.pop(row.service, None)
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

        The sum is cached until a peer reports a change; callers must not modify it.
        """
        cached = self._cached_sums.get(service)
        if cached is not None and cached[0] == routers:
            return cached[1]
        demand_by_organisation: dict[OrganisationName, Demand] = {}
        self._cached_sums[service] = (set(routers), demand_by_organisation)
        for router_id in routers:
            for name, peer_demand in self.of(router_id, service).items():
                if not peer_demand.waiting and not peer_demand.running:
                    continue
                total = demand_by_organisation.get(name)
                if total is None:
                    total = demand_by_organisation[name] = Demand()
                total.waiting += peer_demand.waiting
                total.running += peer_demand.running
                if peer_demand.waiting and peer_demand.deadline < total.deadline:
                    total.deadline = peer_demand.deadline
        return demand_by_organisation

    def forget_except(self, routers: Iterable[RouterId]) -> None:
        """Discards all peers except the given ones."""
        kept_ids = set(routers)
        for router_id in [
            peer_id for peer_id in self._peers if peer_id not in kept_ids
        ]:
            del self._peers[router_id]
            self._cached_sums.clear()
