"""Grants for the replicas that this router arbitrates."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

import xxhash

from ..options import Options
from ..types import ReplicaId, RouterId, RouterIdentity
from .messages import GrantRow, SlotRow

_TAG_BITS = 16


def next_epoch(highest: int, identity: RouterIdentity) -> int:
    """Returns an epoch above ``highest`` that no other arbiter would choose.

    The low bits come from the arbiter's identity, so two arbiters of one replica on
    both sides of a partition never use the same epoch for different grants.
    """
    name = f"{identity.router_id}\0{identity.incarnation}"
    tag = xxhash.xxh32_intdigest(name.encode()) & ((1 << _TAG_BITS) - 1)
    return int(((highest >> _TAG_BITS) + 1) << _TAG_BITS | tag)


@dataclass(slots=True)
class _Share:
    """Slots of one replica at one router.

    Attributes:
        row: Latest row of the router, of any epoch.
        is_changed: Whether the router has not been sent the current values.
    """

    granted: int = 0
    recalled: int = 0
    row: SlotRow | None = None
    is_changed: bool = True

    def held(self, epoch: int) -> int:
        if self.row is None:
            return self.granted
        if self.row.epoch != epoch:
            return self.row.in_use + self.granted
        return self.row.base + self.granted - self.row.released


@dataclass(slots=True)
class _Arbitrated:
    epoch: int
    since: float
    window: int = 0
    shares: dict[RouterIdentity, _Share] = field(default_factory=dict)
    _held: int | None = field(default=None, init=False)

    def held(self) -> int:
        """Returns the slots that all routers hold."""
        if self._held is None:
            self._held = sum(share.held(self.epoch) for share in self.shares.values())
        return self._held

    def note_change(self) -> None:
        """Takes note that a share was added, removed or changed."""
        self._held = None


class Arbiter:
    """Hands out the slots of the replicas that this router arbitrates.

    Rows of every replica are kept, also of those that another router arbitrates,
    so that a new arbiter knows the epochs in use.
    """

    def __init__(self, identity: RouterIdentity, options: Options) -> None:
        self._identity = identity
        self._options = options
        self._replicas: dict[ReplicaId, _Arbitrated] = {}
        self._rows: dict[RouterId, tuple[RouterIdentity, dict[ReplicaId, SlotRow]]] = {}
        self._epochs: dict[ReplicaId, int] = {}
        self._heard_at: dict[RouterIdentity, float] = {}
        self._last_rows: dict[RouterId, tuple[SlotRow, ...]] = {}
        self._refreshed_at = float("-inf")
        self._unreachable: Collection[RouterIdentity] = ()
        self._ended: Collection[RouterIdentity] = ()

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
        """Takes over and gives up replicas, and reclaims slots of silent routers.

        Args:
            windows: Window of each replica that this router arbitrates now.
            members: Live routers, including this one.
            now: Monotonic time in seconds.
            unreachable: Routers to which no connection can be kept or opened.
            ended: Routers whose process is known to have ended.
        """
        self._unreachable, self._ended = unreachable, ended
        for replica_id in [one for one in self._replicas if one not in windows]:
            del self._replicas[replica_id]
        for replica_id, window in windows.items():
            state = self._replicas.get(replica_id)
            if state is None or self._must_renew(replica_id, state, members, now):
                state = self._begin_epoch(replica_id, now)
            state.window = window
            for member in members:
                self._heard_at.setdefault(member, now)
                if member not in state.shares:
                    row = self._row_of(member, replica_id)
                    state.shares[member] = _Share(row=row)
                    state.note_change()
            self._recall_excess(state)

    def _begin_epoch(self, replica_id: ReplicaId, now: float) -> _Arbitrated:
        epoch = next_epoch(self._epochs.get(replica_id, 0), self._identity)
        state = self._replicas[replica_id] = _Arbitrated(epoch, now)
        self._epochs[replica_id] = epoch
        for router_id in self._rows:
            identity, rows = self._rows[router_id]
            if replica_id in rows and not self._may_reclaim(identity, now):
                state.shares[identity] = _Share(row=rows[replica_id])
        return state

    def _may_reclaim(self, identity: RouterIdentity, now: float) -> bool:
        """Returns whether the slots of a router that is no member may be reclaimed.

        A router that is connected but silent may be paused while its requests run. One
        that cannot be reached is cut off or gone, and starts nothing once its grants
        have expired. The requests of one that ended have ended with it.
        """
        if identity in self._ended:
            return True
        limit = self._options.router_reclaim_after
        if identity in self._unreachable:
            limit = min(limit, self._options.grant_expiry)
        return now - self._heard_at.get(identity, float("-inf")) >= limit

    def _must_renew(
        self,
        replica_id: ReplicaId,
        state: _Arbitrated,
        members: Collection[RouterIdentity],
        now: float,
    ) -> bool:
        """Returns whether the replica needs a new epoch.

        It does if another arbiter used a higher one, or if the slots of a silent
        router are reclaimed: in the old epoch that router would still count them.
        The share of a silent router that holds nothing is kept, since the router
        goes on with its counters of this epoch if it returns.
        """
        if self._epochs.get(replica_id, 0) > state.epoch:
            return now - state.since >= self._options.report_interval
        silent = [
            identity
            for identity in state.shares
            if identity not in members and self._may_reclaim(identity, now)
        ]
        return any(state.shares[one].held(state.epoch) > 0 for one in silent)

    def _row_of(self, member: RouterIdentity, replica_id: ReplicaId) -> SlotRow | None:
        known = self._rows.get(member.router_id)
        if known is None or known[0] != member:
            return None
        return known[1].get(replica_id)

    def _recall_excess(self, state: _Arbitrated) -> None:
        """Asks the routers with the most slots for those beyond the window."""
        held = {one: share.held(state.epoch) for one, share in state.shares.items()}
        for one, share in state.shares.items():
            if share.row is not None and share.row.epoch == state.epoch:
                held[one] -= max(share.recalled - share.row.released, 0)
        excess = sum(held.values()) - state.window
        while excess > 0:
            largest = max(held, key=lambda one: (held[one], one.router_id))
            share = state.shares[largest]
            if held[largest] <= 0 or share.row is None:
                return
            share.recalled = max(share.recalled, share.row.released) + 1
            share.is_changed = True
            held[largest] -= 1
            excess -= 1

    def take_rows(
        self,
        origin: RouterIdentity,
        rows: tuple[SlotRow, ...],
        now: float,
    ) -> None:
        """Takes what a router holds; rows may come late, twice or in any order.

        The same tuple as the last time says that nothing changed.
        """
        known = self._rows.get(origin.router_id)
        if known is not None and known[0].incarnation > origin.incarnation:
            return
        if known is None or known[0] != origin:
            self._drop_replaced(origin)
            known = self._rows[origin.router_id] = (origin, {})
        elif rows is self._last_rows.get(origin.router_id):
            self._heard_at[origin] = now
            return
        self._last_rows[origin.router_id] = rows
        self._heard_at[origin] = now
        for row in rows:
            before = known[1].get(row.replica_id)
            if before is not None and (
                (row.epoch, row.released) < (before.epoch, before.released)
            ):
                continue
            known[1][row.replica_id] = row
            if row.epoch > self._epochs.get(row.replica_id, 0):
                self._epochs[row.replica_id] = row.epoch
            state = self._replicas.get(row.replica_id)
            if state is not None:
                state.shares.setdefault(origin, _Share()).row = row
                state.note_change()

    def _drop_replaced(self, origin: RouterIdentity) -> None:
        """Frees the slots of earlier incarnations: their requests ended with them."""
        for state in self._replicas.values():
            for identity in list(state.shares):
                if identity.router_id == origin.router_id and identity != origin:
                    del state.shares[identity]
                    state.note_change()
        for identity in list(self._heard_at):
            if identity.router_id == origin.router_id and identity != origin:
                del self._heard_at[identity]

    def forget_except(self, routers: Collection[RouterId]) -> None:
        """Drops rows and times of routers that are not among the given ones.

        A router sends differences of its rows, so only those may be left out that
        would have to open a new connection. The epochs in use stay.
        """
        kept = {*routers, self._identity.router_id}
        for router_id in self._rows.keys() - kept:
            del self._rows[router_id]
            self._last_rows.pop(router_id, None)
        for replica_id, state in list(self._replicas.items()):
            if any(one.router_id not in kept for one in state.shares):
                # The next step begins an epoch without the share. In this epoch the
                # router would go on with its counters if it returned.
                del self._replicas[replica_id]
        for identity in list(self._heard_at):
            if identity.router_id not in kept:
                del self._heard_at[identity]

    def _is_ready(self, state: _Arbitrated, now: float) -> bool:
        """Returns whether slots may be granted.

        A new arbiter waits until every router has said what it holds in the new
        epoch, at most one report interval.
        """
        if now - state.since >= self._options.report_interval:
            return True
        return all(
            share.row is not None and share.row.epoch == state.epoch
            for share in state.shares.values()
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
        share = state.shares.get(router)
        return (
            share is not None
            and share.row is not None
            and share.row.epoch == state.epoch
        )

    def unused(self, replica_id: ReplicaId, router: RouterIdentity) -> int:
        """Returns how many slots the router holds beyond those it uses."""
        state = self._replicas[replica_id]
        share = state.shares[router]
        return share.held(state.epoch) - (share.row.in_use if share.row else 0)

    def grant(self, replica_id: ReplicaId, router: RouterIdentity) -> None:
        """Gives the router one slot of the replica."""
        state = self._replicas[replica_id]
        state.note_change()
        share = state.shares[router]
        share.granted += 1
        share.is_changed = True

    def collect_own(self, replica_id: ReplicaId) -> GrantRow:
        """Returns the row of this router, which needs no message."""
        state = self._replicas[replica_id]
        share = state.shares[self._identity]
        share.is_changed = False
        return GrantRow(replica_id, state.epoch, share.granted, share.recalled)

    def collect_rows(self, now: float) -> dict[RouterIdentity, tuple[GrantRow, ...]]:
        """Returns the rows to send: those that changed, regularly all of them."""
        is_refresh = now - self._refreshed_at >= self._options.grant_refresh_interval
        if is_refresh:
            self._refreshed_at = now
        found: dict[RouterIdentity, list[GrantRow]] = {}
        for replica_id, state in self._replicas.items():
            for identity, share in state.shares.items():
                if share.is_changed or is_refresh:
                    share.is_changed = False
                    found.setdefault(identity, []).append(
                        GrantRow(replica_id, state.epoch, share.granted, share.recalled)
                    )
        return {identity: tuple(rows) for identity, rows in found.items()}

    def give_up(self) -> None:
        """Forgets all grants, after a pause in which others may have taken over."""
        self._replicas.clear()
