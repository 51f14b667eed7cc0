"""Upstream replicas as this router sees them: place, health, load, leaving."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from ..options import Options
from ..types import Address, ReplicaId, ServiceName, ZoneName

OUTCOME_WEIGHT = 0.08
"""Weight of the newest attempt in the failure rate of a replica."""

LEAST_OUTCOMES = 10
"""Attempts after which the failure rate tells something."""

EJECTION_MARGIN = 0.3
"""Difference to the mean rate of the other replicas that has a replica ejected."""

EJECTION_SECONDS = 2.0
"""Time for which an ejected replica gets nothing; then it is tried like any other."""

EJECTED_PART = 0.34
"""Largest part of a service's replicas that may be ejected at once."""


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
        is_leaving: Whether it is leaving; this holds for the rest of the incarnation
            and for as long as the VM list says so.
        incarnation: Highest incarnation known; 0 before the first load report.
        heard_at: Monotonic time of the last sign of life, or of its discovery.
        in_use: Attempts of this router that run at the replica now.
        failures: Failed connections in a row; those of attempts that were made at
            the same time count once.
        is_probed: Whether an attempt was started at the replica while it was down.
        probe_at: Monotonic time from which a replica that is down may be tried.
        failure_rate: Moving average of the attempts that failed at the replica.
        outcomes: Attempts that the average is made of.
        ejected_until: Monotonic time until which it gets nothing because many failed.
    """

    replica_id: ReplicaId
    service: ServiceName
    zone: ZoneName
    address: Address
    is_leaving: bool = False
    incarnation: int = 0
    load: LoadReport | None = None
    load_at: float = float("-inf")
    heard_at: float = float("-inf")
    is_listed_leaving: bool = False
    in_use: int = 0
    failures: int = 0
    is_probed: bool = False
    probe_at: float = float("-inf")
    failure_rate: float = 0.0
    outcomes: int = 0
    ejected_until: float = float("-inf")

    def is_available(self, now: float) -> bool:
        """Returns whether new work may be started at the replica."""
        return (
            not self.is_leaving
            and now >= self.ejected_until
            and (self.failures == 0 or now >= self.probe_at)
        )


@dataclass(frozen=True, slots=True)
class ListedUpstream:
    """An upstream in the platform's VM list."""

    replica_id: ReplicaId
    service: ServiceName
    zone: ZoneName
    address: Address
    is_leaving: bool = False


