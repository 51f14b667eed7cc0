"""Arbitrated policy: fair order over the fleet, one arbiter per replica."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from random import Random

from ..core.actions import Action, Send, SendReport
from ..core.allotment import Allotment
from ..core.arbiter import Arbiter
from ..core.blackboard import Blackboard
from ..core.fairness import ServiceView, choose_organisation, may_use_slot
from ..core.messages import GrantRow, Grants, Report, SlotRow
from ..core.placement import choose_arbiter
from ..core.rendezvous import hash_pair
from ..core.upstreams import Replica
from ..types import (
    CallRequest,
    OrganisationName,
    ReplicaId,
    RouterId,
    RouterIdentity,
    ServiceName,
)
from .reporting import ROW_REFRESH_SECONDS, ReportingPolicy

_MAX_SENT_REPORTS = 256
"""Own reports whose send time is kept, to date the grants that acknowledge them."""


class ArbitratedPolicy(ReportingPolicy):
    """Starts work on slots that the arbiters of the replicas granted to this router.

    Every router is also the arbiter of some replicas: it grants their slots to the
    routers whose waiting work comes first in the fair order of the whole fleet.
    """

    def __init__(self, *, rng: Random) -> None:
        super().__init__(rng=rng)
        self._allotment = Allotment()
        self._arbiter: Arbiter | None = None
        # Grants to a router that its reports may not show yet, oldest first: time,
        # service and organisation.
        self._unreported_grants: dict[
            RouterId, deque[tuple[float, ServiceName, OrganisationName]]
        ] = {}
        self._published_slots: dict[ReplicaId, tuple[SlotRow, float]] = {}
        # Time at which each report was sent, by its sequence number.
        self._report_sent_at: dict[int, float] = {}
        # Rows of the last report of each router, to recognise an unchanged tuple.
        self._last_slot_rows: dict[RouterIdentity, tuple[SlotRow, ...]] = {}

    def _get_arbiter(self, board: Blackboard) -> Arbiter:
        if self._arbiter is None:
            self._arbiter = Arbiter(board.identity, board.options)
        return self._arbiter

    # Slots of this router.

    def _count_free_slots(self, board: Blackboard, replica: Replica, now: float) -> int:
        if now - self._last_step_at > board.options.grant_expiry:
            return 0
        return self._allotment.free(replica.replica_id, now)

    def _find_free_replicas(
        self, board: Blackboard, service: ServiceName, now: float
    ) -> list[tuple[Replica, int]]:
        if not self._may_have_free_slots(board, service, now):
            return []
        return super()._find_free_replicas(board, service, now)

    def _may_have_free_slots(
        self, board: Blackboard, service: ServiceName, now: float
    ) -> bool:
        # Cheap check: under load, most decisions find no free slot at any replica.
        windows = self._get_pool(board, service, now).windows
        return not self._allotment.unused_replicas().isdisjoint(windows)

    def _handle_start(
        self,
        board: Blackboard,
        request: CallRequest,
        replica_id: ReplicaId,
        now: float,
    ) -> None:
        self._allotment.start(replica_id)
        key = (request.service, request.organisation)
        published = self._published_rows.get(key)
        # The starting request is still in its queue: a count of 1 means that it is the
        # last one, while the row that peers have still shows waiting requests.
        if (
            published is not None
            and published.row.waiting
            and board.queues.count(*key) == 1
        ):
            self._request_report(board, now)

    def _handle_no_free_slot(
        self, board: Blackboard, service: ServiceName, now: float
    ) -> bool:
        self._grant_free_slots(board, now)
        if self._count_startable(board, service, now):
            return True
        for name in board.queues.organisations(service):
            published = self._published_rows.get((service, name))
            if published is None or not published.row.waiting:
                self._request_report(board, now)
        return False

    def _count_startable(
        self, board: Blackboard, service: ServiceName, now: float
    ) -> int:
        """Returns the number of free slots on which waiting work can start now.

        Slots of unavailable replicas do not count. They would appear to cover waiting
        work, and the slots of other replicas would stay idle.
        """
        if not self._may_have_free_slots(board, service, now):
            return 0
        return sum(
            self._count_free_slots(board, replica, now)
            for replica in self._get_pool(board, service, now).replicas
            if replica.is_available(now)
        )

    def _handle_freed_slot(
        self, board: Blackboard, service: ServiceName, replica_id: ReplicaId, now: float
    ) -> list[Action]:
        self._allotment.finish(replica_id)
        released = self._allotment.release_recalled()
        if (
            not released
            and not self._may_keep_slot(board, service, now, is_granted=False)
            and self._should_release(board, service, replica_id, now)
            and self._allotment.release(replica_id, 1)
        ):
            released = [replica_id]
        return self._notify_arbiters(board, released, now)

    def _should_release(
        self, board: Blackboard, service: ServiceName, replica_id: ReplicaId, now: float
    ) -> bool:
        """Returns whether to release a free slot instead of using it for local work.

        A released slot stays idle until its arbiter learns of it. While work waits
        here and the budget of early messages is empty, the slot serves that work.
        """
        if not board.queues.organisations(service):
            return True
        if self._find_arbiter(board, replica_id) == board.identity.router_id:
            return True
        return self._take_early_budget(board, 1, now)

    def _may_keep_slot(
        self, board: Blackboard, service: ServiceName, now: float, *, is_granted: bool
    ) -> bool:
        """Returns whether this router may keep a free slot of the service."""
        own = board.queues.organisations(service)
        demands = self._get_peer_demands(board, service)
        if not any(demand.waiting for demand in demands.values()):
            return True
        if not own:
            return False
        view = self._build_view(board, service, now)
        return any(may_use_slot(name, view, is_granted=is_granted) for name in own)

    def _release_surplus(self, board: Blackboard, now: float) -> list[ReplicaId]:
        """Releases granted slots that no work at this router is entitled to any more.

        Several arbiters may have granted a slot for the same request. The surplus slots
        must not go to other work waiting here, which may be far ahead of its share.
        """
        released = self._allotment.release_recalled()
        for service in board.upstreams.services():
            free = [
                (replica.replica_id, count)
                for replica in self._get_pool(board, service, now).replicas
                if (count := self._count_free_slots(board, replica, now)) > 0
            ]
            if free and not self._may_keep_slot(board, service, now, is_granted=True):
                for replica_id, count in free:
                    if not self._should_release(board, service, replica_id, now):
                        continue
                    self._allotment.release(replica_id, count)
                    released.append(replica_id)
        return released

    def _notify_arbiters(
        self, board: Blackboard, released: list[ReplicaId], now: float
    ) -> list[Action]:
        """Reports released slots to their arbiters only; own ones are granted anew."""
        arbiters = {self._find_arbiter(board, replica_id) for replica_id in released}
        actions: list[Action] = [
            SendReport(router_id)
            for router_id in sorted(arbiters - {board.identity.router_id})
        ]
        if board.identity.router_id in arbiters:
            actions += self._arbitrate(board, now)
        return actions

    def _find_arbiter(self, board: Blackboard, replica_id: ReplicaId) -> RouterId:
        replica = board.upstreams.replicas.get(replica_id)
        zone = "" if replica is None else replica.zone
        members = [board.identity, *board.members.values()]
        return choose_arbiter(replica_id, zone, members).router_id

    def _release_for_peers(self, board: Blackboard, now: float) -> list[ReplicaId]:
        """Releases slots granted in advance that waiting work at peers needs."""
        released = self._allotment.release_recalled()
        for service in board.upstreams.services():
            if board.queues.organisations(service):
                continue
            demands = self._get_peer_demands(board, service)
            needed = sum(demand.waiting for demand in demands.values())
            for replica in self._get_pool(board, service, now).replicas:
                if needed <= 0:
                    break
                count = self._allotment.release(replica.replica_id, needed)
                needed -= count
                if count:
                    released.append(replica.replica_id)
        return released

    # Slots of the replicas that this router arbitrates.

    def _was_paused(self, board: Blackboard, now: float) -> bool:
        """Returns whether another router may have become arbiter during a pause.

        After a pause, messages may be read before the next step. Until that step gives
        up the earlier grants, this router must not grant or renew anything.
        """
        return now - self._last_step_at > board.options.suspect_after

    def _arbitrate(self, board: Blackboard, now: float) -> list[Action]:
        """Grants free slots; returns the messages that tell other routers of grants."""
        if self._was_paused(board, now):
            return []
        self._grant_free_slots(board, now)
        actions: list[Action] = []
        for identity, rows in self._get_arbiter(board).collect_rows(now).items():
            if identity == board.identity:
                self._apply_own_grants(board, rows, now)
            elif board.members.get(identity.router_id) == identity:
                grants = Grants(
                    rows,
                    self._demands.sequence(identity.router_id),
                    identity.incarnation,
                )
                actions.append(Send(identity.router_id, grants))
        return actions

    def _apply_own_grants(
        self, board: Blackboard, rows: tuple[GrantRow, ...], now: float
    ) -> None:
        for row in rows:
            valid_until = now + board.options.grant_expiry
            self._allotment.apply_grant(row, valid_until=valid_until)

    def _grant_free_slots(self, board: Blackboard, now: float) -> None:
        """Grants the free slots to the routers whose waiting work comes first."""
        if self._was_paused(board, now):
            return
        arbiter = self._get_arbiter(board)
        own = self._allotment.build_rows()
        arbiter.apply_rows(board.identity, own, now)
        free: dict[ServiceName, list[ReplicaId]] = {}
        replicas = [
            replica
            for replica_id in arbiter.replica_ids()
            if (replica := board.upstreams.replicas.get(replica_id)) is not None
        ]
        # Slots of unavailable replicas come last: a request that seems covered by one
        # cannot start there.
        replicas.sort(key=lambda candidate: not candidate.is_available(now))
        for replica in replicas:
            count = arbiter.free(replica.replica_id, now)
            free.setdefault(replica.service, []).extend([replica.replica_id] * count)
        for service, slots in free.items():
            if slots:
                self._grant_service_slots(board, service, slots, now)

    def _grant_service_slots(
        self,
        board: Blackboard,
        service: ServiceName,
        slots: list[ReplicaId],
        now: float,
    ) -> None:
        arbiter = self._get_arbiter(board)
        uncovered = self._count_uncovered(board, service, now)
        if not uncovered:
            return
        view = self._build_view(board, service, now)
        for replica_id in slots:
            name = self._choose_organisation(uncovered, view, now)
            if name is None:
                return
            by_router = uncovered[name]
            grantable = [
                identity
                for identity in by_router
                if arbiter.can_grant(replica_id, identity)
            ]
            if not grantable:
                continue
            router = max(
                grantable,
                key=lambda candidate: (
                    by_router[candidate],
                    hash_pair(replica_id, candidate.router_id),
                ),
            )
            arbiter.grant(replica_id, router)
            view.organisations[name].add_running()
            by_router[router] -= 1
            if by_router[router] <= 0:
                del by_router[router]
                if not by_router:
                    del uncovered[name]
            if router == board.identity:
                own_row = arbiter.collect_own(replica_id)
                self._apply_own_grants(board, (own_row,), now)
            else:
                queue = self._unreported_grants.setdefault(router.router_id, deque())
                queue.append((now, service, name))

    def _choose_organisation(
        self,
        uncovered: dict[OrganisationName, dict[RouterIdentity, int]],
        view: ServiceView,
        now: float,
    ) -> OrganisationName | None:
        if not uncovered:
            return None
        return choose_organisation(uncovered, view, now) or min(
            uncovered, key=lambda name: view.organisations[name].key
        )

    def _count_uncovered(
        self, board: Blackboard, service: ServiceName, now: float
    ) -> dict[OrganisationName, dict[RouterIdentity, int]]:
        """Returns the number of waiting requests not covered by grants.

        They are counted by organisation and router.
        """
        found: dict[OrganisationName, dict[RouterIdentity, int]] = {}
        for identity in board.members.values():
            demands = self._demands.of(identity.router_id, service)
            counts = {
                name: demand.waiting
                for name, demand in demands.items()
                if demand.waiting > 0
            }
            limit = now - board.options.report_interval
            for granted_at, granted_service, name in self._unreported_grants.get(
                identity.router_id, ()
            ):
                if (
                    granted_at >= limit
                    and granted_service == service
                    and name in counts
                ):
                    counts[name] -= 1
            for name, count in counts.items():
                if count > 0:
                    found.setdefault(name, {})[identity] = count
        spare = self._count_startable(board, service, now)
        for name in board.queues.organisations(service):
            count = board.queues.count(service, name) - spare
            if count > 0:
                found.setdefault(name, {})[board.identity] = count
        return found

    def _grant_in_advance(self, board: Blackboard, now: float) -> None:
        """Spreads free slots evenly over the routers while no work waits anywhere."""
        arbiter = self._get_arbiter(board)
        routers = [board.identity, *board.members.values()]
        for replica_id in list(arbiter.replica_ids()):
            replica = board.upstreams.replicas.get(replica_id)
            if replica is None:
                continue
            grantable = [
                identity
                for identity in routers
                if arbiter.can_grant(replica_id, identity)
            ]
            free = arbiter.free(replica_id, now)
            if not grantable or not free or self._is_contested(board, replica.service):
                continue
            unused = {
                identity: arbiter.unused(replica_id, identity) for identity in grantable
            }
            for _ in range(free):
                router = min(
                    grantable,
                    key=lambda candidate: (
                        unused[candidate],
                        hash_pair(replica_id, candidate.router_id),
                    ),
                )
                arbiter.grant(replica_id, router)
                unused[router] += 1

    def _is_contested(self, board: Blackboard, service: ServiceName) -> bool:
        demands = self._get_peer_demands(board, service)
        return bool(board.queues.organisations(service)) or any(
            demand.waiting for demand in demands.values()
        )

    # Messages and time.

    def step(self, board: Blackboard, now: float) -> list[Action]:
        """Runs the periodic work of the ledger, the allotment and the arbiter."""
        arbiter = self._get_arbiter(board)
        if self._was_paused(board, now):
            arbiter.discard_grants()
        super().step(board, now)
        actions: list[Action] = []
        members = [board.identity, *board.members.values()]
        died = board.ledger.update_live(set(members))
        for origin in died:
            self._last_slot_rows.pop(origin, None)
        risen = board.ledger.drain_changed_dead_origins()
        if board.place is not None and (died or risen):
            # In a tree, only some routers have the counters of a dead router. They send
            # them to their neighbours, which pass on those that are new to them.
            snapshot = board.ledger.build_snapshot({*died, *risen})
            actions += [
                Send(target.router_id, snapshot)
                for target in sorted(board.place.counter_targets(), key=str)
            ]
        elif died:
            # Routers may have different last reports of a dead router; all send theirs.
            actions.append(Send(None, board.ledger.build_snapshot(died)))
        windows = {}
        # A router that just started knows no peers and would grant itself all slots.
        is_settled = now - self._first_step_at >= 2 * board.options.report_interval
        for service in board.upstreams.services() if is_settled else ():
            pool = self._get_pool(board, service, now)
            for replica in pool.replicas:
                owner = choose_arbiter(replica.replica_id, replica.zone, members)
                if owner == board.identity:
                    windows[replica.replica_id] = pool.windows[replica.replica_id]
        for replica_id in self._allotment.replica_ids():
            if replica_id not in board.upstreams.replicas:
                self._allotment.forget(replica_id)
                self._published_slots.pop(replica_id, None)
        arbiter.set_replicas(
            windows, members, now, unreachable=board.unreachable, ended=board.ended
        )
        self._release_for_peers(board, now)
        actions += self._arbitrate(board, now)
        self._grant_in_advance(board, now)
        return actions + self._arbitrate(board, now)

    def build_slots(self, board: Blackboard, now: float) -> tuple[SlotRow, ...]:
        """Returns the slots that this router holds at each replica.

        A row in which only the slots in use changed is repeated as last reported until
        that report is ``ROW_REFRESH_SECONDS`` old.
        """
        self._report_sent_at[board.report_sequence] = now
        while len(self._report_sent_at) > _MAX_SENT_REPORTS:
            del self._report_sent_at[next(iter(self._report_sent_at))]
        for row in self._allotment.build_rows():
            published = self._published_slots.get(row.replica_id)
            if published is not None:
                published_row, published_at = published
                is_only_use_changed = (published_row.epoch, published_row.released) == (
                    row.epoch,
                    row.released,
                )
                if row == published_row or (
                    is_only_use_changed and now - published_at < ROW_REFRESH_SECONDS
                ):
                    continue
            self._published_slots[row.replica_id] = (row, now)
        return tuple(row for row, _ in self._published_slots.values())

    def forget_except(self, board: Blackboard, routers: Collection[RouterId]) -> None:
        """Drops the state of routers that the membership has forgotten."""
        self._demands.forget_except(routers)
        self._get_arbiter(board).forget_except(routers)
        for router_id in self._unreported_grants.keys() - set(routers):
            del self._unreported_grants[router_id]
        for identity in list(self._last_slot_rows):
            if identity.router_id not in routers:
                del self._last_slot_rows[identity]

    def apply_report(
        self, board: Blackboard, origin: RouterIdentity, report: Report, now: float
    ) -> list[Action]:
        """Applies a report from a peer, then releases and grants slots as needed."""
        if self._merge_counters(board, origin, report, now):
            pending = self._unreported_grants.get(origin.router_id)
            # The report is taken to show the grants made two flush intervals ago.
            limit = now - 2 * board.options.flush_interval
            while pending and pending[0][0] < limit:
                pending.popleft()
        # Without a changed row the decoder of the connection returns the same tuple
        # again. Such a report is only a heartbeat and needs no decision.
        is_unchanged = self._last_slot_rows.get(origin) is report.slots
        self._last_slot_rows[origin] = report.slots
        self._get_arbiter(board).apply_rows(
            origin, () if is_unchanged else report.slots, now
        )
        if is_unchanged and not report.counters:
            return []
        released = self._release_for_peers(board, now)
        return self._arbitrate(board, now) + self._notify_arbiters(board, released, now)

    def apply_grants(
        self, board: Blackboard, sender: RouterIdentity, grants: Grants, now: float
    ) -> list[Action]:
        """Applies grants of slots that an arbiter sent to this router."""
        if grants.incarnation not in (0, board.identity.incarnation):
            return []
        sent_at = self._report_sent_at.get(grants.acknowledged)
        if sent_at is None:
            # While reports are not numbered, the time of receipt is the best estimate.
            sent_at = float("-inf") if board.report_sequence else now
        valid_until = sent_at + board.options.grant_expiry
        is_new = False
        for row in grants.rows:
            is_new |= self._allotment.apply_grant(row, valid_until=valid_until)
        if is_new:
            return [SendReport(sender.router_id)]
        return self._notify_arbiters(board, self._release_surplus(board, now), now)
