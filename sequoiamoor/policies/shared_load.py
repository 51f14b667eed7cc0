"""Shared-load policy: fair order, with replicas chosen by load and cached prompts."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable
from random import Random

from ..core.actions import Action, Start
from ..core.blackboard import Blackboard
from ..core.charges import StartCharges, is_charged_at_start
from ..core.fairness import (
    OrganisationView,
    RecentWork,
    ServiceView,
    choose_organisation,
)
from ..core.lagged_work import LAG_INTERVALS, LaggedWork
from ..core.messages import Grants, Report, SlotRow
from ..core.reports import find_report_interval
from ..core.rounds import ROUND_SECONDS, Room, Round
from ..core.routed_call import RoutedCall
from ..core.start_limits import (
    OrganisationLoad,
    StartLimits,
    compute_rates,
    find_leaders,
    find_shared_level,
)
from ..core.upstreams import Replica
from ..types import (
    CallRequest,
    OrganisationName,
    ReplicaId,
    RouterId,
    RouterIdentity,
    ServiceKind,
    ServiceName,
)
from .replica_choice import BACKLOG_TARGET_FRACTION, ReplicaChoice, find_shared_part
from .replica_slots import agree_on_window

MAX_TRIED_REQUESTS = 24
"""Waiting requests of an organisation that are tried before the next organisation."""

MAX_COMPARED_REQUESTS = 8
"""The same where replicas report their load. The comparison of what they offer takes
longer, and a flood of one organisation would take all of a small router's time."""

CUT_STREAM_LENGTH_FACTOR = 2.0
"""Assumed length of a stream cut at its timeout, as a multiple of its events so far."""

SHARE_DECAY_SECONDS = 2.0
"""Time constant with which served work fades from the shares, which must hold within a
few seconds."""

UNREPORTED_FRACTION = 0.33
"""Part of the change of waiting requests in a report interval that the other routers of
a large fleet do not know of. Reports are half an interval old in the mean, and some are
sent early."""

RESERVED_FRACTION = 0.05
"""Part of the places that organisations above their share leave free, so that the work
of the others finds one at once."""

PACE_REFRESH_SECONDS = 1.0
"""Interval between two computations of the pace that streams need."""


