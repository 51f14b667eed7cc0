"""Slot grants for the replicas that this router arbitrates."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

import xxhash

from ..options import Options
from ..types import ReplicaId, RouterId, RouterIdentity
from .messages import GrantRow, SlotRow

_IDENTITY_BITS = 16
"""Low bits of an epoch that are a hash of the arbiter's identity."""


def make_epoch(highest_known: int, identity: RouterIdentity) -> int:
    """Returns an epoch above ``highest_known`` that no other arbiter chooses.

    The low bits are a hash of the arbiter's identity, so that two arbiters of one
    replica, one on each side of a partition, do not use the same epoch for different
    grants.
    """
    name = f"{identity.router_id}\0{identity.incarnation}"
    identity_bits = xxhash.xxh32_intdigest(name.encode()) & ((1 << _IDENTITY_BITS) - 1)
    return int(
        ((highest_known >> _IDENTITY_BITS) + 1) << _IDENTITY_BITS | identity_bits
    )


@dataclass(slots=True)
class _RouterSlots:
    """Slots of one replica at one router.

    Attributes:
        granted: Slots granted in the current epoch so far.
        recalled: Value that the router's ``released`` has to reach as slots become
            free.
        row: Latest row received from the router, of any epoch.
        is_changed: Whether ``granted`` or ``recalled`` has not been sent yet.
    """

    granted: int = 0
    recalled: int = 0
    row: SlotRow | None = None
    is_changed: bool = True

    def held(self, epoch: int) -> int:
        """Returns the slots that the router holds.

        A router that has not adopted ``epoch`` still uses slots of an earlier one.
        """
        if self.row is None:
            return self.granted
        if self.row.epoch != epoch:
            return self.row.in_use + self.granted
        return self.row.base + self.granted - self.row.released


@dataclass(slots=True)
class _ReplicaState:
    """Grants of one replica in one epoch.

    Attributes:
        epoch: Epoch of the grants.
        epoch_began_at: Monotonic time in seconds at which the epoch began.
        window: Requests that the replica should run at once.
        shares: Slots of each router.
    """

    epoch: int
    epoch_began_at: float
    window: int = 0
    shares: dict[RouterIdentity, _RouterSlots] = field(default_factory=dict)
    _held: int | None = field(default=None, init=False)

    def held(self) -> int:
        """Returns the slots that all routers hold."""
        if self._held is None:
            self._held = sum(
                router_slots.held(self.epoch) for router_slots in self.shares.values()
            )
        return self._held

    def invalidate_held(self) -> None:
        """Discards the cached sum after a change of any router's slots."""
        self._held = None


