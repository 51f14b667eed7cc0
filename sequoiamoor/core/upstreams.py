"""Upstream replicas as this router sees them: place, health, load, leaving."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from ..options import Options
from ..types import Address, ReplicaId, ServiceName, ZoneName


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What a replica says about its load, lagged.

    Attributes:
        incarnation: Start of the replica's process; a restart has a higher one.
        slots: Requests that the replica runs at once at full rate.
        running: Requests that it ran when the report was made.
        queued: Requests that it held back when the report was made.
        token_rate: Tokens or service milliseconds per second.
        is_leaving: Whether the replica wants no new work.
    """

    incarnation: int
    slots: int
    running: int
    queued: int
    token_rate: float
    is_leaving: bool


@dataclass(slots=True)
class Replica:
    """One upstream replica.

    Attributes:
        in_use: Attempts of this router that run at the replica now.
        failures: Failed connections in a row.
        probe_at: Monotonic time from which a replica that is down may be tried.
    """

    replica_id: ReplicaId
    service: ServiceName
    zone: ZoneName
    address: Address
    is_leaving: bool = False
    incarnation: int = 0
    load: LoadReport | None = None
    load_at: float = float("-inf")
    in_use: int = 0
    failures: int = 0
    probe_at: float = float("-inf")

    def is_available(self, now: float) -> bool:
        """Returns whether new work may be started at the replica."""
        return not self.is_leaving and (self.failures == 0 or now >= self.probe_at)


@dataclass(slots=True)
class Upstreams:
    """All replicas that this router knows."""

    options: Options
    replicas: dict[ReplicaId, Replica] = field(default_factory=dict)

    def by_service(self, service: ServiceName) -> list[Replica]:
        """Returns the service's replicas ordered by identifier."""
        found = [one for one in self.replicas.values() if one.service == service]
        return sorted(found, key=lambda one: one.replica_id)

    def available(
        self, service: ServiceName, now: float, excluded: Iterable[ReplicaId] = ()
    ) -> list[Replica]:
        """Returns the service's replicas that may get new work."""
        return [
            one
            for one in self.by_service(service)
            if one.is_available(now) and one.replica_id not in excluded
        ]

    def record_success(self, replica_id: ReplicaId) -> None:
        """Notes that the replica answered."""
        replica = self.replicas.get(replica_id)
        if replica is not None:
            replica.failures = 0

    def record_failure(self, replica_id: ReplicaId, now: float) -> None:
        """Notes a failed connection and sets the time of the next probe."""
        replica = self.replicas.get(replica_id)
        if replica is None:
            return
        replica.failures += 1
        delay = self.options.probe_base_delay * 2 ** min(replica.failures - 1, 16)
        replica.probe_at = now + min(delay, self.options.probe_max_delay)

    def record_load(self, replica_id: ReplicaId, load: LoadReport, now: float) -> None:
        """Takes a load report; one of an earlier incarnation is ignored."""
        replica = self.replicas.get(replica_id)
        if replica is None or load.incarnation < replica.incarnation:
            return
        if load.incarnation > replica.incarnation:
            replica.is_leaving = False
        replica.incarnation = load.incarnation
        replica.load = load
        replica.load_at = now
        replica.is_leaving = replica.is_leaving or load.is_leaving
