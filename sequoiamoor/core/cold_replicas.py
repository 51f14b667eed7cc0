"""Cold replicas: what this router knows of each, and what it sent to it."""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import Any

from ..types import ReplicaId, ServiceName, ZoneName
from .cold_senders import WINDOW_SECONDS, ColdLimits, ColdSenders
from .store_position import StorePosition

QUIET_SECONDS = 1.0
"""Time without requests after a running replica became cold: what other routers sent to
it in the second before counts too, and is not known here."""

NEWS_SECONDS = 0.3
"""Least time by which a statement must prolong what is known for peers to be told."""

MAX_REMAINING_SECONDS = 60.0
"""Longest time for which a replica is believed to remain cold."""

MAX_REMEMBERED = 4_096
"""Replicas of which something is remembered, also while they are not listed."""

_START = StorePosition()


@dataclass(slots=True)
class ColdReplica:
    """What is known of one replica. All times are monotonic, in seconds.

    Attributes:
        incarnation: Process that the knowledge is about; 0 if unknown.
        row_until: Time until which its row says that it is cold.
        row_position: Position of the last row.
        is_row_cold: Whether that row says so.
        stated_until: Time until which its answers, or peers, say that it is cold.
        stated_at: Time at which they last did.
        inferred_until: Time until which it is taken to be cold without a statement;
            infinity if its process ended, until another one responds.
        inferred_at: Time of that inference.
        inferred_position: Position after which a row ends it; None if the row must have
            been written after ``inferred_at``.
        quiet_until: Time until which it gets nothing.
        next_start_at: Time from which the next request may be started.
        sent_at: Times of the requests sent to it within ``WINDOW_SECONDS``.
        source: Where its coldness was learned, for the log.
        is_paced: Whether it was cold when a start was last considered.
        announced_until: Time until which peers know that it is cold.
        until: Time until which it counts as cold, for any of the reasons.
    """

    replica_id: ReplicaId
    fleet: ColdReplicas
    service: ServiceName = ""
    zone: ZoneName = ""
    incarnation: int = 0
    row_until: float = -math.inf
    row_position: StorePosition = _START
    is_row_cold: bool = False
    stated_until: float = -math.inf
    stated_at: float = -math.inf
    inferred_until: float = -math.inf
    inferred_at: float = -math.inf
    inferred_position: StorePosition | None = None
    quiet_until: float = -math.inf
    next_start_at: float = -math.inf
    sent_at: deque[float] = field(default_factory=deque)
    source: str = ""
    is_paced: bool = False
    announced_until: float = -math.inf
    until: float = -math.inf
    _sender: tuple[int, bool] = (-1, False)

    @property
    def is_ended(self) -> bool:
        """Whether its process has ended, and no other one has responded since."""
        return self.inferred_until == math.inf

    def is_cold(self, now: float) -> bool:
        """Returns whether the replica counts as cold."""
        return now < self.until and self.fleet.find_limits(self.service).per_second > 0

    def may_start(self, incarnation: int, now: float) -> bool:
        """Returns whether a request may be chosen for the replica.

        Args:
            incarnation: Process that the replica is now; a new one counts as cold.
            now: Monotonic time in seconds.
        """
        if incarnation != self.incarnation:
            self.note_incarnation(incarnation, now)
        # Asked for each replica in each round of choices.
        self.is_paced = now < self.until and self.is_cold(now)
        return not self.is_paced or (
            now >= self.next_start_at and self._may_use_budget(now)
        )

    def may_send(self, incarnation: int, now: float) -> bool:
        """Returns whether a request that was chosen for the replica may be sent."""
        self.note_incarnation(incarnation, now)
        return not self.is_cold(now) or self._may_use_budget(now)

    def _may_use_budget(self, now: float) -> bool:
        if now < self.quiet_until or not self.fleet.is_settled():
            return False
        routers = self.fleet.routers_version
        if self._sender[0] != routers:
            self._sender = (routers, self.fleet.is_sender(self.replica_id, self.zone))
        if not self._sender[1]:
            return False
        self._discard_sends(now)
        return len(self.sent_at) < self.fleet.find_window(self.service)

    def _discard_sends(self, now: float) -> None:
        while self.sent_at and self.sent_at[0] <= now - WINDOW_SECONDS:
            self.sent_at.popleft()

    def record_start(self, now: float) -> None:
        """Records that a request was chosen for the replica."""
        if not self.is_paced:
            return
        pace = self.fleet.find_pace(self.service)
        self.next_start_at = now + (1 / pace if pace else math.inf)

    def record_send(self, now: float) -> bool:
        """Records that a request is sent; returns whether the replica is cold."""
        self._discard_sends(now)
        self.sent_at.append(now)
        return self.is_cold(now)

    # What is learned.

    def note_row(
        self,
        incarnation: int,
        remaining: float,
        position: StorePosition,
        now: float,
        *,
        is_new: bool,
        written_after: float = -math.inf,
    ) -> None:
        """Applies a row of the replica.

        Args:
            incarnation: Process that wrote it.
            remaining: Seconds for which it remains cold.
            position: Position of the row in the store.
            now: Monotonic time in seconds.
            is_new: Whether the replica appeared after the first read of the table.
            written_after: Time before the row was written.
        """
        is_other = self.incarnation not in (0, incarnation)
        is_late = not is_other and position <= self.row_position
        if self.incarnation != incarnation:
            self._forget_process(incarnation)
        if is_late:
            return
        self.row_position = position
        remaining = min(remaining, MAX_REMAINING_SECONDS)
        if is_other or is_new:
            # Its first row does not end the inference: a process may write it before
            # the traffic that makes it cold.
            self.inferred_until = -math.inf
            self._infer(now, self.limits.seconds, position, "new process")
        self.is_row_cold = remaining > 0
        if remaining > 0:
            self._begin(now, is_running=not (is_other or is_new), source="store")
            self.row_until, self.stated_at = now + remaining, now
        else:
            self.row_until = -math.inf
            self._end_inference(position, written_after)
        self._update()

    def _end_inference(self, position: StorePosition, written_after: float) -> None:
        if self.inferred_position is not None:
            is_later = position > self.inferred_position
        else:
            is_later = written_after >= self.inferred_at
        if is_later:
            self.inferred_until = -math.inf

    def note_answer(
        self, incarnation: int, remaining: float, sent_at: float, now: float
    ) -> None:
        """Applies what an answer says.

        Args:
            incarnation: Process to which the request was sent.
            remaining: Seconds for which it remains cold.
            sent_at: Time at which the request was sent.
            now: Monotonic time in seconds.
        """
        if incarnation != self.incarnation:
            return
        remaining = min(remaining, MAX_REMAINING_SECONDS)
        if remaining > 0:
            self._begin(now, is_running=True, source="answer")
            self.stated_until = max(self.stated_until, now + remaining)
            self.stated_at = now
        elif sent_at >= max(self.stated_at, self.inferred_at):
            self.stated_until = self.inferred_until = -math.inf
            self.row_until = min(self.row_until, now)
        self._update()

    def note_peer(
        self, incarnation: int, remaining: float, position: StorePosition, now: float
    ) -> None:
        """Applies what a peer says; one of an earlier process is ignored.

        The position may be that of an old row although the peer learned of it later by
        an answer, so it does not date the statement.
        """
        if 0 < incarnation < self.incarnation or remaining <= 0:
            return
        remaining = min(remaining, MAX_REMAINING_SECONDS)
        self._begin(now, is_running=incarnation == self.incarnation, source="peer")
        self.stated_until = max(self.stated_until, now + remaining)
        self.stated_at = now
        self.announced_until = max(self.announced_until, self.stated_until)
        if self.is_ended and position != _START:
            # Another router has got an answer, or a row of a process that runs.
            self.inferred_until = now + max(remaining, self.limits.seconds)
        self._update()

    def note_refused(self, now: float) -> None:
        """Records that its address refused a connection: its process has ended."""
        if self.limits.per_second > 0:
            self._infer(now, math.inf, None, "connection refused")
            self.fleet.unannounced[self.replica_id] = self

    def note_failures(self, now: float) -> None:
        """Records that several connection attempts in a row failed."""
        if not self.is_ended:
            self._infer(now, self.limits.seconds, None, "connections failed")

    def note_response(self, now: float) -> None:
        """Records that the replica responded."""
        if self.is_ended:
            self.inferred_until = now + self.limits.seconds
            self._update()
            self.fleet.unannounced[self.replica_id] = self

    def note_zone_return(self, position: StorePosition, now: float) -> None:
        """Records that the evacuation of its zone ended at a position of the store."""
        if self.row_position <= position:
            self._infer(now, self.limits.seconds, position, "zone evacuation ended")

    def note_incarnation(self, incarnation: int, now: float) -> None:
        """Records which process the replica is now."""
        if incarnation == self.incarnation:
            return
        was_known = self.incarnation != 0
        self._forget_process(incarnation)
        if was_known:
            self.inferred_until = -math.inf
            self._infer(now, self.limits.seconds, None, "new process")

    def _forget_process(self, incarnation: int) -> None:
        """Forgets what an earlier process said; a peer may have told of this one."""
        self.incarnation = incarnation
        self.row_until, self.is_row_cold = -math.inf, False
        self._update()

    def _infer(
        self, now: float, seconds: float, position: StorePosition | None, source: str
    ) -> None:
        if self.limits.per_second <= 0:
            return
        self._begin(now, is_running=False, source=source)
        self.inferred_until = max(self.inferred_until, now + seconds)
        self.inferred_at, self.inferred_position = now, position
        self._update()

    def _update(self) -> None:
        self.until = max(self.row_until, self.stated_until, self.inferred_until)

    def _begin(self, now: float, *, is_running: bool, source: str) -> None:
        self.fleet.marked[self.replica_id] = self
        if now < self.until:
            return
        self.source = source
        if is_running:
            self.quiet_until = now + QUIET_SECONDS

    @property
    def limits(self) -> ColdLimits:
        """Limits of its service."""
        return self.fleet.find_limits(self.service)

    def find_announcement(self, now: float) -> float | None:
        """Returns for how many seconds peers are to be told that it is cold.

        None if they know. A refused connection, or the first answer after one, is told
        as the time for which a process remains cold after its start.
        """
        limits = self.limits
        until = max(self.row_until, self.stated_until)
        if now < self.inferred_until:
            until = max(until, min(self.inferred_until, now + limits.seconds))
        if limits.per_second <= 0 or until < self.announced_until + NEWS_SECONDS:
            return None
        self.announced_until = until
        return until - now if until > now else None

    @property
    def told_position(self) -> StorePosition:
        """Position to tell peers; that of no row if its process has ended."""
        return _START if self.is_ended else self.row_position