class Arbiter:
    """Grants and reclaims the slots of the replicas that this router arbitrates.

    The rows of all replicas are kept, including those that another router arbitrates,
    so that a new arbiter knows the epochs in use.
    """

    def __init__(self, identity: RouterIdentity, options: Options) -> None:
        self._identity = identity
        self._options = options
        self._replicas: dict[ReplicaId, _ReplicaState] = {}
        self._rows: dict[RouterId, tuple[RouterIdentity, dict[ReplicaId, SlotRow]]] = {}
        self._epochs: dict[ReplicaId, int] = {}
        self._heard_at: dict[RouterIdentity, float] = {}
        self._last_row_tuples: dict[RouterId, tuple[SlotRow, ...]] = {}
        self._last_refresh_at = float("-inf")
        self._unreachable_routers: Collection[RouterIdentity] = ()
        self._ended_routers: Collection[RouterIdentity] = ()

    def replica_ids(self) -> Collection[ReplicaId]:
        """Returns the replicas that this router arbitrates."""
        return self._replicas.keys()

    def set_replicas(
        self,
        windows: Mapping[ReplicaId, int],
        members: Collection[RouterIdentity],
        now: float,
        *,
        unreachable: Collection[RouterIdentity] = (),
        ended: Collection[RouterIdentity] = (),
    ) -> None:
        """Starts and stops arbitrating replicas, and reclaims slots of silent routers.

        Args:
            windows: Window of each replica that this router arbitrates now.
            members: Live routers, including this one.
            now: Monotonic time in seconds.
            unreachable: Routers to which no connection can be opened or kept open.
            ended: Routers whose process is known to have ended.
        """
        self._unreachable_routers, self._ended_routers = unreachable, ended
        for removed_id in [
            known_id for known_id in self._replicas if known_id not in windows
        ]:
            del self._replicas[removed_id]
        for replica_id, window in windows.items():
            state = self._replicas.get(replica_id)
            if state is None or self._needs_new_epoch(replica_id, state, members, now):
                state = self._begin_epoch(replica_id, now)
            state.window = window
            for member in members:
                self._heard_at.setdefault(member, now)
                if member not in state.shares:
                    row = self._find_row(member, replica_id)
                    state.shares[member] = _RouterSlots(row=row)
                    state.invalidate_held()
            self._recall_excess(state)

    def _begin_epoch(self, replica_id: ReplicaId, now: float) -> _ReplicaState:
        epoch = make_epoch(self._epochs.get(replica_id, 0), self._identity)
        state = self._replicas[replica_id] = _ReplicaState(epoch, now)
        self._epochs[replica_id] = epoch
        for router_id in self._rows:
            identity, rows = self._rows[router_id]
            if replica_id in rows and not self._may_reclaim(identity, now):
                state.shares[identity] = _RouterSlots(row=rows[replica_id])
        return state

    def _may_reclaim(self, identity: RouterIdentity, now: float) -> bool:
        """Returns whether the slots of a router that is not a member may be reclaimed.

        A router that is connected but silent may be paused while its requests run. One
        that cannot be reached is partitioned or dead, and starts no request once its
        grants have expired. When a router process ends, its requests end too.
        """
        if identity in self._ended_routers:
            return True
        limit = self._options.router_reclaim_after
        if identity in self._unreachable_routers:
            limit = min(limit, self._options.grant_expiry)
        return now - self._heard_at.get(identity, float("-inf")) >= limit

    def _needs_new_epoch(
        self,
        replica_id: ReplicaId,
        state: _ReplicaState,
        members: Collection[RouterIdentity],
        now: float,
    ) -> bool:
        """Returns whether the replica needs a new epoch.

        It does if another arbiter used a higher one, though not before this epoch is
        one report interval old. It also does if the slots of a silent router are
        reclaimed: in the old epoch that router would still count them. The entry of a
        silent router that holds no slots is kept, since the router continues with its
        counters of this epoch if it returns.
        """
        if self._epochs.get(replica_id, 0) > state.epoch:
            return now - state.epoch_began_at >= self._options.report_interval
        silent_routers = [
            identity
            for identity in state.shares
            if identity not in members and self._may_reclaim(identity, now)
        ]
        return any(
            state.shares[silent_router].held(state.epoch) > 0
            for silent_router in silent_routers
        )

    def _find_row(
        self, member: RouterIdentity, replica_id: ReplicaId
    ) -> SlotRow | None:
        router_entry = self._rows.get(member.router_id)
        if router_entry is None or router_entry[0] != member:
            return None
        return router_entry[1].get(replica_id)

    def _recall_excess(self, state: _ReplicaState) -> None:
        """Recalls slots in excess of the window from the routers that hold the most."""
        held_by_router = {
            identity: router_slots.held(state.epoch)
            for identity, router_slots in state.shares.items()
        }
        for identity, router_slots in state.shares.items():
            if router_slots.row is not None and router_slots.row.epoch == state.epoch:
                held_by_router[identity] -= max(
                    router_slots.recalled - router_slots.row.released, 0
                )
        excess = sum(held_by_router.values()) - state.window
        while excess > 0:
            largest_holder = max(
                held_by_router,
                key=lambda identity: (held_by_router[identity], identity.router_id),
            )
            router_slots = state.shares[largest_holder]
            if held_by_router[largest_holder] <= 0 or router_slots.row is None:
                return
            router_slots.recalled = (
                max(router_slots.recalled, router_slots.row.released) + 1
            )
            router_slots.is_changed = True
            held_by_router[largest_holder] -= 1
            excess -= 1

    def apply_rows(
        self,
        origin: RouterIdentity,
        rows: tuple[SlotRow, ...],
        now: float,
    ) -> None:
        """Applies a router's rows, which may be late, duplicated or reordered.

        The same tuple object as in the previous call means that nothing changed.
        """
        router_entry = self._rows.get(origin.router_id)
        if (
            router_entry is not None
            and router_entry[0].incarnation > origin.incarnation
        ):
            return
        if router_entry is None or router_entry[0] != origin:
            self._drop_replaced(origin)
            router_entry = self._rows[origin.router_id] = (origin, {})
        elif rows is self._last_row_tuples.get(origin.router_id):
            self._heard_at[origin] = now
            return
        self._last_row_tuples[origin.router_id] = rows
        self._heard_at[origin] = now
        for row in rows:
            previous_row = router_entry[1].get(row.replica_id)
            if previous_row is not None and (
                (row.epoch, row.released) < (previous_row.epoch, previous_row.released)
            ):
                continue
            router_entry[1][row.replica_id] = row
            if row.epoch > self._epochs.get(row.replica_id, 0):
                self._epochs[row.replica_id] = row.epoch
            state = self._replicas.get(row.replica_id)
            if state is not None:
                state.shares.setdefault(origin, _RouterSlots()).row = row
                state.invalidate_held()

    def _drop_replaced(self, origin: RouterIdentity) -> None:
        """Frees the slots of earlier incarnations, whose requests ended with them."""
        for state in self._replicas.values():
            for identity in list(state.shares):
                if identity.router_id == origin.router_id and identity != origin:
                    del state.shares[identity]
                    state.invalidate_held()
        for identity in list(self._heard_at):
            if identity.router_id == origin.router_id and identity != origin:
                del self._heard_at[identity]

    def forget_except(self, routers: Collection[RouterId]) -> None:
        """Discards the rows and times of all routers except the given ones.

        A router sends only the rows that changed, so a router may be forgotten only
        if it must open a new connection before it reports again. The epochs in use
        are kept.
        """
        kept_ids = {*routers, self._identity.router_id}
        for router_id in self._rows.keys() - kept_ids:
            del self._rows[router_id]
            self._last_row_tuples.pop(router_id, None)
        for replica_id, state in list(self._replicas.items()):
            if any(holder.router_id not in kept_ids for holder in state.shares):
                # The next call of set_replicas begins an epoch without the router. In
                # this epoch the router would continue with its counters if it
                # returned.
                del self._replicas[replica_id]
        for identity in list(self._heard_at):
            if identity.router_id not in kept_ids:
                del self._heard_at[identity]

    def _is_ready(self, state: _ReplicaState, now: float) -> bool:
        """Returns whether slots may be granted.

        A new arbiter waits until every router has reported what it holds in the new
        epoch, but for at most one report interval.
        """
        if now - state.epoch_began_at >= self._options.report_interval:
            return True
        return all(
            router_slots.row is not None and router_slots.row.epoch == state.epoch
            for router_slots in state.shares.values()
        )

    def free(self, replica_id: ReplicaId, now: float) -> int:
        """Returns how many slots of the replica may be granted now."""
        state = self._replicas.get(replica_id)
        if state is None or not self._is_ready(state, now):
            return 0
        return max(state.window - state.held(), 0)

    def can_grant(self, replica_id: ReplicaId, router: RouterIdentity) -> bool:
        """Returns whether the router has adopted the current epoch."""
        state = self._replicas[replica_id]
        router_slots = state.shares.get(router)
        return (
            router_slots is not None
            and router_slots.row is not None
            and router_slots.row.epoch == state.epoch
        )

    def unused(self, replica_id: ReplicaId, router: RouterIdentity) -> int:
        """Returns how many slots the router holds beyond those it uses."""
        state = self._replicas[replica_id]
        router_slots = state.shares[router]
        return router_slots.held(state.epoch) - (
            router_slots.row.in_use if router_slots.row else 0
        )

    def grant(self, replica_id: ReplicaId, router: RouterIdentity) -> None:
        """Grants the router one slot of the replica."""
        state = self._replicas[replica_id]
        state.invalidate_held()
        router_slots = state.shares[router]
        router_slots.granted += 1
        router_slots.is_changed = True

    def collect_own(self, replica_id: ReplicaId) -> GrantRow:
        """Returns this router's own row, which is not sent over the network."""
        state = self._replicas[replica_id]
        router_slots = state.shares[self._identity]
        router_slots.is_changed = False
        return GrantRow(
            replica_id, state.epoch, router_slots.granted, router_slots.recalled
        )

    def collect_rows(self, now: float) -> dict[RouterIdentity, tuple[GrantRow, ...]]:
        """Returns the changed rows, or all rows once per refresh interval."""
        is_refresh = now - self._last_refresh_at >= self._options.grant_refresh_interval
        if is_refresh:
            self._last_refresh_at = now
        rows_by_router: dict[RouterIdentity, list[GrantRow]] = {}
        for replica_id, state in self._replicas.items():
            for identity, router_slots in state.shares.items():
                if router_slots.is_changed or is_refresh:
                    router_slots.is_changed = False
                    rows_by_router.setdefault(identity, []).append(
                        GrantRow(
                            replica_id,
                            state.epoch,
                            router_slots.granted,
                            router_slots.recalled,
                        )
                    )
        return {identity: tuple(rows) for identity, rows in rows_by_router.items()}

    def discard_grants(self) -> None:
        """Discards all grants, after a pause in which others may have taken over."""
        self._replicas.clear()
