"""Waiting and running work of every router, as last reported."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from ..types import OrganisationName, RouterId, RouterIdentity, ServiceName
from .messages import CounterRow


@dataclass(slots=True)
class Demand:
    """Work of one organisation for one service at one router, or at several.

    Attributes:
        deadline: Monotonic time of the earliest deadline among waiting requests.
    """

    waiting: int = 0
    running: int = 0
    deadline: float = float("inf")


Demands = dict[ServiceName, dict[OrganisationName, Demand]]


@dataclass(slots=True)
class _Peer:
    identity: RouterIdentity
    sequence: int
    demands: Demands = field(default_factory=dict)


class DemandTable:
    """What peers said about their waiting and running work."""

    def __init__(self) -> None:
        self._peers: dict[RouterId, _Peer] = {}
        self._sums: dict[
            ServiceName, tuple[set[RouterId], dict[OrganisationName, Demand]]
        ] = {}

    def take(
        self,
        origin: RouterIdentity,
        sequence: int,
        rows: Iterable[CounterRow],
        now: float,
    ) -> bool:
        """Takes the rows of a report; returns False if a later one was taken."""
        peer = self._peers.get(origin.router_id)
        if peer is None or peer.identity.incarnation < origin.incarnation:
            self._sums.clear()
            peer = self._peers[origin.router_id] = _Peer(origin, sequence - 1)
        if peer.identity.incarnation > origin.incarnation or sequence <= peer.sequence:
            return False
        peer.sequence = sequence
        for row in rows:
            self._sums.pop(row.service, None)
            peer.demands.setdefault(row.service, {})[row.organisation] = Demand(
                row.waiting,
                row.running,
                float("inf")
                if row.deadline_ms is None
                else now + row.deadline_ms / 1000,
            )
        return True

    def sequence(self, router_id: RouterId) -> int:
        """Returns the sequence of the last report taken, 0 without one."""
        peer = self._peers.get(router_id)
        return 0 if peer is None else peer.sequence

    def of(
        self, router_id: RouterId, service: ServiceName
    ) -> dict[OrganisationName, Demand]:
        """Returns the work at one peer by organisation."""
        peer = self._peers.get(router_id)
        return {} if peer is None else peer.demands.get(service, {})

    def sum(
        self, service: ServiceName, routers: Collection[RouterId]
    ) -> Mapping[OrganisationName, Demand]:
        """Returns the work at the given peers together, by organisation.

        The sum is kept until a peer reports a change; callers must not change it.
        """
        known = self._sums.get(service)
        if known is not None and known[0] == routers:
            return known[1]
        found: dict[OrganisationName, Demand] = {}
        self._sums[service] = (set(routers), found)
        for router_id in routers:
            for name, part in self.of(router_id, service).items():
                if not part.waiting and not part.running:
                    continue
                whole = found.get(name)
                if whole is None:
                    whole = found[name] = Demand()
                whole.waiting += part.waiting
                whole.running += part.running
                if part.waiting and part.deadline < whole.deadline:
                    whole.deadline = part.deadline
        return found

    def forget_except(self, routers: Iterable[RouterId]) -> None:
        """Drops the peers that are not among the given ones."""
        kept = set(routers)
        for router_id in [one for one in self._peers if one not in kept]:
            del self._peers[router_id]
            self._sums.clear()
