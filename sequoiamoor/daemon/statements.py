"""Passes on what the answers of replicas say about new requests."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Iterable
from random import Random

from ..core.blackboard import Blackboard
from ..core.freshness import UnixClock
from ..core.statements import ReplicaProcess, Statement, StatementChange
from ..core.upstreams import Replica
from ..metrics import Metrics
from ..net.formats import UpstreamFormat
from ..net.forward import ReceivedHead

_LOG = logging.getLogger(__name__)


class StatementReader:
    """Reads the heads of answers, and logs, counts and announces what they change.

    Args:
        announce_leaving: Tells the other routers that processes are leaving.
    """

    def __init__(
        self,
        board: Blackboard,
        metrics: Metrics,
        *,
        upstream_format: UpstreamFormat,
        announce_leaving: Callable[[Iterable[Replica | ReplicaProcess]], None],
        rng: Random,
    ) -> None:
        self._board = board
        self._metrics = metrics
        self._format = upstream_format
        self._announce_leaving = announce_leaving
        self._rng = rng
        self._clock = UnixClock()

    def read(self, head: ReceivedHead) -> bool:
        """Applies a head; returns whether it made a replica unavailable."""
        replica_id = head.process.replica_id
        replica = self._board.upstreams.replicas.get(replica_id)
        statement = self._format.read_statement(head.response)
        if statement is None:
            is_taken = head.is_own and not self._format.states_not_run(head.response)
            if is_taken and head.response.status != 503:
                self._board.upstreams.record_answer(head.process, head.sent_at)
            return False
        now = time.monotonic()
        change = self._board.upstreams.note_answer(
            head.process,
            statement,
            now=now,
            spread=self._rng.random(),
            sent_at=head.sent_at,
            sent_ms=self._clock.read_ms() - (now - head.sent_at) * 1000,
            address=head.address,
            opened_at=head.opened_at,
        )
        if change.is_unlisted_leaving and head.process.incarnation:
            # Other routers may list it, and without its number they would not know
            # which process is meant.
            self._metrics.upstream_statements.labels("leaving").inc()
            self._announce_leaving([head.process])
        self._report(statement, change, replica)
        return change.is_leaving or change.is_held

    def _report(
        self, statement: Statement, change: StatementChange, replica: Replica | None
    ) -> None:
        counter = self._metrics.upstream_statements
        if statement.unusable_hold is not None:
            counter.labels("unusable-time").inc()
        if replica is None:
            return
        if change.is_leaving:
            counter.labels("leaving").inc()
            self._announce_leaving([replica])
        if change.is_held:
            counter.labels("turned-away").inc()
            hold = replica.stated.find_hold(time.monotonic())
            extra = {
                "upstream": replica.replica_id,
                "peer": "answer",
                "detail": statement.unusable_hold,
                "hold_ms": round(hold * 1000),
            }
            _LOG.info("upstream takes no requests for a time", extra=extra)