@dataclass(slots=True)
class Upstreams:
    """All replicas that this router knows.

    Attributes:
        listed: Identifiers in the VM list last taken.
        list_made_at_ms: Time at which the platform made that list, in milliseconds.
    """

    options: Options
    replicas: dict[ReplicaId, Replica] = field(default_factory=dict)
    listed: frozenset[ReplicaId] = frozenset()
    list_made_at_ms: int = -1

    def services(self) -> set[ServiceName]:
        """Returns the services that have replicas."""
        return {one.service for one in self.replicas.values()}

    def by_service(self, service: ServiceName) -> list[Replica]:
        """Returns the service's replicas ordered by identifier."""
        found = [one for one in self.replicas.values() if one.service == service]
        return sorted(found, key=lambda one: one.replica_id)

    def available(self, service: ServiceName, now: float) -> list[Replica]:
        """Returns the service's replicas that may get new work."""
        return [one for one in self.by_service(service) if one.is_available(now)]

    def take_list(
        self, upstreams: Iterable[ListedUpstream], *, made_at_ms: int, now: float
    ) -> list[Replica]:
        """Takes a VM list.

        A replica that is missing stays in use while it responds, since the list
        lags. An empty list, and one made before the last one taken, change nothing.

        Args:
            upstreams: The upstreams in the list.
            made_at_ms: Time at which the platform made the list, in milliseconds.
            now: Monotonic time in seconds.

        Returns:
            The replicas that are leaving and were not known to be.
        """
        entries = {one.replica_id: one for one in upstreams}
        if not entries or made_at_ms < self.list_made_at_ms:
            return []
        self.list_made_at_ms = made_at_ms
        self.listed = frozenset(entries)
        leaving = []
        for entry in entries.values():
            replica = self._take_entry(entry, now)
            was_leaving = replica.is_leaving
            replica.is_listed_leaving = entry.is_leaving
            replica.is_leaving = was_leaving or entry.is_leaving
            if replica.is_leaving and not was_leaving:
                leaving.append(replica)
        for replica in self.replicas.values():
            if replica.replica_id not in entries:
                replica.is_listed_leaving = False
        self.forget(now)
        return leaving

    def _take_entry(self, entry: ListedUpstream, now: float) -> Replica:
        replica = self.replicas.get(entry.replica_id)
        if replica is None:
            replica = Replica(
                entry.replica_id,
                entry.service,
                entry.zone,
                entry.address,
                heard_at=now,
            )
            self.replicas[entry.replica_id] = replica
        elif replica.address != entry.address:
            # Another process has taken over the identifier. Attempts at the earlier
            # one still hold the object, so it is changed and not replaced.
            replica.address = entry.address
            replica.incarnation = 0
            replica.is_leaving = False
            replica.load = None
            replica.load_at = float("-inf")
            replica.heard_at = now
            replica.failures = 0
        replica.service = entry.service
        replica.zone = entry.zone
        return replica

    def entries(self) -> list[ListedUpstream]:
        """Returns the replicas in the form of a VM list, for peers without one."""
        return [
            ListedUpstream(
                one.replica_id,
                one.service,
                one.zone,
                one.address,
                one.is_listed_leaving,
            )
            for one in self.replicas.values()
            if one.replica_id in self.listed
        ]

    def forget(self, now: float) -> list[ReplicaId]:
        """Removes replicas that left the list and gave no sign of life for long."""
        gone = [
            one.replica_id
            for one in self.replicas.values()
            if one.replica_id not in self.listed
            and one.in_use == 0
            and now - one.heard_at > self.options.forget_upstream_after
        ]
        for replica_id in gone:
            del self.replicas[replica_id]
        return gone

    def take_state(
        self, replica_id: ReplicaId, incarnation: int, *, is_leaving: bool
    ) -> bool:
        """Takes what a peer says about a replica.

        Incarnation 0 means that the peer has no load report and knows from the VM
        list; it then holds for the present incarnation.

        Returns:
            Whether the replica is leaving and was not known to be.
        """
        replica = self.replicas.get(replica_id)
        if replica is None or 0 < incarnation < replica.incarnation:
            return False
        was_leaving = replica.is_leaving
        self._take_incarnation(replica, incarnation)
        replica.is_leaving = replica.is_leaving or is_leaving
        return replica.is_leaving and not was_leaving

    def _take_incarnation(self, replica: Replica, incarnation: int) -> None:
        if incarnation > replica.incarnation:
            if replica.incarnation:
                # The process restarted; failures and leaving were of the earlier
                # one, unless the VM itself is leaving.
                replica.is_leaving = replica.is_listed_leaving
                replica.failures = 0
            replica.incarnation = incarnation

    def record_start(self, replica: Replica, now: float) -> None:
        """Notes that an attempt starts at the replica.

        A replica that is down is tried by one attempt at a time, so that others do
        not wait for the same connection in vain.
        """
        replica.in_use += 1
        if replica.failures:
            replica.is_probed = True
            replica.probe_at = now + self.options.connect_timeout

    def record_success(self, replica_id: ReplicaId, now: float | None = None) -> None:
        """Notes that the replica answered."""
        replica = self.replicas.get(replica_id)
        if replica is not None:
            replica.failures = 0
            if now is not None:
                replica.heard_at = max(replica.heard_at, now)

    def record_outcome(self, replica: Replica, now: float, *, is_failure: bool) -> bool:
        """Takes note of how an attempt ended that reached the replica.

        A replica that fails much more often than the others of its service gets
        nothing for a while, unless too many of them are out already.

        Returns:
            Whether the replica was ejected.
        """
        weight = max(OUTCOME_WEIGHT, 1.0 / (replica.outcomes + 1))
        replica.outcomes += 1
        replica.failure_rate += weight * (is_failure - replica.failure_rate)
        if not is_failure or replica.outcomes < LEAST_OUTCOMES:
            return False
        pool = self.by_service(replica.service)
        others = [one.failure_rate for one in pool if one is not replica]
        usual = sum(others) / len(others) if others else 1.0
        out = sum(one.ejected_until > now for one in pool)
        if (
            replica.failure_rate < usual + EJECTION_MARGIN
            or out + 1 > len(pool) * EJECTED_PART
        ):
            return False
        replica.ejected_until = now + EJECTION_SECONDS
        replica.outcomes, replica.failure_rate = 0, 0.0
        return True

    def record_failure(self, replica_id: ReplicaId, now: float) -> None:
        """Notes a failed connection and sets the time of the next probe."""
        replica = self.replicas.get(replica_id)
        if replica is None or (
            replica.failures and not replica.is_probed and now < replica.probe_at
        ):
            return
        replica.is_probed = False
        replica.failures += 1
        delay = self.options.probe_base_delay * 2 ** min(replica.failures - 1, 16)
        replica.probe_at = now + min(delay, self.options.probe_max_delay)

    def put(self, listed: ListedUpstream, load: LoadReport, now: float) -> bool:
        """Takes what a replica says about itself in the platform's store.

        Returns:
            Whether the replica is leaving and was not known to be.
        """
        replica = self.replicas.get(listed.replica_id)
        was_leaving = replica is not None and replica.is_leaving
        if replica is not None and load.incarnation != replica.incarnation:
            # Another process has the identifier; it knows nothing of the earlier one.
            replica.is_leaving = was_leaving = False
            replica.failures = 0
        replica = self._take_entry(listed, now)
        replica.incarnation = load.incarnation
        replica.is_listed_leaving = load.is_leaving
        replica.is_leaving = replica.is_leaving or load.is_leaving
        known = replica.load
        if known is None or known.incarnation != load.incarnation:
            replica.load = load
        return replica.is_leaving and not was_leaving

    def remove(self, replica_id: ReplicaId) -> bool:
        """Removes a replica that is gone; returns whether it was known."""
        replica = self.replicas.pop(replica_id, None)
        if replica is not None:
            # Decisions keep lists of replicas for an interval.
            replica.is_leaving = True
        return replica is not None

    def record_load(self, replica_id: ReplicaId, load: LoadReport, now: float) -> bool:
        """Takes a load report; one of an earlier incarnation is ignored.

        Returns:
            Whether the replica is leaving and was not known to be.
        """
        replica = self.replicas.get(replica_id)
        if replica is None or load.incarnation < replica.incarnation:
            return False
        was_leaving = replica.is_leaving
        self._take_incarnation(replica, load.incarnation)
        replica.load = load
        replica.load_at = now
        replica.heard_at = max(replica.heard_at, now)
        replica.is_leaving = replica.is_leaving or load.is_leaving
        return replica.is_leaving and not was_leaving