class ColdReplicas(ColdSenders):
    """What this router knows of all replicas.

    Attributes:
        unannounced: Replicas of which peers may have to be told.
        marked: Replicas that may be cold.
    """

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._replicas: OrderedDict[ReplicaId, ColdReplica] = OrderedDict()
        self.unannounced: dict[ReplicaId, ColdReplica] = {}
        self.marked: dict[ReplicaId, ColdReplica] = {}

    def get(
        self, replica_id: ReplicaId, service: ServiceName, zone: ZoneName
    ) -> ColdReplica:
        """Returns what is known of a replica, also if it was not listed for a time."""
        known = self._replicas.get(replica_id)
        if known is None:
            known = self._replicas[replica_id] = ColdReplica(replica_id, self)
            while len(self._replicas) > MAX_REMEMBERED:
                self._replicas.popitem(last=False)
        self._replicas.move_to_end(replica_id)
        if known.zone != zone:
            known._sender = (-1, False)
        known.service, known.zone = service, zone
        return known

    def list_cold(self, now: float) -> list[ColdReplica]:
        """Returns the replicas that count as cold, and forgets which others may be."""
        self.marked = {
            replica_id: replica
            for replica_id, replica in self.marked.items()
            if now < replica.until and replica_id in self._replicas
        }
        return [replica for replica in self.marked.values() if replica.is_cold(now)]
