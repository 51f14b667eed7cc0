"""Base class of policies whose routers report counters and demand to each other."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

from ..core.blackboard import Blackboard
from ..core.demand import Demand, DemandTable
from ..core.messages import CounterRow, Report, Snapshot
from ..core.reports import EarlyMessageBudget
from ..types import CallRequest, OrganisationName, RouterIdentity, ServiceName
from .fair import FairPolicy

ROW_REFRESH_SECONDS = 1.0
"""Seconds after which even a small change is reported."""

_DEADLINE_STEP_MS = 500
"""Shift of the earliest deadline from which peers get a new row."""


@dataclass(slots=True)
class _PublishedRow:
    """The row last reported for one organisation.

    A connection sends changed rows only. A row is therefore replaced only when the
    difference matters to peers, which keeps reports small.

    Attributes:
        row: The reported values.
        published_at: Monotonic time in seconds at which the row was built.
    """

    row: CounterRow
    published_at: float

    def is_outdated(self, new: CounterRow, quantum: float, now: float) -> bool:
        """Returns whether the new row differs enough to be reported.

        Args:
            new: The current values.
            quantum: Served work that may stay unreported, in service units.
            now: Monotonic time in seconds.
        """
        old = self.row
        if (
            new.lift != old.lift
            or bool(new.waiting) != bool(old.waiting)
            or not old.waiting / 2 <= new.waiting <= old.waiting * 2
            or abs(new.running - old.running) > 1
            or new.served - old.served > quantum
        ):
            return True
        age = now - self.published_at
        if old.deadline_ms is not None and new.deadline_ms is not None:
            shift_ms = new.deadline_ms + age * 1000 - old.deadline_ms
            if abs(shift_ms) > _DEADLINE_STEP_MS:
                return True
        return age >= ROW_REFRESH_SECONDS and (
            (new.served, new.waiting, new.running)
            != (old.served, old.waiting, old.running)
        )


class ReportingPolicy(FairPolicy):
    """Reports served and waiting work to peers and merges their reports."""

    def __init__(self, *, rng: Random) -> None:
        super().__init__(rng=rng)
        self._demands = DemandTable()
        self._early_budget: EarlyMessageBudget | None = None
        self._published_rows: dict[
            tuple[ServiceName, OrganisationName], _PublishedRow
        ] = {}

    def _get_peer_demands(
        self, board: Blackboard, service: ServiceName
    ) -> Mapping[OrganisationName, Demand]:
        return self._demands.sum(service, board.members.keys())

    def _take_early_budget(
        self, board: Blackboard, messages: int, now: float, reserve: float = 0.0
    ) -> bool:
        """Takes budget for messages sent before the report interval ends.

        Returns:
            Whether the budget allows them and leaves at least ``reserve`` messages.
        """
        if self._early_budget is None:
            self._early_budget = EarlyMessageBudget(board.options)
        return self._early_budget.take(messages, now, reserve=reserve)

    def _request_report(self, board: Blackboard, now: float) -> None:
        if not board.is_report_due and self._take_early_budget(
            board, len(board.members), now
        ):
            board.is_report_due = True

    def _merge_counters(
        self, board: Blackboard, origin: RouterIdentity, report: Report, now: float
    ) -> bool:
        """Merges the counters of a report; returns False if a later one came first."""
        board.ledger.merge(origin, report.counters)
        is_latest = self._demands.apply_report(
            origin, report.sequence, report.counters, now
        )
        for row in report.counters:
            if row.waiting:
                self._last_waiting_at[row.service, row.organisation] = now
        return is_latest

    def find_wait_limit(self, request: CallRequest) -> float | None:
        """Returns None: the class or route of the request decides."""
        return None

    def record_first_event(
        self, board: Blackboard, request: CallRequest, now: float
    ) -> None:
        """Does nothing: placement does not depend on first events."""

    def build_counters(self, board: Blackboard, now: float) -> tuple[CounterRow, ...]:
        """Returns this router's counters for a report."""
        keys = board.ledger.accounts()
        for service in board.upstreams.services():
            keys |= {
                (service, organisation)
                for organisation in board.queues.organisations(service)
            }
            keys |= {
                (service, organisation)
                for organisation in self._running_counts.get(service, ())
            }
        router_count = len(board.members) + 1
        for service, name in keys:
            row = self._build_row(board, service, name, now)
            published = self._published_rows.get((service, name))
            # All routers together leave at most half of the allowed gap unreported.
            quantum = self._find_allowed_gap(board, service, now) / (2 * router_count)
            if published is None or published.is_outdated(row, quantum, now):
                self._published_rows[service, name] = _PublishedRow(row, now)
        board.is_report_due = False
        return tuple(published.row for published in self._published_rows.values())

    def _build_row(
        self,
        board: Blackboard,
        service: ServiceName,
        name: OrganisationName,
        now: float,
    ) -> CounterRow:
        first = board.queues.peek(service, name)
        return CounterRow(
            service=service,
            organisation=name,
            served=int(board.ledger.served(service, name)),
            lift=int(board.ledger.lift(service, name)),
            waiting=board.queues.count(service, name),
            running=self._running_counts.get(service, {}).get(name, 0),
            deadline_ms=None if first is None else int((first.deadline - now) * 1000),
        )

    def build_snapshot(self, board: Blackboard) -> Snapshot:
        """Returns all counters that this router knows."""
        return board.ledger.build_snapshot()

    def merge_snapshot(self, board: Blackboard, snapshot: Snapshot) -> None:
        """Merges the counters that a peer knows into the ledger."""
        board.ledger.take_snapshot(snapshot)
