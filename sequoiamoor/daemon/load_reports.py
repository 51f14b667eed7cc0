"""Takes the load that replicas report in answers, and shares it with the peers."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Iterable
from random import Random

from ..core.blackboard import Blackboard
from ..core.load_shares import LoadShares
from ..core.messages import LoadRow
from ..core.replica_loads import ReportedLoad
from ..core.routed_call import RoutedCall
from ..core.upstreams import Replica
from ..metrics import Metrics
from ..net.formats import UpstreamFormat
from ..net.forward import ReceivedHead
from ..types import ReplicaId

_LOG = logging.getLogger(__name__)

CLEAN_SECONDS = 5.0
"""Interval in which loads of replicas that are gone are discarded."""

PACE_PERCENT = 100.0
"""Pace as usual, in the unit of ``LoadRow.token_rate``."""


class LoadReports:
    """Reads the load in the heads of answers and in the messages of peers.

    Attributes:
        share: Sends load reports to all peers.
        least_figures: Figures that a report must have to be used.
    """

    def __init__(
        self,
        board: Blackboard,
        metrics: Metrics,
        *,
        upstream_format: UpstreamFormat,
        rng: Random,
    ) -> None:
        self._board = board
        self._metrics = metrics
        self._format = upstream_format
        self._shares = LoadShares(rng)
        self._cleaned_at = float("-inf")
        self._reporting: set[ReplicaId] = set()
        self.least_figures = 4
        self.share: Callable[[Iterable[LoadRow]], None] = lambda rows: None

    def read(self, head: ReceivedHead) -> None:
        """Applies the load in the head of an answer, if it has one."""
        load = self._format.read_load(head.response, least_figures=self.least_figures)
        if load is None:
            return
        replica_id, incarnation = head.process.replica_id, head.process.incarnation
        replica = self._board.upstreams.replicas.get(replica_id)
        if replica is None or replica.incarnation != incarnation:
            return
        now = time.monotonic()
        # The head of a stream comes with its first event, or with a refusal.
        answered = int(head.is_own)
        self._take(
            replica_id, incarnation, load, now, source="answer", answered=answered
        )
        if self._shares.take(
            replica_id,
            load,
            now,
            peers=len(self._board.members),
            bytes_per_second=self._board.options.control_bytes_per_second,
        ):
            self._metrics.load_reports.labels("sent").inc()
            self.share([_build_row(replica_id, incarnation, load)])

    def receive(self, rows: Iterable[LoadRow]) -> None:
        """Applies load reports that a peer has read."""
        now = time.monotonic()
        for row in rows:
            replica = self._board.upstreams.replicas.get(row.replica_id)
            if (
                replica is None
                or replica.incarnation != row.incarnation
                or not row.slots
                or not row.token_rate
            ):
                continue
            load = ReportedLoad(
                row.running, row.queued, row.slots, row.token_rate / PACE_PERCENT
            )
            self._shares.note_known(row.replica_id, load, now)
            self._take(
                row.replica_id, row.incarnation, load, now, source="peer", is_view=True
            )

    def _take(
        self,
        replica_id: ReplicaId,
        incarnation: int,
        load: ReportedLoad,
        now: float,
        *,
        source: str,
        answered: int = 0,
        is_view: bool = False,
    ) -> None:
        self._board.replica_loads.take(
            replica_id, incarnation, load, now, answered=answered, is_view=is_view
        )
        self._metrics.load_reports.labels(source).inc()
        if replica_id not in self._reporting:
            self._reporting.add(replica_id)
            _LOG.info(
                "upstream reports its load",
                extra={"upstream": replica_id, "peer": source},
            )
        if now - self._cleaned_at >= CLEAN_SECONDS:
            self._cleaned_at = now
            replicas = self._board.upstreams.replicas
            self._board.replica_loads.keep_only(replicas)
            self._shares.keep_only(set(replicas))
            self._reporting &= replicas.keys()

    def note_sent(self, call: RoutedCall, replica: Replica) -> None:
        """Counts a request that is about to be sent, and tells peers of a long prompt.

        Observes the age of the load on which the start was based.
        """
        loads, now = self._board.replica_loads, time.monotonic()
        loads.note_sent(replica, call.call_id, prompts=call.read_prompts)
        view = None
        if call.parts:
            seconds = call.mean_read_seconds
            view = loads.build_view(replica, now, prompt_seconds=seconds)
        if view is not None and self._shares.take_start(
            replica.replica_id,
            view,
            now,
            prompts=call.read_prompts,
            peers=len(self._board.members),
            bytes_per_second=self._board.options.control_bytes_per_second,
        ):
            self._metrics.load_reports.labels("start").inc()
            self.share([_build_row(replica.replica_id, replica.incarnation, view)])
        if call.load_age is not None:
            source = "replica" if call.is_load_reported else "peers"
            self._metrics.load_age.labels(source).observe(call.load_age)

    def note_end(self, call: RoutedCall, replica: Replica) -> None:
        """Counts an attempt that ended, if it was sent."""
        self._board.replica_loads.note_end(replica, call.call_id)


def _build_row(replica_id: ReplicaId, incarnation: int, load: ReportedLoad) -> LoadRow:
    return LoadRow(
        replica_id,
        incarnation,
        round(load.slots),
        round(load.running),
        round(load.waiting),
        max(round(load.pace * PACE_PERCENT), 1),
        False,
    )
