"""Upstream replicas known to this router: address, health, load, leaving."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from ..errors import (
    UpstreamColdError,
    UpstreamLeavingError,
    UpstreamTurnedAwayError,
)
from ..options import Options
from ..types import Address, ReplicaId, ServiceName, ZoneName
from .cold_replicas import ColdReplica, ColdReplicas
from .statements import (
    ProcessState,
    ReplicaProcess,
    ReplicaStatements,
    Statement,
    StatementChange,
)

FAILURE_RATE_SMOOTHING_WEIGHT = 0.08
"""Weight of the newest attempt in the moving average of a replica's failures."""

MIN_OUTCOMES_FOR_EJECTION = 10
"""Attempts below which the failure rate is too uncertain to eject a replica."""

EJECTION_MARGIN_FRACTION = 0.3
"""Failure rate above the mean of the other replicas at which one is ejected."""

EJECTION_SECONDS = 2.0
"""Time for which an ejected replica gets no requests; then it is used again."""

MAX_EJECTED_FRACTION = 0.34
"""Largest fraction of a service's replicas that may be ejected at once."""

FAILURES_UNTIL_COLD = 2
"""Failed connections in a row after which a replica may have been restarted, and counts
as cold."""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that a replica reported some time ago.

    Attributes:
        incarnation: Number of the replica's process; higher after each restart.
        slots: Requests that the replica can run at once at full rate.
        running: Requests that were running when the report was made.
        queued: Requests that the replica held back when the report was made.
        token_rate: Tokens or service milliseconds per second.
        is_leaving: Whether the replica asks for no new requests.
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
        load: Last load report, if any.
        load_at: Monotonic time in seconds at which it was received.
        last_response_at: Monotonic time in seconds of the last response, or of the
            discovery.
        is_listed_leaving: Whether the VM list says that the replica is leaving.
        in_use: Attempts of this router that run at the replica now.
        failures: Consecutive failed connections; those of concurrent attempts count
            once.
        is_probe_started: Whether an attempt was started at the replica while it was
            down.
        probe_at: Monotonic time in seconds from which a replica that is down may be
            tried.
        failure_rate: Moving average of the fraction of attempts that failed.
        outcome_count: Number of attempts in the moving average.
        ejected_until: Monotonic time in seconds until which the replica gets no
            requests because many failed.
        stated: What the process has said about new requests.
        is_evacuated: Whether its zone is evacuated.
        cold: Whether it is cold, and what was sent to it; None if cold replicas need no
            care.
    """

    replica_id: ReplicaId
    service: ServiceName
    zone: ZoneName
    address: Address
    is_leaving: bool = False
    incarnation: int = 0
    load: LoadReport | None = None
    load_at: float = float("-inf")
    last_response_at: float = float("-inf")
    is_listed_leaving: bool = False
    in_use: int = 0
    failures: int = 0
    is_probe_started: bool = False
    probe_at: float = float("-inf")
    failure_rate: float = 0.0
    outcome_count: int = 0
    ejected_until: float = float("-inf")
    stated: ProcessState = field(default_factory=ProcessState)
    is_evacuated: bool = False
    cold: ColdReplica | None = None

    @property
    def process(self) -> ReplicaProcess:
        """The process that the replica is now."""
        address = None if self.incarnation else self.address
        return ReplicaProcess(self.replica_id, self.incarnation, address)

    def may_receive(self, now: float) -> bool:
        """Returns whether a request that was chosen for the replica may be sent."""
        return (
            not self.is_leaving
            and not self.is_evacuated
            and self.stated.may_receive(now)
        )

    def record_refused(self, process: ReplicaProcess, now: float) -> None:
        """Records that the address of a process refused a connection.

        It has ended then; another one that has taken its place since has not.
        """
        if process == self.process:
            self.stated.record_refused(self.address, now)
            if self.cold is not None:
                self.cold.note_refused(now)

    @property
    def takes_one_request(self) -> bool:
        """Whether it has room for one more request, however many slots are free."""
        return self.stated.is_returning or (
            self.cold is not None and self.cold.is_paced
        )

    def is_available(self, now: float) -> bool:
        """Returns whether new work may be started at the replica."""
        return self.is_in_service(now) and (
            self.cold is None or self.cold.may_start(self.incarnation, now)
        )

    def is_in_service(self, now: float) -> bool:
        """Returns whether it takes work, perhaps not from this router now if cold."""
        return (
            not self.is_leaving
            and not self.is_evacuated
            and self.stated.may_start(now)
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
        options: Options of the router.
        replicas: Known replicas by identifier.
        listed: Identifiers in the last VM list that was applied.
        list_made_at_ms: Time at which the platform made that list, in milliseconds.
        statements: What processes have said in their answers, also of those that are
            not known at present.
        availability_version: Increases when a replica leaves, wants no requests for a
            time, or takes them again after that.
        find_open_since: Returns the monotonic times in seconds from which the
            connections to an address were opened that are still open.
        evacuated_zones: Zones whose replicas get no requests.
        cold: What is known of cold replicas; None if they need no care.
    """

    options: Options
    replicas: dict[ReplicaId, Replica] = field(default_factory=dict)
    listed: frozenset[ReplicaId] = frozenset()
    list_made_at_ms: int = -1
    statements: ReplicaStatements = field(default_factory=ReplicaStatements)
    availability_version: int = 0
    find_open_since: Callable[[Address], Collection[float]] = lambda address: ()
    evacuated_zones: frozenset[ZoneName] = frozenset()
    cold: ColdReplicas | None = None

    def services(self) -> set[ServiceName]:
        """Returns the services that have replicas."""
        return {replica.service for replica in self.replicas.values()}

    def list_by_service(self, service: ServiceName) -> list[Replica]:
        """Returns the service's replicas ordered by identifier."""
        service_replicas = [
            replica for replica in self.replicas.values() if replica.service == service
        ]
        return sorted(service_replicas, key=lambda replica: replica.replica_id)

    def available(self, service: ServiceName, now: float) -> list[Replica]:
        """Returns the service's replicas that may get new work."""
        return [
            replica
            for replica in self.list_by_service(service)
            if replica.is_available(now)
        ]

    def check_in_service(self, replica: Replica, address: Address, now: float) -> None:
        """Checks that a replica chosen earlier may still get a request.

        Args:
            replica: The replica.
            address: Address of the connection on which the request is to be sent.
            now: Monotonic time in seconds.

        Raises:
            UpstreamLeavingError: If the replica is leaving or was removed, its zone is
                evacuated, or another process has taken over its identifier.
            UpstreamTurnedAwayError: If the replica wants no requests for a time.
            UpstreamColdError: If it is cold and takes none from this router now.
        """
        if replica.is_evacuated:
            raise UpstreamLeavingError(
                f"zone {replica.zone!r} was evacuated before the request was sent to "
                f"replica {replica.replica_id!r} in it; try again"
            )
        if (
            replica.is_leaving
            or self.replicas.get(replica.replica_id) is not replica
            or replica.address != address
        ):
            raise UpstreamLeavingError(
                f"replica {replica.replica_id!r} at {address} left before the request "
                "was sent to it; try again"
            )
        if not replica.may_receive(now):
            hold = replica.stated.find_hold(now)
            raise UpstreamTurnedAwayError(
                f"replica {replica.replica_id!r} at {address} takes no requests for "
                f"another {hold:.2f} s; try again"
            )
        if replica.cold and not replica.cold.may_send(replica.incarnation, now):
            raise UpstreamColdError(
                f"replica {replica.replica_id!r} at {address} is cold and takes no "
                "request from this router now; try again"
            )

    def record_send(self, replica: Replica, now: float) -> bool:
        """Records that a request is sent; returns whether the replica is cold."""
        return replica.cold is not None and replica.cold.record_send(now)

    def set_cold_replicas(self, cold: ColdReplicas | None) -> None:
        """Applies whether cold replicas need care."""
        self.cold = cold
        for replica in self.replicas.values():
            self._find_cold(replica)

    def _find_cold(self, replica: Replica) -> None:
        replica.cold = None
        if self.cold is not None:
            replica.cold = self.cold.get(
                replica.replica_id, replica.service, replica.zone
            )

    def note_answer(
        self,
        process: ReplicaProcess,
        statement: Statement,
        *,
        now: float,
        spread: float,
        sent_at: float = -math.inf,
        sent_ms: float = -math.inf,
        address: Address | None = None,
        opened_at: float = -math.inf,
    ) -> StatementChange:
        """Applies what a process said in an answer.

        Args:
            process: The process to which the request was sent; another one may have
                taken its place since.
            statement: What it said.
            now: Monotonic time in seconds.
            spread: Random number from 0 to 1 that delays the return of this router.
            sent_at: Monotonic time in seconds at which the request was sent.
            sent_ms: The same as Unix time in milliseconds. A request sent after the
                start of a later process was answered by that one.
            address: Address that answered, if known.
            opened_at: Monotonic time in seconds from which its connection was opened.

        Returns:
            What changed for the replica that the process is now, or for a process that
            is not listed; nothing if another process has taken its place.
        """
        replica = self.replicas.get(process.replica_id)
        if replica is None or replica.process != process:
            state = self.statements.find(process)
            change = state.note(
                statement,
                now,
                spread,
                sent_at=sent_at,
                sent_ms=sent_ms,
                address=address,
                opened_at=opened_at,
            )
            self.statements.keep(process, state)
            if replica is None:
                return StatementChange(is_unlisted_leaving=change.is_leaving)
            if replica.incarnation <= process.incarnation:
                return StatementChange()
            # An end of the connection may arrive right behind a late answer.
            return self._restore_later_statements(replica, state, now, open_since=())
        change = replica.stated.note(
            statement,
            now,
            spread,
            sent_at=sent_at,
            sent_ms=sent_ms,
            address=address,
            opened_at=opened_at,
        )
        self.statements.keep(process, replica.stated)
        was_leaving = replica.is_leaving
        replica.is_leaving = was_leaving or replica.stated.is_leaving
        self.availability_version += change.is_leaving or change.is_held
        return StatementChange(
            is_leaving=replica.is_leaving and not was_leaving, is_held=change.is_held
        )

    def record_answer(self, process: ReplicaProcess, sent_at: float) -> None:
        """Records that a process took a request sent at that monotonic time."""
        replica = self.replicas.get(process.replica_id)
        if replica is not None and replica.process == process:
            was_returning = replica.stated.is_returning
            replica.stated.record_answer(sent_at)
            self.availability_version += was_returning

    def _mark_leaving(self, replica: Replica) -> None:
        """Records that the process of a replica leaves, for as long as it lives."""
        self.availability_version += not replica.is_leaving
        replica.is_leaving = replica.stated.is_leaving = True
        self.statements.keep(replica.process, replica.stated)

    def _restore_statements(self, replica: Replica, *, is_same: bool = False) -> None:
        """Applies what the process that the replica is now has said before.

        Args:
            replica: The replica; its incarnation or address has changed.
            is_same: Whether it is the same process, whose incarnation was unknown.
        """
        stated = self.statements.find(replica.process)
        if is_same:
            stated.merge(replica.stated)
        replica.stated = stated
        if not stated.is_blank:
            self.statements.keep(replica.process, stated)
        replica.is_leaving = replica.is_leaving or stated.is_leaving

    def _restore_later_statements(
        self,
        replica: Replica,
        earlier: ProcessState,
        now: float,
        *,
        open_since: Collection[float],
    ) -> StatementChange:
        """Applies statements that were taken for those of an earlier process.

        Returns:
            What changed for the replica.
        """
        was_leaving, was_held = replica.is_leaving, now < replica.stated.held_until
        self._take_over(replica, earlier, open_since)
        is_held = now < replica.stated.held_until and not was_held
        is_leaving = replica.is_leaving and not was_leaving
        self.availability_version += is_leaving or is_held
        return StatementChange(is_leaving=is_leaving, is_held=is_held)

    def _take_over(
        self, replica: Replica, earlier: ProcessState, open_since: Collection[float]
    ) -> None:
        """Adds what was taken for statements of an earlier process of a replica."""
        selected = earlier.select_since(
            replica.incarnation, replica.address, open_since
        )
        if not selected.is_blank:
            replica.stated.merge(selected)
            self.statements.keep(replica.process, replica.stated)
            replica.is_leaving = replica.is_leaving or replica.stated.is_leaving

    def _find_open_since(
        self, address: Address, earlier: ProcessState
    ) -> Collection[float]:
        """Returns from when open connections to an address date, if any statement."""
        return () if earlier.is_blank else self.find_open_since(address)

    def _remember(self, replica: Replica) -> None:
        """Keeps what is known of a process before another one takes its place."""
        if not replica.stated.is_blank:
            self.statements.keep(replica.process, replica.stated)

    def find_return_time(self, service: ServiceName, now: float) -> float | None:
        """Returns when the first replica of a service takes requests again.

        Returns:
            A monotonic time in seconds, infinity if all replicas are leaving or in
            evacuated zones, or None if one of them wants requests now or none is known.
        """
        return_time = None
        for replica in self.replicas.values():
            if replica.service != service:
                continue
            if replica.may_receive(now):
                return None
            is_out = replica.is_leaving or replica.is_evacuated
            until = float("inf") if is_out else replica.stated.held_until
            return_time = until if return_time is None else min(return_time, until)
        return return_time

    def apply_vm_list(
        self, upstreams: Iterable[ListedUpstream], *, made_at_ms: int, now: float
    ) -> list[Replica]:
        """Applies a VM list.

        A replica missing from the list stays in use while it responds, since the list
        lags. An empty list, or one older than the last list applied, is ignored.

        Args:
            upstreams: The upstreams in the list.
            made_at_ms: Time at which the platform made the list, in milliseconds.
            now: Monotonic time in seconds.

        Returns:
            The replicas that are leaving and were not known to be leaving.
        """
        entries = {
            listed_upstream.replica_id: listed_upstream for listed_upstream in upstreams
        }
        if not entries or made_at_ms < self.list_made_at_ms:
            return []
        self.list_made_at_ms = made_at_ms
        self.listed = frozenset(entries)
        newly_leaving = []
        for entry in entries.values():
            replica = self._apply_list_entry(entry, now)
            was_leaving = replica.is_leaving
            replica.is_listed_leaving = entry.is_leaving
            replica.is_leaving = was_leaving or entry.is_leaving
            if replica.is_leaving and not was_leaving:
                newly_leaving.append(replica)
        for replica in self.replicas.values():
            if replica.replica_id not in entries:
                replica.is_listed_leaving = False
        self.forget(now)
        return newly_leaving

    def _apply_list_entry(self, entry: ListedUpstream, now: float) -> Replica:
        replica = self.replicas.get(entry.replica_id)
        if replica is None:
            replica = Replica(
                entry.replica_id,
                entry.service,
                entry.zone,
                entry.address,
                last_response_at=now,
            )
            self.replicas[entry.replica_id] = replica
            self._restore_statements(replica)
        elif replica.address != entry.address:
            # Another process has taken over the identifier. Attempts at the earlier
            # process still refer to the object, so it is changed, not replaced.
            replica.address = entry.address
            replica.incarnation = 0
            replica.is_leaving = False
            replica.load = None
            replica.load_at = float("-inf")
            replica.last_response_at = now
            replica.failures = 0
            self._restore_statements(replica)
        replica.service = entry.service
        replica.zone = entry.zone
        self._set_evacuated(replica)
        self._find_cold(replica)
        return replica

    def set_evacuated_zones(self, zones: frozenset[ZoneName]) -> None:
        """Applies which zones are evacuated."""
        self.evacuated_zones = zones
        for replica in self.replicas.values():
            self._set_evacuated(replica)

    def _set_evacuated(self, replica: Replica) -> None:
        is_evacuated = replica.zone in self.evacuated_zones
        self.availability_version += is_evacuated != replica.is_evacuated
        replica.is_evacuated = is_evacuated

    def entries(self) -> list[ListedUpstream]:
        """Returns the listed replicas as VM list entries, for peers without a list."""
        return [
            ListedUpstream(
                replica.replica_id,
                replica.service,
                replica.zone,
                replica.address,
                replica.is_listed_leaving,
            )
            for replica in self.replicas.values()
            if replica.replica_id in self.listed
        ]

    def forget(self, now: float) -> list[ReplicaId]:
        """Removes replicas that are not listed and have not responded for long.

        Returns:
            The identifiers of the removed replicas.
        """
        removed_ids = [
            replica.replica_id
            for replica in self.replicas.values()
            if replica.replica_id not in self.listed
            and replica.in_use == 0
            and now - replica.last_response_at > self.options.forget_upstream_after
        ]
        for replica_id in removed_ids:
            self._remember(self.replicas.pop(replica_id))
        return removed_ids

    def apply_peer_state(
        self, replica_id: ReplicaId, incarnation: int, *, is_leaving: bool
    ) -> bool:
        """Applies the state of a replica that a peer sent.

        Incarnation 0 means that the peer has no load report and knows the state from
        the VM list; the state then applies to the current incarnation.

        Returns:
            Whether the replica is leaving and was not known to be leaving.
        """
        replica = self.replicas.get(replica_id)
        if replica is None or 0 < incarnation < replica.incarnation:
            if is_leaving and incarnation:
                self._remember_leaving(ReplicaProcess(replica_id, incarnation, None))
            return False
        was_leaving = self._apply_incarnation(replica, incarnation)
        if is_leaving:
            self._mark_leaving(replica)
        return replica.is_leaving and not was_leaving

    def _remember_leaving(self, process: ReplicaProcess) -> None:
        state = self.statements.find(process)
        state.is_leaving = True
        self.statements.keep(process, state)

    def _apply_incarnation(self, replica: Replica, incarnation: int) -> bool:
        """Applies an incarnation; returns whether it was known to be leaving."""
        was_leaving = replica.is_leaving
        if incarnation > replica.incarnation:
            earlier = replica.stated
            self._remember(replica)
            is_same = replica.incarnation == 0
            if not is_same:
                # The process restarted: failures and leaving were those of the earlier
                # process, unless the VM itself is leaving.
                replica.is_leaving = replica.is_listed_leaving
                replica.failures = 0
            replica.incarnation = incarnation
            self._restore_statements(replica, is_same=is_same)
            was_leaving = replica.is_leaving
            if not is_same:
                open_since = self._find_open_since(replica.address, earlier)
                self._take_over(replica, earlier, open_since)
        return was_leaving

    def record_start(self, replica: Replica, now: float, request_id: str = "") -> None:
        """Records that an attempt of a request starts at the replica.

        A replica that is down is tried by one attempt at a time, so that other
        attempts do not wait for the same failing connection. One whose hold has ended
        is, too, until it has answered.
        """
        replica.in_use += 1
        replica.stated.record_start(request_id, now)
        if replica.cold is not None:
            replica.cold.record_start(now)
        if replica.failures:
            replica.is_probe_started = True
            replica.probe_at = now + self.options.connect_timeout

    def record_end(self, replica: Replica, request_id: str) -> None:
        """Records that the attempt of a request at the replica ended."""
        replica.in_use -= 1
        replica.stated.record_end(request_id)

    def record_success(self, replica_id: ReplicaId, now: float | None = None) -> None:
        """Records that the replica answered."""
        replica = self.replicas.get(replica_id)
        if replica is not None:
            replica.failures = 0
            if now is not None and replica.cold is not None:
                replica.cold.note_response(now)
            if now is not None:
                replica.last_response_at = max(replica.last_response_at, now)

    def record_outcome(self, replica: Replica, now: float, *, is_failure: bool) -> bool:
        """Records the outcome of an attempt that reached the replica.

        A replica that fails much more often than the others of its service is ejected
        for a while, unless too many of them are ejected already.

        Returns:
            Whether the replica was ejected.
        """
        weight = max(FAILURE_RATE_SMOOTHING_WEIGHT, 1.0 / (replica.outcome_count + 1))
        replica.outcome_count += 1
        replica.failure_rate += weight * (is_failure - replica.failure_rate)
        if not is_failure or replica.outcome_count < MIN_OUTCOMES_FOR_EJECTION:
            return False
        service_replicas = self.list_by_service(replica.service)
        other_rates = [
            other.failure_rate for other in service_replicas if other is not replica
        ]
        mean_other_rate = sum(other_rates) / len(other_rates) if other_rates else 1.0
        ejected_count = sum(other.ejected_until > now for other in service_replicas)
        if (
            replica.failure_rate < mean_other_rate + EJECTION_MARGIN_FRACTION
            or ejected_count + 1 > len(service_replicas) * MAX_EJECTED_FRACTION
        ):
            return False
        replica.ejected_until = now + EJECTION_SECONDS
        replica.outcome_count, replica.failure_rate = 0, 0.0
        return True

    def record_failure(self, replica_id: ReplicaId, now: float) -> None:
        """Records a failed connection and sets the time of the next probe."""
        replica = self.replicas.get(replica_id)
        if replica is None or (
            replica.failures and not replica.is_probe_started and now < replica.probe_at
        ):
            return
        replica.is_probe_started = False
        replica.failures += 1
        if replica.cold is not None and replica.failures >= FAILURES_UNTIL_COLD:
            replica.cold.note_failures(now)
        delay = self.options.probe_base_delay * 2 ** min(replica.failures - 1, 16)
        replica.probe_at = now + min(delay, self.options.probe_max_delay)

    def put(self, listed: ListedUpstream, load: LoadReport, now: float) -> bool:
        """Applies the entry that a replica wrote about itself in the platform's store.

        Returns:
            Whether the replica is leaving and the other routers are to be told: it was
            not known, or it said so before and was not listed.
        """
        replica = self.replicas.get(listed.replica_id)
        was_known = replica is not None
        was_leaving = replica is not None and replica.is_leaving
        incarnation = load.incarnation
        if replica is None:
            earlier = self.statements.find_before(listed.replica_id, incarnation)
        else:
            earlier = replica.stated
            self._remember(replica)
        if replica is not None and replica.address == listed.address:
            # An entry without an incarnation does not tell that the process is new.
            incarnation = incarnation or replica.incarnation
        if replica is not None and incarnation != replica.incarnation:
            # Another process has the identifier: leaving and failures were those of the
            # earlier one.
            replica.is_leaving = was_leaving = False
            replica.failures = 0
        replica = self._apply_list_entry(listed, now)
        is_later = incarnation > replica.incarnation
        if incarnation != replica.incarnation:
            replica.incarnation = incarnation
            self._restore_statements(replica)
        # Routers that connected while it was not listed were not told what it said.
        is_untold = not was_known and replica.stated.left_ms > -math.inf
        was_leaving = was_leaving or (replica.is_leaving and not is_untold)
        if is_later:
            open_since = self._find_open_since(replica.address, earlier)
            self._restore_later_statements(replica, earlier, now, open_since=open_since)
        replica.is_listed_leaving = load.is_leaving
        if load.is_leaving:
            self._mark_leaving(replica)
        known_load = replica.load
        if known_load is None or known_load.incarnation != load.incarnation:
            replica.load = load
        return replica.is_leaving and not was_leaving

    def remove(self, replica_id: ReplicaId) -> bool:
        """Removes a replica that no longer exists; returns whether it was known."""
        replica = self.replicas.pop(replica_id, None)
        if replica is not None:
            self._remember(replica)
            # Decisions reuse a list of replicas for an interval; this one may be in it.
            replica.is_leaving = True
        return replica is not None

    def record_load(self, replica_id: ReplicaId, load: LoadReport, now: float) -> bool:
        """Applies a load report; one of an earlier incarnation is ignored.

        Returns:
            Whether the replica is leaving and was not known to be leaving.
        """
        replica = self.replicas.get(replica_id)
        if replica is None or load.incarnation < replica.incarnation:
            return False
        was_leaving = self._apply_incarnation(replica, load.incarnation)
        replica.load = load
        replica.load_at = now
        replica.last_response_at = max(replica.last_response_at, now)
        replica.is_leaving = replica.is_leaving or load.is_leaving
        return replica.is_leaving and not was_leaving
