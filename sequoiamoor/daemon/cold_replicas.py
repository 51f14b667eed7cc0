"""Cold replicas: rows of the store, answers, messages of peers, log and metrics."""

from __future__ import annotations

import logging
import time
from collections.abc import Iterable

from ..core.blackboard import Blackboard
from ..core.cold_replicas import ColdReplica, ColdReplicas
from ..core.cold_senders import ColdLimits
from ..core.freshness import read_boot_time
from ..core.messages import ColdReplicas as ColdReplicasMessage
from ..core.messages import ColdRow
from ..core.store_position import StorePosition
from ..core.upstreams import Replica
from ..metrics import Metrics
from ..net.formats import UpstreamFormat
from ..net.forward import ReceivedHead
from ..settings import ColdSettings
from ..types import ReplicaId, RouterId, ZoneName
from .control import Control

_LOG = logging.getLogger(__name__)

VISIBLE_SECONDS = 1.0
"""Time after the write of this router's own address from which a read of all addresses
has those of routers that started with it: each of them has written its own by then."""


class ColdReplicaWatch:
    """Keeps up to date which replicas are cold, and tells peers what is new.

    Args:
        upstream_format: Reads what answers say.

    Attributes:
        wants_rows: Whether rows have to be read soon: a process ended, and without
            a row its replica stays cold. Read by the thread of the feeds too.
    """

    def __init__(
        self,
        board: Blackboard,
        control: Control,
        metrics: Metrics,
        *,
        upstream_format: UpstreamFormat,
    ) -> None:
        self._board = board
        self._control = control
        self._metrics = metrics
        self._format = upstream_format
        self.wants_rows = False
        self._is_read = False
        self._complete_at = float("-inf")
        self._reported: dict[ReplicaId, ColdReplica] = {}
        self._declaration: object = None
        control.handle_cold = self.receive
        control.list_cold = self._list_rows

    def configure(self, settings: ColdSettings | None) -> None:
        """Applies the settings; without them cold replicas are treated like others."""
        cold = self._board.upstreams.cold
        if settings is None:
            self._board.upstreams.set_cold_replicas(None)
        elif cold is not None:
            cold.overshoot, cold.extra = settings.overshoot, settings.extra
        else:
            cold = ColdReplicas(
                self._board.identity,
                read_time=read_boot_time,
                overshoot=settings.overshoot,
                extra=settings.extra,
            )
            # Limits that came later than their configuration would let a router that
            # starts treat cold replicas like others meanwhile.
            cold.refresh_declared = self._update_limits
            self._declaration = None
            self._board.upstreams.set_cold_replicas(cold)

    @property
    def wants_routers(self) -> bool:
        """Whether the addresses of the routers have to be read again soon."""
        cold = self._board.upstreams.cold
        return cold is not None and cold.wants_routers

    def record_routers(self, visible_seconds: float) -> None:
        """Records that all addresses were read.

        Args:
            visible_seconds: Time since this router's own address was written first.
        """
        cold = self._board.upstreams.cold
        if cold is not None and visible_seconds >= VISIBLE_SECONDS:
            cold.settle()

    def apply_row(
        self,
        replica: Replica,
        remaining: float,
        position: StorePosition,
        *,
        was_known: bool,
    ) -> None:
        """Applies the row of a replica, which the directory has taken up."""
        if replica.cold is None:
            return
        replica.cold.note_row(
            replica.incarnation,
            remaining,
            position,
            time.monotonic(),
            is_new=self._is_read and not was_known,
            written_after=self._complete_at,
        )
        self._note_unannounced(replica.cold)

    def record_answer(self, age: float) -> None:
        """Records that all rows of an answer of the store were applied.

        Args:
            age: Seconds since the time up to which it has all rows.
        """
        self._is_read = True
        self._complete_at = max(self._complete_at, time.monotonic() - age)
        self._announce()

    def read_head(self, head: ReceivedHead) -> None:
        """Applies the head of an answer."""
        replica = self._board.upstreams.replicas.get(head.process.replica_id)
        if replica is None or replica.cold is None or replica.process != head.process:
            return
        remaining = self._format.read_cold_seconds(head.response)
        if remaining is None:
            return
        cold = replica.cold
        now = time.monotonic()
        cold.note_incarnation(replica.incarnation, now)
        cold.note_answer(replica.incarnation, remaining, head.sent_at, now)
        self._note_unannounced(cold)
        self._announce()

    def receive(self, message: ColdReplicasMessage, source: RouterId) -> None:
        """Applies what a peer has learned; only what is learned here is passed on."""
        now = time.monotonic()
        upstreams = self._board.upstreams
        if upstreams.cold is None:
            return
        for row in message.rows:
            replica = upstreams.replicas.get(row.replica_id)
            if replica is not None and replica.cold is not None:
                known = replica.cold
                known.note_incarnation(replica.incarnation, now)
            else:
                # A router that starts may hear from peers before it has read the rows.
                known = upstreams.cold.get(row.replica_id, "", "")
            known.note_peer(row.incarnation, row.remaining_ms / 1000, row.position, now)

    def note_zone_return(self, zone: ZoneName, position: StorePosition) -> None:
        """Records that the evacuation of a zone ended."""
        now = time.monotonic()
        for replica in self._board.upstreams.replicas.values():
            if replica.zone == zone and replica.cold is not None:
                replica.cold.note_zone_return(position, now)

    def step(self) -> None:
        """Applies the routers and the limits, and reports what has changed."""
        cold = self._board.upstreams.cold
        if cold is None:
            return
        members = self._control.membership.members.values()
        routers = [
            member.identity
            for member in members
            if not member.has_ended and not member.is_leaving
        ]
        if not self._board.is_leaving:
            routers.append(self._board.identity)
        cold.step(routers)
        self._announce()
        self._report()
        self.wants_rows = any(one.is_ended for one in self._reported.values())

    def _update_limits(self) -> None:
        declaration = self._board.configuration.declaration
        cold = self._board.upstreams.cold
        if cold is None or declaration is self._declaration or declaration is None:
            return
        self._declaration = declaration
        cold.declared = {
            name: ColdLimits(service.cold_seconds, service.cold_per_second)
            for name, service in declaration.services.items()
        }

    def _note_unannounced(self, replica: ColdReplica) -> None:
        if replica.is_cold(time.monotonic()):
            replica.fleet.unannounced[replica.replica_id] = replica

    def _announce(self) -> None:
        """Tells all peers what they may not know."""
        cold = self._board.upstreams.cold
        if cold is None or not cold.unannounced:
            return
        now = time.monotonic()
        rows = [
            _build_row(replica, remaining)
            for replica in cold.unannounced.values()
            if (remaining := replica.find_announcement(now)) is not None
        ]
        cold.unannounced.clear()
        if rows:
            self._control.send(ColdReplicasMessage(tuple(rows)))

    def _list_rows(self) -> Iterable[ColdRow]:
        """Returns what a router that has connected needs."""
        now = time.monotonic()
        for replica in self._list_cold(now):
            remaining = min(replica.until - now, replica.limits.seconds)
            yield _build_row(replica, remaining)

    def _list_cold(self, now: float) -> list[ColdReplica]:
        upstreams = self._board.upstreams
        if upstreams.cold is None:
            return []
        return [
            replica
            for replica in upstreams.cold.list_cold(now)
            if replica.replica_id in upstreams.replicas
        ]

    def _report(self) -> None:
        """Logs which replicas became cold or warm since the last step."""
        now = time.monotonic()
        present = {replica.replica_id: replica for replica in self._list_cold(now)}
        self._metrics.cold_replicas.set(len(present))
        for replica_id, replica in present.items():
            if replica_id not in self._reported:
                seconds = min(replica.until - now, replica.limits.seconds)
                extra = {
                    "upstream": replica_id,
                    "zone": replica.zone,
                    "reason": replica.source,
                    "hold_ms": round(seconds * 1000),
                }
                _LOG.info("replica became cold", extra=extra)
        for replica_id in self._reported.keys() - present.keys():
            _LOG.info("replica became warm", extra={"upstream": replica_id})
        self._reported = present


def _build_row(replica: ColdReplica, remaining: float) -> ColdRow:
    return ColdRow(
        replica.replica_id,
        replica.incarnation,
        max(round(remaining * 1000), 1),
        replica.told_position,
    )
