"""Fair order over the whole fleet: one arbiter per replica grants its slots."""

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
from .reporting import ROW_REFRESH, ReportingPolicy

_SENT_REPORTS_KEPT = 256


class ArbitratedPolicy(ReportingPolicy):
    """Starts work on slots granted by the arbiters of the replicas."""

    def __init__(self, *, rng: Random) -> None:
        super().__init__(rng=rng)
        self._allotment = Allotment()
        self._arbiter: Arbiter | None = None
        self._pending: dict[
            RouterId, deque[tuple[float, ServiceName, OrganisationName]]
        ] = {}
        self._published_slots: dict[ReplicaId, tuple[SlotRow, float]] = {}
        self._sent_at: dict[int, float] = {}
        self._taken_slots: dict[RouterIdentity, tuple[SlotRow, ...]] = {}

    def _own_arbiter(self, board: Blackboard) -> Arbiter:
        if self._arbiter is None:
            self._arbiter = Arbiter(board.identity, board.options)
        return self._arbiter

    # Slots of this router.

    def _free_slots(self, board: Blackboard, replica: Replica, now: float) -> int:
        if now - self._stepped_at > board.options.grant_expiry:
            return 0
        return self._allotment.free(replica.replica_id, now)

    def _find_free(
        self, board: Blackboard, service: ServiceName, now: float
    ) -> list[tuple[Replica, int]]:
        if not self._may_have_free(board, service, now):
            return []
        return super()._find_free(board, service, now)

    def _may_have_free(
        self, board: Blackboard, service: ServiceName, now: float
    ) -> bool:
        # Under load most decisions find no free slot at any replica.
        windows = self._pool(board, service, now).windows
        return not self._allotment.unused_replicas().isdisjoint(windows)

    def _note_started(
        self,
        board: Blackboard,
        request: CallRequest,
        replica_id: ReplicaId,
        now: float,
    ) -> None:
        self._allotment.start(replica_id)
        key = (request.service, request.organisation)
        known = self._published.get(key)
        if known is not None and known.row.waiting and board.queues.count(*key) == 1:
            self._request_report(board, now)

    def _note_unserved(
        self, board: Blackboard, service: ServiceName, now: float
    ) -> bool:
        self._assign(board, now)
        if self._count_free(board, service, now):
            return True
        for name in board.queues.organisations(service):
            known = self._published.get((service, name))
            if known is None or not known.row.waiting:
                self._request_report(board, now)
        return False

    def _count_free(self, board: Blackboard, service: ServiceName, now: float) -> int:
        """Returns the free slots that waiting work can start on now.

        Slots of replicas that are down do not count: waiting work would seem to be
        covered by them, and the slots of other replicas would stay idle.
        """
        if not self._may_have_free(board, service, now):
            return 0
        return sum(
            self._free_slots(board, one, now)
            for one in self._pool(board, service, now).replicas
            if one.is_available(now)
        )

    def _free_slot(
        self, board: Blackboard, service: ServiceName, replica_id: ReplicaId, now: float
    ) -> list[Action]:
        self._allotment.finish(replica_id)
        released = self._allotment.release_recalled()
        if (
            not released
            and not self._may_use(board, service, now, is_granted=False)
            and self._can_tell(board, service, replica_id, now)
            and self._allotment.release(replica_id, 1)
        ):
            released = [replica_id]
        return self._after_release(board, released, now)

    def _can_tell(
        self, board: Blackboard, service: ServiceName, replica_id: ReplicaId, now: float
    ) -> bool:
        """Returns whether releasing a slot is better than using it here.

        A released slot that its arbiter is not told of stays idle, so without a
        token the slot serves local work, if there is any.
        """
        if not board.queues.organisations(service):
            return True
        if self._arbiter_of(board, replica_id) == board.identity.router_id:
            return True
        return self._take_early(board, 1, now)

    def _may_use(
        self, board: Blackboard, service: ServiceName, now: float, *, is_granted: bool
    ) -> bool:
        """Returns whether a free slot stays here."""
        own = board.queues.organisations(service)
        demands = self._peer_demands(board, service)
        if not any(one.waiting for one in demands.values()):
            return True
        if not own:
            return False
        view = self._build_view(board, service, now)
        return any(may_use_slot(name, view, is_granted=is_granted) for name in own)

    def _release_surplus(self, board: Blackboard, now: float) -> list[ReplicaId]:
        """Releases granted slots whose reason is gone.

        Several arbiters may have granted a slot for the same request. The rest must
        not go to whatever else waits here, which may be far ahead of its share.
        """
        released = self._allotment.release_recalled()
        for service in board.upstreams.services():
            free = [
                (one.replica_id, count)
                for one in self._pool(board, service, now).replicas
                if (count := self._free_slots(board, one, now)) > 0
            ]
            if free and not self._may_use(board, service, now, is_granted=True):
                for replica_id, count in free:
                    if not self._can_tell(board, service, replica_id, now):
                        continue
                    self._allotment.release(replica_id, count)
                    released.append(replica_id)
        return released

    def _after_release(
        self, board: Blackboard, released: list[ReplicaId], now: float
    ) -> list[Action]:
        """Tells the arbiters of the released slots; other routers need not know."""
        arbiters = {self._arbiter_of(board, one) for one in released}
        actions: list[Action] = [
            SendReport(one) for one in sorted(arbiters - {board.identity.router_id})
        ]
        if board.identity.router_id in arbiters:
            actions += self._arbitrate(board, now)
        return actions

    def _arbiter_of(self, board: Blackboard, replica_id: ReplicaId) -> RouterId:
        replica = board.upstreams.replicas.get(replica_id)
        zone = "" if replica is None else replica.zone
        members = [board.identity, *board.members.values()]
        return choose_arbiter(replica_id, zone, members).router_id

    def _yield_free(self, board: Blackboard, now: float) -> list[ReplicaId]:
        """Releases slots granted in advance that work elsewhere needs."""
        released = self._allotment.release_recalled()
        for service in board.upstreams.services():
            if board.queues.organisations(service):
                continue
            demands = self._peer_demands(board, service)
            needed = sum(one.waiting for one in demands.values())
            for replica in self._pool(board, service, now).replicas:
                if needed <= 0:
                    break
                count = self._allotment.release(replica.replica_id, needed)
                needed -= count
                if count:
                    released.append(replica.replica_id)
        return released

    # Slots of the replicas that this router arbitrates.

    def _was_paused(self, board: Blackboard, now: float) -> bool:
        """Returns whether others may arbitrate what this router arbitrated.

        After a pause, messages can be read before the next step; until that step
        gives up the earlier grants, nothing may be granted or renewed.
        """
        return now - self._stepped_at > board.options.suspect_after

    def _arbitrate(self, board: Blackboard, now: float) -> list[Action]:
        """Grants free slots; returns the messages for the other routers."""
        if self._was_paused(board, now):
            return []
        self._assign(board, now)
        actions: list[Action] = []
        for identity, rows in self._own_arbiter(board).collect_rows(now).items():
            if identity == board.identity:
                self._take_own(board, rows, now)
            elif board.members.get(identity.router_id) == identity:
                grants = Grants(
                    rows,
                    self._demands.sequence(identity.router_id),
                    identity.incarnation,
                )
                actions.append(Send(identity.router_id, grants))
        return actions

    def _take_own(
        self, board: Blackboard, rows: tuple[GrantRow, ...], now: float
    ) -> None:
        for row in rows:
            valid_until = now + board.options.grant_expiry
            self._allotment.take(row, valid_until=valid_until)

    def _assign(self, board: Blackboard, now: float) -> None:
        """Grants the free slots to the routers whose work comes first."""
        if self._was_paused(board, now):
            return
        arbiter = self._own_arbiter(board)
        own = self._allotment.build_rows()
        arbiter.take_rows(board.identity, own, now)
        free: dict[ServiceName, list[ReplicaId]] = {}
        replicas = [
            replica
            for replica_id in arbiter.replica_ids()
            if (replica := board.upstreams.replicas.get(replica_id)) is not None
        ]
        # A slot of a replica that is down must not be the one that covers a request.
        replicas.sort(key=lambda one: not one.is_available(now))
        for replica in replicas:
            count = arbiter.free(replica.replica_id, now)
            free.setdefault(replica.service, []).extend([replica.replica_id] * count)
        for service, slots in free.items():
            if slots:
                self._assign_service(board, service, slots, now)

    def _assign_service(
        self,
        board: Blackboard,
        service: ServiceName,
        slots: list[ReplicaId],
        now: float,
    ) -> None:
        arbiter = self._own_arbiter(board)
        uncovered = self._find_uncovered(board, service, now)
        if not uncovered:
            return
        view = self._build_view(board, service, now)
        for replica_id in slots:
            name = self._choose_name(uncovered, view, now)
            if name is None:
                return
            by_router = uncovered[name]
            able = [one for one in by_router if arbiter.can_grant(replica_id, one)]
            if not able:
                continue
            router = max(
                able,
                key=lambda one: (by_router[one], hash_pair(replica_id, one.router_id)),
            )
            arbiter.grant(replica_id, router)
            view.organisations[name].add_running()
            by_router[router] -= 1
            if by_router[router] <= 0:
                del by_router[router]
                if not by_router:
                    del uncovered[name]
            if router == board.identity:
                rows = arbiter.collect_own(replica_id)
                self._take_own(board, (rows,), now)
            else:
                queue = self._pending.setdefault(router.router_id, deque())
                queue.append((now, service, name))

    def _choose_name(
        self,
        uncovered: dict[OrganisationName, dict[RouterIdentity, int]],
        view: ServiceView,
        now: float,
    ) -> OrganisationName | None:
        if not uncovered:
            return None
        return choose_organisation(uncovered, view, now) or min(
            uncovered, key=lambda one: view.organisations[one].key
        )

    def _find_uncovered(
        self, board: Blackboard, service: ServiceName, now: float
    ) -> dict[OrganisationName, dict[RouterIdentity, int]]:
        """Returns waiting requests not yet covered by grants."""
        found: dict[OrganisationName, dict[RouterIdentity, int]] = {}
        for identity in board.members.values():
            demands = self._demands.of(identity.router_id, service)
            counts = {
                name: one.waiting for name, one in demands.items() if one.waiting > 0
            }
            limit = now - board.options.report_interval
            for at, of_service, name in self._pending.get(identity.router_id, ()):
                if at >= limit and of_service == service and name in counts:
                    counts[name] -= 1
            for name, count in counts.items():
                if count > 0:
                    found.setdefault(name, {})[identity] = count
        spare = self._count_free(board, service, now)
        for name in board.queues.organisations(service):
            count = board.queues.count(service, name) - spare
            if count > 0:
                found.setdefault(name, {})[board.identity] = count
        return found

    def _grant_in_advance(self, board: Blackboard, now: float) -> None:
        """Spreads free slots over the routers while no work waits anywhere."""
        arbiter = self._own_arbiter(board)
        routers = [board.identity, *board.members.values()]
        for replica_id in list(arbiter.replica_ids()):
            replica = board.upstreams.replicas.get(replica_id)
            if replica is None:
                continue
            able = [one for one in routers if arbiter.can_grant(replica_id, one)]
            free = arbiter.free(replica_id, now)
            if not able or not free or self._is_contested(board, replica.service):
                continue
            unused = {one: arbiter.unused(replica_id, one) for one in able}
            for _ in range(free):
                router = min(
                    able,
                    key=lambda one: (unused[one], hash_pair(replica_id, one.router_id)),
                )
                arbiter.grant(replica_id, router)
                unused[router] += 1

    def _is_contested(self, board: Blackboard, service: ServiceName) -> bool:
        demands = self._peer_demands(board, service)
        return bool(board.queues.organisations(service)) or any(
            one.waiting for one in demands.values()
        )

    # Messages and time.

    def step(self, board: Blackboard, now: float) -> list[Action]:
        """Does the periodic work of the ledger, the allotment and the arbiter."""
        arbiter = self._own_arbiter(board)
        if self._was_paused(board, now):
            arbiter.give_up()
        super().step(board, now)
        actions: list[Action] = []
        members = [board.identity, *board.members.values()]
        died = board.ledger.note_live(set(members))
        for origin in died:
            self._taken_slots.pop(origin, None)
        risen = board.ledger.take_risen_dead()
        if board.place is not None and (died or risen):
            # Those who had its reports tell their neighbours, who tell theirs.
            told = board.ledger.build_snapshot({*died, *risen})
            actions += [
                Send(one.router_id, told)
                for one in sorted(board.place.counter_targets(), key=str)
            ]
        elif died:
            # Peers may hold a later report of a dead origin than this router.
            actions.append(Send(None, board.ledger.build_snapshot(died)))
        windows = {}
        # A router that starts knows no peers yet and would grant itself everything.
        is_settled = now - self._created_at >= 2 * board.options.report_interval
        for service in board.upstreams.services() if is_settled else ():
            pool = self._pool(board, service, now)
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
        self._yield_free(board, now)
        actions += self._arbitrate(board, now)
        self._grant_in_advance(board, now)
        return actions + self._arbitrate(board, now)

    def build_slots(self, board: Blackboard, now: float) -> tuple[SlotRow, ...]:
        """Returns what this router holds of the windows of replicas."""
        self._sent_at[board.report_sequence] = now
        while len(self._sent_at) > _SENT_REPORTS_KEPT:
            del self._sent_at[next(iter(self._sent_at))]
        for row in self._allotment.build_rows():
            known = self._published_slots.get(row.replica_id)
            if known is not None:
                old, at = known
                is_same = (old.epoch, old.released) == (row.epoch, row.released)
                if row == old or (is_same and now - at < ROW_REFRESH):
                    continue
            self._published_slots[row.replica_id] = (row, now)
        return tuple(row for row, _ in self._published_slots.values())

    def forget_except(self, board: Blackboard, routers: Collection[RouterId]) -> None:
        """Drops what is kept of routers that the membership has forgotten."""
        self._demands.forget_except(routers)
        self._own_arbiter(board).forget_except(routers)
        for router_id in self._pending.keys() - set(routers):
            del self._pending[router_id]
        for identity in list(self._taken_slots):
            if identity.router_id not in routers:
                del self._taken_slots[identity]

    def take_report(
        self, board: Blackboard, origin: RouterIdentity, report: Report, now: float
    ) -> list[Action]:
        """Takes a report of a peer, releases and grants what it calls for."""
        if self._take_counters(board, origin, report, now):
            pending = self._pending.get(origin.router_id)
            limit = now - 2 * board.options.flush_interval
            while pending and pending[0][0] < limit:
                pending.popleft()
        # Without a new row the connection's decoder hands out the same tuple again;
        # such a report is a heartbeat and calls for no decision.
        is_known = self._taken_slots.get(origin) is report.slots
        self._taken_slots[origin] = report.slots
        self._own_arbiter(board).take_rows(
            origin, () if is_known else report.slots, now
        )
        if is_known and not report.counters:
            return []
        released = self._yield_free(board, now)
        return self._arbitrate(board, now) + self._after_release(board, released, now)

    def take_grants(
        self, board: Blackboard, sender: RouterIdentity, grants: Grants, now: float
    ) -> list[Action]:
        """Takes slots that an arbiter gave to this router."""
        if grants.incarnation not in (0, board.identity.incarnation):
            return []
        sent_at = self._sent_at.get(grants.acknowledged)
        if sent_at is None:
            # Without numbered reports the time of receipt is the best known one.
            sent_at = float("-inf") if board.report_sequence else now
        valid_until = sent_at + board.options.grant_expiry
        is_new = False
        for row in grants.rows:
            is_new |= self._allotment.take(row, valid_until=valid_until)
        if is_new:
            return [SendReport(sender.router_id)]
        return self._after_release(board, self._release_surplus(board, now), now)
