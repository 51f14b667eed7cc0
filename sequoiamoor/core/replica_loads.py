"""Load that replicas report in their answers, combined with the reports of peers."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..types import ReplicaId
from .messages import SlotRow
from .upstreams import Replica

MAX_REPORT_AGE_SECONDS = 1.5
"""Age from which a load report is not used. The reports of all peers of a large fleet
are newer then, since they come at least every 1.3 to 1.5 s."""

MAX_PACE_AGE_SECONDS = 0.5
"""Age from which a replica counts as fast as usual. Its pace changes many times a
second, and one that is left out because it was slow reports nothing new."""

MIN_PACE, MAX_PACE = 0.25, 8.0
"""Bounds of the pace. A figure outside them must not decide everything."""


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Load that a replica reports in an answer.

    Attributes:
        running: Requests of all routers that run.
        waiting: Requests of all routers that the replica holds back.
        slots: Requests that it can run at once.
        pace: Time that work takes now, as a multiple of the usual time.
    """

    running: float
    waiting: float
    slots: float
    pace: float

    @property
    def requests(self) -> float:
        """Requests at the replica."""
        return self.running + self.waiting


@dataclass(slots=True)
class _KnownLoad:
    """The newest load report of one process of a replica.

    Attributes:
        incarnation: The process.
        load: The report.
        read_at: Monotonic time in seconds at which it was read.
        others: Requests of other routers, changed by later reports of these.
        others_unread: Their prompts that were not read yet, in prompts of mean size.
    """

    incarnation: int
    load: ReportedLoad
    read_at: float
    others: float
    others_unread: float