class SharedLoadPolicy(ReplicaChoice):
    """Starts work at replicas with a free slot according to all routers' reports.

    Reports are up to one interval old, so the routers may start a few requests more
    than a replica has slots; the replica queues these for a moment.
    """

    def __init__(self, *, rng: Random) -> None:
        super().__init__(rng=rng)
        self._recent = RecentWork(SHARE_DECAY_SECONDS)
        self._start_charges = StartCharges()
        self._pace_refreshed_at = float("-inf")
        self._reported_in_use: dict[ReplicaId, int] = {}
        self._own_recent = RecentWork(SHARE_DECAY_SECONDS)
        self._reported_work = LaggedWork()
        self._reported_waiting = LaggedWork()

    # Slots.

    def _find_allowed_gap(
        self, board: Blackboard, service: ServiceName, now: float
    ) -> float:
        """Returns the difference of served work to ignore, in service units.

        For engines it follows from the declared token rate, if there is one, and not
        from load reports; for other declared services from the number of slots.
        """
        declaration = board.configuration.declaration
        if declaration is None or service not in declaration.services:
            return super()._find_allowed_gap(board, service, now)
        rate = declaration.limits.tokens_per_second
        if declaration.services[service].kind is ServiceKind.PLAIN or rate is None:
            # A slot of a plain service does 1,000 units (ms) of work per second. The
            # same rate is used for an engine without a declared one.
            rate = 1000.0 * self._get_pool(board, service, now).slots
        return board.options.allowed_gap_seconds * rate

    def _build_view(
        self, board: Blackboard, service: ServiceName, now: float
    ) -> ServiceView:
        # Replaces the total in each key by the recent work, which decides the order.
        view = super()._build_view(board, service, now)
        is_prepaid = is_charged_at_start(board, service)
        for name, organisation in view.organisations.items():
            if is_prepaid:
                # Counted again, long streams would hold their organisation back until
                # they end.
                organisation.key -= organisation.running * organisation.running_cost
                organisation.running_cost = 0.0
            total = board.ledger.total(service, name)
            served = total - board.ledger.lift(service, name)
            organisation.key += self._recent.units(service, name, served) - total
        return view

    def _update_recent(self, board: Blackboard, now: float) -> None:
        """Adds newly served work to the recent work that the shares are based on."""
        ledger = board.ledger
        keys = ledger.accounts()
        for service in board.upstreams.services():
            names = self._demands.sum(service, board.members.keys())
            keys |= {(service, name) for name in names}
        self._recent.update(
            {key: ledger.total(*key) - ledger.lift(*key) for key in keys}, now
        )
        served = {key: ledger.served(*key) for key in keys}
        self._own_recent.update(served, now)
        interval = find_report_interval(board.options, len(board.members))
        self._reported_work.record(
            {key: self._own_recent.units(*key, units) for key, units in served.items()},
            now,
            lag=LAG_INTERVALS * interval,
        )
        self._reported_waiting.record(
            {key: float(board.queues.count(*key)) for key in keys}, now, lag=interval
        )

    def describe_loads(
        self, board: Blackboard, service: ServiceName, now: float
    ) -> dict[OrganisationName, OrganisationLoad]:
        """Returns what the organisations ask of a service, as this router knows it."""
        return self._describe_loads(
            board, service, self._build_view(board, service, now)
        )

    def _describe_loads(
        self, board: Blackboard, service: ServiceName, view: ServiceView
    ) -> dict[OrganisationName, OrganisationLoad]:
        return {
            name: self._describe_load(board, service, name, state)
            for name, state in view.organisations.items()
        }

    def _describe_load(
        self,
        board: Blackboard,
        service: ServiceName,
        name: OrganisationName,
        state: OrganisationView,
    ) -> OrganisationLoad:
        ledger = board.ledger
        own_served = ledger.served(service, name)
        served = ledger.total(service, name) - ledger.lift(service, name)
        own_recent = self._own_recent.units(service, name, own_served)
        recent = self._recent.units(service, name, served)
        # Others know of this router's work as late as it knows of theirs.
        if board.place is not None:
            reported = self._reported_work.get((service, name))
            recent += reported - own_recent
            own_recent = reported
        own_waiting = board.queues.count(service, name)
        own_reported = None
        if board.place is not None:
            last_waiting = self._reported_waiting.get((service, name))
            unreported = UNREPORTED_FRACTION * (own_waiting - last_waiting)
            own_reported = round(own_waiting - unreported)
        return OrganisationLoad(
            recent=max(recent, own_recent) / SHARE_DECAY_SECONDS,
            own_recent=own_recent / SHARE_DECAY_SECONDS,
            # The view does not have the requests that arrived in this round.
            waiting=max(state.waiting, own_waiting),
            own_waiting=own_waiting,
            cost=self._costs.expect(service, name),
            own_reported=own_reported,
        )

    def _set_rates(
        self, board: Blackboard, service: ServiceName, current: Round, now: float
    ) -> None:
        """Sets the rates of organisations that ask for more than their share."""
        loads = self._describe_loads(board, service, current.view)
        reserve = RESERVED_FRACTION * current.most
        places = current.placeable - current.excess - reserve
        limits = self._limits[service]
        uptake = limits.uptake_seconds
        rates = compute_rates(loads, places=places, uptake_seconds=uptake)
        leaders: dict[OrganisationName, float] = {}
        if current.has_costs:
            level = find_shared_level(loads, places=places, uptake_seconds=uptake)
            leaders = find_leaders(loads, level=level)
        limits.leaders = frozenset(leaders)
        limits.set_rates(
            rates | leaders,
            now,
            report_interval=find_report_interval(board.options, len(board.members)),
        )
        current.has_rates = True

    # Starts.

    def choose_start(
        self, board: Blackboard, service: ServiceName, now: float
    ) -> Start | None:
        """Returns the next start, or None without waiting work or a replica for it."""
        names = board.queues.organisations(service)
        if not names:
            return None
        board.choices.counts.passes += 1
        self._record_waiting(board, service, names, now)
        current = self._get_round(board, service, names, now)
        if not current.placeable:
            board.choices.counts.full += 1
        while names:
            name = choose_organisation(names, current.view, now) or min(
                names,
                key=lambda candidate: current.view.organisations[candidate].key,
            )
            names.remove(name)
            state = current.view.organisations[name]
            load = self._describe_load(board, service, name, state)
            if not self._may_take_place(board, service, name, load, current, now):
                board.choices.record_held_back(
                    name, current.view, current.placeable, load
                )
                continue
            most = MAX_COMPARED_REQUESTS if current.has_costs else MAX_TRIED_REQUESTS
            for request in board.queues.list_first(service, name, most):
                if not current.may_try(request.call_id):
                    continue
                replica = self._try_request(board, current, request, now)
                if replica is not None:
                    board.choices.counts.starts += 1
                    return self._start(board, request, replica, now)
        return None

    def _get_round(
        self,
        board: Blackboard,
        service: ServiceName,
        names: Iterable[OrganisationName],
        now: float,
    ) -> Round:
        """Returns the round of a service, a new one if the last one is outdated."""
        self._peers.forget_read_prompts(now)
        windows = self._get_own_windows(board, service, now)
        current = self._rounds.get(service)
        if (
            current is None
            or not now < current.ends_at
            or current.windows is not windows
            or any(name not in current.view.organisations for name in names)
        ):
            current = self._begin_round(board, service, now)
            self._rounds[service] = current
        return current

    def _begin_round(
        self, board: Blackboard, service: ServiceName, now: float
    ) -> Round:
        pool = self._get_pool(board, service, now)
        windows = self._get_own_windows(board, service, now)
        available = {
            replica.replica_id: replica
            for replica in pool.replicas
            if replica.is_available(now)
        }
        view = self._build_view(board, service, now)
        current = Round(now + ROUND_SECONDS, view, windows, available)
        current.has_costs = any(
            board.replica_loads.has_reports(replica) for replica in available.values()
        )
        declaration = board.configuration.declaration
        declared = declaration and declaration.services.get(service)
        current.capacity = declared.kv_tokens if declared else None
        shortest_target = board.configuration.find_shortest_stream_target(service)
        mean_seconds = self._reads.find_mean_seconds(service)
        if mean_seconds and not math.isinf(shortest_target):
            current.mean_read_seconds = mean_seconds
            current.read_limit = BACKLOG_TARGET_FRACTION * shortest_target
            current.seconds_per_token = self._reads.model(service).seconds_per_token
        board.choices.counts.replicas += len(pool.replicas)
        for replica_id, replica in available.items():
            self._look_at_room(board, current, replica, now)
            current.most += min(windows[replica_id], current.count_readable(0))
        return current

    def _look_at_room(
        self, board: Blackboard, current: Round, replica: Replica, now: float
    ) -> None:
        replica_id = replica.replica_id
        peer_load = self._peers.get(replica_id)
        window = agree_on_window(current.windows[replica_id], peer_load)
        window = self._scale_window(board, replica, window, now)
        others = self._count_others(board, replica, now)
        free = window - replica.in_use - others
        ahead = self._count_tokens_ahead(board, replica, now)
        most = 1 if replica.takes_one_request else free
        room = Room(
            requests=max(min(free, most, current.count_readable(ahead)), 0),
            excess=max(-free, 0),
            tokens_ahead=ahead,
            pace=board.replica_loads.find_pace(replica, now),
            free=min(free, most),
            others=others,
        )
        current.set_room(replica_id, room)

    def _look_again(
        self, board: Blackboard, request: CallRequest, replica_id: ReplicaId, now: float
    ) -> None:
        """Looks at a replica at which a prompt was read or a request ended."""
        current = self._rounds.get(request.service)
        replica = None if current is None else current.available.get(replica_id)
        if current is not None and replica is not None:
            board.choices.counts.replicas += 1
            self._look_at_room(board, current, replica, now)
            current.gains.append(replica_id)

    def _may_take_place(
        self,
        board: Blackboard,
        service: ServiceName,
        name: OrganisationName,
        load: OrganisationLoad,
        current: Round,
        now: float,
    ) -> bool:
        """Returns whether this router may start work of an organisation now."""
        organisations = current.view.organisations
        state = organisations[name]
        ahead = sum(
            other.waiting
            for other in organisations.values()
            if other.waiting > 0 and other.key < state.key
        )
        limits = self._limits.setdefault(service, StartLimits())
        if current.has_costs:
            if not current.has_rates:
                self._set_rates(board, service, current, now)
            if name in limits.leaders:
                return limits.is_within_rate(name, now)
        if limits.may_take_part(
            name,
            now,
            places=current.placeable - ahead,
            fraction=load.own_fraction,
            report_interval=find_report_interval(board.options, len(board.members)),
        ):
            return True
        if not current.has_rates:
            self._set_rates(board, service, current, now)
        return limits.is_within_rate(name, now)

    def _try_request(
        self, board: Blackboard, current: Round, request: CallRequest, now: float
    ) -> Replica | None:
        """Returns the replica to start a request at, or None if it should wait."""
        candidates = current.list_candidates(request.call_id)
        board.choices.counts.requests += 1
        replica = self._place_request(board, current, request, candidates, now)
        board.choices.counts.unplaced += replica is None
        return replica

    def _handle_start(
        self,
        board: Blackboard,
        request: CallRequest,
        replica_id: ReplicaId,
        now: float,
    ) -> None:
        self._start_charges.start(board, request)
        part = find_shared_part(request)
        if part is not None:
            self._record_part_use(part, replica_id, now)
        if isinstance(request, RoutedCall) and request.parts:
            tokens = self._count_tokens_to_read(board, request, replica_id, now)
            ahead = self._count_tokens_ahead(
                board, board.upstreams.replicas[replica_id], now
            )
            mean = self._reads.find_mean_tokens(request.service)
            request.read_prompts = tokens / mean if mean else 1.0
            request.mean_read_seconds = self._reads.find_mean_seconds(request.service)
            self._reads.start(
                request.call_id,
                request.service,
                replica_id,
                tokens,
                ahead=ahead,
                now=now,
            )
            self._rounds[request.service].take_tokens(replica_id, tokens)
        if isinstance(request, RoutedCall):
            self._note_load_age(board, request, replica_id, now)
        self._request_report(board, now)
        self._note_start(board, request, replica_id, now)

    def _count_tokens_to_read(
        self, board: Blackboard, request: RoutedCall, replica_id: ReplicaId, now: float
    ) -> int:
        """Counts a prompt in the memory of its replica.

        Returns:
            The tokens that the replica is expected to read for it.
        """
        current = self._rounds[request.service]
        if not current.has_costs:
            return request.own_tokens
        replica = board.upstreams.replicas[replica_id]
        prompt = current.prompts.get(request.call_id)
        rank = prompt.ranks.get(replica_id, 1) if prompt is not None else 1
        state = self._get_state(replica, rank)
        tokens = self._prompts.count_tokens_to_read(request, state, now)
        self._prompts.memory.start(request, replica, now)
        board.choices.counts.read_tokens += tokens
        board.choices.counts.kept_tokens += request.prompt_tokens - tokens
        return tokens

    def _note_load_age(
        self, board: Blackboard, request: RoutedCall, replica_id: ReplicaId, now: float
    ) -> None:
        replica = board.upstreams.replicas[replica_id]
        age = board.replica_loads.find_age(replica, now)
        request.is_load_reported = age is not None
        request.load_age = self._peers.find_mean_age(now) if age is None else age

    def _note_start(
        self, board: Blackboard, request: CallRequest, replica_id: ReplicaId, now: float
    ) -> None:
        """Counts a start in the round; the replica does not show it in use yet."""
        service, name = request.service, request.organisation
        current = self._rounds[service]
        current.take_place(replica_id)
        state = current.view.organisations[name]
        state.add_running()
        if is_charged_at_start(board, service):
            units = request.charged
            state.key += units
        else:
            units = self._costs.expect(service, name)
        self._limits[service].record_start(name, units, now)

    def record_first_event(
        self, board: Blackboard, request: CallRequest, now: float
    ) -> None:
        """Records that the prompt of a request was read."""
        board.replica_loads.note_begun(request.call_id)
        replica_id = self._reads.finish(request.call_id, now, is_answered=True)
        if replica_id is not None:
            self._look_again(board, request, replica_id, now)

    def finish(
        self, board: Blackboard, request: CallRequest, replica_id: ReplicaId, now: float
    ) -> list[Action]:
        """Records that an attempt ended and its slot is free."""
        self._reads.finish(request.call_id, now, is_answered=False)
        self._prompts.memory.finish(request.call_id)
        self._start_charges.finish(board, request)
        if isinstance(request, RoutedCall) and request.events:
            self._record_pace(board, request, replica_id, now)
        limits = self._limits.setdefault(request.service, StartLimits())
        limits.record_end(now - request.started_at)
        actions = super().finish(board, request, replica_id, now)
        self._look_again(board, request, replica_id, now)
        return actions

    def _handle_freed_slot(
        self, board: Blackboard, service: ServiceName, replica_id: ReplicaId, now: float
    ) -> list[Action]:
        self._request_report(board, now)
        return []

    def _record_pace(
        self,
        board: Blackboard,
        request: RoutedCall,
        replica_id: ReplicaId,
        now: float,
    ) -> None:
        """Records the length and speed of a stream that ended."""
        events = request.events
        if now >= request.ends_at:
            events = round(events * CUT_STREAM_LENGTH_FACTOR)
        self._pace.record_stream_end(
            request.service,
            replica_id,
            request.route,
            events=request.events,
            length=max(events, self._count_events(board, request)),
            seconds=request.last_event_at - request.first_event_at,
        )
        self._update_own_window(request.service, replica_id)

    # Reports.

    def step(self, board: Blackboard, now: float) -> list[Action]:
        """Updates the averages, ledger, peer loads, recent work and stream pace."""
        self._rounds.clear()
        actions = super().step(board, now)
        board.ledger.update_live({board.identity, *board.members.values()})
        self._peers.keep_only(board.members.values())
        self._update_recent(board, now)
        if now - self._pace_refreshed_at >= PACE_REFRESH_SECONDS:
            self._pace_refreshed_at = now
            self._pace.refresh()
            self._prompts.memory.forget_old(board.upstreams.replicas, now)
            self._own_windows.clear()
        return actions

    def build_slots(self, board: Blackboard, now: float) -> tuple[SlotRow, ...]:
        """Returns the slots that this router uses at each replica.

        A replica gets one last row with no slots after its last request ended.
        """
        rows = []
        for replica in board.upstreams.replicas.values():
            if replica.in_use or self._reported_in_use.get(replica.replica_id):
                tokens = self._reads.count_unread_tokens(replica.replica_id)
                replica_id = replica.replica_id
                window = self._compute_own_window(board, replica, now)
                rows.append(
                    SlotRow(replica_id, 0, 0, 0, replica.in_use, tokens, window)
                )
        self._reported_in_use = {row.replica_id: row.in_use for row in rows}
        return tuple(rows)

    def apply_report(
        self, board: Blackboard, origin: RouterIdentity, report: Report, now: float
    ) -> list[Action]:
        """Applies a report from a peer."""
        self._rounds.clear()
        self._merge_counters(board, origin, report, now)
        earlier = self._peers.find_report(origin)
        self._peers.take(origin, report.slots, now)
        if earlier is not None:
            rows, since = earlier
            board.replica_loads.apply_peer_report(
                rows, report.slots, since=since, now=now
            )
        return []

    def apply_grants(
        self, board: Blackboard, sender: RouterIdentity, grants: Grants, now: float
    ) -> list[Action]:
        """Does nothing: no slots are granted."""
        return []

    def forget_except(self, board: Blackboard, routers: Collection[RouterId]) -> None:
        """Drops the state of routers that the membership has forgotten."""
        self._demands.forget_except(routers)
