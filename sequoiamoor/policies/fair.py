"""Base class of the fair policies: service views, fair order and accounting."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from random import Random

from ..core.actions import Action, Start
from ..core.blackboard import Blackboard
from ..core.charges import ElapsedCharges
from ..core.demand import Demand
from ..core.fairness import (
    CostEstimates,
    OrganisationView,
    ServiceView,
    choose_organisation,
)
from ..core.service_metrics import ServiceMetrics, build_service_metrics
from ..core.upstreams import Replica
from ..core.windows import SlotRates, compute_window
from ..types import (
    CallRequest,
    OrganisationName,
    ReplicaId,
    ServiceName,
)

_MAX_PREFIXES = 4_096
"""Prefixes whose last replica is remembered, over all services."""

_MAX_TRIED_REQUESTS = 16
"""Waiting requests of an organisation that are tried when the first cannot start."""


@dataclass(slots=True)
class Pool:
    """Replicas of a service and their capacity, refreshed every report interval.

    Attributes:
        replicas: All replicas of the service.
        windows: Requests that each replica may run at once.
        slots: Sum of the windows.
        capacity: Service units per second of all slots together.
        valid_until: Monotonic time in seconds of the next refresh.
        availability_version: State of the upstreams that the windows are based on.
    """

    replicas: list[Replica]
    windows: dict[ReplicaId, int]
    slots: int
    capacity: float
    valid_until: float
    availability_version: int


class FairPolicy:
    """Starts waiting work in the fair order.

    A subclass decides which slots are free and what is known of the work at peers.
    """

    def __init__(self, *, rng: Random) -> None:
        self._rng = rng
        self._costs = CostEstimates()
        self._rates = SlotRates()
        self._running_call_ids: set[str] = set()
        self._charges = ElapsedCharges()
        self._running_counts: dict[ServiceName, dict[OrganisationName, int]] = {}
        self._average_running: dict[ServiceName, dict[OrganisationName, float]] = {}
        self._last_waiting_at: dict[tuple[ServiceName, OrganisationName], float] = {}
        self._pools: dict[ServiceName, Pool] = {}
        self._prefix_replicas: OrderedDict[tuple[ServiceName, str], ReplicaId] = (
            OrderedDict()
        )
        self._last_step_at = float("-inf")
        self._first_step_at = float("inf")

    # Hooks for subclasses.

    def _count_free_slots(self, board: Blackboard, replica: Replica, now: float) -> int:
        """Returns how many more requests may start at the replica."""
        raise NotImplementedError

    def _get_peer_demands(
        self, board: Blackboard, service: ServiceName
    ) -> Mapping[OrganisationName, Demand]:
        """Returns the waiting and running work at the live peers by organisation."""
        return {}

    def _handle_start(
        self,
        board: Blackboard,
        request: CallRequest,
        replica_id: ReplicaId,
        now: float,
    ) -> None:
        """Records that a request started and uses a slot."""

    def _handle_no_free_slot(
        self, board: Blackboard, service: ServiceName, now: float
    ) -> bool:
        """Asks for a slot for waiting work; returns whether one is free now."""
        return False

    # Shared decisions.

    def _get_pool(self, board: Blackboard, service: ServiceName, now: float) -> Pool:
        """Returns the pool of a service.

        It is refreshed in each report interval, and as soon as a replica wants no
        requests or its hold ends.
        """
        pool = self._pools.get(service)
        availability_version = board.upstreams.availability_version
        if (
            pool is not None
            and now < pool.valid_until
            and pool.availability_version == availability_version
        ):
            return pool
        replicas = board.upstreams.list_by_service(service)
        self._rates.observe(replicas)
        windows = {
            replica.replica_id: compute_window(replica, now) for replica in replicas
        }
        slots = sum(windows.values())
        capacity = slots * self._rates.mean_slot_rate(replicas)
        hold_ends = [replica.stated.held_until for replica in replicas]
        valid_until = min(
            [now + board.options.report_interval]
            + [end for end in hold_ends if end > now]
        )
        pool = Pool(
            replicas, windows, slots, capacity, valid_until, availability_version
        )
        self._pools[service] = pool
        return pool

    def _find_allowed_gap(
        self, board: Blackboard, service: ServiceName, now: float
    ) -> float:
        """Returns the difference of served work to ignore, in service units."""
        capacity = self._get_pool(board, service, now).capacity
        return board.options.allowed_gap_seconds * capacity

    def _record_waiting(
        self,
        board: Blackboard,
        service: ServiceName,
        names: Iterable[OrganisationName],
        now: float,
    ) -> None:
        """Records which organisations wait; lifts idle ones to the virtual time.

        Only a router with a waiting request lifts. Right after a partition, another
        router may know that work waits before it knows the totals that the other side
        of the partition has counted. A router that has run for less than
        ``idle_before_lift`` lifts nothing: it cannot tell which organisations were
        idle.
        """
        limit = now - board.options.idle_before_lift
        is_view_complete = self._first_step_at < limit
        ledger = board.ledger
        for name in names:
            waited_at = self._last_waiting_at.get((service, name), float("-inf"))
            if waited_at < limit and is_view_complete:
                ledger.lift_to(service, name, ledger.virtual_time(service))
            self._last_waiting_at[service, name] = now

    def _build_view(
        self, board: Blackboard, service: ServiceName, now: float
    ) -> ServiceView:
        """Returns this router's view of the service: own work and reports of peers."""
        pool = self._get_pool(board, service, now)
        options = board.options
        demands = self._get_peer_demands(board, service)
        own_running = self._running_counts.get(service, {})
        averages = self._average_running.get(service, {})
        organisations: dict[OrganisationName, OrganisationView] = {}
        names = {*board.queues.organisations(service), *own_running, *demands}
        for name in names:
            demand = demands.get(name)
            waiting = board.queues.count(service, name)
            running = own_running.get(name, 0)
            deadline = float("inf")
            if waiting:
                first = board.queues.peek(service, name)
                assert first is not None
                deadline = first.deadline
            if demand is not None:
                waiting += demand.waiting
                running += demand.running
                deadline = min(deadline, demand.deadline)
            cost = self._costs.expect(service, name)
            organisations[name] = OrganisationView(
                key=board.ledger.total(service, name) + running * cost,
                running_cost=cost,
                waiting=waiting,
                running=running,
                deadline=deadline,
                average_slots=averages.get(name, 0.0),
            )
        waiting_names = [
            organisation
            for organisation, state in organisations.items()
            if state.waiting
        ]
        board.ledger.advance_virtual_time(service, waiting_names)
        return ServiceView(
            organisations=organisations,
            slots=pool.slots,
            allowed_gap=self._find_allowed_gap(board, service, now),
            cap_factor=options.slot_cap_factor,
            floor_factor=options.slot_floor_factor,
        )

    def choose_start(
        self, board: Blackboard, service: ServiceName, now: float
    ) -> Start | None:
        """Returns the next start, or None without waiting work or a free slot."""
        names = board.queues.organisations(service)
        if not names:
            return None
        counts = board.choices.counts
        counts.passes += 1
        self._record_waiting(board, service, names, now)
        free = self._find_free_replicas(board, service, now)
        if not free:
            if not self._handle_no_free_slot(board, service, now):
                counts.full += 1
                return None
            free = self._find_free_replicas(board, service, now)
        view = self._build_view(board, service, now)
        while names and free:
            name = choose_organisation(names, view, now) or min(
                names, key=lambda candidate: view.organisations[candidate].key
            )
            names.remove(name)
            for request in self._list_candidates(board, service, name, free, now):
                counts.requests += 1
                counts.replicas += len(free)
                usable = [
                    pair for pair in free if request.may_use(pair[0].replica_id, now)
                ]
                if usable:
                    counts.starts += 1
                    replica = self._choose_replica(board, request, usable)
                    return self._start(board, request, replica, now)
                counts.unplaced += 1
        return None

    def _list_candidates(
        self,
        board: Blackboard,
        service: ServiceName,
        name: OrganisationName,
        free: list[tuple[Replica, int]],
        now: float,
    ) -> list[CallRequest]:
        """Returns the waiting requests of the organisation to try, in order.

        Usually only the first one. If that one avoids all free replicas after failed
        attempts, requests behind it are tried too, so that they need not wait for it.
        """
        first = board.queues.peek(service, name)
        assert first is not None
        if any(first.may_use(replica.replica_id, now) for replica, _ in free):
            return [first]
        return board.queues.list_first(service, name, _MAX_TRIED_REQUESTS)

    def _find_free_replicas(
        self, board: Blackboard, service: ServiceName, now: float
    ) -> list[tuple[Replica, int]]:
        """Returns the available replicas with free slots and how many each has."""
        replicas = self._get_pool(board, service, now).replicas
        board.choices.counts.replicas += len(replicas)
        return [
            (replica, 1 if replica.takes_one_request else free)
            for replica in replicas
            if (free := self._count_free_slots(board, replica, now)) > 0
            and replica.is_available(now)
        ]

    def _start(
        self,
        board: Blackboard,
        request: CallRequest,
        replica: Replica,
        now: float,
    ) -> Start:
        service, name = request.service, request.organisation
        self._running_call_ids.add(request.call_id)
        self._charges.start(board, request, now)
        counts = self._running_counts.setdefault(service, {})
        counts[name] = counts.get(name, 0) + 1
        if request.prefix_key is not None:
            key = (service, request.prefix_key)
            self._prefix_replicas[key] = replica.replica_id
            self._prefix_replicas.move_to_end(key)
            while len(self._prefix_replicas) > _MAX_PREFIXES:
                self._prefix_replicas.popitem(last=False)
        self._handle_start(board, request, replica.replica_id, now)
        return Start(request.call_id, replica.replica_id)

    def _choose_replica(
        self,
        board: Blackboard,
        request: CallRequest,
        free: list[tuple[Replica, int]],
    ) -> Replica:
        """Returns the replica with most free slots of the preferred ones."""
        best, _ = max(
            self._list_preferred(board, request, free),
            key=lambda candidate: (candidate[1], self._rng.random()),
        )
        return best

    def _list_preferred(
        self,
        board: Blackboard,
        request: CallRequest,
        free: list[tuple[Replica, int]],
    ) -> list[tuple[Replica, int]]:
        """Returns the free replica that last ran the prefix, or those to choose from.

        Without it, these are the replicas in the router's own zone, if any is free.
        """
        if request.prefix_key is not None:
            last_replica_id = self._prefix_replicas.get(
                (request.service, request.prefix_key)
            )
            for candidate in free:
                if candidate[0].replica_id == last_replica_id:
                    return [candidate]
        zone = board.identity.zone
        return [candidate for candidate in free if candidate[0].zone == zone] or free

    def finish(
        self, board: Blackboard, request: CallRequest, replica_id: ReplicaId, now: float
    ) -> list[Action]:
        """Records that an attempt ended and its slot is free."""
        if request.call_id not in self._running_call_ids:
            return []
        self._running_call_ids.remove(request.call_id)
        self._charges.finish(board, request, now)
        counts = self._running_counts[request.service]
        counts[request.organisation] -= 1
        if not counts[request.organisation]:
            del counts[request.organisation]
        if request.charged > 0:
            self._costs.record_cost(request, request.charged)
        return self._handle_freed_slot(board, request.service, replica_id, now)

    def _handle_freed_slot(
        self, board: Blackboard, service: ServiceName, replica_id: ReplicaId, now: float
    ) -> list[Action]:
        """Handles a slot whose request ended; returns the resulting actions."""
        return []

    def step(self, board: Blackboard, now: float) -> list[Action]:
        """Charges running work and updates the moving averages of running requests."""
        self._charges.charge_all(board, now)
        self._first_step_at = min(self._first_step_at, now)
        elapsed = min(max(now - self._last_step_at, 0.0), 1.0)
        self._last_step_at = now
        weight = 1 - math.exp(-elapsed / board.options.slot_average_time)
        for service in board.upstreams.services():
            view = self._build_view(board, service, now)
            for name, organisation in view.organisations.items():
                if organisation.waiting:
                    self._last_waiting_at[service, name] = now
            averages = self._average_running.setdefault(service, {})
            for name in view.organisations.keys() - averages.keys():
                averages[name] = 0.0
            for name, average in list(averages.items()):
                state = view.organisations.get(name)
                running_now = 0 if state is None else state.running
                averages[name] = average + weight * (running_now - average)
                if state is None and averages[name] < 0.01:
                    del averages[name]
        return []

    def measure(self, board: Blackboard, now: float) -> list[ServiceMetrics]:
        """Returns the fairness gap and utilisation of each service."""
        figures = []
        for service in sorted(board.upstreams.services()):
            pool = self._get_pool(board, service, now)
            view = self._build_view(board, service, now)
            states = view.organisations
            figures.append(
                build_service_metrics(
                    service,
                    backlogged_totals=[
                        board.ledger.total(service, name)
                        for name, state in states.items()
                        if state.waiting > 0
                    ],
                    capacity=pool.capacity,
                    running=sum(state.running for state in states.values()),
                    waiting=sum(state.waiting for state in states.values()),
                    slots=pool.slots,
                )
            )
        return figures