@dataclass(slots=True)
class ReplicaLoads:
    """The newest load report of each replica, and this router's requests in it."""

    _known: dict[ReplicaId, _KnownLoad] = field(default_factory=dict)
    _sent: dict[tuple[ReplicaId, int], dict[str, float]] = field(default_factory=dict)
    _begun: set[str] = field(default_factory=set)

    def note_sent(
        self, replica: Replica, call_id: str, *, prompts: float = 1.0
    ) -> None:
        """Counts a request that is sent to a replica and not answered completely.

        Args:
            replica: The replica.
            call_id: The request.
            prompts: What has to be read of its prompt, in prompts of mean size.
        """
        key = (replica.replica_id, replica.incarnation)
        self._sent.setdefault(key, {})[call_id] = prompts

    def note_begun(self, call_id: str) -> None:
        """Counts a request that was sent as running: its first event has come."""
        self._begun.add(call_id)

    def note_end(self, replica: Replica, call_id: str) -> None:
        """Counts a request as ended, if it was sent."""
        self._begun.discard(call_id)
        # The incarnation may have become known since the send.
        for incarnation in {replica.incarnation, 0}:
            self._discard((replica.replica_id, incarnation), call_id)

    def _discard(self, key: tuple[ReplicaId, int], call_id: str) -> None:
        call_ids = self._sent.get(key)
        if call_ids is None:
            return
        call_ids.pop(call_id, None)
        if not call_ids:
            del self._sent[key]

    def count_sent(self, replica_id: ReplicaId, incarnation: int) -> int:
        """Returns this router's requests that were sent to a process and run there."""
        return len(self._sent.get((replica_id, incarnation), ()))

    def _list_unread(self, key: tuple[ReplicaId, int]) -> list[float]:
        """Returns the sizes of this router's prompts whose first event is to come."""
        sent = self._sent.get(key, {})
        return [size for call_id, size in sent.items() if call_id not in self._begun]

    def take(
        self,
        replica_id: ReplicaId,
        incarnation: int,
        load: ReportedLoad,
        now: float,
        *,
        answered: int = 0,
        is_view: bool = False,
    ) -> None:
        """Replaces the load of a replica by a newer report.

        Args:
            replica_id: The replica.
            incarnation: Its process.
            load: What it reported.
            now: Monotonic time in seconds at which this was read.
            answered: Requests of this router whose first event comes with the report.
            is_view: Whether it comes from a peer and may count a long prompt as many.
        """
        known = self._known.get(replica_id)
        if known is not None and incarnation < known.incarnation:
            return
        others = max(load.requests - self.count_sent(replica_id, incarnation), 0.0)
        own = self._list_unread((replica_id, incarnation))
        own_unread = sum(own) if is_view else len(own) - answered
        others_unread = max(load.waiting - own_unread, 0.0)
        self._known[replica_id] = _KnownLoad(
            incarnation, load, now, others, others_unread
        )

    def apply_peer_report(
        self,
        earlier: tuple[SlotRow, ...],
        rows: tuple[SlotRow, ...],
        *,
        since: float,
        now: float,
    ) -> None:
        """Adds what a peer started and ended since the load reports were read.

        Its report says how its requests changed since its previous one; the part of the
        change that lies after a load report is taken to be that part of the time.

        Args:
            earlier: Rows of the peer's previous report.
            rows: Rows of its report.
            since: Monotonic time in seconds of the previous report.
            now: Monotonic time in seconds.
        """
        if not self._known or now <= since:
            return
        changes = {row.replica_id: row.in_use for row in rows}
        for row in earlier:
            changes[row.replica_id] = changes.get(row.replica_id, 0) - row.in_use
        for replica_id, change in changes.items():
            known = self._known.get(replica_id) if change else None
            if known is None or now <= known.read_at:
                continue
            fraction = (now - max(known.read_at, since)) / (now - since)
            known.others = max(known.others + change * fraction, 0.0)

    def _find(self, replica: Replica, now: float, max_age: float) -> _KnownLoad | None:
        known = self._known.get(replica.replica_id)
        if (
            known is None
            or known.incarnation != replica.incarnation
            or now - known.read_at > max_age
        ):
            return None
        return known

    def count_others(self, replica: Replica, now: float) -> int | None:
        """Returns the requests of other routers at a replica, None if unknown."""
        known = self._find(replica, now, MAX_REPORT_AGE_SECONDS)
        return None if known is None else round(known.others)

    def expect_unread(
        self, replica: Replica, now: float, *, prompt_seconds: float
    ) -> float:
        """Returns how many prompts of other routers a replica has yet to read.

        A replica counts a request as waiting until it has read its prompt. It goes on
        reading after its report; what it got since is not known.

        Args:
            replica: The replica.
            now: Monotonic time in seconds.
            prompt_seconds: Time in which a replica reads a prompt in the mean.

        Returns:
            Their expected number; 0 without a load report.
        """
        known = self._find(replica, now, MAX_REPORT_AGE_SECONDS)
        if known is None or not known.others_unread:
            return 0.0
        if not prompt_seconds:
            return known.others_unread
        read = (now - known.read_at) / (prompt_seconds * self.find_pace(replica, now))
        return max(known.others_unread - read, 0.0)

    def build_view(
        self, replica: Replica, now: float, *, prompt_seconds: float
    ) -> ReportedLoad | None:
        """Returns the load of a replica as this router knows it, for its peers.

        It joins the newest load report with this router's requests since. Prompts that
        are to be read count by their size.

        Args:
            replica: The replica.
            now: Monotonic time in seconds.
            prompt_seconds: Time in which a replica reads a prompt in the mean.

        Returns:
            The load; None without a load report.
        """
        known = self._find(replica, now, MAX_REPORT_AGE_SECONDS)
        if known is None:
            return None
        key = (replica.replica_id, replica.incarnation)
        others_unread = self.expect_unread(replica, now, prompt_seconds=prompt_seconds)
        waiting = round(others_unread + sum(self._list_unread(key)))
        requests = round(known.others) + self.count_sent(*key)
        running = max(requests - waiting, 0)
        pace = self.find_pace(replica, now)
        return ReportedLoad(running, waiting, known.load.slots, pace)

    def find_age(self, replica: Replica, now: float) -> float | None:
        """Returns the age in seconds of the report that is used, None without one."""
        known = self._find(replica, now, MAX_REPORT_AGE_SECONDS)
        return None if known is None else max(now - known.read_at, 0.0)

    def find_pace(self, replica: Replica, now: float) -> float:
        """Returns the time that work takes as a multiple of the usual, 1 if unknown."""
        known = self._find(replica, now, MAX_PACE_AGE_SECONDS)
        if known is None:
            return 1.0
        return min(max(known.load.pace, MIN_PACE), MAX_PACE)

    def has_reports(self, replica: Replica) -> bool:
        """Returns whether the process of a replica has reported its load."""
        known = self._known.get(replica.replica_id)
        return known is not None and known.incarnation == replica.incarnation

    def keep_only(self, replicas: dict[ReplicaId, Replica]) -> None:
        """Discards the loads of replicas and processes that are gone."""
        for replica_id, known in list(self._known.items()):
            replica = replicas.get(replica_id)
            if replica is None or replica.incarnation > known.incarnation:
                del self._known[replica_id]
